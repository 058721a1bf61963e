//! Connections between the nodes of the deployment.
//!
//! [`PeerHub`] holds the connections to other nodes, [`serve_peers`] answers theirs. What is sent to whom and how often
//! stands in `docs/design/peers.md`.

mod answers;
mod hub;
mod listener;
mod meter;

pub use self::{answers::PeerAnswers, hub::PeerHub, listener::serve_peers, meter::MetricsMeter};
