//! Faults brought about in a deployment of real processes, judged from the outside.
//!
//! Each fault is one module of [`faults`] of the same shape. While it is in force, callers send keyed orders and chats
//! and operators make changes; the verdict comes from what the stand-ins ran against what callers and operators heard.
//! See `docs/PROOFS.md`.

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
