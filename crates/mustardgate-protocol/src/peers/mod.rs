//! Calls between nodes that share the deployment's key: tarpc with CBOR messages in WebSocket frames.
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
    meter::{MessageKind, NoopMeter, PeerMeter},
    server::{PeerHandler, serve_connection},
    service::SubmissionOutcome,
};

use snafu::Snafu;

/// Why a connection between nodes could not be established.
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
        /// Human-readable reason.
        reason: String,
    },
}

/// A call was not answered; the other node may have executed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("the peer did not answer the call"))]
pub struct CallError;
