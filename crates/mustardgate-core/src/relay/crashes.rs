//! Inputs under which runners crash, which are parts of prompts or whole requests, and their quarantine.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use super::{InputId, RelayRequest};
use crate::ids::RunnerProcess;

/// Largest number of crashes that nodes without a leader tell each other at once.
const MAX_EXCHANGED_CRASHES: usize = 256;
/// Time between two removals of expired entries; the leader merges several digests in that time.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);

/// Settings of [`CrashLedger`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CrashSettings {
    /// Runner processes that must have crashed under an input before it is quarantined.
    pub min_crashes: usize,
    /// Time since the first crash before an input is quarantined, in which other nodes can state that it was answered
    /// well.
    pub dispute_time: Duration,
    /// Time for which a crash counts.
    pub crash_memory: Duration,
    /// Time for which a well answered request clears its inputs of crashes that follow.
    pub sound_memory: Duration,
    /// Time after the last request with an input until its quarantine ends.
    pub quarantine_time: Duration,
    /// Time after which a quarantine ends although requests still come, so that a wrong one is noticed.
    pub max_quarantine_time: Duration,
    /// Largest number of inputs that are kept of each sort.
    pub max_inputs: usize,
}

impl Default for CrashSettings {
    fn default() -> Self {
        Self {
            min_crashes: 3,
            dispute_time: Duration::from_millis(1_500),
            crash_memory: Duration::from_secs(30),
            sound_memory: Duration::from_secs(10),
            quarantine_time: Duration::from_secs(60),
            max_quarantine_time: Duration::from_secs(600),
            max_inputs: 4_096,
        }
    }
}

/// One runner process that crashed when it processed an input.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashObservation {
    /// The input.
    pub input: InputId,
    /// Runner, with the start time of its process in Unix milliseconds.
    pub process: RunnerProcess,
    /// Time since the crash.
    pub age: Duration,
}

/// What a node knows of crashes, for other nodes. Times are relative, because nodes have no common clock.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashDigest {
    /// Crashes that still count.
    pub crashes: Vec<CrashObservation>,
    /// Inputs of these crashes that were answered well, and the time since.
    pub sound: Vec<(InputId, Duration)>,
    /// Inputs in quarantine.
    pub quarantined: Vec<QuarantineNotice>,
}

/// One input in quarantine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineNotice {
    /// The input.
    pub input: InputId,
    /// Time until the quarantine ends if no further request comes.
    pub left: Duration,
    /// Time since the quarantine began.
    pub age: Duration,
}

#[derive(Clone, Copy, Debug)]
struct InputQuarantine {
    until: Instant,
    began_at: Instant,
}

/// Collects crashes from this node and others, and decides which inputs are quarantined.
///
/// An input that was answered well shortly before or since is not blamed: sound requests share parts and run beside the
/// one under which runners crash, but only that one is never answered.
#[derive(Debug)]
pub struct CrashLedger {
    settings: CrashSettings,
    crashes: BTreeMap<InputId, BTreeMap<RunnerProcess, Instant>>,
    /// Crashes that this node saw itself.
    own: BTreeSet<(InputId, RunnerProcess)>,
    sound: BTreeMap<InputId, Instant>,
    quarantined: BTreeMap<InputId, InputQuarantine>,
    /// When expired entries were last dropped.
    expired_at: Option<Instant>,
}

/// Returns the parts that other requests may share: all but the last, which belongs to the request itself.
pub fn shared_parts(request: &RelayRequest) -> impl Iterator<Item = InputId> {
    let shared = request.parts.len().saturating_sub(1);
    request.parts[..shared].iter().map(|part| InputId::Part(part.id))
}

impl CrashLedger {
    /// Creates a ledger without entries.
    pub fn new(settings: CrashSettings) -> Self {
        Self {
            settings,
            crashes: BTreeMap::new(),
            own: BTreeSet::new(),
            sound: BTreeMap::new(),
            quarantined: BTreeMap::new(),
            expired_at: None,
        }
    }

    /// Records that this node saw a runner process crash when it processed these inputs.
    pub fn record_crash(&mut self, at: Instant, process: &RunnerProcess, inputs: impl IntoIterator<Item = InputId>) {
        let inputs: Vec<InputId> = inputs.into_iter().collect();
        let own = inputs.iter().map(|input| (*input, process.clone()));
        self.own.extend(own);
        self.add_crash(at, process, inputs);
    }

    fn add_crash(&mut self, at: Instant, process: &RunnerProcess, inputs: impl IntoIterator<Item = InputId>) {
        for input in inputs {
            let by_process = self.crashes.entry(input).or_default();
            let known = by_process.entry(process.clone()).or_insert(at);
            *known = at.min(*known);
        }
        limit_inputs(&mut self.crashes, self.settings.max_inputs, |by_process| {
            by_process.values().max().copied()
        });
    }

    /// Records that a request with these inputs was answered well, which also ends their quarantine.
    pub fn record_sound(&mut self, at: Instant, inputs: impl IntoIterator<Item = InputId>) {
        for input in inputs {
            let known = self.sound.entry(input).or_insert(at);
            *known = at.max(*known);
            self.quarantined.remove(&input);
        }
        limit_inputs(&mut self.sound, self.settings.max_inputs, |at| Some(*at));
    }

    /// Quarantines the inputs that meet the conditions now, and returns them with the number of crashes.
    pub fn update(&mut self, now: Instant) -> Vec<(InputId, usize)> {
        self.expire(now);
        let mut added = Vec::new();
        let suspects = self.crashes.iter();
        let suspects = suspects.filter(|(_, by_process)| by_process.len() >= self.settings.min_crashes);
        for (input, by_process) in suspects {
            let counted = self.counted_crashes(*input, by_process);
            let first = counted.iter().min().copied();
            let is_disputable =
                first.is_none_or(|first| now.saturating_duration_since(first) < self.settings.dispute_time);
            if counted.len() >= self.settings.min_crashes && !is_disputable && !self.quarantined.contains_key(input) {
                added.push((*input, counted.len()));
            }
        }
        for (input, _) in &added {
            let quarantine = InputQuarantine {
                until: now + self.settings.quarantine_time,
                began_at: now,
            };
            self.quarantined.insert(*input, quarantine);
        }
        limit_inputs(&mut self.quarantined, self.settings.max_inputs, |quarantine| {
            Some(quarantine.until)
        });
        added
    }

    /// Returns whether any of the inputs is in quarantine, and keeps those that are there for another full time, up to
    /// the longest.
    pub fn refuses(&mut self, now: Instant, inputs: impl IntoIterator<Item = InputId>) -> bool {
        let settings = self.settings;
        let mut is_refused = false;
        for input in inputs {
            if let Some(quarantine) = self.quarantined.get_mut(&input)
                && now < quarantine.until
            {
                let ends_at = quarantine.began_at + settings.max_quarantine_time;
                quarantine.until = (now + settings.quarantine_time).min(ends_at);
                is_refused = true;
            }
        }
        is_refused
    }

    /// Returns whether several runner processes crashed under one of the inputs, so that another attempt would be likely
    /// to crash a further one.
    pub fn is_repeated(&self, inputs: impl IntoIterator<Item = InputId>) -> bool {
        let mut inputs = inputs.into_iter();
        inputs.any(|input| {
            let by_process = self.crashes.get(&input);
            by_process.is_some_and(|by_process| self.counted_crashes(input, by_process).len() > 1)
        })
    }

    /// Returns the largest number of runner processes that are known to have crashed under one of the inputs.
    pub fn crash_count(&self, inputs: impl IntoIterator<Item = InputId>) -> usize {
        let by_process = inputs.into_iter().filter_map(|input| self.crashes.get(&input));
        by_process.map(BTreeMap::len).max().unwrap_or_default()
    }

    /// Returns what this node observed itself since a time, or all of it, for a leader that collects it.
    pub fn own_digest(&self, now: Instant, since: Option<Instant>) -> CrashDigest {
        let crashes = self.observations(now, |input, process, at| {
            let is_own = self.own.contains(&(input, process.clone()));
            is_own && since.is_none_or(|since| at >= since)
        });
        self.digest_of(now, crashes, |input| self.is_suspect(input))
    }

    /// Returns what nodes should know of what their leader collected: inputs under which several runners crashed.
    ///
    /// Each crash breaks off many requests, and most of them are never seen again.
    pub fn suspect_digest(&self, now: Instant) -> CrashDigest {
        let crashes = self.observations(now, |input, _, _| self.is_suspect(input));
        self.digest_of(now, crashes, |input| self.is_suspect(input))
    }

    /// Returns everything that this node knows, for nodes without a leader; of many crashes only the newest.
    pub fn digest(&self, now: Instant) -> CrashDigest {
        let mut crashes = self.observations(now, |_, _, _| true);
        crashes.sort_by_key(|crash| crash.age);
        crashes.truncate(MAX_EXCHANGED_CRASHES);
        let told: BTreeSet<InputId> = crashes.iter().map(|crash| crash.input).collect();
        self.digest_of(now, crashes, |input| told.contains(&input))
    }

    /// Returns whether several runners crashed under an input, whoever saw it.
    fn is_suspect(&self, input: InputId) -> bool {
        let by_process = self.crashes.get(&input);
        by_process.is_some_and(|by_process| by_process.len() > 1)
    }

    fn observations(
        &self,
        now: Instant,
        includes: impl Fn(InputId, &RunnerProcess, Instant) -> bool,
    ) -> Vec<CrashObservation> {
        let crashes = self
            .crashes
            .iter()
            .flat_map(|(input, by_process)| by_process.iter().map(|(process, at)| (*input, process, *at)));
        let told = crashes.filter(|(input, process, at)| includes(*input, process, *at));
        told.map(|(input, process, at)| CrashObservation {
            input,
            process: process.clone(),
            age: now.saturating_duration_since(at),
        })
        .collect()
    }

    /// Completes a digest with the disputed inputs that were answered well, and with all quarantines.
    fn digest_of(
        &self,
        now: Instant,
        crashes: Vec<CrashObservation>,
        is_disputed: impl Fn(InputId) -> bool,
    ) -> CrashDigest {
        let sound = self
            .sound
            .iter()
            .filter(|(input, _)| is_disputed(**input) || self.quarantined.contains_key(*input));
        let quarantined = self.quarantined.iter().map(|(input, quarantine)| QuarantineNotice {
            input: *input,
            left: quarantine.until.saturating_duration_since(now),
            age: now.saturating_duration_since(quarantine.began_at),
        });
        CrashDigest {
            crashes,
            sound: sound
                .map(|(input, at)| (*input, now.saturating_duration_since(*at)))
                .collect(),
            quarantined: quarantined.collect(),
        }
    }

    /// Takes over what another node knows.
    pub fn merge(&mut self, now: Instant, digest: &CrashDigest) {
        let past = |age: Duration| now.checked_sub(age).unwrap_or(now);
        for crash in &digest.crashes {
            self.add_crash(past(crash.age), &crash.process, [crash.input]);
        }
        for notice in &digest.quarantined {
            let began_at = past(notice.age);
            let ends_at = began_at + self.settings.max_quarantine_time;
            let until = (now + notice.left.min(self.settings.quarantine_time)).min(ends_at);
            let known = self
                .quarantined
                .entry(notice.input)
                .or_insert(InputQuarantine { until, began_at });
            known.until = until.max(known.until);
            known.began_at = began_at.min(known.began_at);
        }
        for (input, age) in &digest.sound {
            let at = past(*age);
            let known = self.sound.entry(*input).or_insert(at);
            *known = at.max(*known);
        }
        self.lift_cleared(now);
    }

    /// Ends the quarantine of inputs that other nodes answered well so recently that the crashes no longer count.
    fn lift_cleared(&mut self, now: Instant) {
        let cleared: Vec<InputId> = self
            .quarantined
            .keys()
            .filter(|input| {
                self.sound
                    .get(input)
                    .is_some_and(|at| now.saturating_duration_since(*at) < self.settings.sound_memory)
            })
            .copied()
            .collect();
        for input in cleared {
            self.quarantined.remove(&input);
        }
    }

    /// Returns the times of the crashes that an input is blamed for.
    fn counted_crashes(&self, input: InputId, by_process: &BTreeMap<RunnerProcess, Instant>) -> Vec<Instant> {
        let sound_until = self.sound.get(&input).map(|at| *at + self.settings.sound_memory);
        let times = by_process.values().copied();
        times.filter(|at| sound_until.is_none_or(|until| *at > until)).collect()
    }

    fn expire(&mut self, now: Instant) {
        let is_due = |at: Instant| now.saturating_duration_since(at) >= EXPIRY_INTERVAL;
        if !self.expired_at.is_none_or(is_due) {
            return;
        }
        self.expired_at = Some(now);
        let settings = self.settings;
        let is_recent = |at: &Instant, memory: Duration| now.saturating_duration_since(*at) < memory;
        for by_process in self.crashes.values_mut() {
            by_process.retain(|_, at| is_recent(at, settings.crash_memory));
        }
        self.crashes.retain(|_, by_process| !by_process.is_empty());
        let crashes = &self.crashes;
        self.own.retain(|(input, process)| {
            let by_process = crashes.get(input);
            by_process.is_some_and(|by_process| by_process.contains_key(process))
        });
        // An input that was answered well outlives the crashes that it clears.
        self.sound
            .retain(|_, at| is_recent(at, settings.sound_memory + settings.crash_memory));
        self.quarantined.retain(|_, quarantine| now < quarantine.until);
    }
}

/// Drops the inputs with the oldest times beyond the limit.
fn limit_inputs<T>(inputs: &mut BTreeMap<InputId, T>, limit: usize, time: impl Fn(&T) -> Option<Instant>) {
    if inputs.len() <= limit {
        return;
    }
    let mut times: Vec<Option<Instant>> = inputs.values().map(&time).collect();
    times.sort_unstable();
    let oldest_kept = times[times.len() - limit / 2];
    inputs.retain(|_, value| time(value) >= oldest_kept);
}
