//! The platform's log and list of VMs over HTTP.

mod list;
mod log;

pub use self::{list::HttpVmList, log::HttpPlatformLog};
