//! The node for deployments in which the platform provides the routes and runners.
//!
//! Requests and answers are opaque bytes on configured routes. The decisions are made in `mustardgate_core::relay`;
//! this crate provides the listeners, connections and tasks around them. Names and formats of a platform are hidden
//! behind [`ports`]. See `docs/design/platform.md`.

pub mod client;
pub mod context;
pub mod fleet;
pub mod follow;
pub mod gateway;
pub mod leader;
pub mod link;
pub mod node;
pub mod peers;
pub mod ports;
pub mod request_log;
pub mod settings;
