//! The node: network clients and listeners, and tasks that carry out the decisions of `mustardgate_core`.

pub mod backends;
pub mod buffers;
pub mod callers;
pub mod cli;
pub mod configuration;
pub mod context;
pub mod dispatch;
pub mod drain;
pub mod events;
pub mod gateway;
pub mod http;
pub mod keys;
pub mod leader;
pub mod logging;
pub mod node;
pub mod operator;
pub mod peers;
pub mod platform;
pub mod records;
pub mod runners;
pub mod settings;
pub mod telemetry;
pub mod vms;
