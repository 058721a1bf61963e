//! Fault injection into a deployment of real processes, with black-box checks of the result.
//!
//! Each fault is one module of [`faults`] that implements [`FaultScript`]. While the fault is active, callers send
//! keyed orders and chat requests, and an operator changes resources. The checks compare what the stand-ins ran with
//! the answers that callers and the operator received. See `docs/PROOFS.md`.

mod changes;
mod chats;
mod checks;
mod declarations;
mod error;
pub mod faults;
mod load;
mod orders;
mod report;
mod run;
mod testbed;
mod traffic;

pub use self::{
    error::FailureError,
    faults::{FaultScript, fault_scripts},
    report::FaultReport,
    run::run_fault,
    testbed::{FaultTestbed, NodeTarget},
};
