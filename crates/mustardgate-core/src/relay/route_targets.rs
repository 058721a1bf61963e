//! Services to which routes led of late: a caller may come back to a stream that began before its route was moved.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::{
    config::{RelayConfig, RelayRoute},
    versions::CompleteSince,
};
use crate::ids::ServiceId;

/// Time for which former targets are remembered; where streams last longer, none is certain.
const TARGET_MEMORY: Duration = Duration::from_secs(300);
/// Largest number of former targets; the oldest are dropped first, and no stream that may be theirs is certain then.
const MAX_TARGETS: usize = 512;
/// Largest number of former targets that other nodes are told, which bounds the messages between nodes.
const MAX_TOLD: usize = 32;

/// Host, prefix of the path, and service.
type TargetKey = (SmolStr, SmolStr, ServiceId);

/// A service to which a route led, as nodes tell each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FormerTarget {
    /// Host name of the route.
    pub host: SmolStr,
    /// Prefix of the path.
    pub path_prefix: SmolStr,
    /// Service.
    pub service: ServiceId,
    /// Time since the route was moved.
    pub age: Duration,
}

/// What a node knows of the services to which routes led before the configuration in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetDigest {
    /// Time back to which no target is missing; earlier builds do not tell it.
    #[serde(default)]
    pub covers: Option<Duration>,
    /// Version of the configuration up to which the knowledge reaches.
    #[serde(default)]
    pub config_version: u64,
    /// Former targets.
    #[serde(default)]
    pub former: Vec<FormerTarget>,
}

/// Remembers to which services the routes of streams led, and since when it knows of all of them.
#[derive(Clone, Debug, Default)]
pub(super) struct TargetHistory {
    current: BTreeSet<TargetKey>,
    /// Targets that routes no longer have, and when these were moved.
    former: BTreeMap<TargetKey, Instant>,
    /// Versions of the first configuration since the last gap and of the newest one.
    versions: Option<(u64, u64)>,
    complete_since: Option<CompleteSince>,
}

impl TargetHistory {
    /// Records that a configuration comes into force; `may_skip` says that versions between it and the one before may not
    /// have been read.
    pub(super) fn record_config(&mut self, now: Instant, config: &RelayConfig, may_skip: bool, is_first_start: bool) {
        let first_version = match self.versions {
            Some((_, newest)) if newest >= config.version => return,
            Some((first, _)) if !may_skip => first,
            known => {
                let is_first_start = is_first_start && known.is_none();
                self.complete_since = Some(CompleteSince::start(now, is_first_start));
                config.version
            }
        };
        self.versions = Some((first_version, config.version));
        let streaming = config.routes.iter().filter(|route| route.is_stream);
        let targets = streaming.flat_map(|route| {
            let key = |service: &ServiceId| (route.host.clone(), route.path_prefix.clone(), service.clone());
            route.targets.iter().map(move |target| key(&target.service))
        });
        let former = std::mem::replace(&mut self.current, targets.collect());
        let known: BTreeSet<(SmolStr, SmolStr)> = former.iter().map(route_of).collect();
        let added: BTreeSet<(SmolStr, SmolStr)> = self.current.iter().map(route_of).collect();
        for (host, path_prefix) in added.difference(&known) {
            // Until now the requests of a new route belonged to routes with shorter prefixes.
            let shorter = former
                .iter()
                .filter(|(of, prefix, _)| of == host && path_prefix.starts_with(prefix.as_str()));
            for (_, _, service) in shorter {
                self.former
                    .insert((host.clone(), path_prefix.clone(), service.clone()), now);
            }
        }
        for target in former {
            if !self.current.contains(&target) {
                self.former.insert(target, now);
            }
        }
        self.forget(now);
    }

    /// Returns the services that may have got a request of a route within `life`, or `None` if some may not be known.
    pub(super) fn services(&self, now: Instant, route: &RelayRoute, life: Duration) -> Option<BTreeSet<ServiceId>> {
        let is_complete = self.complete_since?.reaches(now, life) && life <= TARGET_MEMORY;
        let is_nested = |prefix: &str| {
            let own = route.path_prefix.as_str();
            prefix.starts_with(own) || own.starts_with(prefix)
        };
        let counts = |at: Instant| now.saturating_duration_since(at) <= life;
        let former = self.former.iter().filter_map(|((host, prefix, service), at)| {
            let is_own = *host == route.host && is_nested(prefix) && counts(*at);
            is_own.then_some(service)
        });
        let current = route.targets.iter().map(|target| &target.service);
        is_complete.then(|| current.chain(former).cloned().collect())
    }

    /// Returns what other nodes should know.
    pub(super) fn digest(&self, now: Instant) -> TargetDigest {
        let Some((_, config_version)) = self.versions else {
            return TargetDigest::default();
        };
        let former = self
            .former
            .iter()
            .map(|((host, path_prefix, service), at)| FormerTarget {
                host: host.clone(),
                path_prefix: path_prefix.clone(),
                service: service.clone(),
                age: now.saturating_duration_since(*at),
            });
        let is_told = self.former.len() <= MAX_TOLD;
        TargetDigest {
            covers: self.complete_since.filter(|_| is_told).map(|since| since.age(now)),
            config_version,
            former: if is_told { former.collect() } else { Vec::new() },
        }
    }

    /// Takes over what another node knows, if that reaches up to the first configuration of this one.
    pub(super) fn merge(&mut self, now: Instant, digest: &TargetDigest) {
        let Some((first_version, _)) = self.versions else {
            return;
        };
        if digest.config_version < first_version {
            return;
        }
        for target in &digest.former {
            let Some(at) = now.checked_sub(target.age) else {
                continue;
            };
            let key = (target.host.clone(), target.path_prefix.clone(), target.service.clone());
            let known = self.former.entry(key).or_insert(at);
            *known = at.max(*known);
        }
        if let Some(covers) = digest.covers {
            let since = CompleteSince::before(now, covers);
            self.complete_since = self.complete_since.map(|own| own.min(since));
        }
        self.forget(now);
    }

    /// Forgets targets of which no stream can be left, and the oldest ones beyond the bound.
    fn forget(&mut self, now: Instant) {
        self.former
            .retain(|_, at| now.saturating_duration_since(*at) <= TARGET_MEMORY);
        while self.former.len() > MAX_TARGETS {
            let oldest = self.former.iter().min_by_key(|(_, at)| **at);
            let Some((key, at)) = oldest.map(|(key, at)| (key.clone(), *at)) else {
                return;
            };
            self.former.remove(&key);
            self.complete_since = self.complete_since.max(Some(CompleteSince::Time(at)));
        }
    }
}

fn route_of((host, path_prefix, _): &TargetKey) -> (SmolStr, SmolStr) {
    (host.clone(), path_prefix.clone())
}
