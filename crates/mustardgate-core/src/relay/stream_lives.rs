//! How long callers may come back to streams, under the configuration in force and those before it.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use crate::ids::ServiceId;

/// Longest times from the begin of a stream until its caller may take it up, by service.
///
/// A stream keeps the time of the configuration under which it began, so a shorter one binds later streams only. See
/// `docs/design/stream-versions.md`.
#[derive(Clone, Debug, Default)]
pub struct StreamLives {
    /// Time within which every node takes up a configuration.
    apply_time: Duration,
    current: BTreeMap<ServiceId, Duration>,
    /// Times under configurations of before, in the order in which those were replaced; a longer one outlasts the shorter
    /// ones before it.
    former: BTreeMap<ServiceId, Vec<FormerLife>>,
}

#[derive(Clone, Copy, Debug)]
struct FormerLife {
    life: Duration,
    replaced_at: Instant,
}

impl StreamLives {
    /// Creates the times before the first configuration; every node takes up one within `apply_time`.
    pub fn new(apply_time: Duration) -> Self {
        Self {
            apply_time,
            ..Self::default()
        }
    }

    /// Returns the times after a configuration with `lives` came into force at this node.
    #[must_use]
    pub fn replaced(&self, now: Instant, lives: BTreeMap<ServiceId, Duration>) -> Self {
        let mut former = self.former.clone();
        for (service, life) in &self.current {
            let known = former.entry(service.clone()).or_default();
            known.retain(|before| before.life > *life);
            known.push(FormerLife {
                life: *life,
                replaced_at: now,
            });
        }
        for known in former.values_mut() {
            known.retain(|before| self.is_bound(now, *before));
        }
        former.retain(|_, known| !known.is_empty());
        Self {
            apply_time: self.apply_time,
            current: lives,
            former,
        }
    }

    /// Returns the time for a stream of the service that begins under the configuration in force.
    pub fn current(&self, service: &ServiceId) -> Duration {
        self.current.get(service).copied().unwrap_or_default()
    }

    /// Returns the longest time for any stream of the service to which a caller may come back now.
    pub fn longest(&self, now: Instant, service: &ServiceId) -> Duration {
        let former = self.former.get(service).into_iter().flatten();
        let bound = former.filter(|before| self.is_bound(now, **before));
        bound
            .map(|before| before.life)
            .fold(self.current(service), Duration::max)
    }

    /// Returns whether a caller may still come back to a stream of a replaced configuration.
    fn is_bound(&self, now: Instant, former: FormerLife) -> bool {
        let age = now.saturating_duration_since(former.replaced_at);
        age <= former.life.saturating_add(self.apply_time)
    }
}
