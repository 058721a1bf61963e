//! An in-memory log with offsets, retention, and faults drawn from a seeded generator.

use std::{collections::VecDeque, sync::Mutex, time::Duration};

use async_trait::async_trait;
use mustardgate_core::{
    ids::Offset,
    log::LogRecord,
    ports::{AppendError, LogEntry, LogPage, PlatformLog, ReadError},
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

/// Injected faults of the log.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogFaults {
    /// Whether every append and read fails.
    pub is_down: bool,
    /// Probability that the answer to an append that took effect is lost.
    pub lost_answer_ratio: f64,
    /// Probability that an append is refused without effect.
    pub refused_ratio: f64,
    /// Delay of each append and read in milliseconds.
    pub delay_ms: u64,
}

/// An append-only log in the memory of one process.
#[derive(Debug)]
pub struct MemoryLog {
    state: Mutex<LogState>,
}

#[derive(Debug)]
struct LogState {
    entries: VecDeque<LogEntry>,
    earliest: Offset,
    end: Offset,
    appends: u64,
    faults: LogFaults,
    rng: ChaCha8Rng,
}

impl MemoryLog {
    /// Creates an empty log whose faults are drawn from `seed`.
    pub fn new(seed: u64) -> Self {
        let state = LogState {
            entries: VecDeque::new(),
            earliest: 0,
            end: 0,
            appends: 0,
            faults: LogFaults::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        Self {
            state: Mutex::new(state),
        }
    }

    /// Replaces the faults in force.
    pub fn set_faults(&self, faults: LogFaults) {
        self.lock().faults = faults;
    }

    /// Drops every record before `earliest`, as retention does.
    pub fn trim(&self, earliest: Offset) {
        let mut state = self.lock();
        let earliest = earliest.min(state.end);
        while state.entries.front().is_some_and(|entry| entry.offset < earliest) {
            state.entries.pop_front();
        }
        state.earliest = state.earliest.max(earliest);
    }

    /// Returns the offset that the next record will have.
    pub fn end(&self) -> Offset {
        self.lock().end
    }

    /// Returns how many appends took effect.
    pub fn appends(&self) -> u64 {
        self.lock().appends
    }

    /// Appends a record without the injected delay, but with the other faults in force.
    ///
    /// # Errors
    /// [`AppendError`] according to the fault drawn.
    pub fn append_now(&self, record: LogRecord) -> Result<Offset, AppendError> {
        let mut state = self.lock();
        let refused_ratio = state.faults.refused_ratio;
        if state.faults.is_down || state.rng.random_bool(refused_ratio) {
            return Err(AppendError::NotAppended);
        }
        let offset = state.end;
        state.entries.push_back(LogEntry { offset, record });
        state.end += 1;
        state.appends += 1;
        let lost_answer_ratio = state.faults.lost_answer_ratio;
        if state.rng.random_bool(lost_answer_ratio) {
            return Err(AppendError::Unknown);
        }
        Ok(offset)
    }

    /// Reads records without the injected delay, but with the other faults in force.
    ///
    /// # Errors
    /// [`ReadError`] when the log is down or the records are no longer kept.
    pub fn read_now(&self, from: Offset, limit: usize) -> Result<LogPage, ReadError> {
        let state = self.lock();
        if state.faults.is_down {
            return Err(ReadError::Unavailable);
        }
        if from < state.earliest {
            return Err(ReadError::Trimmed {
                earliest: state.earliest,
            });
        }
        let skipped = (from - state.earliest) as usize;
        let entries = state.entries.iter().skip(skipped).take(limit).cloned().collect();
        Ok(LogPage {
            earliest: state.earliest,
            end: state.end,
            entries,
        })
    }

    fn delay(&self) -> Duration {
        Duration::from_millis(self.lock().faults.delay_ms)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, LogState> {
        self.state.lock().expect("no holder of the lock panics")
    }
}

#[async_trait]
impl PlatformLog for MemoryLog {
    async fn append(&self, record: LogRecord) -> Result<Offset, AppendError> {
        tokio::time::sleep(self.delay()).await;
        self.append_now(record)
    }

    async fn read(&self, from: Offset, limit: usize) -> Result<LogPage, ReadError> {
        tokio::time::sleep(self.delay()).await;
        self.read_now(from, limit)
    }
}
