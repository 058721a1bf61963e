//! Which adapter gives way where a runner's places for adapters are taken.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use super::ModelName;
use crate::ids::{AdapterId, BackendId, ModelId};

/// Time since its last use after which an adapter is taken to be idle: nodes tell of uses a little late.
const ADAPTER_IDLE: Duration = Duration::from_millis(1_500);

/// Times that an adapter finds no room before one in use gives way to it, so that a rarely asked one is served at all.
const PATIENT_REFUSALS: u32 = 2;

/// Where an adapter finds room on a runner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdapterRoom {
    /// A place is free.
    Free,
    /// A place is free once this adapter was evicted.
    After(ModelName),
    /// Requests use every adapter, and the eviction of any would hold up the runner's other orders.
    None,
}

/// Which adapter gives way on a runner whose places are taken.
#[derive(Clone, Debug, Default)]
pub struct AdapterPlan {
    used_at: BTreeMap<(BackendId, ModelName), Instant>,
    /// How often each adapter found no room since it last did.
    refusals: BTreeMap<ModelName, u32>,
}

impl AdapterPlan {
    /// Notes that a request for the adapter goes to the runner.
    pub fn note_use(&mut self, now: Instant, backend: &BackendId, name: &ModelName) {
        self.used_at.insert((backend.clone(), name.clone()), now);
    }

    /// Forgets a runner.
    pub fn forget(&mut self, backend: &BackendId) {
        self.used_at.retain(|(known, _), _| known != backend);
    }

    /// Returns where an adapter finds room beside those that the runner holds.
    ///
    /// The adapter that was used longest ago gives way if it is idle. One in use gives way only to the first adapter of
    /// another model, so that a busy model's adapters do not keep every place, and to one that was refused twice.
    pub fn room(
        &mut self,
        now: Instant,
        backend: &BackendId,
        held: &BTreeMap<ModelId, BTreeSet<AdapterId>>,
        slots: u32,
        wanted: &ModelName,
    ) -> AdapterRoom {
        let taken: usize = held.values().map(BTreeSet::len).sum();
        if taken < slots as usize {
            return AdapterRoom::Free;
        }
        let used_at = |name: &ModelName| self.used_at.get(&(backend.clone(), name.clone())).copied();
        let is_idle =
            |name: &ModelName| used_at(name).is_none_or(|at| now.saturating_duration_since(at) >= ADAPTER_IDLE);
        let oldest = names_of(held.iter()).min_by_key(used_at);
        let idle = oldest.clone().filter(is_idle);
        let has_none = held.get(&wanted.model).is_none_or(BTreeSet::is_empty);
        let greediest = held.iter().max_by_key(|(_, adapters)| adapters.len());
        let yielding = greediest.filter(|(_, adapters)| has_none && adapters.len() > 1);
        let of_other_model = names_of(yielding.into_iter()).min_by_key(used_at);
        let refusals = self.refusals.get(wanted).copied().unwrap_or_default();
        let overdue = oldest.filter(|_| refusals >= PATIENT_REFUSALS);
        if let Some(name) = idle.or(of_other_model).or(overdue) {
            self.refusals.remove(wanted);
            return AdapterRoom::After(name);
        }
        *self.refusals.entry(wanted.clone()).or_default() += 1;
        AdapterRoom::None
    }
}

fn names_of<'a>(held: impl Iterator<Item = (&'a ModelId, &'a BTreeSet<AdapterId>)>) -> impl Iterator<Item = ModelName> {
    held.flat_map(|(model, adapters)| {
        adapters.iter().map(|adapter| ModelName {
            model: model.clone(),
            adapter: Some(adapter.clone()),
        })
    })
}
