//! Dispatch of requests to backend servers: attempts, resumption and verdicts.

mod generation;
mod job;

pub use self::{
    generation::run_generation,
    job::{GenerationEvent, GenerationJob},
};
