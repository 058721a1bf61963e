//! Interface to a platform log with keyed topics: long polling, the newest record of each key, conditional appends.

use std::{fmt::Debug, time::Duration};

use async_trait::async_trait;
use derive_more::Display;
use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, format_smolstr};
use snafu::Snafu;

use crate::ids::Offset;

/// Number that the log raises each time it is restored from an older copy of itself. Records appended after the copy
/// was made are lost then, and their offsets are given to other records.
pub type LogEra = u64;

/// A position in a topic.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TopicPosition {
    /// Era in which the offset was learnt; `None` if it holds in every era, as the start of a topic does.
    pub era: Option<LogEra>,
    /// Offset.
    pub offset: Offset,
}

/// A topic that the system reads or writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum LogTopic {
    /// Configuration declared by operators, by key.
    Configuration,
    /// Entries of the runners, by key.
    Runners,
    /// Lease records, without keys.
    Leases,
    /// Batches of stream origins, without keys.
    StreamOrigins,
    /// What nodes know of inputs that crash runners, in one record that each writer replaces.
    Crashes,
}

impl LogTopic {
    /// Returns whether the records of the topic have keys, of which the newest record is kept.
    pub fn is_keyed(self) -> bool {
        matches!(self, Self::Configuration | Self::Runners | Self::Crashes)
    }
}

/// One record of a topic.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TopicRecord {
    /// Offset of the record.
    pub offset: Offset,
    /// Key; empty in a topic without keys.
    pub key: SmolStr,
    /// Value, or `None` when the key was deleted.
    #[serde(with = "serde_bytes")]
    pub value: Option<Vec<u8>>,
}

/// How a page reached this node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Display)]
pub enum PageSource {
    /// The log answered this node.
    #[default]
    #[display("log")]
    Log,
    /// The node that reads the log for others passed on what it knew.
    #[display("feeder")]
    Feeder,
    /// Another node called the log for this one.
    #[display("neighbour")]
    Neighbour,
}

/// Where a page comes from and how old it is, which only the node that received it knows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PageOrigin {
    /// How the page reached this node.
    pub source: PageSource,
    /// Time since the log held nothing newer than the page.
    pub age: Duration,
}

/// A page of records.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TopicPage {
    /// Offset after the last record of this page, at which the next read starts.
    pub next: Offset,
    /// Records in offset order.
    pub records: Vec<TopicRecord>,
    /// Era of the log when it returned the page.
    #[serde(default)]
    pub era: LogEra,
    /// Whether the topic held more records than the page when it was read.
    #[serde(default)]
    pub is_partial: bool,
    /// Time for which a node that passes on what it has read held the call: until it had a change, and until there was room
    /// on its link. `None` from earlier builds and from the log.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub waited: Option<Duration>,
    /// Time for which a read for other nodes had been under way when this node's call joined it.
    #[serde(default, skip_serializing_if = "Duration::is_zero")]
    pub began_before: Duration,
    /// Where the page comes from.
    #[serde(skip)]
    pub origin: PageOrigin,
}

impl TopicPage {
    /// Returns the position at which the next read starts.
    pub fn end(&self) -> TopicPosition {
        TopicPosition {
            era: Some(self.era),
            offset: self.next,
        }
    }
}

/// Why a read failed.
#[derive(Clone, Debug, PartialEq, Eq, Snafu, Serialize, Deserialize)]
pub enum TopicError {
    /// The requested records are no longer kept.
    #[snafu(display("records before offset {earliest} are no longer kept"))]
    Trimmed {
        /// Offset of the oldest record that is still kept.
        earliest: Offset,
    },
    /// The log was restored from an older copy since the position was learnt, so the topic has to be read anew.
    #[snafu(display("the log was restored from an older copy"))]
    Restored,
    /// The log did not answer in time, or refused the call.
    #[snafu(display("the log did not answer: {reason}"))]
    Unavailable {
        /// Reason for the failure.
        reason: SmolStr,
    },
}

impl TopicError {
    /// Creates the error for a log that did not answer or refused the call.
    pub fn unavailable(reason: impl std::fmt::Display) -> Self {
        Self::Unavailable {
            reason: format_smolstr!("{reason}"),
        }
    }
}

/// Why a conditional append returned no offset.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu, Serialize, Deserialize)]
pub enum ConditionalAppendError {
    /// The topic ends at another offset, so the record was not appended.
    #[snafu(display("the topic ends at {end}"))]
    Moved {
        /// Offset at which the topic ends.
        end: Offset,
    },
    /// The log was restored from an older copy since the offset was learnt. The record may stand at an offset that means
    /// something else now.
    #[snafu(context(suffix(AppendSnafu)), display("the log was restored from an older copy"))]
    Restored,
    /// The record was definitely not appended.
    #[snafu(display("the log did not append the record"))]
    NotAppended,
    /// The record may have been appended, or may still be appended later.
    #[snafu(display("the log's answer was lost"))]
    Unknown,
}

/// A log with topics.
#[async_trait]
pub trait TopicLog: Debug + Send + Sync {
    /// Reads records starting at `from`, waiting up to `wait` for the first. Records of the configuration that a later one
    /// replaces may be left out.
    ///
    /// # Errors
    /// [`TopicError`] when nothing could be read.
    async fn read(&self, topic: LogTopic, from: TopicPosition, wait: Duration) -> Result<TopicPage, TopicError>;

    /// Returns the newest record of every key, and the offset at which the next read starts.
    ///
    /// # Errors
    /// [`TopicError::Unavailable`] when the log did not answer.
    async fn newest(&self, topic: LogTopic) -> Result<TopicPage, TopicError>;

    /// Appends one record if the topic ends at offset `at`.
    ///
    /// # Errors
    /// [`ConditionalAppendError`] when the record is not known to be appended.
    async fn append_at(
        &self,
        topic: LogTopic,
        at: TopicPosition,
        value: Vec<u8>,
    ) -> Result<Offset, ConditionalAppendError>;

    /// Appends records wherever the topic ends. When the call fails they may have been appended nevertheless, so a
    /// record has to mean the same when it comes twice.
    ///
    /// # Errors
    /// [`TopicError::Unavailable`] when the records are not known to be appended.
    async fn append(&self, topic: LogTopic, records: Vec<Vec<u8>>) -> Result<(), TopicError>;
}
