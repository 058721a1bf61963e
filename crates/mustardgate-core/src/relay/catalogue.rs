//! Runners as the platform lists them, with the doubt that follows an outage of the list.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

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

/// What an observation changed.
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

    /// Takes an entry.
    pub fn put(&mut self, runner: ListedRunner) -> Option<CatalogueChange> {
        self.doubted.remove(&runner.id);
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
