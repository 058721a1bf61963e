//! Typed messages between the processes of mustardgate and with callers, operators, engines and the platform.

pub mod callers;
pub mod engine;
pub mod operators;
pub mod peers;
pub mod platform;
