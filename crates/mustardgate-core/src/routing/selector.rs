//! The selector that chooses runners for a node's requests, safe for use by several threads.

use std::{
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use smol_str::format_smolstr;
use snafu::Snafu;

use super::{
    affinity::{CacheHints, PrefixDigest, affinity_rank},
    directory::RunnerDirectory,
    load::LoadReport,
    runner::{AttemptOutcome, Availability, RunnerCell, RunnerProfile, RunnerSnapshot, TicketError},
};
use crate::{
    admission::PoolLoad,
    ids::{BackendId, DomainId, RegionId, ServiceId},
    log::Artifact,
};

const LOCK_SHARDS: usize = 16;

/// Settings of [`RunnerSelector`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RoutingSettings {
    /// Load of a runner relative to the mean of its peers from which affinity no longer prefers it.
    pub affinity_bound: f64,
}

impl Default for RoutingSettings {
    fn default() -> Self {
        Self { affinity_bound: 1.25 }
    }
}

/// Location of a node; nearer runners are preferred.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Locality {
    /// Failure domain of the node.
    pub domain: DomainId,
    /// Region of the failure domain.
    pub region: RegionId,
}

/// Requirements that a runner has to meet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteRequest {
    /// Weights that must be ready.
    pub artifact: Artifact,
    /// Digest of the prompt's first blocks, if affinity is wanted.
    pub prefix: Option<PrefixDigest>,
    /// Runners that were tried before.
    pub excluded: Vec<BackendId>,
}

/// Why no runner was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum RouteError {
    /// No runner that accepts new work holds the weights ready.
    #[snafu(display("no runner holds the weights ready"))]
    NoReplica,
    /// Every such runner is at its limit.
    #[snafu(display("every runner is at its limit"))]
    AllBusy,
}

/// One slot at a runner; dropping the ticket releases the slot, so that a cancelled request cannot leak it.
#[derive(Debug)]
pub struct RouteTicket {
    cell: Option<Arc<RunnerCell>>,
    backend: BackendId,
    begun_at: Instant,
}

impl RouteTicket {
    /// Returns the runner to send the request to.
    pub fn backend(&self) -> &BackendId {
        &self.backend
    }
}

impl Drop for RouteTicket {
    fn drop(&mut self) {
        if let Some(cell) = self.cell.take() {
            cell.abandon();
        }
    }
}

/// Chooses runners for the requests of one node.
#[derive(Debug)]
pub struct RunnerSelector {
    settings: RoutingSettings,
    locality: Locality,
    runners: RunnerDirectory,
    rngs: Vec<Mutex<ChaCha8Rng>>,
    hints: Vec<Mutex<CacheHints>>,
}

/// Returns the entry under which instances of a plain service are listed as ready.
pub fn service_artifact(service: &ServiceId) -> Artifact {
    Artifact {
        model: format_smolstr!("services/{service}"),
        adapter: None,
        version: "".into(),
    }
}

#[derive(Debug)]
struct Candidate {
    cell: Arc<RunnerCell>,
    snapshot: RunnerSnapshot,
}

impl RunnerSelector {
    /// Creates a selector that knows no runner; `seed` drives the random draws.
    pub fn new(settings: RoutingSettings, locality: Locality, seed: u64) -> Self {
        let shards = 0..LOCK_SHARDS as u64;
        Self {
            settings,
            locality,
            runners: RunnerDirectory::default(),
            rngs: shards
                .map(|shard| Mutex::new(ChaCha8Rng::seed_from_u64(seed.wrapping_add(shard))))
                .collect(),
            hints: (0..LOCK_SHARDS).map(|_| Mutex::default()).collect(),
        }
    }

    /// Adds a runner or replaces its profile.
    pub fn upsert_runner(&self, profile: RunnerProfile) {
        self.runners.upsert(profile);
    }

    /// Removes a runner; attempts in flight at it end as usual.
    pub fn remove_runner(&self, backend: &BackendId) {
        self.runners.remove(backend);
    }

    /// Sets whether a runner takes new work.
    pub fn set_availability(&self, backend: &BackendId, availability: Availability) {
        if let Some(cell) = self.runners.get(backend) {
            cell.set_availability(availability);
        }
    }

    /// Applies a runner's delayed report of its load.
    pub fn apply_report(&self, backend: &BackendId, report: LoadReport) {
        if let Some(cell) = self.runners.get(backend) {
            cell.apply_report(report);
        }
    }

    /// Applies a delayed cache event: the runner stored the prefix, or evicted it.
    pub fn apply_cache_event(&self, prefix: PrefixDigest, backend: &BackendId, is_stored: bool) {
        let mut hints = lock(&self.hints[prefix as usize % LOCK_SHARDS]);
        if is_stored {
            hints.record_stored(prefix, backend.clone());
        } else {
            hints.record_evicted(prefix, backend);
        }
    }

    /// Chooses a runner and takes one slot at it.
    ///
    /// # Errors
    /// [`RouteError`] when no runner has the weights and a free slot.
    pub fn select(&self, now: Instant, request: &RouteRequest) -> Result<RouteTicket, RouteError> {
        let mut candidates = self.candidates(now, request);
        if candidates.is_empty() {
            return Err(RouteError::NoReplica);
        }
        candidates.retain(|candidate| candidate.snapshot.has_room());
        while !candidates.is_empty() {
            let chosen = self.choose(&candidates, request);
            let candidate = candidates.remove(chosen);
            // Another thread may have taken the last slot since the snapshot was read.
            if candidate.cell.try_begin(now) {
                return Ok(RouteTicket {
                    backend: candidate.cell.profile.backend.clone(),
                    cell: Some(candidate.cell),
                    begun_at: now,
                });
            }
        }
        Err(RouteError::AllBusy)
    }

    /// Ends an attempt and updates the runner's limit and hold time from its outcome.
    ///
    /// # Errors
    /// [`TicketError`] when this node has no attempt in flight at the runner; nothing is updated then.
    pub fn complete(&self, mut ticket: RouteTicket, now: Instant, outcome: AttemptOutcome) -> Result<(), TicketError> {
        match ticket.cell.take() {
            Some(cell) => cell.end(now, ticket.begun_at, outcome),
            None => Ok(()),
        }
    }

    /// Returns the load of every runner that could answer requests for the weights.
    pub fn pool_load(&self, now: Instant, artifact: &Artifact) -> PoolLoad {
        let snapshots: Vec<RunnerSnapshot> = self
            .runners
            .holders(artifact)
            .iter()
            .map(|cell| cell.snapshot(now))
            .filter(|snapshot| snapshot.is_serving)
            .collect();
        let count = snapshots.len().max(1) as u32;
        let mean = |time: fn(&RunnerSnapshot) -> Duration| snapshots.iter().map(time).sum::<Duration>() / count;
        PoolLoad {
            slots: snapshots.iter().map(|snapshot| snapshot.limit).sum(),
            outstanding: snapshots.iter().map(|snapshot| snapshot.total).sum(),
            hold_time: mean(|snapshot| snapshot.hold_time),
            answer_time: mean(|snapshot| snapshot.answer_time),
        }
    }

    fn candidates(&self, now: Instant, request: &RouteRequest) -> Vec<Candidate> {
        self.runners
            .holders(&request.artifact)
            .into_iter()
            .filter(|cell| !request.excluded.contains(&cell.profile.backend))
            .map(|cell| Candidate {
                snapshot: cell.snapshot(now),
                cell,
            })
            .filter(|candidate| candidate.snapshot.is_serving)
            .collect()
    }

    fn choose(&self, candidates: &[Candidate], request: &RouteRequest) -> usize {
        let nearest = candidates.iter().map(|candidate| self.distance(candidate)).min();
        let near: Vec<usize> = (0..candidates.len())
            .filter(|index| Some(self.distance(&candidates[*index])) == nearest)
            .collect();
        match request.prefix {
            Some(prefix) => self.choose_by_affinity(candidates, &near, prefix),
            None => self.choose_less_loaded_of_two(candidates, &near, &request.artifact),
        }
    }

    /// Returns 0 for a runner in this node's failure domain, 1 for one in its region and 2 for any other.
    fn distance(&self, candidate: &Candidate) -> u8 {
        let profile = &candidate.cell.profile;
        match (
            profile.domain == self.locality.domain,
            profile.region == self.locality.region,
        ) {
            (true, _) => 0,
            (false, true) => 1,
            (false, false) => 2,
        }
    }

    fn choose_by_affinity(&self, candidates: &[Candidate], near: &[usize], prefix: PrefixDigest) -> usize {
        let outstanding: u32 = near.iter().map(|index| candidates[*index].snapshot.total).sum();
        let bound = (self.settings.affinity_bound * f64::from(outstanding + 1) / near.len() as f64).ceil();
        let is_within_bound = |index: &usize| f64::from(candidates[*index].snapshot.total) < bound;
        let hints = lock(&self.hints[prefix as usize % LOCK_SHARDS]);
        let hinted = hints.holder(prefix);
        near.iter()
            .filter(|index| is_within_bound(index))
            .max_by_key(|index| {
                let backend = &candidates[**index].cell.profile.backend;
                (hinted == Some(backend), affinity_rank(prefix, backend))
            })
            .copied()
            .unwrap_or(near[0])
    }

    fn choose_less_loaded_of_two(&self, candidates: &[Candidate], near: &[usize], artifact: &Artifact) -> usize {
        if near.len() == 1 {
            return near[0];
        }
        let shard = affinity_rank(0, &artifact.model) as usize % LOCK_SHARDS;
        let mut rng = lock(&self.rngs[shard]);
        let first = rng.random_range(0..near.len());
        let second = (first + rng.random_range(1..near.len())) % near.len();
        let load = |position: usize| candidates[near[position]].snapshot.relative_load();
        if load(second) < load(first) {
            near[second]
        } else {
            near[first]
        }
    }
}

fn lock<T>(shard: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    shard.lock().expect("no holder of the lock panics")
}
