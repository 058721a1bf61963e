//! HTTP messages of the platform's log service and list of VMs.

use mustardgate_core::ids::Offset;
use serde::{Deserialize, Serialize};

/// Path to which one record is appended with `POST`; the body is a `LogRecord` as JSON.
pub const APPEND_PATH: &str = "/log/append";
/// Path from which records are read with `GET` and the query `from` and `limit`; the answer is a `LogPage` as JSON.
pub const RECORDS_PATH: &str = "/log/records";
/// Path of the list of VMs; the answer is a list of `VmEntry` as JSON.
pub const VMS_PATH: &str = "/vms";

/// Answer to an append. Status 503 instead means that the record certainly was not appended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendAnswer {
    /// Offset of the appended record.
    pub offset: Offset,
}

/// Body of status 410: the requested offset is older than the retained records.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrimmedAnswer {
    /// Offset of the oldest record that is still retained.
    pub earliest: Offset,
}
