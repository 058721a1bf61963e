//! Routes, services and limits in force, and the choice of a route.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use smol_str::SmolStr;

use crate::ids::{ModelId, ServiceId};

/// Whether a request may be sent to a second runner after a first one may have begun it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RepeatPolicy {
    /// The request may run any number of times.
    Idempotent,
    /// The request runs at most once.
    Once,
    /// The answer is a stream of events that another runner may continue after the last event delivered.
    Resumable,
}

impl RepeatPolicy {
    /// Returns whether a second run does no harm.
    pub fn is_idempotent(self) -> bool {
        matches!(self, Self::Idempotent | Self::Resumable)
    }
}

/// One service of a route with its share of the requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedTarget {
    /// Service that answers.
    pub service: ServiceId,
    /// Share relative to the other targets.
    pub weight: u32,
}

/// A route from a host and path prefix to services.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayRoute {
    /// Name of the route.
    pub name: SmolStr,
    /// Host that callers address, in lower case.
    pub host: SmolStr,
    /// Prefix of the path; it begins and ends with a slash.
    pub path_prefix: SmolStr,
    /// What may be repeated.
    pub repeat: RepeatPolicy,
    /// Whether the answer is a stream of events.
    pub is_stream: bool,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time to the answer, or to the first event of a stream, within which it has its full worth.
    pub target_latency: Duration,
    /// Rank, 0 being the most urgent.
    pub priority: u32,
    /// Services with their shares; never empty.
    pub targets: Vec<WeightedTarget>,
    /// Runners to which one request may be sent.
    pub max_attempts: u32,
}

impl RelayRoute {
    /// Returns the service for a draw from 0 up to the sum of the weights.
    pub fn service_for(&self, draw: u32) -> &ServiceId {
        let total: u32 = self.targets.iter().map(|target| target.weight).sum();
        let mut left = draw % total.max(1);
        for target in &self.targets {
            if left < target.weight {
                return &target.service;
            }
            left -= target.weight;
        }
        &self.targets[0].service
    }
}

/// Target latencies up to which a route counts as urgent, and as patient beyond, for ranks among routes of one priority.
const URGENT_TARGET: Duration = Duration::from_secs(1);
const PATIENT_TARGET: Duration = Duration::from_secs(3);
/// Ranks that a runner's queue tells apart.
const RANKS: u32 = 10;
/// Ranks that each priority takes up.
const RANKS_PER_PRIORITY: u32 = 3;

/// Returns the rank of a route's requests in a runner's own queue, 0 being the most urgent.
///
/// Operators' priorities come first. Within one priority a route whose callers wait seconds yields to one whose callers
/// wait for the first word, which answers a burst of batch requests beside urgent ones.
pub fn runner_rank(route: &RelayRoute) -> u8 {
    let patience = u32::from(route.target_latency > URGENT_TARGET) + u32::from(route.target_latency > PATIENT_TARGET);
    let rank = route
        .priority
        .saturating_mul(RANKS_PER_PRIORITY)
        .saturating_add(patience);
    rank.min(RANKS - 1) as u8
}

/// A model that the runners of a service may hold.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelProfile {
    /// Memory of the weights, in megabytes.
    pub weights_mb: f64,
    /// Time of a load from the weight store.
    pub load_time: Duration,
    /// Time of a load from a copy that the runner keeps itself.
    pub copy_load_time: Duration,
    /// Memory of one adapter, in megabytes.
    pub adapter_mb: f64,
    /// Adapters that are declared for the model.
    pub adapters: u32,
}

/// What the runners of a service with model engines have in common.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineProfile {
    /// Requests that run at once in one batch.
    pub slots: u32,
    /// Tokens that fit into a runner's cache.
    pub kv_capacity_tokens: u64,
    /// Memory for weights and adapters, in megabytes.
    pub weights_mb: f64,
    /// Adapters that a runner holds at most.
    pub adapter_slots: u32,
    /// Loads that may begin at the weight store in a second, over all runners.
    pub loads_per_s: f64,
    /// Models by name.
    pub models: BTreeMap<ModelId, ModelProfile>,
}

/// A service that routes lead to.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RelayService {
    /// Connections that a runner accepts from all callers together; 0 for no limit.
    pub max_connections: u32,
    /// Engine of the runners, unless the service is a plain one.
    pub engine: Option<EngineProfile>,
}

/// What a caller may send, and how long it may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Longest head of a request, in bytes.
    pub max_header_bytes: usize,
    /// Longest body of a request, in bytes.
    pub max_body_bytes: usize,
    /// Time for a head to arrive.
    pub header_timeout: Duration,
    /// Time for which a connection may stay idle.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// One version of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RelayConfig {
    /// Version, which only grows.
    pub version: u64,
    /// Every route.
    pub routes: Vec<Arc<RelayRoute>>,
    /// Services by name.
    pub services: BTreeMap<ServiceId, RelayService>,
    /// Limits for callers.
    pub limits: CallerLimits,
}

/// Routes of one version, indexed by host.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    by_host: BTreeMap<SmolStr, Vec<Arc<RelayRoute>>>,
}

impl RouteTable {
    /// Indexes routes; longer prefixes come first.
    pub fn new(routes: &[Arc<RelayRoute>]) -> Self {
        let mut by_host: BTreeMap<SmolStr, Vec<Arc<RelayRoute>>> = BTreeMap::new();
        for route in routes {
            by_host.entry(route.host.clone()).or_default().push(Arc::clone(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        Self { by_host }
    }

    /// Returns the route of a host with the longest prefix that begins the path.
    ///
    /// `host` may carry a port, which is ignored.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<RelayRoute>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = self.by_host.get(name.to_ascii_lowercase().as_str())?;
        routes.iter().find(|route| path.starts_with(route.path_prefix.as_str()))
    }
}
