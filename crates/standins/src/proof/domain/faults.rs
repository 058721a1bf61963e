//! Random faults, drawn from the seed.

use mustardgate_core::{ids::Offset, log::LogRecord};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::network::NetworkMessage;
use crate::platform::LogFaults;

const LOSS_RATIO: f64 = 0.04;
const DUPLICATE_RATIO: f64 = 0.06;
const LATE_RATIO: f64 = 0.06;
const MAX_PROMPT_DELAY_MS: u64 = 120;
const MAX_LATE_DELAY_MS: u64 = 15_000;
const OUTAGE_MS: std::ops::Range<u64> = 2_000..14_000;
const PAUSE_MS: std::ops::Range<u64> = 200..12_000;

/// How often each fault begins, as a probability in one step.
#[derive(Clone, Copy, Debug)]
pub(in crate::proof) struct FaultPlan {
    pub(in crate::proof) pause_ratio: f64,
    pub(in crate::proof) kill_ratio: f64,
    pub(in crate::proof) outage_ratio: f64,
    pub(in crate::proof) restart_ratio: f64,
    /// Whether one runner is lost permanently, with its engine.
    pub(in crate::proof) loses_runner: bool,
}

impl FaultPlan {
    /// Returns the delay of each copy of a message in milliseconds; there is no copy if the message is lost.
    pub(super) fn copy_delays(rng: &mut ChaCha8Rng, message: &NetworkMessage) -> Vec<u64> {
        let is_lost = rng.random_bool(LOSS_RATIO);
        let is_duplicated = rng.random_bool(DUPLICATE_RATIO) && !matches!(message, NetworkMessage::Append(..));
        let copies = usize::from(!is_lost) + usize::from(is_duplicated);
        (0..copies).map(|_| Self::delay_ms(rng)).collect()
    }

    fn delay_ms(rng: &mut ChaCha8Rng) -> u64 {
        if rng.random_bool(LATE_RATIO) {
            rng.random_range(MAX_PROMPT_DELAY_MS..MAX_LATE_DELAY_MS)
        } else {
            rng.random_range(1..MAX_PROMPT_DELAY_MS)
        }
    }

    pub(super) fn outage_ms(rng: &mut ChaCha8Rng) -> u64 {
        rng.random_range(OUTAGE_MS)
    }

    pub(super) fn pause_ms(rng: &mut ChaCha8Rng) -> u64 {
        rng.random_range(PAUSE_MS)
    }

    pub(super) fn log_faults(is_down: bool) -> LogFaults {
        LogFaults {
            is_down,
            lost_answer_ratio: 0.05,
            refused_ratio: 0.03,
            delay_ms: 0,
        }
    }
}

/// End offsets of the log by time, which determine the earliest offset that the log keeps.
#[derive(Debug, Default)]
pub(super) struct RetentionTracker {
    ends: Vec<(u64, Offset)>,
}

impl RetentionTracker {
    pub(super) fn record_end(&mut self, now_ms: u64, end: Offset) {
        self.ends.push((now_ms, end));
    }

    /// Returns the newest offset that was the end at least `retention_ms` ago.
    pub(super) fn earliest_offset(&self, now_ms: u64, retention_ms: u64) -> Offset {
        let old = self.ends.iter().rev().find(|entry| entry.0 + retention_ms <= now_ms);
        old.map_or(0, |entry| entry.1)
    }
}

/// Returns whether a record is a batch, which counts against the domain's share of appends.
pub(super) fn is_batch(record: &LogRecord) -> bool {
    matches!(record, LogRecord::Batch(_))
}
