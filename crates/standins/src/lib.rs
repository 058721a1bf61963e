//! Stand-ins for the systems that mustardgate talks to, with the proofs and experiments that run against them.
//!
//! Nothing in this crate is part of a release. The states of the stand-ins are plain values: randomised proofs use them
//! directly, and the example processes serve them through a small HTTP listener.

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
