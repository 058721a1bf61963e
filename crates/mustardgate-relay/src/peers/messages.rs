//! Messages between nodes, as CBOR bodies of HTTP calls.

use std::{net::SocketAddr, time::Duration};

use mustardgate_core::{
    ids::{BackendId, Offset, ServiceId},
    ports::{ConditionalAppendError, LogTopic, TopicError, TopicPage, TopicRecord},
    relay::RunnerObservation,
};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use smol_str::SmolStr;

use crate::context::DemandDigest;

/// Path of [`AdapterWanted`].
pub(super) const WANT_PATH: &str = "/peers/v1/adapters";
/// Path of [`DemandReport`].
pub(super) const DEMAND_PATH: &str = "/peers/v1/demand";
/// Path of [`LogCall`].
pub(super) const LOG_PATH: &str = "/peers/v1/log";
/// Path of [`KeptRecords`].
pub(super) const RECORDS_PATH: &str = "/peers/v1/records";

/// A node asks the leader to have an adapter loaded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdapterWanted {
    /// Service of the runner.
    pub service: ServiceId,
    /// Runner that is to load it.
    pub backend: BackendId,
    /// Model and adapter, separated by a slash.
    pub name: SmolStr,
}

/// A node tells the leader the demand that it counted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DemandReport {
    /// Address at which the node answers other nodes.
    pub address: SocketAddr,
    /// What was counted since the last report.
    pub digest: DemandDigest,
    /// Number of the last observation of a runner that the asked node told this one.
    #[serde(default)]
    pub seen: u64,
}

/// What the asked node answers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderAnswer {
    /// Whether the asked node leads.
    pub is_leading: bool,
    /// Whether it did what was asked.
    pub is_done: bool,
    /// Nodes that the leader heard of lately, itself included; 0 when it does not know.
    pub nodes: u32,
    /// What the leader saw of runners since the last report.
    #[serde(default)]
    pub observations: Vec<RunnerObservation>,
    /// Number of the newest observation.
    #[serde(default)]
    pub seen: u64,
}

/// A call to the log on behalf of a node that does not reach it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LogCall {
    /// Reads records.
    Read {
        /// Topic.
        topic: LogTopic,
        /// First offset.
        from: Offset,
        /// Time to wait for the first record.
        wait: Duration,
    },
    /// Reads what the asked node itself has learnt of a keyed topic.
    Changes {
        /// Topic.
        topic: LogTopic,
        /// First offset.
        from: Offset,
        /// Time to wait for the first change.
        wait: Duration,
    },
    /// Reads the newest record of each key.
    Newest {
        /// Topic.
        topic: LogTopic,
    },
    /// Appends a record if the topic ends at an offset.
    AppendAt {
        /// Topic.
        topic: LogTopic,
        /// Offset at which the topic must end.
        at: Offset,
        /// The record.
        value: Vec<u8>,
    },
}

/// What the log answered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LogReply {
    /// Records, or why there are none.
    Page(Result<TopicPage, TopicError>),
    /// Changes, and the time since the asked node read them from the log.
    Changes(Result<(TopicPage, Duration), TopicError>),
    /// Offset of the appended record, or why there is none.
    Appended(Result<Offset, ConditionalAppendError>),
}

/// One record as a neighbour read it from the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeptRecord {
    /// Key.
    pub key: SmolStr,
    /// Offset.
    pub offset: Offset,
    /// Value.
    pub value: Vec<u8>,
}

/// The newest records that a neighbour has read.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeptRecords {
    /// Records of the configuration.
    pub configuration: Vec<KeptRecord>,
    /// Entries of runners.
    pub runners: Vec<KeptRecord>,
}

impl KeptRecord {
    /// Takes a record of the log, unless its key was dropped.
    pub fn of(record: TopicRecord) -> Option<Self> {
        Some(Self {
            key: record.key,
            offset: record.offset,
            value: record.value?,
        })
    }

    /// Returns the record as the log would give it.
    pub fn into_record(self) -> TopicRecord {
        TopicRecord {
            offset: self.offset,
            key: self.key,
            value: Some(self.value),
        }
    }
}

pub(super) fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(message, &mut bytes).expect("messages encode without failure into memory");
    bytes
}

pub(super) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    ciborium::from_reader(bytes).ok()
}
