//! The node of deployments that hand mustardgate their routes and runners.
//!
//! Requests and answers are opaque bytes on configured routes. The decisions stand in `mustardgate_core::relay`; this
//! package brings the listeners, connections and tasks around them. What a platform calls things is hidden behind
//! [`ports`]. See `docs/design/platform.md`.

pub mod client;
pub mod context;
pub mod fleet;
pub mod follow;
pub mod gateway;
pub mod leader;
pub mod node;
pub mod peers;
pub mod ports;
pub mod request_log;
pub mod settings;
