//! What nodes tell each other of crashes.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use super::{ChangeNumber, CrashLedger, InputQuarantine, PageRequest};
use crate::{ids::RunnerProcess, relay::InputId};

/// Largest number of crashes that nodes without a leader tell each other at once.
const MAX_EXCHANGED_CRASHES: usize = 256;

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

impl CrashLedger {
    /// Returns what nodes should know of what their leader collected: inputs under which several runners crashed.
    ///
    /// Each crash breaks off many requests, and most of them are never seen again.
    pub fn suspect_digest(&self, now: Instant) -> CrashDigest {
        let crashes = self.observations(now, |input, _, _| self.is_suspect(input));
        self.digest_of(now, crashes, |input| self.is_suspect(input))
    }

    /// Returns what [`CrashLedger::suspect_digest`] holds of the inputs that changed after the change `seen`, with the number of
    /// the last change; see `docs/design/platform.md`, "Crashing inputs".
    ///
    /// A leader answers every node several times within a contact time; told anew each time, the crashes of a wave of lost
    /// runners fill its link.
    pub fn suspect_changes(&self, now: Instant, seen: ChangeNumber) -> (CrashDigest, ChangeNumber) {
        let request = PageRequest {
            seen,
            max_entries: usize::MAX,
            ..PageRequest::default()
        };
        let page = self.suspect_page(now, request);
        (page.digest, page.last)
    }

    /// Returns everything that this node knows, for nodes without a leader; of many crashes only the newest.
    pub fn digest(&self, now: Instant) -> CrashDigest {
        self.newest_digest(now, MAX_EXCHANGED_CRASHES)
    }

    /// Returns the newest crashes that this node knows, up to a number, with all quarantines, for nodes of earlier builds
    /// without a leader.
    pub fn newest_digest(&self, now: Instant, max_crashes: usize) -> CrashDigest {
        let mut crashes = self.observations(now, |_, _, _| true);
        crashes.sort_by_key(|crash| crash.age);
        crashes.truncate(max_crashes.min(MAX_EXCHANGED_CRASHES));
        let told: BTreeSet<InputId> = crashes.iter().map(|crash| crash.input).collect();
        self.digest_of(now, crashes, |input| told.contains(&input))
    }

    /// Returns whether several runners crashed under an input, whoever saw it.
    pub(super) fn is_suspect(&self, input: InputId) -> bool {
        let by_process = self.crashes.get(&input);
        by_process.is_some_and(|by_process| by_process.len() > 1)
    }

    pub(super) fn observations(
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
    pub(super) fn digest_of(
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
        let quarantined: BTreeSet<InputId> = digest.quarantined.iter().map(|notice| notice.input).collect();
        let crash_memory = self.settings.crash_memory;
        let is_kept = |crash: &&CrashObservation| crash.age < crash_memory || quarantined.contains(&crash.input);
        for crash in digest.crashes.iter().filter(is_kept) {
            self.add_crash(past(crash.age), &crash.process, [crash.input]);
        }
        for notice in &digest.quarantined {
            let began_at = past(notice.age);
            let ends_at = began_at + self.settings.max_quarantine_time;
            let until = (now + notice.left.min(self.settings.quarantine_time)).min(ends_at);
            if until <= now {
                continue;
            }
            let mut is_new = false;
            let known = self.quarantined.entry(notice.input).or_insert_with(|| {
                is_new = true;
                InputQuarantine {
                    until,
                    began_at,
                    told_until: until,
                }
            });
            known.began_at = began_at.min(known.began_at);
            let until = until.max(known.until);
            self.extend_quarantine(notice.input, until);
            if is_new {
                self.revision += 1;
                self.record_change(notice.input);
            }
        }
        for (input, age) in &digest.sound {
            self.add_sound(past(*age), *input);
        }
        self.lift_cleared(now);
    }
}
