//! Messages between nodes, as CBOR bodies of HTTP calls.

use std::{net::SocketAddr, time::Duration};

use mustardgate_core::{
    ids::{BackendId, DomainId, Offset, RunnerProcess, ServiceId},
    ports::{ConditionalAppendError, LogEra, LogTopic, TopicError, TopicPage, TopicRecord},
    relay::{
        BrittleService, ChangeNumber, CrashDigest, CrashSummary, LimitObservation, LoanRequest, NodeMember,
        OriginFinding, QuotaAnswer, QuotaReport, RequestDigest, RunnerObservation, StreamKey, StreamOrigin,
        VersionDigest,
    },
};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use serde_bytes::ByteBuf;
use smol_str::SmolStr;

use super::part_crashes::PartCrashDigest;
use crate::context::DemandDigest;

/// Longest encoding of a reply without its records, and of a record without its key and value, in bytes.
const REPLY_OVERHEAD: usize = 256;
const RECORD_OVERHEAD: usize = 64;
/// Path of [`AdapterRequest`].
pub(super) const ADAPTER_PATH: &str = "/peers/v1/adapters";
/// Path of [`DemandReport`].
pub(super) const DEMAND_PATH: &str = "/peers/v1/demand";
/// Path of [`KnowledgeExchange`].
pub(super) const EXCHANGE_PATH: &str = "/peers/v1/exchange";
/// Path of [`PermitRequest`].
pub(super) const PERMIT_PATH: &str = "/peers/v1/permits";
/// Path of [`OriginQuery`].
pub(super) const ORIGIN_PATH: &str = "/peers/v1/origins";
/// Path of [`QuotaCall`].
pub(super) const QUOTA_PATH: &str = "/peers/v1/quotas";
/// Path of [`LogCall`].
pub(super) const LOG_PATH: &str = "/peers/v1/log";
/// Path of [`CachedRecords`].
pub(super) const RECORDS_PATH: &str = "/peers/v1/records";

/// A node asks the leader to load an adapter.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdapterRequest {
    /// Service of the runner.
    pub service: ServiceId,
    /// Runner that shall load it.
    pub backend: BackendId,
    /// Model and adapter, separated by a slash.
    pub name: SmolStr,
}

/// A node reports the demand that it counted to the leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DemandReport {
    /// Address at which the node answers other nodes.
    pub address: SocketAddr,
    /// Demand counted since the last report.
    pub digest: DemandDigest,
    /// Number of the newest runner observation that the called node has returned to this one.
    #[serde(default)]
    pub seen: u64,
    /// What the node knows of parts of prompts under which runners crash, for earlier builds.
    #[serde(default)]
    pub crashes: PartCrashDigest,
    /// What the node knows of inputs under which runners crash; earlier builds do not send it.
    #[serde(default)]
    pub inputs: Option<CrashDigest>,
    /// Rate limits that the node observed itself.
    #[serde(default)]
    pub limits: Vec<LimitObservation>,
    /// Failure domain of the node; earlier builds do not send it.
    #[serde(default)]
    pub domain: Option<DomainId>,
    /// Digest of the list of nodes that the leader told last.
    #[serde(default)]
    pub members_seen: u64,
    /// Versions of runners that the node has seen.
    #[serde(default)]
    pub versions: VersionDigest,
    /// Services whose runners are brittle.
    #[serde(default)]
    pub brittle: Vec<BrittleService>,
    /// What the process holds of the fixed retries; earlier builds do not send it.
    #[serde(default)]
    pub loan: Option<LoanRequest>,
    /// What the node has used of quotas and needs; not sent where no tenant has a quota.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub quotas: Option<QuotaReport>,
    /// Loads of runners of paced services that the node saw itself since the last report, by [`encode_loads`].
    ///
    /// [`encode_loads`]: mustardgate_core::relay::encode_loads
    #[serde(default, skip_serializing_if = "<[u8]>::is_empty", with = "serde_bytes")]
    pub loads: Vec<u8>,
    /// Number of the newest load that the called node has returned to this one.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub loads_seen: u64,
    /// Number of the newest change of what the leader knows of crashes that it returned; 0 if none.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub crashes_seen: ChangeNumber,
    /// Summary of what the node knows of suspected inputs, until the leader has told it what it lacks.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub crashes_known: Option<CrashSummary>,
}

/// Answer of the called node.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LeaderAnswer {
    /// Whether the called node leads.
    pub is_leading: bool,
    /// Whether it did what the call asked for.
    pub is_done: bool,
    /// Nodes with which the leader had recent contact, including itself; 0 if unknown.
    pub nodes: u32,
    /// Runner observations made by the leader since the last report.
    #[serde(default)]
    pub observations: Vec<RunnerObservation>,
    /// Number of the newest observation.
    #[serde(default)]
    pub seen: u64,
    /// What the leader knows of parts of prompts under which runners crash, for earlier builds.
    #[serde(default)]
    pub crashes: PartCrashDigest,
    /// What the leader knows of inputs under which runners crash; earlier builds do not send it.
    #[serde(default)]
    pub inputs: Option<CrashDigest>,
    /// Addresses of some other nodes, with which to exchange what is known while no node leads.
    #[serde(default)]
    pub neighbours: Vec<SocketAddr>,
    /// Rate limits that the leader and other nodes observed.
    #[serde(default)]
    pub limits: Vec<LimitObservation>,
    /// All nodes with recent contact, if the calling node has another list.
    #[serde(default)]
    pub members: Option<Vec<NodeMember>>,
    /// Versions of runners that the leader has seen or heard of.
    #[serde(default)]
    pub versions: VersionDigest,
    /// Services whose runners are brittle.
    #[serde(default)]
    pub brittle: Vec<BrittleService>,
    /// Part of the fixed retries that the leader lends; earlier builds do not send it.
    #[serde(default)]
    pub loan: Option<f64>,
    /// What the leader grants of quotas, if the node reported its use.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub quotas: Option<QuotaAnswer>,
    /// Newest loads of runners of paced services that the leader has learnt since the last report.
    #[serde(default, skip_serializing_if = "<[u8]>::is_empty", with = "serde_bytes")]
    pub loads: Vec<u8>,
    /// Number of the newest of these loads.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub loads_seen: u64,
    /// Number of the newest change in `inputs`.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub crashes_seen: ChangeNumber,
    /// Whether more is left to tell than there was room for.
    #[serde(default, skip_serializing_if = "is_false")]
    pub has_more_crashes: bool,
}

/// What a node knows that binds all nodes. Nodes exchange it with each other while they reach no leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KnowledgeExchange {
    /// Address at which the node answers other nodes.
    pub address: Option<SocketAddr>,
    /// What the node knows of inputs under which runners crash and the other one may lack.
    pub inputs: CrashDigest,
    /// Summary of all that the calling node knows of them; earlier builds send everything, and want everything.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub known: Option<CrashSummary>,
    /// Rate limits that the node observed itself.
    pub limits: Vec<LimitObservation>,
    /// Failure domain of the node; earlier builds do not send it.
    #[serde(default)]
    pub domain: Option<DomainId>,
    /// Versions of runners that the node has seen or heard of.
    #[serde(default)]
    pub versions: VersionDigest,
    /// Services whose runners are brittle.
    #[serde(default)]
    pub brittle: Vec<BrittleService>,
    /// Newest loads of runners of paced services that the node knows.
    #[serde(default, skip_serializing_if = "<[u8]>::is_empty", with = "serde_bytes")]
    pub loads: Vec<u8>,
    /// Addresses of some other nodes, in an answer, so that nodes which know their seeds only get to know more.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub neighbours: Vec<SocketAddr>,
}

/// What a node tells others at once, in a datagram.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerNotice {
    /// Streams that began at it.
    Streams(Vec<StreamOrigin>),
    /// Brittle runner processes that turned a request away.
    Rejections(Vec<RunnerProcess>),
    /// Streams that the called node writes to the log; earlier builds do not understand it.
    Unrecorded(Vec<StreamOrigin>),
}

/// A node asks at which version a stream began that its caller takes up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginQuery {
    /// Key of the stream.
    pub key: StreamKey,
    /// Digest of the request.
    pub request: RequestDigest,
}

/// Answer to an [`OriginQuery`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginAnswer {
    /// What the called node knows.
    pub finding: OriginFinding,
}

/// A node asks the leader for a permit to send one request to a runner with a rate limit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// What the node knows of the limit.
    pub limit: LimitObservation,
}

/// Answer to a [`PermitRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitAnswer {
    /// The request may be sent now.
    Issued,
    /// The request must not be sent; the next permit is expected after this time.
    Refused(Duration),
    /// The called node does not lead.
    NotLeading,
}

/// A node reports its use of quotas between two reports of demand, because requests wait for a grant, or to a neighbour while no
/// leader reaches it. The answer is a [`QuotaAnswer`], or none.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QuotaCall {
    /// Address at which the node answers other nodes.
    pub address: SocketAddr,
    /// What it has used and needs.
    pub report: QuotaReport,
    /// Whether it asks for a part of the fixed shares that the called node keeps, because no leader reaches it.
    #[serde(default)]
    pub is_pooled: bool,
}

/// A call to the log, or to the called node's copy of its records, on behalf of the calling node.
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
        /// Era in which the offset was learnt.
        #[serde(default)]
        era: Option<LogEra>,
    },
    /// Reads the changes of a keyed topic that the called node itself has read.
    Changes {
        /// Topic.
        topic: LogTopic,
        /// First offset.
        from: Offset,
        /// Time to wait for the first change.
        wait: Duration,
        /// Era in which the offset was learnt.
        #[serde(default)]
        era: Option<LogEra>,
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
        /// Era in which the offset was learnt.
        #[serde(default)]
        era: Option<LogEra>,
    },
    /// Appends records wherever the topic ends; earlier builds do not understand it.
    Append {
        /// Topic.
        topic: LogTopic,
        /// The records.
        values: Vec<ByteBuf>,
    },
}

/// Answer to a [`LogCall`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LogReply {
    /// Records, or why there are none.
    Page(Result<TopicPage, TopicError>),
    /// Changes, and the time since the called node last read the log.
    Changes(Result<(TopicPage, Duration), TopicError>),
    /// Offset of the appended record, or why none was appended.
    Appended(Result<Offset, ConditionalAppendError>),
    /// Whether records were appended wherever the topic ended.
    Written(Result<(), TopicError>),
}

/// One record as a neighbour read it from the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CachedRecord {
    /// Key.
    pub key: SmolStr,
    /// Offset.
    pub offset: Offset,
    /// Value.
    #[serde(with = "serde_bytes")]
    pub value: Vec<u8>,
}

/// The newest records that a neighbour has read.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CachedRecords {
    /// Records of the configuration.
    pub configuration: Vec<CachedRecord>,
    /// Entries of runners.
    pub runners: Vec<CachedRecord>,
}

impl CachedRecord {
    /// Converts a record of the log; returns `None` if the record deletes its key.
    pub fn of(record: TopicRecord) -> Option<Self> {
        Some(Self {
            key: record.key,
            offset: record.offset,
            value: record.value?,
        })
    }

    /// Returns the record as the log would return it.
    pub fn into_record(self) -> TopicRecord {
        TopicRecord {
            offset: self.offset,
            key: self.key,
            value: Some(self.value),
        }
    }
}

impl LogReply {
    /// Returns the size of the encoded reply in bytes or a little more, so that one which is refused is not encoded.
    pub fn weight(&self) -> usize {
        match self {
            Self::Page(Ok(page)) | Self::Changes(Ok((page, _))) => {
                let records = page.records.iter();
                let weights = records.map(|record| record_weight(&record.key, record.value.as_deref()));
                REPLY_OVERHEAD + weights.sum::<usize>()
            }
            Self::Page(Err(_)) | Self::Changes(Err(_)) | Self::Appended(_) | Self::Written(_) => REPLY_OVERHEAD,
        }
    }
}

impl CachedRecords {
    /// Returns the size of the encoded records in bytes or a little more.
    pub fn weight(&self) -> usize {
        let records = self.configuration.iter().chain(&self.runners);
        let weights = records.map(|record| record_weight(&record.key, Some(&record.value)));
        REPLY_OVERHEAD + weights.sum::<usize>()
    }
}

#[allow(clippy::trivially_copy_pass_by_ref, reason = "the signature is given by serde")]
fn is_zero(number: &u64) -> bool {
    *number == 0
}

#[allow(clippy::trivially_copy_pass_by_ref, reason = "the signature is given by serde")]
fn is_false(flag: &bool) -> bool {
    !*flag
}

fn record_weight(key: &str, value: Option<&[u8]>) -> usize {
    RECORD_OVERHEAD + key.len() + value.map_or(0, <[u8]>::len)
}

pub(super) fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(message, &mut bytes).expect("messages encode without failure into memory");
    bytes
}

pub(super) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    ciborium::from_reader(bytes).ok()
}
