//! Ports: interfaces to the platform and to backend servers, implemented over the network or as fakes in tests.

mod backends;
mod keyed_log;
mod platform;

pub use self::{
    backends::{EngineControl, EngineOrder, EngineReport, OrderError, ResidentArtifact},
    keyed_log::{
        ConditionalAppendError, LogEra, LogTopic, PageOrigin, PageSource, TopicError, TopicLog, TopicPage,
        TopicPosition, TopicRecord,
    },
    platform::{AppendError, LogEntry, LogPage, PlatformLog, ReadError, VmEntry, VmList, VmListError, VmRole, VmState},
};
