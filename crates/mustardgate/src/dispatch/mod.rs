//! Dispatches requests to backend servers: admission, attempts, resumption and verdicts.

mod admission;
mod call;
mod generation;
mod job;

pub use self::{
    admission::{AdmissionController, SlotRequest},
    call::{CallJob, call_time, run_call},
    generation::run_generation,
    job::{GenerationEvent, GenerationJob, JobOrigin},
};
