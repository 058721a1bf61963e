//! The platform's list of VMs, as this node last saw it.

mod directory;
mod poll;

pub use self::{
    directory::VmDirectory,
    poll::{apply_availability, poll_list},
};
