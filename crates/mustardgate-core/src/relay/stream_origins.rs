//! At which version streams began, as the nodes that passed on their first events tell some others.
//!
//! The knowledge has to outlive the node that began the stream, because callers take a stream up at another node when
//! theirs ends. See `docs/design/stream-versions.md`.

use std::{
    collections::{HashMap, VecDeque},
    net::SocketAddr,
    time::{Duration, Instant},
};

use derive_more::Display;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use super::{
    inputs::RequestDigest,
    versions::{VersionTag, leading_number},
};
use crate::ids::{DomainId, RequestId};

/// Time for which a record is kept: longer than callers come back to a stream.
const RECORD_LIFE: Duration = Duration::from_secs(120);
/// Largest number of records; the oldest are dropped first.
const MAX_RECORDS: usize = 32_768;
/// Largest number of different requests that are remembered under one identifier.
const MAX_REQUESTS: usize = 4;

/// Digest of the identifier of the caller's attempt that brought a stream's first event.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[display("{_0:016x}")]
pub struct StreamKey(u64);

impl StreamKey {
    /// Returns the key of a stream whose first event an attempt brought.
    pub fn of(attempt: &RequestId) -> Self {
        Self(leading_number(&Sha256::digest(attempt.as_bytes())))
    }

    /// Returns the key that a record holds as this number.
    pub(super) fn from_number(number: u64) -> Self {
        Self(number)
    }

    /// Returns the number that stands for the key in records.
    pub(super) fn number(self) -> u64 {
        self.0
    }
}

/// At which version a stream began.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// Key of the stream.
    pub key: StreamKey,
    /// Short digest of the request, because identifiers can be copied.
    pub request: u64,
    /// Service and version.
    pub version: VersionTag,
}

impl StreamOrigin {
    /// Creates the origin of a stream that an attempt with this content began.
    pub fn new(attempt: &RequestId, content: &RequestDigest, version: VersionTag) -> Self {
        Self {
            key: StreamKey::of(attempt),
            request: content.short(),
            version,
        }
    }
}

/// What a node knows of the stream that a request takes up.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum OriginFinding {
    /// The request itself began the stream at this version.
    Exact(VersionTag),
    /// Another request with the same identifier did, which may be a copied one. It counts only if nobody knows better.
    OtherRequest(VersionTag),
    /// Records contradict each other.
    Contradictory,
    /// Nothing is known.
    #[default]
    Unknown,
}

impl OriginFinding {
    /// Returns the better of two findings; two of other requests that differ contradict each other.
    #[must_use]
    pub fn or(self, other: Self) -> Self {
        match (self, other) {
            (Self::Exact(_), _) => self,
            (_, Self::Exact(_)) | (Self::Unknown, _) => other,
            (_, Self::Unknown) => self,
            (Self::OtherRequest(one), Self::OtherRequest(two)) if one == two => self,
            _ => Self::Contradictory,
        }
    }
}

/// Streams that began of late, at this node or at others that told of them.
#[derive(Debug, Default)]
pub struct OriginLedger {
    origins: HashMap<StreamKey, Vec<StreamOrigin>>,
    order: VecDeque<(Instant, StreamKey)>,
}

impl OriginLedger {
    /// Records where a stream began; an origin that is known is not replaced.
    pub fn record(&mut self, now: Instant, origin: StreamOrigin) {
        self.expire(now);
        let known = self.origins.entry(origin.key).or_default();
        if known.contains(&origin) || known.len() >= MAX_REQUESTS {
            return;
        }
        if known.is_empty() {
            self.order.push_back((now, origin.key));
        }
        known.push(origin);
    }

    /// Returns what is known of the stream that a request takes up.
    pub fn find(&self, key: StreamKey, content: &RequestDigest) -> OriginFinding {
        let Some(known) = self.origins.get(&key) else {
            return OriginFinding::Unknown;
        };
        let version_of = |is_same: bool| {
            let mut versions = known
                .iter()
                .filter(|origin| (origin.request == content.short()) == is_same)
                .map(|origin| origin.version);
            let first = versions.next()?;
            // Records that contradict each other say nothing.
            Some(versions.all(|version| version == first).then_some(first))
        };
        match (version_of(true), version_of(false)) {
            (Some(Some(version)), _) => OriginFinding::Exact(version),
            (None, Some(Some(version))) => OriginFinding::OtherRequest(version),
            (None, None) => OriginFinding::Unknown,
            _ => OriginFinding::Contradictory,
        }
    }

    /// Returns the number of streams that are known.
    pub fn len(&self) -> usize {
        self.origins.len()
    }

    /// Returns whether no stream is known.
    pub fn is_empty(&self) -> bool {
        self.origins.is_empty()
    }

    fn expire(&mut self, now: Instant) {
        while let Some((at, key)) = self.order.front().copied() {
            if self.order.len() < MAX_RECORDS && now.saturating_duration_since(at) < RECORD_LIFE {
                break;
            }
            self.order.pop_front();
            self.origins.remove(&key);
        }
    }
}

/// Another node of the system.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NodeMember {
    /// Address at which it answers other nodes.
    pub address: SocketAddr,
    /// Failure domain that it is in.
    pub domain: DomainId,
}

/// Returns the nodes by their rank for a stream, which all nodes compute alike, those in `domain` first.
///
/// The load balancer sends callers to nodes of one domain, so the nodes there are reached when the domain is cut off.
pub fn rank_keepers<'a>(key: StreamKey, members: &'a [NodeMember], domain: &DomainId) -> Vec<&'a NodeMember> {
    let mut ranked: Vec<(bool, u64, &NodeMember)> = members
        .iter()
        .map(|member| (member.domain != *domain, rank(key, member.address), member))
        .collect();
    ranked.sort_unstable_by_key(|(is_remote, rank, member)| (*is_remote, *rank, member.address));
    ranked.into_iter().map(|(_, _, member)| member).collect()
}

/// Returns the nodes that are told where a stream began: the first in the own domain and the first elsewhere.
pub fn choose_keepers<'a>(key: StreamKey, members: &'a [NodeMember], domain: &DomainId) -> Vec<&'a NodeMember> {
    let ranked = rank_keepers(key, members, domain);
    let near = ranked.iter().copied().find(|member| member.domain == *domain);
    let far = ranked.iter().copied().find(|member| member.domain != *domain);
    match (near, far) {
        (Some(near), Some(far)) => vec![near, far],
        // All other nodes are on one side.
        _ => ranked.into_iter().take(2).collect(),
    }
}

/// Returns the rank of a node for a stream, which all nodes compute alike.
pub(super) fn rank(key: StreamKey, address: SocketAddr) -> u64 {
    let mut hash = Sha256::new();
    hash.update(key.0.to_be_bytes());
    hash.update(address.to_string().as_bytes());
    leading_number(&hash.finalize())
}
