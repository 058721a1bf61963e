//! The VMs of the deployment: the platform's list merged with the observations of other nodes.

mod exchange;
mod membership;
mod poll;

pub use self::{
    exchange::exchange_membership,
    membership::{SuspicionChanges, VmMembership},
    poll::{apply_availability, poll_list},
};
