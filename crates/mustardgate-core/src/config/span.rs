//! Runs of the log that replicas apply and feeders pass on.

use serde::{Deserialize, Serialize};

use super::digest::StateDigest;
use crate::{
    ids::Offset,
    log::LogRecord,
    ports::{LogEntry, LogPage},
};

/// A run of the log without holes; records of other streams may be left out of `entries`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigSpan {
    /// First offset covered.
    pub from: Offset,
    /// Offset after the last one covered.
    pub until: Offset,
    /// The records that concern the configuration, in offset order.
    pub entries: Vec<LogEntry>,
}

impl ConfigSpan {
    /// Takes the records that concern the configuration from a page read from `from` on.
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

/// What a feeder sends to the other nodes of its domain.
///
/// Snapshots are left out, because their size would exceed the budget of control traffic; the digest takes the place of
/// the check against them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FeedFrame {
    /// The run of the log that the feeder read.
    pub span: ConfigSpan,
    /// Digest of the feeder's state after it.
    pub digest: StateDigest,
}

impl FeedFrame {
    pub(super) fn new(mut span: ConfigSpan, digest: StateDigest) -> Self {
        span.entries
            .retain(|entry| matches!(entry.record, LogRecord::Change(_)));
        Self { span, digest }
    }
}
