//! What a platform gives that keeps keyed topics: long reads, the newest record of each key, conditional appends.

use std::{fmt::Debug, time::Duration};

use async_trait::async_trait;
use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, format_smolstr};
use snafu::Snafu;

use crate::ids::Offset;

/// Topics that the system reads or writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum LogTopic {
    /// The operators' configuration, keyed.
    Configuration,
    /// The runners' entries, keyed.
    Runners,
    /// Lease records, in order.
    Leases,
}

/// One record of a topic.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TopicRecord {
    /// Offset of the record.
    pub offset: Offset,
    /// Key, empty in a topic without keys.
    pub key: SmolStr,
    /// Value, or `None` when the key was dropped.
    pub value: Option<Vec<u8>>,
}

/// A run of records.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TopicPage {
    /// Offset after the last record of this page, from which to read on.
    pub next: Offset,
    /// Records in offset order.
    pub records: Vec<TopicRecord>,
}

/// Why a read failed.
#[derive(Clone, Debug, PartialEq, Eq, Snafu, Serialize, Deserialize)]
pub enum TopicError {
    /// The records asked for are no longer kept.
    #[snafu(display("records before offset {earliest} are no longer kept"))]
    Trimmed {
        /// Offset of the oldest record that is still kept.
        earliest: Offset,
    },
    /// The log did not answer in time, or refused the call.
    #[snafu(display("the log did not answer: {reason}"))]
    Unavailable {
        /// What happened.
        reason: SmolStr,
    },
}

impl TopicError {
    /// Returns the error of a log that did not answer.
    pub fn unavailable(reason: impl std::fmt::Display) -> Self {
        Self::Unavailable {
            reason: format_smolstr!("{reason}"),
        }
    }
}

/// Why a conditional append returned no offset.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu, Serialize, Deserialize)]
pub enum ConditionalError {
    /// The topic ends elsewhere, so the record was not appended.
    #[snafu(display("the topic ends at {end}"))]
    Moved {
        /// Offset at which the topic ends.
        end: Offset,
    },
    /// The record certainly was not appended.
    #[snafu(display("the log did not take the record"))]
    NotAppended,
    /// The record may have been appended, or may be later.
    #[snafu(display("the log's answer was lost"))]
    Unknown,
}

/// A log with topics, as a platform may offer it.
#[async_trait]
pub trait TopicLog: Debug + Send + Sync {
    /// Reads records from `from` on, waiting up to `wait` for the first.
    ///
    /// # Errors
    /// [`TopicError`] when nothing could be read.
    async fn read(&self, topic: LogTopic, from: Offset, wait: Duration) -> Result<TopicPage, TopicError>;

    /// Returns the newest record of every key, and the offset from which to read on.
    ///
    /// # Errors
    /// [`TopicError::Unavailable`] when the log did not answer.
    async fn newest(&self, topic: LogTopic) -> Result<TopicPage, TopicError>;

    /// Appends one record if the topic ends at `at`.
    ///
    /// # Errors
    /// [`ConditionalError`] when the record is not known to be appended.
    async fn append_at(&self, topic: LogTopic, at: Offset, value: Vec<u8>) -> Result<Offset, ConditionalError>;
}
