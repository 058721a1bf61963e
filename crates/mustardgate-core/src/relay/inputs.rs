//! Identities of what a runner is given to process: parts of prompts, and whole requests.

use std::{
    fmt::{self, Debug, Formatter},
    net::IpAddr,
};

use derive_more::Display;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Bytes of the hash that are kept; a caller cannot find content with the digest of another caller's request.
const DIGEST_BYTES: usize = 16;

/// Identity of the text of a part of a prompt.
pub type PartId = u64;

/// Digest of what distinguishes a request from others, however often and through whichever node it is sent.
#[derive(Clone, Copy, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[display("{:032x}", u128::from_be_bytes(*_0))]
pub struct RequestDigest([u8; DIGEST_BYTES]);

impl RequestDigest {
    /// Returns a short form, for records that are many.
    pub fn short(&self) -> u64 {
        let [first, ..] = self.0.as_chunks().0 else { return 0 };
        u64::from_be_bytes(*first)
    }
}

impl Debug for RequestDigest {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{self}")
    }
}

/// Something that may crash the runner that processes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum InputId {
    /// A part of a prompt, which other requests may share.
    Part(PartId),
    /// A whole request.
    Request(RequestDigest),
}

/// What distinguishes a request; identifiers, deadlines and resumption fields differ each time and are left out.
#[derive(Clone, Copy, Debug)]
pub struct RequestContent<'a> {
    /// Method.
    pub method: &'a str,
    /// Host that the caller names.
    pub host: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// Credentials of the client account, if any.
    pub account: &'a [u8],
    /// Body.
    pub body: &'a [u8],
}

impl RequestContent<'_> {
    /// Returns the digest; with an address, that of the request as this caller sends it.
    pub fn digest(&self, address: Option<IpAddr>) -> RequestDigest {
        let address = address
            .map(|address| address.to_canonical().to_string())
            .unwrap_or_default();
        let fields = [
            self.method.as_bytes(),
            self.host.as_bytes(),
            self.target.as_bytes(),
            self.account,
            address.as_bytes(),
            self.body,
        ];
        let mut hash = Sha256::new();
        for field in fields {
            // With its length before it, no field can continue into the next.
            hash.update((field.len() as u64).to_be_bytes());
            hash.update(field);
        }
        let mut digest = [0; DIGEST_BYTES];
        digest.copy_from_slice(&hash.finalize()[..DIGEST_BYTES]);
        RequestDigest(digest)
    }
}
