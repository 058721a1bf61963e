//! Runners as the platform lists them, with the doubt that follows an outage of the list.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use crate::ids::{AdapterId, BackendId, DomainId, ModelId, ServiceId};

/// Whether a listed runner takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunnerState {
    /// It takes new work.
    Ready,
    /// It finishes what it has and leaves.
    Draining,
}

/// One runner as its entry in the list describes it.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedRunner {
    /// Identity of this start of the runner.
    pub id: BackendId,
    /// Service it answers for.
    pub service: ServiceId,
    /// Address of its listener.
    pub address: SocketAddr,
    /// Failure domain it stands in.
    pub domain: DomainId,
    /// Requests it runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: RunnerState,
    /// Models it holds, with their adapters.
    pub models: BTreeMap<ModelId, BTreeSet<AdapterId>>,
    /// Models whose weights it has in its host's memory or on its disk.
    pub cached_models: BTreeSet<ModelId>,
    /// Orders it has accepted.
    pub order_count: Option<u64>,
    /// Start of the process in Unix milliseconds, which tells two starts under one identity apart.
    pub started_at_ms: u64,
}

/// State of one start of a runner as the runner itself reported it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunnerObservation {
    /// Identity of the runner.
    pub id: BackendId,
    /// Start of the process in Unix milliseconds.
    pub started_at_ms: u64,
    /// Models it holds, with their adapters.
    pub models: BTreeMap<ModelId, BTreeSet<AdapterId>>,
    /// Models whose weights it has in its host's memory or on its disk.
    pub cached_models: BTreeSet<ModelId>,
    /// Orders it has accepted.
    pub order_count: u64,
}

/// What an entry or an observation changed.
#[derive(Clone, Debug, PartialEq)]
pub enum CatalogueChange {
    /// A runner is new, or started anew under its identity.
    Added(Arc<ListedRunner>),
    /// An entry changed.
    Updated(Arc<ListedRunner>),
    /// A runner is gone.
    Removed(BackendId),
}

/// Every runner that is taken to exist.
#[derive(Debug)]
pub struct RunnerCatalogue {
    grace: Duration,
    runners: BTreeMap<BackendId, Arc<ListedRunner>>,
    /// Runners whose entries vanished around an outage, and when they are taken as gone.
    doubted: BTreeMap<BackendId, Instant>,
    outage_until: Option<Instant>,
}

impl RunnerCatalogue {
    /// Creates an empty catalogue; entries that vanish around an outage of the list stay for `grace` after its return.
    pub fn new(grace: Duration) -> Self {
        Self {
            grace,
            runners: BTreeMap::new(),
            doubted: BTreeMap::new(),
            outage_until: None,
        }
    }

    /// Notes that the list cannot be read now.
    pub fn note_outage(&mut self, now: Instant) {
        self.outage_until = Some(now + self.grace);
        for until in self.doubted.values_mut() {
            *until = now + self.grace;
        }
    }

    /// Returns whether the list could not be read within the time of grace.
    pub fn is_in_doubt(&self, now: Instant) -> bool {
        self.outage_until.is_some_and(|until| now < until)
    }

    /// Takes what a known runner reported itself.
    ///
    /// A report with more orders is newer than the entry. One with as many tells more only while the list cannot be read.
    pub fn observe(&mut self, now: Instant, observation: &RunnerObservation) -> Option<CatalogueChange> {
        let is_in_doubt = self.is_in_doubt(now);
        let known = self.runners.get_mut(&observation.id)?;
        let known_count = known.order_count.unwrap_or_default();
        let is_newer = observation.order_count > known_count || (observation.order_count == known_count && is_in_doubt);
        if known.started_at_ms != observation.started_at_ms || !is_newer {
            return None;
        }
        let mut runner = ListedRunner::clone(known);
        runner.models.clone_from(&observation.models);
        runner.cached_models.clone_from(&observation.cached_models);
        runner.order_count = Some(observation.order_count);
        if **known == runner {
            return None;
        }
        *known = Arc::new(runner);
        Some(CatalogueChange::Updated(Arc::clone(known)))
    }

    /// Takes an entry.
    pub fn put(&mut self, mut runner: ListedRunner) -> Option<CatalogueChange> {
        self.doubted.remove(&runner.id);
        if let Some(known) = self.runners.get(&runner.id)
            && known.started_at_ms == runner.started_at_ms
            && known.order_count > runner.order_count
        {
            // The entry was written before the runner's own report was read.
            runner.models.clone_from(&known.models);
            runner.cached_models.clone_from(&known.cached_models);
            runner.order_count = known.order_count;
        }
        let known = self.runners.get(&runner.id);
        if known.is_some_and(|known| known.started_at_ms > runner.started_at_ms || **known == runner) {
            return None;
        }
        let is_same_start = known.is_some_and(|known| known.started_at_ms == runner.started_at_ms);
        let runner = Arc::new(runner);
        self.runners.insert(runner.id.clone(), Arc::clone(&runner));
        Some(if is_same_start {
            CatalogueChange::Updated(runner)
        } else {
            CatalogueChange::Added(runner)
        })
    }

    /// Takes the end of an entry. Around an outage the runner is kept for a while, because its entry may only have
    /// expired unrenewed.
    pub fn remove(&mut self, now: Instant, id: &BackendId) -> Option<CatalogueChange> {
        let known = self.runners.get(id)?;
        if known.state == RunnerState::Ready
            && let Some(until) = self.outage_until.filter(|until| now < *until)
        {
            self.doubted.entry(id.clone()).or_insert(until);
            return None;
        }
        self.drop_runner(id)
    }

    /// Takes the whole list: whoever is missing from it is treated as removed.
    pub fn replace(&mut self, now: Instant, listed: Vec<ListedRunner>) -> Vec<CatalogueChange> {
        let present: BTreeSet<BackendId> = listed.iter().map(|runner| runner.id.clone()).collect();
        let missing: Vec<BackendId> = self
            .runners
            .keys()
            .filter(|id| !present.contains(*id))
            .cloned()
            .collect();
        let removed = missing.iter().filter_map(|id| self.remove(now, id)).collect::<Vec<_>>();
        let added = listed.into_iter().filter_map(|runner| self.put(runner));
        removed.into_iter().chain(added).collect()
    }

    /// Drops the runners whose time of doubt is over.
    pub fn expire(&mut self, now: Instant) -> Vec<CatalogueChange> {
        let ended: Vec<BackendId> = self
            .doubted
            .iter()
            .filter(|(_, until)| **until <= now)
            .map(|(id, _)| id.clone())
            .collect();
        ended.iter().filter_map(|id| self.drop_runner(id)).collect()
    }

    /// Returns a runner by its identity.
    pub fn get(&self, id: &str) -> Option<&Arc<ListedRunner>> {
        self.runners.get(id)
    }

    fn drop_runner(&mut self, id: &BackendId) -> Option<CatalogueChange> {
        self.doubted.remove(id);
        self.runners.remove(id)?;
        Some(CatalogueChange::Removed(id.clone()))
    }
}
