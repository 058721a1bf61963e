//! Fakes of a model engine, an instance of a plain service, and the weight store.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::{Duration, Instant},
};

use mustardgate_core::ids::MemoryMib;

use super::{
    Catalogue,
    deployment::{BATCH_SLOTS, accelerator_memory_mib},
};

/// Mean time for which a request occupies a slot in a full batch, in seconds.
pub(super) const MEAN_HOLD_S: f64 = 1.0;

const MAX_WAITING: usize = 16;
/// Time that a request takes in an empty batch, as a share of its time in a full one.
const EMPTY_BATCH_TIME_SHARE: f64 = 0.6;
/// Time to the first token in an empty batch without a cached prefix.
const PREFILL_S: f64 = 0.12;
/// Time to the first token with a cached prefix, as a share of the time without.
const CACHED_PREFILL_SHARE: f64 = 0.4;
const MAX_CACHED_PREFIXES: usize = 150;
const STORE_MIB_PER_SECOND: f64 = 4.0 * 1_024.0;
const ADAPTER_LOAD_MS: f64 = 9.5;

/// State of weights in a runner's memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WeightState {
    /// Being loaded.
    Loading,
    /// Loaded and able to serve requests.
    Ready,
    /// Being unloaded.
    Unloading,
}

/// A backend server.
#[derive(Debug)]
pub(super) struct FakeBackend {
    pub(super) is_alive: bool,
    /// Increases with every failure, so that events scheduled before the failure are recognised and ignored.
    pub(super) incarnation: u32,
    pub(super) weights: BTreeMap<usize, WeightState>,
    pub(super) last_used: BTreeMap<usize, Instant>,
    pub(super) running: BTreeSet<usize>,
    pub(super) waiting: VecDeque<usize>,
    free_mib: MemoryMib,
    cached_prefixes: BTreeSet<u64>,
    /// The cached prefixes, oldest first.
    prefix_order: VecDeque<u64>,
}

/// Whether a backend server accepted a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Acceptance {
    /// The request runs now.
    Started,
    /// The request waits at the backend server.
    Waiting,
    /// The request was refused and did not run.
    Refused,
}

/// How long an engine takes for a request that it starts.
#[derive(Clone, Copy, Debug)]
pub(super) struct ServiceTimes {
    pub(super) first_token: Duration,
    pub(super) hold: Duration,
}

impl FakeBackend {
    pub(super) fn new(is_runner: bool) -> Self {
        Self {
            is_alive: true,
            incarnation: 0,
            weights: BTreeMap::new(),
            last_used: BTreeMap::new(),
            running: BTreeSet::new(),
            waiting: VecDeque::new(),
            free_mib: if is_runner { accelerator_memory_mib() } else { 0 },
            cached_prefixes: BTreeSet::new(),
            prefix_order: VecDeque::new(),
        }
    }

    pub(super) fn outstanding(&self) -> u32 {
        (self.running.len() + self.waiting.len()) as u32
    }

    pub(super) fn free_mib(&self) -> MemoryMib {
        self.free_mib
    }

    pub(super) fn is_ready(&self, entry: usize) -> bool {
        self.weights.get(&entry) == Some(&WeightState::Ready)
    }

    pub(super) fn ready(&self) -> impl Iterator<Item = usize> + '_ {
        self.weights
            .iter()
            .filter(|(_, state)| **state == WeightState::Ready)
            .map(|(entry, _)| *entry)
    }

    /// Reserves memory for weights; returns `false` when there is not enough, or when the backend already has them.
    pub(super) fn reserve(&mut self, entry: usize, memory_mib: MemoryMib, state: WeightState) -> bool {
        if self.weights.contains_key(&entry) {
            return false;
        }
        let Some(free_mib) = self.free_mib.checked_sub(memory_mib) else {
            return false;
        };
        self.free_mib = free_mib;
        self.weights.insert(entry, state);
        true
    }

    pub(super) fn release(&mut self, entry: usize, memory_mib: MemoryMib) {
        if self.weights.remove(&entry).is_some() {
            self.free_mib += memory_mib;
        }
    }

    pub(super) fn accept(&mut self, now: Instant, job: usize, entry: usize) -> Acceptance {
        if !self.is_ready(entry) {
            return Acceptance::Refused;
        }
        self.last_used.insert(entry, now);
        if self.running.len() < BATCH_SLOTS as usize {
            self.running.insert(job);
            Acceptance::Started
        } else if self.waiting.len() < MAX_WAITING {
            self.waiting.push_back(job);
            Acceptance::Waiting
        } else {
            Acceptance::Refused
        }
    }

    /// Ends a request and moves the next waiting one into the batch.
    pub(super) fn finish(&mut self, job: usize) -> Option<usize> {
        self.running.remove(&job);
        let next = self.waiting.pop_front()?;
        self.running.insert(next);
        Some(next)
    }

    /// Returns how long a request that starts now takes: longer in a fuller batch, and with an earlier first token when
    /// its prefix is cached.
    pub(super) fn service_times(&mut self, work_s: f64, prefix: Option<u64>) -> ServiceTimes {
        let fill = self.running.len() as f64 / f64::from(BATCH_SLOTS);
        let hold = Duration::from_secs_f64(work_s * (EMPTY_BATCH_TIME_SHARE + (1.0 - EMPTY_BATCH_TIME_SHARE) * fill));
        let Some(prefix) = prefix else {
            return ServiceTimes {
                first_token: hold,
                hold,
            };
        };
        let prefill_share = if self.cache_prefix(prefix) {
            CACHED_PREFILL_SHARE
        } else {
            1.0
        };
        ServiceTimes {
            first_token: Duration::from_secs_f64(PREFILL_S * (1.0 + fill) * prefill_share),
            hold,
        }
    }

    /// Adds a prefix to the cache, evicting the oldest one beyond the limit; returns whether it was cached already.
    fn cache_prefix(&mut self, prefix: u64) -> bool {
        if !self.cached_prefixes.insert(prefix) {
            return true;
        }
        self.prefix_order.push_back(prefix);
        if self.prefix_order.len() > MAX_CACHED_PREFIXES
            && let Some(oldest) = self.prefix_order.pop_front()
        {
            self.cached_prefixes.remove(&oldest);
        }
        false
    }

    /// Takes the backend server down: it loses its weights, cache and requests; returns those requests.
    pub(super) fn fail(&mut self, is_runner: bool) -> Vec<usize> {
        let lost = self
            .running
            .iter()
            .copied()
            .chain(self.waiting.iter().copied())
            .collect();
        let incarnation = self.incarnation + 1;
        *self = Self::new(is_runner);
        self.is_alive = false;
        self.incarnation = incarnation;
        lost
    }
}

/// The weight store: it limits the rate at which model loads start, and slows loads down beyond its concurrency limits.
#[derive(Debug)]
pub(super) struct FakeStore {
    slowdown: f64,
    loads_per_second: f64,
    concurrent: u32,
    adapters_concurrent: u32,
    pub(super) model_loads: u32,
    pub(super) adapter_loads: u32,
    next_start: Option<Instant>,
    /// Most loads of models in flight at once; it may exceed the limit.
    pub(super) most_model_loads: u32,
    /// Most loads of adapters in flight at once.
    pub(super) most_adapter_loads: u32,
}

impl FakeStore {
    pub(super) fn new(policy: &mustardgate_core::resources::PolicySpec, slowdown: f64) -> Self {
        Self {
            slowdown,
            loads_per_second: policy.store_loads_per_second,
            concurrent: policy.store_concurrent_loads,
            adapters_concurrent: policy.adapter_loads_in_flight,
            model_loads: 0,
            adapter_loads: 0,
            next_start: None,
            most_model_loads: 0,
            most_adapter_loads: 0,
        }
    }

    /// Begins a load and returns how long it takes; for a model, this includes the wait for the store's rate limit.
    pub(super) fn begin(&mut self, now: Instant, catalogue: &Catalogue, entry: usize) -> Duration {
        if catalogue.is_adapter(entry) {
            self.adapter_loads += 1;
            self.most_adapter_loads = self.most_adapter_loads.max(self.adapter_loads);
            let excess = (f64::from(self.adapter_loads) / f64::from(self.adapters_concurrent)).max(1.0);
            return Duration::from_secs_f64(ADAPTER_LOAD_MS / 1_000.0 * excess);
        }
        self.model_loads += 1;
        self.most_model_loads = self.most_model_loads.max(self.model_loads);
        let start = self.next_start.map_or(now, |next| next.max(now));
        self.next_start = Some(start + Duration::from_secs_f64(self.slowdown / self.loads_per_second));
        let excess = (f64::from(self.model_loads) / f64::from(self.concurrent)).max(1.0);
        let transfer_s = catalogue.entries[entry].memory_mib as f64 / STORE_MIB_PER_SECOND * excess * self.slowdown;
        start.duration_since(now) + Duration::from_secs_f64(transfer_s)
    }

    pub(super) fn end(&mut self, is_adapter: bool) {
        if is_adapter {
            self.adapter_loads -= 1;
        } else {
            self.model_loads -= 1;
        }
    }
}
