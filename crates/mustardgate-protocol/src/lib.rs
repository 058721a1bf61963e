//! Typed messages between the processes of mustardgate and towards callers, engines and the platform.

pub mod callers;
pub mod engine;
pub mod operators;
pub mod peers;
pub mod platform;
