//! Messages between nodes, as CBOR bodies of HTTP calls.

use mustardgate_core::{
    ids::{BackendId, Offset, ServiceId},
    ports::TopicRecord,
};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use smol_str::SmolStr;

use crate::context::DemandDigest;

/// Path of [`AdapterWanted`].
pub(super) const WANT_PATH: &str = "/peers/v1/adapters";
/// Path of [`DemandReport`].
pub(super) const DEMAND_PATH: &str = "/peers/v1/demand";
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
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DemandReport {
    /// What was counted since the last report.
    pub digest: DemandDigest,
}

/// What the asked node answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderAnswer {
    /// Whether the asked node leads.
    pub is_leading: bool,
    /// Whether it did what was asked.
    pub is_done: bool,
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
