//! Contiguous ranges of the log, which replicas apply and feeders forward.

use serde::{Deserialize, Serialize};

use super::digest::StateDigest;
use crate::{
    ids::Offset,
    log::LogRecord,
    ports::{LogEntry, LogPage},
};

/// A contiguous range of the log; `entries` may omit records that do not concern the configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigSpan {
    /// First offset covered.
    pub from: Offset,
    /// Offset after the last one covered.
    pub until: Offset,
    /// Records that concern the configuration, in offset order.
    pub entries: Vec<LogEntry>,
}

impl ConfigSpan {
    /// Extracts the records that concern the configuration from a page that was read starting at `from`.
    pub fn from_page(from: Offset, page: &LogPage) -> Self {
        let until = page.entries.last().map_or(page.end.max(from), |entry| entry.offset + 1);
        let entries = page.entries.iter().filter(|entry| {
            let is_config = matches!(entry.record, LogRecord::Change(_) | LogRecord::Snapshot(_));
            is_config && entry.offset >= from
        });
        Self {
            from,
            until,
            entries: entries.cloned().collect(),
        }
    }
}

/// Message from a feeder to the other nodes of its domain.
///
/// Snapshots are omitted, because their size would exceed the budget for control traffic; the receiver compares the
/// digest instead of verifying its state against the snapshots.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FeedFrame {
    /// Range of the log that the feeder read.
    pub span: ConfigSpan,
    /// Digest of the feeder's state after this range.
    pub digest: StateDigest,
}

impl FeedFrame {
    pub(super) fn new(mut span: ConfigSpan, digest: StateDigest) -> Self {
        span.entries
            .retain(|entry| matches!(entry.record, LogRecord::Change(_)));
        Self { span, digest }
    }
}
