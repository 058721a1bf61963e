//! Interface to the platform: an append-only log, and a list of VMs that may be out of date.

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
    /// [`AppendError::NotAppended`] if the record is definitely not in the log, [`AppendError::Unknown`] if it may be.
    async fn append(&self, record: LogRecord) -> Result<Offset, AppendError>;

    /// Reads at most `limit` records starting at `from`; an empty page means that the end was reached.
    ///
    /// # Errors
    /// [`ReadError::Trimmed`] when `from` is older than the retention, [`ReadError::Unavailable`] otherwise.
    async fn read(&self, from: Offset, limit: usize) -> Result<LogPage, ReadError>;
}

/// A page of records.
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
    /// The record was definitely not appended.
    #[snafu(display("the log did not append the record"))]
    NotAppended,
    /// The answer was lost, so the record may have been appended.
    #[snafu(display("the log's answer was lost"))]
    Unknown,
}

/// Why a read failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum ReadError {
    /// The requested records are older than the retention.
    #[snafu(display("records before offset {earliest} are no longer kept"))]
    Trimmed {
        /// Offset of the oldest record that is still kept.
        earliest: Offset,
    },
    /// The log did not answer.
    #[snafu(display("the log did not answer"))]
    Unavailable,
}

/// The platform's list of VMs, which may be out of date.
#[async_trait]
pub trait VmList: Debug + Send + Sync {
    /// Fetches the current list of the platform.
    ///
    /// # Errors
    /// [`VmListError`] when the platform did not answer.
    async fn fetch(&self) -> Result<Vec<VmEntry>, VmListError>;
}

/// The platform did not return its list of VMs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("the platform's list of VMs is not available"))]
pub struct VmListError;

/// One VM in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmEntry {
    /// Name of the node or backend server on the VM.
    pub name: SmolStr,
    /// Role of the VM.
    pub role: VmRole,
    /// Failure domain of the VM.
    pub domain: DomainId,
    /// Region of the failure domain.
    pub region: RegionId,
    /// Address of the peer listener of an entry VM, or of the HTTP listener of a backend server.
    pub address: SocketAddr,
    /// State of the VM.
    pub state: VmState,
}

/// Role of a VM.
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
    /// The VM is in service.
    Live,
    /// The VM is about to be removed and takes no new work.
    Leaving,
}
