//! Runners as the platform lists them; a runner whose entry vanishes around an outage of the list is kept for a while.

use std::{
    cmp::Ordering,
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use super::{
    processes::ProcessSet,
    versions::{SoftwareVersion, VersionTag},
};
use crate::ids::{AdapterId, BackendId, DomainId, ModelId, ServiceId};

/// Whether a listed runner accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunnerState {
    /// It accepts new requests.
    Ready,
    /// It finishes its requests and then stops.
    Draining,
}

/// One runner as its entry in the list describes it.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedRunner {
    /// Identity of the runner.
    pub id: BackendId,
    /// Service that it belongs to.
    pub service: ServiceId,
    /// Address of its listener.
    pub address: SocketAddr,
    /// Failure domain that it is in.
    pub domain: DomainId,
    /// Version of its software.
    pub version: SoftwareVersion,
    /// Largest number of requests that it runs at once.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub state: RunnerState,
    /// Models it holds, with their adapters.
    pub models: BTreeMap<ModelId, BTreeSet<AdapterId>>,
    /// Models whose weights it has in its host's memory or on its disk.
    pub cached_models: BTreeSet<ModelId>,
    /// Orders it has accepted.
    pub order_count: Option<u64>,
    /// Start time of the process in Unix milliseconds, which distinguishes two starts under one identity.
    pub started_at_ms: u64,
}

impl ListedRunner {
    /// Returns the short form of its service and version.
    pub fn version_tag(&self) -> VersionTag {
        self.version.tag(&self.service)
    }
}

/// State of one runner process as reported by the runner itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunnerObservation {
    /// Identity of the runner.
    pub id: BackendId,
    /// Start time of the process in Unix milliseconds.
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
    /// A runner is new, or was restarted under the same identity.
    Added(Arc<ListedRunner>),
    /// The state of a known runner changed.
    Updated(Arc<ListedRunner>),
    /// A runner was removed.
    Removed(BackendId),
}

/// All runners that are assumed to exist.
#[derive(Debug)]
pub struct RunnerCatalogue {
    grace_period: Duration,
    runners: BTreeMap<BackendId, Arc<ListedRunner>>,
    /// Runners whose entries vanished around an outage, and when they are removed.
    unconfirmed: BTreeMap<BackendId, Instant>,
    /// Orders that known runners have accepted by their own reports, where these were newer than their entries.
    reported_counts: BTreeMap<BackendId, u64>,
    /// Start time and number of orders in the last entry of a runner, if they were lower than known before.
    unrepeated: BTreeMap<BackendId, (u64, Option<u64>)>,
    /// End of the grace period after the last recorded outage of the list.
    outage_until: Option<Instant>,
    /// Processes that announced their stop, which none of them takes back; kept beyond their entries.
    leaving: ProcessSet,
    /// Processes whose entries ended, which an older copy of the list may show again.
    gone: ProcessSet,
}

impl RunnerCatalogue {
    /// Creates an empty catalogue.
    ///
    /// Runners whose entries vanish around an outage of the list are kept for `grace_period` after the outage.
    pub fn new(grace_period: Duration) -> Self {
        Self {
            grace_period,
            runners: BTreeMap::new(),
            unconfirmed: BTreeMap::new(),
            reported_counts: BTreeMap::new(),
            unrepeated: BTreeMap::new(),
            outage_until: None,
            leaving: ProcessSet::default(),
            gone: ProcessSet::default(),
        }
    }

    /// Records that the list cannot be read, or could not be read until now; the grace period starts again.
    pub fn record_outage(&mut self, now: Instant) {
        self.outage_until = Some(now + self.grace_period);
        for until in self.unconfirmed.values_mut() {
            *until = now + self.grace_period;
        }
    }

    /// Returns whether the grace period after the last recorded outage of the list is still running.
    pub fn has_recent_outage(&self, now: Instant) -> bool {
        self.outage_until.is_some_and(|until| now < until)
    }

    /// Applies what a known runner itself reported.
    ///
    /// A report with more orders than the entry is newer. One with the same number counts as newer only while the list
    /// cannot be read.
    pub fn observe(&mut self, now: Instant, observation: &RunnerObservation) -> Option<CatalogueChange> {
        let has_outage = self.has_recent_outage(now);
        let known = self.runners.get_mut(&observation.id)?;
        let known_count = known.order_count.unwrap_or_default();
        let is_newer = observation.order_count > known_count || (observation.order_count == known_count && has_outage);
        if known.started_at_ms != observation.started_at_ms || !is_newer {
            return None;
        }
        let mut runner = ListedRunner::clone(known);
        runner.models.clone_from(&observation.models);
        runner.cached_models.clone_from(&observation.cached_models);
        runner.order_count = Some(observation.order_count);
        self.reported_counts.insert(runner.id.clone(), observation.order_count);
        if **known == runner {
            return None;
        }
        *known = Arc::new(runner);
        Some(CatalogueChange::Updated(Arc::clone(known)))
    }

    /// Records that a runner process stated in an answer that it stops, which its entry may not show.
    pub fn record_leaving(&mut self, id: &BackendId, started_at_ms: u64) -> Option<CatalogueChange> {
        self.leaving.insert(id, started_at_ms);
        let known = self.runners.get_mut(id)?;
        if known.started_at_ms != started_at_ms || known.state == RunnerState::Draining {
            return None;
        }
        *known = Arc::new(ListedRunner {
            state: RunnerState::Draining,
            ..ListedRunner::clone(known)
        });
        Some(CatalogueChange::Updated(Arc::clone(known)))
    }

    /// Applies a new or changed entry from a list that may be an older copy: what is known of a later process or after
    /// more orders stays.
    pub fn put(&mut self, runner: ListedRunner) -> Option<CatalogueChange> {
        let known = self.runners.get(&runner.id);
        if known.is_some_and(|known| known.started_at_ms > runner.started_at_ms) {
            self.record_entry(&runner);
            return None;
        }
        let newer_count = known
            .filter(|known| known.started_at_ms == runner.started_at_ms)
            .and_then(|known| known.order_count);
        self.apply_entry(runner, newer_count)
    }

    /// Applies the newest entry of a runner, which in the end holds whatever an earlier one stated.
    ///
    /// Anyone may write an entry under a runner's identity once, with a start time or a number of orders that the runner
    /// never reaches. An entry that states less than the known one may also be a late one, of the process before or from
    /// before an order, so it holds only once the runner has repeated it. Only the runner's own reports count as newer than
    /// its entry for good.
    pub fn put_newest(&mut self, runner: ListedRunner) -> Option<CatalogueChange> {
        let Some(known) = self.runners.get(&runner.id) else {
            return self.apply_entry(runner, None);
        };
        let (started_at_ms, order_count) = (known.started_at_ms, known.order_count);
        if runner.started_at_ms == 0 && started_at_ms != 0 {
            // An entry without a start time names no process, so the known one is no longer confirmed.
            return self.drop_runner(&runner.id);
        }
        let reported_count = self.reported_counts.get(&runner.id).copied();
        let is_repeated = |catalogue: &mut Self| {
            let stated = (runner.started_at_ms, runner.order_count);
            catalogue.unrepeated.insert(runner.id.clone(), stated) == Some(stated)
        };
        match runner.started_at_ms.cmp(&started_at_ms) {
            // A late announcement of a stop costs a runner its work until its next entry; a missed one costs requests.
            Ordering::Less if runner.state == RunnerState::Ready && !is_repeated(self) => {
                self.unconfirmed.remove(&runner.id);
                return None;
            }
            Ordering::Equal if reported_count.is_none() && runner.order_count < order_count => {
                let known_count = order_count.filter(|_| !is_repeated(self));
                return self.apply_entry(runner, known_count);
            }
            Ordering::Equal => {}
            Ordering::Less | Ordering::Greater => {
                self.reported_counts.remove(&runner.id);
            }
        }
        self.unrepeated.remove(&runner.id);
        let newer_count = self.reported_counts.get(&runner.id).copied();
        self.apply_entry(runner, newer_count)
    }

    /// Applies an entry; `newer_count` is the number of orders up to which the models are known better.
    fn apply_entry(&mut self, mut runner: ListedRunner, newer_count: Option<u64>) -> Option<CatalogueChange> {
        self.record_entry(&runner);
        if self.leaving.contains(&runner.id, runner.started_at_ms) {
            runner.state = RunnerState::Draining;
        }
        let known = self.runners.get(&runner.id);
        if newer_count > runner.order_count
            && let Some(known) = known.filter(|known| is_same_listener(known, &runner))
        {
            runner.models.clone_from(&known.models);
            runner.cached_models.clone_from(&known.cached_models);
            runner.order_count = newer_count;
        } else {
            self.reported_counts.remove(&runner.id);
        }
        if known.is_some_and(|known| **known == runner) {
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

    /// Records that a runner has an entry, and whether its process leaves.
    fn record_entry(&mut self, runner: &ListedRunner) {
        self.unconfirmed.remove(&runner.id);
        self.gone.remove_process(&runner.id, runner.started_at_ms);
        if runner.state == RunnerState::Draining {
            self.leaving.insert(&runner.id, runner.started_at_ms);
        }
    }

    /// Applies the end of an entry.
    ///
    /// Around an outage of the list a ready runner is kept for the rest of the grace period, because its entry may have
    /// expired only because the runner could not renew it.
    pub fn remove(&mut self, now: Instant, id: &BackendId) -> Option<CatalogueChange> {
        let known = self.runners.get(id)?;
        if known.state == RunnerState::Ready
            && let Some(until) = self.outage_until.filter(|until| now < *until)
        {
            self.unconfirmed.entry(id.clone()).or_insert(until);
            return None;
        }
        self.drop_runner(id)
    }

    /// Applies an entry that cannot be used: unlike one that vanished, it ends the use of its runner at once.
    pub fn refuse(&mut self, id: &BackendId) -> Option<CatalogueChange> {
        self.drop_runner(id)
    }

    /// Applies the whole list; a runner missing from it is treated as removed.
    pub fn replace(&mut self, now: Instant, listed: Vec<ListedRunner>) -> Vec<CatalogueChange> {
        let mut changes = self.remove_missing(now, &listed);
        changes.extend(listed.into_iter().filter_map(|runner| self.put_newest(runner)));
        changes
    }

    fn remove_missing(&mut self, now: Instant, listed: &[ListedRunner]) -> Vec<CatalogueChange> {
        let present: BTreeSet<BackendId> = listed.iter().map(|runner| runner.id.clone()).collect();
        let missing: Vec<BackendId> = self
            .runners
            .keys()
            .filter(|id| !present.contains(*id))
            .cloned()
            .collect();
        missing.iter().filter_map(|id| self.remove(now, id)).collect()
    }

    /// Applies the whole list after it was restored from an older copy.
    ///
    /// Entries that ended since the copy was made are in it again; their processes stay gone unless they write a new
    /// entry. Runners that are missing are kept for the grace period, in which a live one writes its entry again.
    pub fn restore(&mut self, now: Instant, listed: Vec<ListedRunner>) -> Vec<CatalogueChange> {
        self.record_outage(now);
        let is_alive = |runner: &ListedRunner| !self.gone.contains(&runner.id, runner.started_at_ms);
        let listed: Vec<ListedRunner> = listed.into_iter().filter(is_alive).collect();
        let mut changes = self.remove_missing(now, &listed);
        changes.extend(listed.into_iter().filter_map(|runner| self.put(runner)));
        changes
    }

    /// Removes the runners whose entries vanished around an outage and whose grace period is over.
    pub fn expire(&mut self, now: Instant) -> Vec<CatalogueChange> {
        let ended: Vec<BackendId> = self
            .unconfirmed
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
        self.unconfirmed.remove(id);
        self.reported_counts.remove(id);
        self.unrepeated.remove(id);
        let runner = self.runners.remove(id)?;
        self.gone.insert(id, runner.started_at_ms);
        if runner.started_at_ms == 0 {
            // The start time is not known, so a later process could not be told from this one.
            self.leaving.remove(id);
        }
        Some(CatalogueChange::Removed(id.clone()))
    }
}

/// Returns whether what is known of one process holds for the other as well, which is not so for another service or address
/// under the same identity.
fn is_same_listener(known: &ListedRunner, stated: &ListedRunner) -> bool {
    (&known.service, known.address, known.started_at_ms) == (&stated.service, stated.address, stated.started_at_ms)
}
