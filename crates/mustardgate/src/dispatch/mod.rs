//! Dispatch of requests to backend servers: admission, attempts, resumption and verdicts.

mod call;
mod desk;
mod generation;
mod job;

pub use self::{
    call::{CallJob, run_call},
    desk::{AdmissionDesk, PlaceRequest},
    generation::run_generation,
    job::{GenerationEvent, GenerationJob, JobOrigin},
};
