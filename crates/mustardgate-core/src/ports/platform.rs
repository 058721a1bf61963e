//! What the platform gives: an append-only log and a lagging list of VMs.

use std::{fmt::Debug, net::SocketAddr};

use async_trait::async_trait;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use snafu::Snafu;

use crate::{
    ids::{DomainId, Offset, RegionId},
    log::LogRecord,
};

/// The platform's append-only log.
#[async_trait]
pub trait PlatformLog: Debug + Send + Sync {
    /// Appends one record and returns its offset.
    ///
    /// # Errors
    /// [`AppendError::NotAppended`] when the record certainly is not in the log, [`AppendError::Unknown`] when it may be.
    async fn append(&self, record: LogRecord) -> Result<Offset, AppendError>;

    /// Reads at most `limit` records from `from` on; an empty page means that the end was reached.
    ///
    /// # Errors
    /// [`ReadError::Trimmed`] when `from` is older than the retention, [`ReadError::Unavailable`] otherwise.
    async fn read(&self, from: Offset, limit: usize) -> Result<LogPage, ReadError>;
}

/// A run of records.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LogPage {
    /// Offset of the oldest record that is still kept.
    pub earliest: Offset,
    /// Offset that the next appended record will have.
    pub end: Offset,
    /// Records in offset order.
    pub entries: Vec<LogEntry>,
}

/// A record with its offset.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Offset of the record.
    pub offset: Offset,
    /// The record.
    pub record: LogRecord,
}

/// Why an append did not return an offset.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum AppendError {
    /// The record certainly was not appended.
    #[snafu(display("the log did not take the record"))]
    NotAppended,
    /// The record may have been appended: the answer was lost.
    #[snafu(display("the log's answer was lost"))]
    Unknown,
}

/// Why a read returned nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum ReadError {
    /// The records asked for are older than the retention.
    #[snafu(display("records before offset {earliest} are no longer kept"))]
    Trimmed {
        /// Offset of the oldest record that is still kept.
        earliest: Offset,
    },
    /// The log did not answer.
    #[snafu(display("the log did not answer"))]
    Unavailable,
}

/// The platform's list of VMs, which lags behind the truth.
#[async_trait]
pub trait LiveList: Debug + Send + Sync {
    /// Fetches the list as the platform has it now.
    ///
    /// # Errors
    /// [`ListError`] when the platform did not answer.
    async fn fetch(&self) -> Result<Vec<VmEntry>, ListError>;
}

/// The platform did not answer with its list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("the platform's list of VMs is not available"))]
pub struct ListError;

/// One VM in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmEntry {
    /// Name of the VM: a node's or a backend server's.
    pub name: SmolStr,
    /// What runs on it.
    pub role: VmRole,
    /// Failure domain it stands in.
    pub domain: DomainId,
    /// Region of the failure domain.
    pub region: RegionId,
    /// Address of the peer listener of an entry VM, or of the HTTP listener of a backend server.
    pub address: SocketAddr,
    /// Whether it stays.
    pub state: VmState,
}

/// What runs on a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmRole {
    /// An entry VM with a node of the system.
    Entry,
    /// A backend server.
    Backend,
}

/// State of a VM in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// The VM serves.
    Live,
    /// The VM is about to go and takes no new work.
    Leaving,
}
