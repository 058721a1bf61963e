//! Ports through which decisions and roles reach the outside; adapters implement them over the network or as fakes.

mod backends;
mod platform;

pub use self::{
    backends::{EngineControl, EngineOrder, EngineReport, OrderError, ResidentArtifact},
    platform::{AppendError, ListError, LiveList, LogEntry, LogPage, PlatformLog, ReadError, VmEntry, VmRole, VmState},
};
