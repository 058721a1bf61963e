//! Ports through which decisions and roles reach the outside; adapters implement them over the network or as fakes.

mod backends;
mod keyed_log;
mod platform;

pub use self::{
    backends::{EngineControl, EngineOrder, EngineReport, OrderError, ResidentArtifact},
    keyed_log::{ConditionalError, LogTopic, TopicError, TopicLog, TopicPage, TopicRecord},
    platform::{AppendError, ListError, LiveList, LogEntry, LogPage, PlatformLog, ReadError, VmEntry, VmRole, VmState},
};
