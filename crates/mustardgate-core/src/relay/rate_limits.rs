//! Rate limits that runners state in their answers, as this node and other nodes observed them.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use crate::ids::RunnerProcess;

/// Limits at or above this rate, in requests a second, do not bind.
const MAX_RATE_PER_S: f64 = 1e6;
/// Largest number of runner processes with an observation.
const MAX_PROCESSES: usize = 4_096;

/// What an answer says about the rate of requests that its runner takes from all nodes together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum LimitStatement {
    /// Nothing: the runner has no limit, or no longer has one.
    #[default]
    Unlimited,
    /// Requests a second; finite and not negative.
    PerSecond(f64),
    /// Not a rate. It neither sets a limit nor ends one.
    Unreadable,
}

/// What one node observed of a runner process's limit. Times are relative, because nodes have no common clock.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitObservation {
    /// The runner process.
    pub process: RunnerProcess,
    /// Last stated limit in requests a second, and the time since the answer was received.
    pub stated: Option<(f64, Duration)>,
    /// Time since the last request was sent whose answer stated no limit.
    pub unlimited: Option<Duration>,
}

/// A change of the limit in force at this node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitChange {
    /// Limit before, in requests a second.
    pub before: Option<f64>,
    /// Limit now, in requests a second.
    pub now: Option<f64>,
}

/// Rate limits of runner processes.
///
/// Answers arrive out of order, so an answer without a limit ends a limit only if its request was sent after the last
/// answer with one had been received.
#[derive(Debug, Default)]
pub struct LimitLedger {
    own: BTreeMap<RunnerProcess, LimitEvidence>,
    /// Observations of other nodes.
    heard: BTreeMap<RunnerProcess, LimitEvidence>,
}

#[derive(Clone, Copy, Debug, Default)]
struct LimitEvidence {
    stated: Option<(f64, Instant)>,
    unlimited_at: Option<Instant>,
}

impl LimitEvidence {
    fn state(&mut self, rate: f64, at: Instant) {
        if self.stated.is_none_or(|(_, known)| known <= at) {
            self.stated = Some((rate, at));
        }
    }

    fn end(&mut self, at: Instant) {
        self.unlimited_at = self.unlimited_at.max(Some(at));
    }

    fn combine(mut self, other: Self) -> Self {
        if let Some((rate, at)) = other.stated {
            self.state(rate, at);
        }
        if let Some(at) = other.unlimited_at {
            self.end(at);
        }
        self
    }

    fn rate(&self) -> Option<f64> {
        let (rate, at) = self.stated?;
        let is_ended = self.unlimited_at.is_some_and(|unlimited_at| unlimited_at > at);
        (!is_ended && rate < MAX_RATE_PER_S).then_some(rate)
    }
}

impl LimitLedger {
    /// Records what an answer received at `now` says, whose request was sent at `sent_at`; returns a change of the limit.
    pub fn observe(
        &mut self,
        now: Instant,
        process: &RunnerProcess,
        statement: LimitStatement,
        sent_at: Instant,
    ) -> Option<LimitChange> {
        let before = self.rate(process);
        match statement {
            LimitStatement::PerSecond(rate) => self.own_evidence(process)?.state(rate, now),
            LimitStatement::Unlimited if self.is_known(process) => self.own_evidence(process)?.end(sent_at),
            LimitStatement::Unlimited | LimitStatement::Unreadable => {}
        }
        let now = self.rate(process);
        (before != now).then_some(LimitChange { before, now })
    }

    /// Returns the limit of a runner process in requests a second, if it has one.
    pub fn rate(&self, process: &RunnerProcess) -> Option<f64> {
        self.evidence(process).rate()
    }

    /// Returns what is known of a runner process that has a limit.
    pub fn limited(&self, now: Instant, process: &RunnerProcess) -> Option<LimitObservation> {
        let evidence = self.evidence(process);
        evidence.rate()?;
        Some(observation(now, process, evidence))
    }

    /// Returns whether nothing is known of any limit.
    pub fn is_empty(&self) -> bool {
        self.own.is_empty() && self.heard.is_empty()
    }

    /// Returns what this node observed itself.
    pub fn own_observations(&self, now: Instant) -> Vec<LimitObservation> {
        let own = self.own.iter();
        own.map(|(process, evidence)| observation(now, process, *evidence))
            .collect()
    }

    /// Returns what this node observed itself and what it heard from others.
    pub fn all_observations(&self, now: Instant) -> Vec<LimitObservation> {
        let heard_only = self.heard.keys().filter(|process| !self.own.contains_key(*process));
        let processes = self.own.keys().chain(heard_only);
        processes
            .map(|process| observation(now, process, self.evidence(process)))
            .collect()
    }

    /// Takes over observations of other nodes, which may have been under way for up to `delay`.
    ///
    /// An end of a limit is dated back by the delay, so that it never overrides a later statement.
    pub fn merge(&mut self, now: Instant, observations: &[LimitObservation], delay: Duration) {
        for observed in observations {
            if self.heard.len() >= MAX_PROCESSES && !self.heard.contains_key(&observed.process) {
                continue;
            }
            let evidence = self.heard.entry(observed.process.clone()).or_default();
            if let Some((rate, age)) = observed.stated.filter(|(rate, _)| rate.is_finite() && *rate >= 0.0) {
                evidence.state(rate, now.checked_sub(age).unwrap_or(now));
            }
            let ended_at = observed
                .unlimited
                .and_then(|age| now.checked_sub(age.checked_add(delay)?));
            if let Some(at) = ended_at {
                evidence.end(at);
            }
        }
    }

    /// Forgets runner processes that no longer exist.
    pub fn retain(&mut self, exists: impl Fn(&RunnerProcess) -> bool) {
        self.own.retain(|process, _| exists(process));
        self.heard.retain(|process, _| exists(process));
    }

    fn is_known(&self, process: &RunnerProcess) -> bool {
        self.own.contains_key(process) || self.heard.contains_key(process)
    }

    fn evidence(&self, process: &RunnerProcess) -> LimitEvidence {
        let own = self.own.get(process).copied().unwrap_or_default();
        let heard = self.heard.get(process).copied().unwrap_or_default();
        own.combine(heard)
    }

    fn own_evidence(&mut self, process: &RunnerProcess) -> Option<&mut LimitEvidence> {
        if self.own.len() >= MAX_PROCESSES && !self.own.contains_key(process) {
            return None;
        }
        Some(self.own.entry(process.clone()).or_default())
    }
}

fn observation(now: Instant, process: &RunnerProcess, evidence: LimitEvidence) -> LimitObservation {
    let age = |at: Instant| now.saturating_duration_since(at);
    LimitObservation {
        process: process.clone(),
        stated: evidence.stated.map(|(rate, at)| (rate, age(at))),
        unlimited: evidence.unlimited_at.map(age),
    }
}
