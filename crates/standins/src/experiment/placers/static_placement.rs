//! Static placement: the initial holdings, reloaded when a runner comes back empty.

use super::{ClusterView, PlacementOrder, Placer};

/// Keeps the initial holdings of every runner.
#[derive(Debug)]
pub(in crate::experiment) struct StaticPlacer {
    holdings: Vec<Vec<usize>>,
}

impl StaticPlacer {
    pub(in crate::experiment) fn new(holdings: Vec<Vec<usize>>) -> Self {
        Self { holdings }
    }
}

impl Placer for StaticPlacer {
    fn review(&mut self, view: ClusterView<'_>, is_periodic: bool) -> Vec<PlacementOrder> {
        let free_loads = view
            .deployment
            .policy
            .store_concurrent_loads
            .saturating_sub(view.store.model_loads) as usize;
        if !is_periodic {
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
            .take(free_loads)
            .chain(adapters.take(50))
            .map(|(runner, entry)| PlacementOrder::Load { runner, entry })
            .collect()
    }
}
