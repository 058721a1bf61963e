//! Inputs under which runners crash, which are parts of prompts or whole requests, and their quarantine.

mod digest;
mod pages;
mod record;
mod refusal;
mod summary;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

pub use self::{
    digest::{CrashDigest, CrashObservation, QuarantineNotice},
    pages::{CrashPage, CrashReportCursor, LedgerSummary, PageRequest},
    record::{CrashRecord, RecordNeed, RecordedCrashes},
    summary::CrashSummary,
};
use super::{InputId, RelayRequest};
use crate::ids::RunnerProcess;

/// Time between two removals of expired entries; the leader merges several digests in that time.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);

/// A quarantine that was extended by its full time divided by this is told to other nodes again.
const EXTENSION_DIVISOR: u32 = 4;

/// Number of a change of what a ledger knows of an input.
pub type ChangeNumber = u64;

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

#[derive(Clone, Copy, Debug)]
struct InputQuarantine {
    until: Instant,
    began_at: Instant,
    /// Its end when it last counted as a change.
    told_until: Instant,
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
    /// When a request tested a part in quarantine.
    probed: BTreeMap<InputId, Instant>,
    /// Number of the last change of each input of which other nodes have to be told.
    changed: BTreeMap<InputId, ChangeNumber>,
    /// Number before the first change.
    changes_from: ChangeNumber,
    last_change: ChangeNumber,
    /// Grows with each crash that becomes known, and with each quarantine that begins or ends.
    revision: u64,
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
            probed: BTreeMap::new(),
            changed: BTreeMap::new(),
            changes_from: 0,
            last_change: 0,
            revision: 0,
            expired_at: None,
        }
    }

    /// Sets the number before the first change. Ledgers of different processes need different ones, so that what a node has
    /// seen of one says nothing of another.
    #[must_use]
    pub fn with_changes_from(mut self, first: ChangeNumber) -> Self {
        self.changes_from = first;
        self.last_change = first;
        self
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
            let mut is_new = false;
            let known = by_process.entry(process.clone()).or_insert_with(|| {
                is_new = true;
                at
            });
            *known = at.min(*known);
            if is_new {
                self.revision += 1;
                self.record_change(input);
            }
        }
        limit_inputs(&mut self.crashes, self.settings.max_inputs, |by_process| {
            by_process.values().max().copied()
        });
    }

    /// Records that a request with these inputs was answered well, which also ends their quarantine.
    pub fn record_sound(&mut self, at: Instant, inputs: impl IntoIterator<Item = InputId>) {
        for input in inputs {
            self.add_sound(at, input);
            self.end_quarantine(input);
        }
        limit_inputs(&mut self.sound, self.settings.max_inputs, |at| Some(*at));
    }

    /// Records that an input was answered well. It is a change if it clears the input of a crash.
    fn add_sound(&mut self, at: Instant, input: InputId) {
        let counted_before = self.count_crashes(input);
        let known = self.sound.entry(input).or_insert(at);
        *known = at.max(*known);
        if counted_before != self.count_crashes(input) {
            self.record_change(input);
        }
    }

    /// Returns the number of crashes that an input is blamed for.
    fn count_crashes(&self, input: InputId) -> usize {
        let by_process = self.crashes.get(&input);
        by_process.map_or(0, |by_process| self.counted_crashes(input, by_process).len())
    }

    fn record_change(&mut self, input: InputId) {
        self.last_change += 1;
        self.changed.insert(input, self.last_change);
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
            let until = now + self.settings.quarantine_time;
            let quarantine = InputQuarantine {
                until,
                began_at: now,
                told_until: until,
            };
            self.quarantined.insert(*input, quarantine);
            self.record_change(*input);
        }
        self.revision += added.len() as u64;
        limit_inputs(&mut self.quarantined, self.settings.max_inputs, |quarantine| {
            Some(quarantine.until)
        });
        added
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

    /// Returns a number that grows with each crash that becomes known, and with each quarantine that begins or ends.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the number of the last change.
    pub fn last_change(&self) -> ChangeNumber {
        self.last_change
    }

    /// Returns whether no crash and no quarantine is known.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.quarantined.is_empty()
    }

    /// Returns for how long a crash counts.
    pub fn crash_memory(&self) -> Duration {
        self.settings.crash_memory
    }

    /// Returns the largest number of runner processes that are known to have crashed under one of the inputs.
    pub fn crash_count(&self, inputs: impl IntoIterator<Item = InputId>) -> usize {
        let by_process = inputs.into_iter().filter_map(|input| self.crashes.get(&input));
        by_process.map(BTreeMap::len).max().unwrap_or_default()
    }

    /// Extends a quarantine. It is a change once the end has moved by a part of the quarantine, long before nodes that were
    /// told of the former end would lift it.
    fn extend_quarantine(&mut self, input: InputId, until: Instant) {
        let min_extension = self.settings.quarantine_time / EXTENSION_DIVISOR;
        let Some(quarantine) = self.quarantined.get_mut(&input) else {
            return;
        };
        quarantine.until = until;
        if until.saturating_duration_since(quarantine.told_until) >= min_extension {
            quarantine.told_until = until;
            self.record_change(input);
        }
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
            self.end_quarantine(input);
        }
    }

    fn end_quarantine(&mut self, input: InputId) {
        if self.quarantined.remove(&input).is_some() {
            self.revision += 1;
            self.record_change(input);
        }
    }

    /// Returns the times of the crashes that an input is blamed for.
    fn counted_crashes(&self, input: InputId, by_process: &BTreeMap<RunnerProcess, Instant>) -> Vec<Instant> {
        let sound_until = self.sound.get(&input).map(|at| *at + self.settings.sound_memory);
        let times = by_process.values().copied();
        times.filter(|at| sound_until.is_none_or(|until| *at > until)).collect()
    }

    fn is_counted_at(&self, now: Instant, at: Instant) -> bool {
        now.saturating_duration_since(at) < self.settings.crash_memory
    }

    fn expire(&mut self, now: Instant) {
        let is_due = |at: Instant| now.saturating_duration_since(at) >= EXPIRY_INTERVAL;
        if !self.expired_at.is_none_or(is_due) {
            return;
        }
        self.expired_at = Some(now);
        let settings = self.settings;
        let is_recent = |at: &Instant, memory: Duration| now.saturating_duration_since(*at) < memory;
        let before = self.quarantined.len();
        self.quarantined.retain(|_, quarantine| now < quarantine.until);
        self.revision += (before - self.quarantined.len()) as u64;
        // The crashes of an input in quarantine tell what else may explain them.
        for (_, by_process) in self
            .crashes
            .iter_mut()
            .filter(|(input, _)| !self.quarantined.contains_key(*input))
        {
            by_process.retain(|_, at| is_recent(at, settings.crash_memory));
        }
        self.crashes.retain(|_, by_process| !by_process.is_empty());
        let crashes = &self.crashes;
        self.own.retain(|(input, process)| {
            let by_process = crashes.get(input);
            by_process.is_some_and(|by_process| by_process.contains_key(process))
        });
        self.changed.retain(|input, _| {
            crashes.contains_key(input) || self.quarantined.contains_key(input) || self.sound.contains_key(input)
        });
        // An input that was answered well outlives the crashes that it clears.
        self.sound
            .retain(|_, at| is_recent(at, settings.sound_memory + settings.crash_memory));
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
