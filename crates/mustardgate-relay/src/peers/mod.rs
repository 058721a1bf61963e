//! Calls between nodes: adapters wanted, demand counted, records for a start while the log is away.
//!
//! Nothing said here can make a request run twice, release memory or change the configuration to something that the log
//! never held: a neighbour's records are only used until the log itself was read, and orders rest on the lease alone.

mod client;
mod digests;
mod directory;
mod log;
mod messages;
mod server;

pub use self::{
    client::PeerClient,
    digests::DigestTask,
    directory::PeerDirectory,
    log::NeighbourLog,
    messages::{AdapterWanted, DemandReport, KeptRecord, KeptRecords, LeaderAnswer, LogCall, LogReply},
    server::serve_peers,
};
