//! Faults brought about in a deployment of real processes, judged from the outside.
//!
//! Each fault is one module of [`faults`] of the same shape. While it is in force, callers send keyed orders and chats
//! and operators make changes; the verdict comes from what the stand-ins ran against what callers and operators heard.
//! See `docs/PROOFS.md`.

mod answers;
mod bench;
mod changes;
mod declared;
mod error;
pub mod faults;
mod judge;
mod load;
mod orders;
mod report;
mod run;
mod traffic;

pub use self::{
    bench::{FailureBench, NodeTarget},
    error::FailureError,
    faults::{FaultScript, fault_scripts},
    report::FaultReport,
    run::run_fault,
};
