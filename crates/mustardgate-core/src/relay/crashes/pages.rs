//! Parts of limited size of what a ledger knows, for nodes that know most of it already.
//!
//! Told as a whole, the crashes of a wave of lost runners fill the link of a node that many others ask; see
//! `docs/incidents/2026-12-08-config-narrow-links.md`.

use std::{cmp::Reverse, collections::BTreeMap, time::Instant};

use super::{ChangeNumber, CrashDigest, CrashLedger, CrashObservation, CrashSummary, QuarantineNotice};
use crate::relay::InputId;

/// Largest number of well answered inputs in a report beside those that changed.
const MAX_SOUND_REFRESHES: usize = 16;

/// An input that was answered well again is told again after the time for which that counts, divided by this.
const SOUND_REFRESH_DIVISOR: u32 = 4;

/// A part of what a ledger knows.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CrashPage {
    /// The part.
    pub digest: CrashDigest,
    /// Number of the last change up to which everything is told.
    pub last: ChangeNumber,
    /// Whether nothing after it is left to tell.
    pub is_complete: bool,
}

/// What a node that asks for a page knows.
#[derive(Clone, Copy, Debug, Default)]
pub struct PageRequest<'a> {
    /// Number of the last change that it has seen.
    pub seen: ChangeNumber,
    /// Summary of what it knows, if it has not seen all changes before that one.
    pub known: Option<&'a CrashSummary>,
    /// Summary of what this ledger knew at an earlier change, to compare with; made anew without one.
    pub own: Option<&'a LedgerSummary>,
    /// Largest number of entries that it gets; the first input is told whole if there is room for any.
    pub max_entries: usize,
}

/// A summary of what a ledger tells as leader, and the last change that it holds.
#[derive(Clone, Debug)]
pub struct LedgerSummary {
    summary: CrashSummary,
    last_change: ChangeNumber,
}

/// What a node has told its leader, so that it repeats nothing.
#[derive(Clone, Debug, Default)]
pub struct CrashReportCursor {
    told: ChangeNumber,
    /// When inputs that the leader was told of had been answered well.
    sound_told: BTreeMap<InputId, Instant>,
}

/// Gathers what is told of inputs up to a number of entries.
#[derive(Debug)]
struct PageBuilder {
    digest: CrashDigest,
    entries: usize,
    max_entries: usize,
}

impl PageBuilder {
    fn new(max_entries: usize) -> Self {
        Self {
            digest: CrashDigest::default(),
            entries: 0,
            max_entries,
        }
    }

    /// Adds what is told of an input; returns `false` if there is no room for it.
    fn add(&mut self, told: CrashDigest) -> bool {
        let entries = told.crashes.len() + told.sound.len() + told.quarantined.len();
        let is_first = self.entries == 0 && self.max_entries > 0;
        if entries > 0 && !is_first && self.entries + entries > self.max_entries {
            return false;
        }
        self.entries += entries;
        self.digest.crashes.extend(told.crashes);
        self.digest.sound.extend(told.sound);
        self.digest.quarantined.extend(told.quarantined);
        true
    }
}

impl CrashLedger {
    /// Returns what a leader tells a node: changes of inputs under which several runners crashed, the earliest first.
    pub fn suspect_page(&self, now: Instant, request: PageRequest<'_>) -> CrashPage {
        let is_needed = request.known.is_some() && request.own.is_none();
        let made = is_needed.then(|| self.ledger_summary(now));
        let own = request.own.or(made.as_ref());
        let is_lacking = |input| match (own, request.known) {
            (Some(own), Some(known)) => {
                let changed = self.changed.get(&input);
                changed.is_none_or(|number| *number > own.last_change) || own.summary.may_differ(known, input)
            }
            _ => true,
        };
        self.page(request.seen, request.max_entries, |input| {
            if !is_lacking(input) {
                return CrashDigest::default();
            }
            let is_suspect = self.is_suspect(input);
            let is_sound_told = is_suspect || self.quarantined.contains_key(&input);
            self.digest_of_input(now, input, |_| is_suspect, is_sound_told)
        })
    }

    /// Returns a summary of what a leader tells all nodes, which serves for the pages of several of them.
    pub fn ledger_summary(&self, now: Instant) -> LedgerSummary {
        LedgerSummary {
            summary: self.suspect_summary(now),
            last_change: self.last_change,
        }
    }

    /// Returns all changes after a number, the earliest first, for nodes without a leader.
    pub fn news_page(&self, now: Instant, seen: ChangeNumber, max_entries: usize) -> CrashPage {
        self.page(seen, max_entries, |input| {
            self.digest_of_input(now, input, |_| true, true)
        })
    }

    /// Returns what a node with this summary may lack, the newest crashes first, for nodes without a leader.
    pub fn missing_page(&self, now: Instant, known: &CrashSummary, max_entries: usize) -> CrashDigest {
        let own = self.summary(now);
        let known_inputs = self.crashes.keys().chain(self.quarantined.keys());
        let mut inputs: Vec<InputId> = known_inputs.copied().collect();
        inputs.retain(|input| own.may_differ(known, *input));
        let newest = |input: &InputId| self.crashes.get(input).and_then(|known| known.values().max().copied());
        inputs.sort_by_key(|input| (Reverse(newest(input)), *input));
        inputs.dedup();
        let mut page = PageBuilder::new(max_entries);
        for input in inputs {
            if !page.add(self.digest_of_input(now, input, |_| true, true)) {
                break;
            }
        }
        page.digest
    }

    /// Returns what this node tells its leader, and what it has told then: its own crashes, and what was answered well of
    /// inputs under which several runners crashed.
    pub fn report(
        &self,
        now: Instant,
        cursor: &CrashReportCursor,
        max_entries: usize,
    ) -> (CrashDigest, CrashReportCursor) {
        let page = self.page(cursor.told, max_entries, |input| {
            let is_own = |crash: &CrashObservation| self.own.contains(&(input, crash.process.clone()));
            self.digest_of_input(now, input, is_own, self.is_suspect(input))
        });
        let mut digest = page.digest;
        let mut cursor = CrashReportCursor {
            told: page.last,
            sound_told: cursor.sound_told.clone(),
        };
        let told_sound = digest.sound.iter().map(|(input, _)| *input);
        cursor
            .sound_told
            .extend(told_sound.filter_map(|input| Some((input, *self.sound.get(&input)?))));
        cursor.sound_told.retain(|input, _| self.sound.contains_key(input));
        let refresh = self.settings.sound_memory / SOUND_REFRESH_DIVISOR;
        let is_due = |(input, at): &(&InputId, &Instant)| {
            let told = cursor.sound_told.get(*input);
            self.is_suspect(**input) && told.is_none_or(|told| at.saturating_duration_since(*told) >= refresh)
        };
        let due = self.sound.iter().filter(is_due).take(MAX_SOUND_REFRESHES);
        let due: Vec<(InputId, Instant)> = due.map(|(input, at)| (*input, *at)).collect();
        for (input, at) in due {
            digest.sound.push((input, now.saturating_duration_since(at)));
            cursor.sound_told.insert(input, at);
        }
        (digest, cursor)
    }

    /// Returns the first page of what is told of the inputs that changed after a number.
    fn page(&self, seen: ChangeNumber, max_entries: usize, told: impl Fn(InputId) -> CrashDigest) -> CrashPage {
        // A number of another process says nothing of this one's changes.
        let is_own = (self.changes_from..=self.last_change).contains(&seen);
        let changed = self.changed.iter().map(|(input, number)| (*number, *input));
        let mut changed: Vec<(ChangeNumber, InputId)> =
            changed.filter(|(number, _)| !is_own || *number > seen).collect();
        changed.sort_unstable();
        let mut page = PageBuilder::new(max_entries);
        let mut last = if is_own { seen } else { self.changes_from };
        for (number, input) in changed {
            if !page.add(told(input)) {
                return CrashPage {
                    digest: page.digest,
                    last,
                    is_complete: false,
                };
            }
            last = number;
        }
        CrashPage {
            digest: page.digest,
            last: self.last_change,
            is_complete: true,
        }
    }

    /// Returns what is known of an input: some of its crashes, its quarantine, and when it was answered well if that is told.
    fn digest_of_input(
        &self,
        now: Instant,
        input: InputId,
        includes: impl Fn(&CrashObservation) -> bool,
        is_sound_told: bool,
    ) -> CrashDigest {
        let age = |at: Instant| now.saturating_duration_since(at);
        let crashes = self.crashes.get(&input).into_iter().flatten();
        let crashes = crashes.map(|(process, at)| CrashObservation {
            input,
            process: process.clone(),
            age: age(*at),
        });
        let sound = self.sound.get(&input).filter(|_| is_sound_told);
        let quarantine = self.quarantined.get(&input);
        CrashDigest {
            crashes: crashes.filter(|crash| includes(crash)).collect(),
            sound: sound.map(|at| (input, age(*at))).into_iter().collect(),
            quarantined: quarantine
                .map(|quarantine| QuarantineNotice {
                    input,
                    left: quarantine.until.saturating_duration_since(now),
                    age: age(quarantine.began_at),
                })
                .into_iter()
                .collect(),
        }
    }
}
