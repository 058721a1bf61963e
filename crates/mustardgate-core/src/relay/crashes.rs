//! Parts of prompts under which runners crash, and the quarantine of such parts.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use super::{PartId, RelayRequest};
use crate::ids::BackendId;

/// Time between two removals of expired entries; the leader merges several digests in that time.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);

/// Settings of [`CrashLedger`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CrashSettings {
    /// Runner processes that must have crashed under a part before it is quarantined.
    pub min_crashes: usize,
    /// Time since the first crash before a part is quarantined, in which other nodes can state that it was answered well.
    pub dispute_time: Duration,
    /// Time for which a crash counts.
    pub crash_memory: Duration,
    /// Time for which a well answered request clears its parts of crashes that follow.
    pub sound_memory: Duration,
    /// Time after the last request with a part until its quarantine ends.
    pub quarantine_time: Duration,
    /// Largest number of parts that are kept of each sort.
    pub max_parts: usize,
}

impl Default for CrashSettings {
    fn default() -> Self {
        Self {
            min_crashes: 3,
            dispute_time: Duration::from_millis(1_500),
            crash_memory: Duration::from_secs(30),
            sound_memory: Duration::from_secs(10),
            quarantine_time: Duration::from_secs(60),
            max_parts: 4_096,
        }
    }
}

/// One runner process that crashed when it began to answer a request with a part.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashObservation {
    /// The part.
    pub part: PartId,
    /// Runner, with the start time of its process in Unix milliseconds.
    pub process: (BackendId, u64),
    /// Time since the crash.
    pub age: Duration,
}

/// What a node knows of crashes, for other nodes. Times are relative, because nodes have no common clock.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashDigest {
    /// Crashes that still count.
    pub crashes: Vec<CrashObservation>,
    /// Parts of these crashes that were answered well, and the time since.
    pub sound: Vec<(PartId, Duration)>,
    /// Parts in quarantine, and the time until it ends.
    pub quarantined: Vec<(PartId, Duration)>,
}

/// Collects crashes from this node and others, and decides which parts are quarantined.
///
/// A part that was answered well shortly before or since is not blamed: parts are shared by sound requests, and only the
/// one under which runners crash is never answered.
#[derive(Debug)]
pub struct CrashLedger {
    settings: CrashSettings,
    crashes: BTreeMap<PartId, BTreeMap<(BackendId, u64), Instant>>,
    sound: BTreeMap<PartId, Instant>,
    quarantined: BTreeMap<PartId, Instant>,
    /// When expired entries were last dropped.
    expired_at: Option<Instant>,
}

/// Returns the parts that other requests may share: all but the last, which belongs to the request itself.
pub fn shared_parts(request: &RelayRequest) -> impl Iterator<Item = PartId> {
    let shared = request.parts.len().saturating_sub(1);
    request.parts[..shared].iter().map(|part| part.id)
}

impl CrashLedger {
    /// Creates a ledger without entries.
    pub fn new(settings: CrashSettings) -> Self {
        Self {
            settings,
            crashes: BTreeMap::new(),
            sound: BTreeMap::new(),
            quarantined: BTreeMap::new(),
            expired_at: None,
        }
    }

    /// Records that a runner process crashed when it began to answer a request with these parts.
    pub fn record_crash(&mut self, at: Instant, process: &(BackendId, u64), parts: impl IntoIterator<Item = PartId>) {
        for part in parts {
            let by_process = self.crashes.entry(part).or_default();
            let known = by_process.entry(process.clone()).or_insert(at);
            *known = at.min(*known);
        }
        limit_parts(&mut self.crashes, self.settings.max_parts, |by_process| {
            by_process.values().max().copied()
        });
    }

    /// Records that a request with these parts was answered well, which also ends their quarantine.
    pub fn record_sound(&mut self, at: Instant, parts: impl IntoIterator<Item = PartId>) {
        for part in parts {
            let known = self.sound.entry(part).or_insert(at);
            *known = at.max(*known);
            self.quarantined.remove(&part);
        }
        limit_parts(&mut self.sound, self.settings.max_parts, |at| Some(*at));
    }

    /// Quarantines the parts that meet the conditions now, and returns them with the number of crashes.
    pub fn update(&mut self, now: Instant) -> Vec<(PartId, usize)> {
        self.expire(now);
        let mut added = Vec::new();
        for (part, by_process) in &self.crashes {
            let counted = self.counted_crashes(*part, by_process);
            let first = counted.iter().min().copied();
            let is_disputable =
                first.is_none_or(|first| now.saturating_duration_since(first) < self.settings.dispute_time);
            if counted.len() >= self.settings.min_crashes && !is_disputable && !self.quarantined.contains_key(part) {
                added.push((*part, counted.len()));
            }
        }
        for (part, _) in &added {
            self.quarantined.insert(*part, now + self.settings.quarantine_time);
        }
        limit_parts(&mut self.quarantined, self.settings.max_parts, |until| Some(*until));
        added
    }

    /// Returns whether any of the parts is in quarantine, and keeps those that are there for another full time.
    pub fn refuses(&mut self, now: Instant, parts: impl IntoIterator<Item = PartId>) -> bool {
        let mut is_refused = false;
        for part in parts {
            if let Some(until) = self.quarantined.get_mut(&part)
                && now < *until
            {
                *until = now + self.settings.quarantine_time;
                is_refused = true;
            }
        }
        is_refused
    }

    /// Returns what other nodes should know.
    pub fn digest(&self, now: Instant) -> CrashDigest {
        let crashes = self.crashes.iter().flat_map(|(part, by_process)| {
            by_process.iter().map(|(process, at)| CrashObservation {
                part: *part,
                process: process.clone(),
                age: now.saturating_duration_since(*at),
            })
        });
        let disputed = self.crashes.keys().chain(self.quarantined.keys());
        let disputed: BTreeSet<PartId> = disputed.copied().collect();
        let sound = disputed.into_iter().filter_map(|part| {
            let at = self.sound.get(&part)?;
            Some((part, now.saturating_duration_since(*at)))
        });
        let quarantined = self.quarantined.iter();
        CrashDigest {
            crashes: crashes.collect(),
            sound: sound.collect(),
            quarantined: quarantined
                .map(|(part, until)| (*part, until.saturating_duration_since(now)))
                .collect(),
        }
    }

    /// Takes over what another node knows.
    pub fn merge(&mut self, now: Instant, digest: &CrashDigest) {
        let past = |age: Duration| now.checked_sub(age).unwrap_or(now);
        for crash in &digest.crashes {
            self.record_crash(past(crash.age), &crash.process, [crash.part]);
        }
        for (part, left) in &digest.quarantined {
            let until = now + (*left).min(self.settings.quarantine_time);
            let known = self.quarantined.entry(*part).or_insert(until);
            *known = until.max(*known);
        }
        for (part, age) in &digest.sound {
            let at = past(*age);
            let known = self.sound.entry(*part).or_insert(at);
            *known = at.max(*known);
        }
        self.lift_cleared(now);
    }

    /// Ends the quarantine of parts that other nodes answered well so recently that the crashes no longer count.
    fn lift_cleared(&mut self, now: Instant) {
        let cleared: Vec<PartId> = self
            .quarantined
            .keys()
            .filter(|part| {
                self.sound
                    .get(part)
                    .is_some_and(|at| now.saturating_duration_since(*at) < self.settings.sound_memory)
            })
            .copied()
            .collect();
        for part in cleared {
            self.quarantined.remove(&part);
        }
    }

    /// Returns the times of the crashes that a part is blamed for.
    fn counted_crashes(&self, part: PartId, by_process: &BTreeMap<(BackendId, u64), Instant>) -> Vec<Instant> {
        let sound_until = self.sound.get(&part).map(|at| *at + self.settings.sound_memory);
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
        // A part that was answered well outlives the crashes that it clears.
        self.sound
            .retain(|_, at| is_recent(at, settings.sound_memory + settings.crash_memory));
        self.quarantined.retain(|_, until| now < *until);
    }
}

/// Drops the parts with the oldest times beyond the limit.
fn limit_parts<T>(parts: &mut BTreeMap<PartId, T>, limit: usize, time: impl Fn(&T) -> Option<Instant>) {
    if parts.len() <= limit {
        return;
    }
    let mut times: Vec<Option<Instant>> = parts.values().map(&time).collect();
    times.sort_unstable();
    let oldest_kept = times[times.len() - limit / 2];
    parts.retain(|_, value| time(value) >= oldest_kept);
}
