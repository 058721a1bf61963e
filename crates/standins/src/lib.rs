//! Stand-ins for what mustardgate meets outside, with the proofs and experiments that run against them.
//!
//! Nothing here ships. The stand-ins' states are plain values, used directly by randomised proofs and, behind a small
//! HTTP listener, by the example processes.

pub mod capacity;
pub mod engine;
pub mod engine_http;
pub mod experiment;
pub mod failures;
pub mod harness;
pub mod http;
pub mod performance;
pub mod platform;
pub mod proof;
pub mod service;
