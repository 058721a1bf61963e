//! The log of the configuration proofs, with a reference model that decides every record by the documented rules.

use std::collections::{BTreeMap, VecDeque};

use mustardgate_core::{
    ids::{ChangeId, Offset},
    log::{ChangeRecord, LogRecord},
    ports::AppendError,
    resources::{ResourceKey, ResourceSpec},
};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::platform::{LogFaults, MemoryLog};

/// Steps after which the log drops a record.
pub(super) const RETENTION_STEPS: u64 = 400;

/// Declared resources with their versions, which are the offsets of the changes that set them.
pub(super) type DeclaredState = BTreeMap<ResourceKey, (Offset, ResourceSpec)>;

/// The log, delayed appends, and the declared state after each record.
#[derive(Debug)]
pub(super) struct LogSimulation {
    pub(super) log: MemoryLog,
    pub(super) is_down: bool,
    is_reliable: bool,
    delayed: Vec<(u64, LogRecord)>,
    appended_steps: VecDeque<(Offset, u64)>,
    states: Vec<DeclaredState>,
    decisions: BTreeMap<ChangeId, (Offset, bool)>,
    pub(super) late_duplicates: u64,
    pub(super) trims: u64,
    pub(super) snapshots: u64,
}

impl LogSimulation {
    pub(super) fn new(seed: u64) -> Self {
        Self {
            log: MemoryLog::new(seed),
            is_down: false,
            is_reliable: false,
            delayed: Vec::new(),
            appended_steps: VecDeque::new(),
            states: vec![DeclaredState::new()],
            decisions: BTreeMap::new(),
            late_duplicates: 0,
            trims: 0,
            snapshots: 0,
        }
    }

    pub(super) fn set_faults(&mut self, is_down: bool, is_reliable: bool) {
        self.is_down = is_down;
        self.is_reliable = is_reliable;
        let ratio = if is_reliable { 0.0 } else { 0.15 };
        self.log.set_faults(LogFaults {
            is_down,
            lost_answer_ratio: ratio,
            refused_ratio: ratio,
            delay_ms: 0,
        });
    }

    /// Appends a record, with faults: the answer may be lost and the record appended later, or appended a second time.
    pub(super) fn append(&mut self, record: LogRecord, step: u64, rng: &mut ChaCha8Rng) -> Result<Offset, AppendError> {
        if !self.is_down && !self.is_reliable && rng.random_bool(0.15) {
            self.delayed.push((step + rng.random_range(1..60), record));
            return Err(AppendError::Unknown);
        }
        let answer = self.append_and_evaluate(&record, step);
        if answer != Err(AppendError::NotAppended) && !self.is_reliable && rng.random_bool(0.1) {
            self.delayed.push((step + rng.random_range(1..60), record));
            return Err(AppendError::Unknown);
        }
        answer
    }

    /// Appends the delayed records that are due and drops records older than the retention.
    pub(super) fn advance(&mut self, step: u64) {
        let (due, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.delayed)
            .into_iter()
            .partition(|(time, _)| *time <= step);
        self.delayed = rest;
        for (_, record) in due {
            if self.append_and_evaluate(&record, step) == Err(AppendError::NotAppended) {
                self.delayed.push((step + 5, record));
            }
        }
        self.trim(step);
    }

    /// Returns the declared state after the record at `offset`, or before the first record for `None`.
    pub(super) fn state_at(&self, offset: Option<Offset>) -> &DeclaredState {
        &self.states[offset.map_or(0, |offset| offset as usize + 1)]
    }

    /// Returns the offset that decided a change and whether the change took effect.
    pub(super) fn decision(&self, change: &ChangeId) -> Option<(Offset, bool)> {
        self.decisions.get(change).copied()
    }

    pub(super) fn has_delayed(&self) -> bool {
        !self.delayed.is_empty()
    }

    fn append_and_evaluate(&mut self, record: &LogRecord, step: u64) -> Result<Offset, AppendError> {
        let offset = self.log.end();
        let answer = self.log.append_now(record.clone());
        if self.log.end() > offset {
            self.appended_steps.push_back((offset, step));
            self.evaluate(offset, record);
        }
        answer
    }

    fn evaluate(&mut self, offset: Offset, record: &LogRecord) {
        let mut state = self.states.last().cloned().unwrap_or_default();
        self.snapshots += u64::from(matches!(record, LogRecord::Snapshot(_)));
        if let LogRecord::Change(change) = record {
            if self.decisions.contains_key(&change.change) {
                self.late_duplicates += 1;
            } else {
                let is_effective = apply_change(&mut state, offset, change);
                self.decisions.insert(change.change.clone(), (offset, is_effective));
            }
        }
        self.states.push(state);
    }

    fn trim(&mut self, step: u64) {
        let mut earliest = None;
        while let Some((offset, appended_step)) = self.appended_steps.front()
            && appended_step + RETENTION_STEPS < step
        {
            earliest = Some(offset + 1);
            self.appended_steps.pop_front();
        }
        if let Some(earliest) = earliest {
            self.trims += 1;
            self.log.trim(earliest);
        }
    }
}

fn apply_change(state: &mut DeclaredState, offset: Offset, change: &ChangeRecord) -> bool {
    let current = state.get(&change.resource).map(|(version, _)| *version);
    if current != change.expected || (current.is_none() && change.spec.is_none()) {
        return false;
    }
    state.remove(&change.resource);
    if let Some(spec) = &change.spec {
        state.insert(change.resource.clone(), (offset, spec.clone()));
    }
    true
}
