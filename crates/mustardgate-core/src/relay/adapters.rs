//! Choice of the adapter to evict when all adapter slots of a runner are taken.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use super::ModelName;
use crate::ids::{AdapterId, BackendId, ModelId};

/// Time since its last use after which an adapter counts as idle; nodes report uses with a short delay.
const ADAPTER_IDLE_TIME: Duration = Duration::from_millis(1_500);

/// Failed searches for a slot after which an adapter may replace one in use, so that rarely requested adapters are not
/// starved.
const REFUSALS_BEFORE_EVICTION: u32 = 2;

/// How an adapter gets a slot on a runner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdapterSlot {
    /// A slot is free.
    Free,
    /// A slot becomes free when this adapter is evicted.
    AfterEviction(ModelName),
    /// Every adapter is in use by requests, and evicting one would delay the runner's other orders.
    Unavailable,
}

/// Chooses the adapter to evict on a runner whose adapter slots are all taken.
#[derive(Clone, Debug, Default)]
pub struct AdapterEvictor {
    /// When each runner was last sent a request for each adapter.
    used_at: BTreeMap<(BackendId, ModelName), Instant>,
    /// Failed searches of each adapter since it last got a slot by an eviction.
    refusals: BTreeMap<ModelName, u32>,
}

impl AdapterEvictor {
    /// Records that a request for the adapter is sent to the runner.
    pub fn record_use(&mut self, now: Instant, backend: &BackendId, name: &ModelName) {
        self.used_at.insert((backend.clone(), name.clone()), now);
    }

    /// Removes the recorded uses of a runner.
    pub fn forget_runner(&mut self, backend: &BackendId) {
        self.used_at.retain(|(runner, _), _| runner != backend);
    }

    /// Returns how the wanted adapter gets a slot beside those that the runner holds.
    ///
    /// The least recently used adapter is evicted if it is idle. One in use is evicted only for the first adapter of
    /// another model, so that a busy model's adapters do not occupy every slot, and for one that was refused twice.
    pub fn find_slot(
        &mut self,
        now: Instant,
        backend: &BackendId,
        held: &BTreeMap<ModelId, BTreeSet<AdapterId>>,
        slots: u32,
        wanted: &ModelName,
    ) -> AdapterSlot {
        let taken: usize = held.values().map(BTreeSet::len).sum();
        if taken < slots as usize {
            return AdapterSlot::Free;
        }
        let used_at = |name: &ModelName| self.used_at.get(&(backend.clone(), name.clone())).copied();
        let is_idle =
            |name: &ModelName| used_at(name).is_none_or(|at| now.saturating_duration_since(at) >= ADAPTER_IDLE_TIME);
        let least_recent = adapter_names(held.iter()).min_by_key(used_at);
        let idle = least_recent.clone().filter(is_idle);
        let has_no_adapter = held.get(&wanted.model).is_none_or(BTreeSet::is_empty);
        let largest = held.iter().max_by_key(|(_, adapters)| adapters.len());
        let donor = largest.filter(|(_, adapters)| has_no_adapter && adapters.len() > 1);
        let of_other_model = adapter_names(donor.into_iter()).min_by_key(used_at);
        let refusals = self.refusals.get(wanted).copied().unwrap_or_default();
        let after_refusals = least_recent.filter(|_| refusals >= REFUSALS_BEFORE_EVICTION);
        if let Some(name) = idle.or(of_other_model).or(after_refusals) {
            self.refusals.remove(wanted);
            return AdapterSlot::AfterEviction(name);
        }
        *self.refusals.entry(wanted.clone()).or_default() += 1;
        AdapterSlot::Unavailable
    }
}

fn adapter_names<'a>(
    held: impl Iterator<Item = (&'a ModelId, &'a BTreeSet<AdapterId>)>,
) -> impl Iterator<Item = ModelName> {
    held.flat_map(|(model, adapters)| {
        adapters.iter().map(|adapter| ModelName {
            model: model.clone(),
            adapter: Some(adapter.clone()),
        })
    })
}
