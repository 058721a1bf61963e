//! The configuration in force.

use std::{
    collections::BTreeMap,
    sync::{Arc, RwLock},
    time::{Duration, Instant},
};

use mustardgate_core::{
    clock,
    ids::{ServiceId, TenantId},
    relay::{
        RelayConfig, RelayRoute, RepeatPolicy, RouteTable, StreamLives, TenantQuota, TenantTable, UrgencyRank,
        request_priority,
    },
};

/// One version of the configuration with the index of its routes.
#[derive(Clone, Debug)]
pub struct ActiveRoutes {
    /// The configuration.
    pub config: RelayConfig,
    /// Index of its routes.
    pub table: RouteTable,
    /// Index of its tenants, if it declares any.
    pub tenants: Option<TenantTable>,
    /// Quotas by the names of their tenants.
    pub quotas: BTreeMap<TenantId, TenantQuota>,
    /// Time since which this node has used it.
    pub in_force_since: Instant,
    urgent_targets: BTreeMap<ServiceId, Duration>,
    most_urgent: BTreeMap<ServiceId, UrgencyRank>,
    stream_lives: StreamLives,
}

impl ActiveRoutes {
    fn new(config: RelayConfig, former_lives: &StreamLives, drain_time: Duration) -> Self {
        let mut urgent_targets: BTreeMap<ServiceId, Duration> = BTreeMap::new();
        let mut most_urgent: BTreeMap<ServiceId, UrgencyRank> = BTreeMap::new();
        let mut stream_lives: BTreeMap<ServiceId, Duration> = BTreeMap::new();
        for route in &config.routes {
            for target in &route.targets {
                let shortest = urgent_targets.entry(target.service.clone()).or_insert(Duration::MAX);
                *shortest = route.target_latency.min(*shortest);
                let urgency = UrgencyRank {
                    priority: highest_priority(&config, route),
                    target: route.target_latency,
                };
                let first = most_urgent.entry(target.service.clone()).or_insert(urgency);
                *first = urgency.min(*first);
                if route.repeat == RepeatPolicy::Resumable {
                    let longest = stream_lives.entry(target.service.clone()).or_default();
                    *longest = route.stream_life(drain_time).max(*longest);
                }
            }
        }
        Self {
            table: RouteTable::new(&config.routes),
            tenants: config.tenants.as_deref().map(TenantTable::new),
            quotas: quotas_of(&config),
            in_force_since: clock::now(),
            urgent_targets,
            most_urgent,
            stream_lives: former_lives.replaced(clock::now(), stream_lives),
            config,
        }
    }

    /// Returns the shortest target latency of the routes to a service.
    pub fn urgent_target(&self, service: &ServiceId) -> Option<Duration> {
        self.urgent_targets.get(service).copied()
    }

    /// Returns the most urgent kind of request of the routes to a service.
    pub fn most_urgent(&self, service: &ServiceId) -> Option<UrgencyRank> {
        self.most_urgent.get(service).copied()
    }

    /// Returns the longest time from the begin of a stream of a service until its caller may take it up, if it begins under
    /// this configuration.
    pub fn stream_life(&self, service: &ServiceId) -> Duration {
        self.stream_lives.current(service)
    }

    /// Returns the same for any stream to which a caller may come back now, those of configurations before this one included.
    pub fn longest_stream_life(&self, now: Instant, service: &ServiceId) -> Duration {
        self.stream_lives.longest(now, service)
    }
}

fn quotas_of(config: &RelayConfig) -> BTreeMap<TenantId, TenantQuota> {
    let tenants = config.tenants.iter().flatten();
    tenants
        .filter_map(|tenant| Some((tenant.name.clone(), tenant.quota?)))
        .collect()
}

/// Times from which on the configuration topic may hold more than is in force.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConfigReads {
    /// The last read of the topic.
    pub read_at: Option<Instant>,
    /// The last one after which the newest version was in force.
    pub confirmed_at: Option<Instant>,
}

/// Returns the most urgent priority that a request on a route can have.
fn highest_priority(config: &RelayConfig, route: &RelayRoute) -> u32 {
    let of_tenants = config
        .tenants
        .iter()
        .flatten()
        .map(|tenant| request_priority(route, Some(tenant)));
    let without_tenant = (config.tenants.is_none() || route.allow_anonymous).then_some(route.priority);
    of_tenants.chain(without_tenant).min().unwrap_or(route.priority)
}

/// Holds the newest configuration that this node has read.
#[derive(Debug, Default)]
pub struct RouteHolder {
    active: RwLock<Option<Arc<ActiveRoutes>>>,
    reads: RwLock<ConfigReads>,
    /// Lives of streams before the first configuration.
    first_lives: StreamLives,
    /// Time for which requests reach a runner that left the list.
    drain_time: Duration,
}

impl RouteHolder {
    /// Creates a holder without a configuration; every node takes up one within `apply_time`, and sends nothing to a runner
    /// that left the list after `drain_time`.
    pub fn new(apply_time: Duration, drain_time: Duration) -> Self {
        Self {
            active: RwLock::default(),
            reads: RwLock::default(),
            first_lives: StreamLives::new(apply_time),
            drain_time,
        }
    }

    /// Returns the configuration in force, or `None` before the first one was read.
    pub fn current(&self) -> Option<Arc<ActiveRoutes>> {
        self.active.read().expect("no holder of the lock panics").clone()
    }

    /// Returns the last reads of the topic whose records are in force.
    pub fn reads(&self) -> ConfigReads {
        *self.reads.read().expect("no holder of the lock panics")
    }

    /// Records that the topic was read to its end as of `read_at` and its records were applied. `is_in_force` says whether
    /// the newest one could be.
    pub fn record_read(&self, read_at: Instant, is_in_force: bool) {
        let mut reads = self.reads.write().expect("no holder of the lock panics");
        reads.read_at = reads.read_at.max(Some(read_at));
        if is_in_force {
            reads.confirmed_at = reads.confirmed_at.max(Some(read_at));
        }
    }

    /// Puts a configuration into force if it is newer than the current one; returns whether it did so.
    pub fn apply(&self, config: RelayConfig) -> bool {
        let mut active = self.active.write().expect("no holder of the lock panics");
        if active
            .as_ref()
            .is_some_and(|current| current.config.version >= config.version)
        {
            return false;
        }
        let former = active
            .as_ref()
            .map_or(&self.first_lives, |current| &current.stream_lives);
        *active = Some(Arc::new(ActiveRoutes::new(config, former, self.drain_time)));
        true
    }
}
