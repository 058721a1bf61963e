//! Permits to send a request to a runner with a rate limit, which binds all nodes together.
//!
//! The leader issues permits from one token bucket for each runner. A node that reaches no leader may use a slot of its
//! own schedule instead. See `docs/design/platform.md`, "Rate limits of runners".

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use crate::ids::RunnerProcess;

/// Largest number of unused permits that the leader keeps for a runner.
const MAX_UNUSED_PERMITS: f64 = 2.0;
/// Part of a limit that all nodes without a leader may use together; others may hold permits of a leader meanwhile.
const LEADERLESS_SHARE: f64 = 0.4;
/// Time for which a slot can be used; an unused one is lost, so that idle nodes save nothing up.
const SLOT_TIME: Duration = Duration::from_millis(500);
/// Lowest rate of permits, in requests a second: without requests the end of a limit of zero could not be noticed.
const MIN_RATE_PER_S: f64 = 0.1;
/// Longest time between two slots.
const MAX_PERIOD: Duration = Duration::from_secs(24 * 3_600);

/// Issues permits while this node leads.
#[derive(Debug, Default)]
pub struct PermitIssuer {
    /// Term in which the buckets are filled.
    term: Option<u64>,
    buckets: BTreeMap<RunnerProcess, TokenBucket>,
}

#[derive(Clone, Copy, Debug)]
struct TokenBucket {
    tokens: f64,
    filled_at: Instant,
}

impl PermitIssuer {
    /// Issues a permit, or returns the time until the next one. `term` identifies this node's term as leader.
    ///
    /// Buckets are empty at the start of a term, because the former leader may just have emptied its own.
    ///
    /// # Errors
    /// The time until the next permit.
    pub fn issue(&mut self, now: Instant, term: u64, process: &RunnerProcess, rate_per_s: f64) -> Result<(), Duration> {
        if self.term.replace(term) != Some(term) {
            self.buckets.clear();
        }
        let rate_per_s = rate_per_s.max(MIN_RATE_PER_S);
        let bucket = self.buckets.entry(process.clone()).or_insert(TokenBucket {
            tokens: 0.0,
            filled_at: now,
        });
        let elapsed_s = now.saturating_duration_since(bucket.filled_at).as_secs_f64();
        bucket.tokens = (bucket.tokens + elapsed_s * rate_per_s).min(MAX_UNUSED_PERMITS);
        bucket.filled_at = bucket.filled_at.max(now);
        if bucket.tokens < 1.0 {
            return Err(Duration::from_secs_f64((1.0 - bucket.tokens) / rate_per_s));
        }
        bucket.tokens -= 1.0;
        Ok(())
    }

    /// Forgets runner processes that no longer exist.
    pub fn retain(&mut self, exists: impl Fn(&RunnerProcess) -> bool) {
        self.buckets.retain(|process, _| exists(process));
    }
}

/// Slots of a node that reaches no leader.
///
/// Every node has slots at the same interval, which grows with the number of nodes, and at a random phase. No node has
/// to know which others are cut off as well.
#[derive(Debug, Default)]
pub struct PermitSchedule {
    cycles: BTreeMap<RunnerProcess, SlotCycle>,
}

#[derive(Clone, Copy, Debug)]
struct SlotCycle {
    period: Duration,
    /// Start of the next slot that was not used.
    next: Instant,
}

impl PermitSchedule {
    /// Uses the current slot, or returns the time until the next one.
    ///
    /// `nodes` is the number of nodes that share the limit, and `draw` a random number from 0 to 1, from which the
    /// phase is chosen.
    ///
    /// # Errors
    /// The time until the next slot.
    pub fn use_slot(
        &mut self,
        now: Instant,
        process: &RunnerProcess,
        rate_per_s: f64,
        nodes: u32,
        draw: f64,
    ) -> Result<(), Duration> {
        let period_s = f64::from(nodes.max(1)) / (rate_per_s.max(MIN_RATE_PER_S) * LEADERLESS_SHARE);
        let period = Duration::from_secs_f64(period_s.min(MAX_PERIOD.as_secs_f64()));
        let cycle = self.cycles.entry(process.clone()).or_insert(SlotCycle {
            period,
            next: now + period.mul_f64(draw),
        });
        cycle.adjust(now, period);
        if now < cycle.next {
            return Err(cycle.next - now);
        }
        cycle.next += period;
        Ok(())
    }

    /// Forgets runner processes that no longer exist.
    pub fn retain(&mut self, exists: impl Fn(&RunnerProcess) -> bool) {
        self.cycles.retain(|process, _| exists(process));
    }
}

impl SlotCycle {
    /// Skips the slots that have passed, and keeps the phase when the period changes.
    fn adjust(&mut self, now: Instant, period: Duration) {
        let passed = now.saturating_duration_since(self.next);
        if passed >= SLOT_TIME.min(self.period) {
            let skipped = (passed.as_secs_f64() / self.period.as_secs_f64()).ceil();
            self.next += self.period.mul_f64(skipped.max(1.0));
        }
        if period != self.period {
            let left = self.next.saturating_duration_since(now);
            let scale = period.as_secs_f64() / self.period.as_secs_f64();
            self.next = now + Duration::from_secs_f64((left.as_secs_f64() * scale).min(period.as_secs_f64()));
            self.period = period;
        }
    }
}
