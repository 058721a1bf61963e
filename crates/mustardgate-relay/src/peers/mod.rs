//! Calls between nodes: adapter requests, permits, demand reports, exchanges without a leader, log access through a
//! neighbour, and records for a node that starts while the log is unavailable.
//!
//! No message between nodes can make a request run twice, release memory or bring a configuration into force that the
//! log never held: a neighbour's records are used only until the log itself has been read, and orders depend on the
//! lease alone.

mod client;
mod crash_log;
mod digests;
mod directory;
mod exchange;
mod feed;
mod log;
mod members;
mod messages;
mod origins;
mod part_crashes;
mod server;
mod shared_reads;
mod stream_log;
mod traffic;
mod version_log;

pub use self::{
    client::{MAX_MESSAGE_TIME, PeerClient},
    crash_log::CrashRecordTask,
    digests::{DigestTask, REPORT_INTERVAL},
    directory::PeerDirectory,
    feed::{FeedLimiter, KnowledgeLimiter},
    log::NeighbourLog,
    messages::{
        AdapterRequest, CachedRecord, CachedRecords, DemandReport, KnowledgeExchange, LeaderAnswer, LogCall, LogReply,
        PeerNotice, PermitAnswer, PermitRequest, QuotaCall,
    },
    origins::{NoticeTask, OriginReport, ask_origin},
    part_crashes::{PartCrash, PartCrashDigest},
    server::serve_peers,
    shared_reads::{PageQuery, SharedReads},
    stream_log::{RecordTask, StreamLogReader},
    traffic::{ControlLoad, MessageDirection, MessageKind},
    version_log::VersionRecordTask,
};
