//! The key that all nodes of a deployment share, and the proofs that a node holds it.

use std::fmt::{self, Debug, Formatter};

use hmac::{Hmac, Mac};
use sha2::Sha256;
use snafu::Snafu;

/// Header with a side's proof in the HTTP upgrade.
pub(super) const PROOF_HEADER: &str = "x-peer-proof";
/// Shortest key that is accepted.
const MIN_KEY_BYTES: usize = 16;

/// The key is too short to be secure.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("the peer key has fewer than {MIN_KEY_BYTES} bytes"))]
pub struct PeerKeyError;

/// Side of a connection; part of the proof, so that one side's proof cannot be sent back as the other's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ProofSide {
    Client,
    Server,
}

/// The key that all nodes of a deployment share.
#[derive(Clone)]
pub struct PeerKey {
    mac: Hmac<Sha256>,
}

impl PeerKey {
    /// Creates the key from its bytes.
    ///
    /// # Errors
    /// [`PeerKeyError`] when it is too short.
    pub fn new(secret: &[u8]) -> Result<Self, PeerKeyError> {
        if secret.len() < MIN_KEY_BYTES {
            return Err(PeerKeyError);
        }
        let mac = Hmac::new_from_slice(secret).ok().ok_or(PeerKeyError)?;
        Ok(Self { mac })
    }

    /// Returns the proof of one side for the nonce of a connection.
    pub(super) fn prove(&self, side: ProofSide, nonce: &[u8]) -> String {
        let bytes = self.proof_mac(side, nonce).finalize().into_bytes();
        encode_hex(&bytes)
    }

    /// Returns whether a proof is valid for the given side; the comparison takes constant time.
    pub(super) fn verify(&self, side: ProofSide, nonce: &[u8], proof: &[u8]) -> bool {
        decode_hex(proof).is_some_and(|bytes| self.proof_mac(side, nonce).verify_slice(&bytes).is_ok())
    }

    fn proof_mac(&self, side: ProofSide, nonce: &[u8]) -> Hmac<Sha256> {
        let label: &[u8] = match side {
            ProofSide::Client => b"client ",
            ProofSide::Server => b"server ",
        };
        self.mac.clone().chain_update(label).chain_update(nonce)
    }
}

impl Debug for PeerKey {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str("PeerKey")
    }
}

fn encode_hex(bytes: &[u8]) -> String {
    let digits = bytes.iter().flat_map(|byte| [byte >> 4, byte & 0xf]);
    let digits = digits.filter_map(|digit| char::from_digit(u32::from(digit), 16));
    digits.collect()
}

fn decode_hex(text: &[u8]) -> Option<Vec<u8>> {
    let pairs = text.chunks(2).map(|pair| {
        let pair = str::from_utf8(pair).ok().filter(|pair| pair.len() == 2)?;
        u8::from_str_radix(pair, 16).ok()
    });
    pairs.collect()
}
