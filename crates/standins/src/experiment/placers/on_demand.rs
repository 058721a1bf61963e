//! Load on demand: weights are loaded when a request needs them or when the runners that hold them are full, and the
//! least recently used weights are evicted.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use super::{ClusterView, PlacementOrder, Placer};
use crate::experiment::engine::WeightState;

/// Shortest time between two scale-outs of the same weights.
const SCALE_OUT_INTERVAL_MS: u64 = 2_000;
/// Weights used within this time are not evicted.
const IN_USE_MS: u64 = 10_000;
/// Expected time from the choice of a runner until the weights are ready there.
const EXPECTED_LOAD_MS: u64 = 6_000;

/// A load that is ordered, or that waits until evicted weights have freed the memory for it.
#[derive(Clone, Copy, Debug)]
struct PendingLoad {
    runner: usize,
    since: Instant,
    is_ordered: bool,
}

/// Load on demand with least-recently-used eviction.
#[derive(Debug, Default)]
pub(in crate::experiment) struct OnDemandPlacer {
    pending: BTreeMap<usize, PendingLoad>,
    scaled_out_at: BTreeMap<usize, Instant>,
}

impl Placer for OnDemandPlacer {
    fn on_arrival(&mut self, view: ClusterView<'_>, entry: usize, _domain: usize) -> Vec<PlacementOrder> {
        let is_held = view
            .backends
            .iter()
            .any(|backend| backend.is_alive && backend.is_ready(entry));
        if is_held { Vec::new() } else { self.place(view, entry) }
    }

    fn on_busy(&mut self, view: ClusterView<'_>, entry: usize) -> Vec<PlacementOrder> {
        let interval = Duration::from_millis(SCALE_OUT_INTERVAL_MS);
        let is_recent = self
            .scaled_out_at
            .get(&entry)
            .is_some_and(|at| view.now.duration_since(*at) < interval);
        if is_recent {
            return Vec::new();
        }
        self.scaled_out_at.insert(entry, view.now);
        self.place(view, entry)
    }

    fn review(&mut self, view: ClusterView<'_>, _is_periodic: bool) -> Vec<PlacementOrder> {
        self.pending.retain(|entry, pending| {
            let backend = &view.backends[pending.runner];
            let is_stale = view.now.duration_since(pending.since) > Duration::from_secs(30);
            backend.is_alive && !backend.is_ready(*entry) && !is_stale
        });
        let waiting: Vec<usize> = self
            .pending
            .iter()
            .filter(|(_, pending)| !pending.is_ordered)
            .map(|(entry, _)| *entry)
            .collect();
        waiting
            .into_iter()
            .flat_map(|entry| self.order_load(view, entry))
            .collect()
    }

    fn expected_ready(&self, now: Instant, entry: usize) -> Option<Duration> {
        let pending = self.pending.get(&entry)?;
        let expected = Duration::from_millis(EXPECTED_LOAD_MS);
        Some(
            expected
                .saturating_sub(now.duration_since(pending.since))
                .max(Duration::from_millis(50)),
        )
    }
}

impl OnDemandPlacer {
    /// Chooses a runner for one more replica of an entry; an adapter goes to a runner that has its model, and without
    /// such a runner the model is placed first.
    fn place(&mut self, view: ClusterView<'_>, entry: usize) -> Vec<PlacementOrder> {
        let catalogue = &view.deployment.catalogue;
        let Some(model) = catalogue.entries[entry].model else {
            return Vec::new();
        };
        if self.pending.contains_key(&entry) {
            return Vec::new();
        }
        let candidates = (0..view.deployment.runners).filter(|runner| {
            let backend = &view.backends[*runner];
            backend.is_alive && !backend.weights.contains_key(&entry)
        });
        if catalogue.is_adapter(entry) {
            let model_holder = candidates
                .filter(|runner| view.backends[*runner].is_ready(model))
                .filter(|runner| view.backends[*runner].outstanding() < 16)
                .min_by_key(|runner| view.backends[*runner].outstanding());
            return match model_holder {
                Some(runner) => self.begin_load(view, entry, runner),
                None => self.place(view, model),
            };
        }
        if view.store.model_loads >= view.deployment.policy.store_concurrent_loads {
            return Vec::new();
        }
        let size = catalogue.entries[entry].memory_mib;
        let best = candidates
            .filter(|runner| eviction_victims(view, *runner, size, entry).is_some())
            .min_by_key(|runner| {
                let needs_eviction = view.backends[*runner].free_mib() < size;
                (needs_eviction, view.backends[*runner].outstanding())
            });
        best.map(|runner| self.begin_load(view, entry, runner))
            .unwrap_or_default()
    }

    /// Orders the load, or first the evictions that it needs.
    fn begin_load(&mut self, view: ClusterView<'_>, entry: usize, runner: usize) -> Vec<PlacementOrder> {
        let pending = PendingLoad {
            runner,
            since: view.now,
            is_ordered: false,
        };
        self.pending.insert(entry, pending);
        let size = view.deployment.catalogue.entries[entry].memory_mib;
        let Some(victims) = eviction_victims(view, runner, size, entry) else {
            self.pending.remove(&entry);
            return Vec::new();
        };
        if victims.is_empty() {
            return self.order_load(view, entry);
        }
        let unload = |entry| PlacementOrder::Unload { runner, entry };
        victims.into_iter().map(unload).collect()
    }

    /// Orders a pending load once its runner has the memory.
    fn order_load(&mut self, view: ClusterView<'_>, entry: usize) -> Vec<PlacementOrder> {
        let size = view.deployment.catalogue.entries[entry].memory_mib;
        let Some(pending) = self.pending.get_mut(&entry) else {
            return Vec::new();
        };
        if view.backends[pending.runner].free_mib() < size {
            return Vec::new();
        }
        pending.is_ordered = true;
        let runner = pending.runner;
        vec![PlacementOrder::Load { runner, entry }]
    }
}

/// Returns the least recently used weights to evict so that `size` is free, or `None` when those in use leave too
/// little memory. A model is evicted together with its adapters, and the model of `new_entry` is kept.
fn eviction_victims(view: ClusterView<'_>, runner: usize, size: u64, new_entry: usize) -> Option<Vec<usize>> {
    let backend = &view.backends[runner];
    let entries = &view.deployment.catalogue.entries;
    let mut free = backend.free_mib();
    let mut victims = Vec::new();
    if free >= size {
        return Some(victims);
    }
    let used_at = |family: &[usize]| {
        family
            .iter()
            .filter_map(|entry| backend.last_used.get(entry))
            .max()
            .copied()
    };
    let mut families: Vec<Vec<usize>> = backend
        .weights
        .iter()
        .filter(|(entry, state)| **state == WeightState::Ready && entries[**entry].model == Some(**entry))
        .filter(|(model, _)| entries[new_entry].model != Some(**model))
        .map(|(model, _)| {
            backend
                .ready()
                .filter(|held| entries[*held].model == Some(*model))
                .collect()
        })
        .collect();
    families.retain(|family| {
        used_at(family).is_none_or(|at| view.now.duration_since(at) > Duration::from_millis(IN_USE_MS))
    });
    families.sort_by_key(|family| used_at(family));
    for family in families {
        if free >= size {
            break;
        }
        free += family.iter().map(|entry| entries[*entry].memory_mib).sum::<u64>();
        victims.extend(family);
    }
    (free >= size).then_some(victims)
}
