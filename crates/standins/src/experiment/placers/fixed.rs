//! Static placement: what the start placed, reloaded when a runner comes back empty.

use super::{ClusterView, PlacementOrder, Placer};

/// Static placement.
#[derive(Debug)]
pub(in crate::experiment) struct FixedPlacer {
    holdings: Vec<Vec<usize>>,
}

impl FixedPlacer {
    pub(in crate::experiment) fn new(holdings: Vec<Vec<usize>>) -> Self {
        Self { holdings }
    }
}

impl Placer for FixedPlacer {
    fn review(&mut self, view: ClusterView<'_>, is_tick: bool) -> Vec<PlacementOrder> {
        let limit = view
            .deployment
            .policy
            .store_concurrent_loads
            .saturating_sub(view.store.model_loads) as usize;
        if !is_tick {
            return Vec::new();
        }
        let catalogue = &view.deployment.catalogue;
        let missing = self.holdings.iter().enumerate().flat_map(|(runner, entries)| {
            let backend = &view.backends[runner];
            entries
                .iter()
                .filter(move |entry| backend.is_alive && !backend.weights.contains_key(entry))
                .map(move |entry| (runner, *entry))
        });
        let (models, adapters): (Vec<_>, Vec<_>) = missing.partition(|(_, entry)| !catalogue.is_adapter(*entry));
        let adapters = adapters.into_iter().filter(|(runner, entry)| {
            let model = catalogue.entries[*entry].model;
            model.is_some_and(|model| view.backends[*runner].is_ready(model))
        });
        models
            .into_iter()
            .take(limit)
            .chain(adapters.take(50))
            .map(|(runner, entry)| PlacementOrder::Load { runner, entry })
            .collect()
    }
}
