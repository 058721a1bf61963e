//! Crashes in the platform's log, which keeps what the nodes know when all of them end at once.
//!
//! See `docs/design/platform.md`, "Crashing inputs".

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use super::{CrashDigest, CrashLedger};
use crate::{ids::RunnerProcess, relay::InputId};

/// Largest number of crashes in a record.
const MAX_RECORDED_CRASHES: usize = 128;

/// What the nodes know of crashes, as the log holds it. A later record replaces an earlier one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashRecord {
    /// When it was written, in Unix milliseconds.
    pub written_at_ms: u64,
    /// What was known then.
    pub digest: CrashDigest,
}

impl CrashRecord {
    /// Returns the digest as of a time in Unix milliseconds.
    ///
    /// Ages grow by the time since the record was written, and not at all where the time of day went back meanwhile. The
    /// time left of a quarantine stays as it was, because requests with its input may have come until all nodes ended.
    pub fn digest_at(self, unix_ms: u64) -> CrashDigest {
        let elapsed = Duration::from_millis(unix_ms.saturating_sub(self.written_at_ms));
        let mut digest = self.digest;
        for crash in &mut digest.crashes {
            crash.age = crash.age.saturating_add(elapsed);
        }
        for (_, age) in &mut digest.sound {
            *age = age.saturating_add(elapsed);
        }
        for notice in &mut digest.quarantined {
            notice.age = notice.age.saturating_add(elapsed);
        }
        digest
    }
}

impl CrashLedger {
    /// Returns what must outlast all nodes: crashes that count, those of inputs with several crashes first, and all
    /// quarantines.
    pub fn lasting_digest(&self, now: Instant) -> CrashDigest {
        let counts = |input: InputId, at: Instant| {
            let sound_until = self.sound.get(&input).map(|sound| *sound + self.settings.sound_memory);
            let is_kept = self.quarantined.contains_key(&input) || self.is_counted_at(now, at);
            is_kept && sound_until.is_none_or(|until| at > until)
        };
        let mut crashes = self.observations(now, |input, _, at| counts(input, at));
        crashes.sort_by_key(|crash| (!self.is_suspect(crash.input), crash.age));
        crashes.truncate(MAX_RECORDED_CRASHES);
        self.digest_of(now, crashes, |_| false)
    }
}

/// One thing that a record states: a crash of a process under an input, or without a process the input's quarantine.
type RecordedEntry = (InputId, Option<RunnerProcess>);

/// Whether the log has to be told of what a node knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordNeed {
    /// The log holds what counts.
    None,
    /// The log holds what counts no longer, such as a quarantine that has ended.
    Removal,
    /// The log lacks something.
    Addition,
}

/// What the newest record in the log states.
#[derive(Clone, Debug, Default)]
pub struct RecordedCrashes {
    /// When each entry began.
    entries: BTreeMap<RecordedEntry, Instant>,
}

impl RecordedCrashes {
    /// Returns what a record with this digest states.
    pub fn of(now: Instant, digest: &CrashDigest) -> Self {
        Self {
            entries: entries_of(now, digest),
        }
    }

    /// Returns whether the record states nothing that matters.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Compares the record with what a node knows; crashes count for `crash_memory`, and then need not be removed.
    pub fn need(&mut self, now: Instant, known: &CrashDigest, crash_memory: Duration) -> RecordNeed {
        let is_forgotten = |at: Instant| now.saturating_duration_since(at) >= crash_memory;
        let known = entries_of(now, known);
        self.entries
            .retain(|entry, at| entry.1.is_none() || known.contains_key(entry) || !is_forgotten(*at));
        if known.keys().any(|entry| !self.entries.contains_key(entry)) {
            return RecordNeed::Addition;
        }
        if self.entries.len() > known.len() {
            return RecordNeed::Removal;
        }
        RecordNeed::None
    }
}

fn entries_of(now: Instant, digest: &CrashDigest) -> BTreeMap<RecordedEntry, Instant> {
    let past = |age: Duration| now.checked_sub(age).unwrap_or(now);
    let crashes = digest
        .crashes
        .iter()
        .map(|crash| ((crash.input, Some(crash.process.clone())), past(crash.age)));
    let quarantined = digest
        .quarantined
        .iter()
        .map(|notice| ((notice.input, None), past(notice.age)));
    crashes.chain(quarantined).collect()
}
