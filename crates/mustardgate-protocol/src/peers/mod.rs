//! Calls between nodes: tarpc over WebSocket frames in CBOR, between nodes that share the deployment's key.
//!
//! A connection is refused at the HTTP upgrade unless both sides prove that they hold the key. A frame that is too
//! large or cannot be decoded ends its connection and nothing else. See `docs/design/peers.md`.

mod connection;
mod frames;
mod key;
mod meter;
mod server;
mod service;

pub use self::{
    connection::PeerClient,
    frames::{FrameError, MAX_FRAME_BYTES},
    key::{PeerKey, PeerKeyError},
    meter::{MessageKind, PeerMeter, SilentMeter},
    server::{PeerHandler, serve_connection},
    service::SubmissionOutcome,
};

use snafu::Snafu;

/// Why a connection between nodes did not come about.
#[derive(Debug, Snafu)]
pub enum PeerError {
    /// The other node could not be reached, or did not finish the upgrade in time.
    #[snafu(display("the peer could not be reached"))]
    Unreachable,
    /// One side did not prove that it holds the deployment's key.
    #[snafu(display("the peer does not hold the deployment's key"))]
    WrongKey,
    /// The upgrade failed for another reason.
    #[snafu(display("the upgrade failed: {reason}"))]
    Upgrade {
        /// Reason in words.
        reason: String,
    },
}

/// A call without an answer; the other node may have carried it out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("the peer did not answer the call"))]
pub struct CallError;
