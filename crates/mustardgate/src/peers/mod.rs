//! Connections between the nodes of the deployment.
//!
//! [`PeerHub`] holds the connections to other nodes, [`serve_peers`] serves theirs. Which messages are sent to which
//! nodes, and how often, is described in `docs/design/peers.md`.

mod hub;
mod listener;
mod meter;
mod responder;

pub use self::{hub::PeerHub, listener::serve_peers, meter::MetricsMeter, responder::PeerResponder};
