//! Stand-in for the platform: an append-only log with retention and faults, and a lagging list of VMs.

mod log;
mod pacing;
mod retention;
mod server;
mod vms;

pub use self::{
    log::{LogFaults, MemoryLog},
    pacing::AppendPacer,
    retention::{RetentionPolicy, RetentionTracker},
    server::{
        ADDRESSES_ADMIN_PATH, AddressOverride, FAULTS_PATH, ListFaults, PlatformFaults, PlatformOptions,
        PlatformServer, PlatformStats, PlatformView, STATS_PATH, VMS_ADMIN_PATH,
    },
    vms::LaggingList,
};
