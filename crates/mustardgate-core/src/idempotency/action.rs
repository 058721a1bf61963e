//! What a key table is asked, and what it wants done.

use std::time::{Duration, Instant};

use derive_more::Display;

use crate::{
    ids::{IdempotencyKey, RequestId, TenantId},
    log::{KeyClaim, KeyOutcome, StoredAnswer},
    verdict::RunVerdict,
};

/// Identity of a key: keys of different tenants are unrelated.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display("{tenant}/{key}")]
pub struct KeyId {
    /// Tenant whose key it is.
    pub tenant: TenantId,
    /// The caller's key.
    pub key: IdempotencyKey,
}

impl From<&KeyClaim> for KeyId {
    fn from(claim: &KeyClaim) -> Self {
        Self {
            tenant: claim.tenant.clone(),
            key: claim.key.clone(),
        }
    }
}

impl From<&KeyOutcome> for KeyId {
    fn from(outcome: &KeyOutcome) -> Self {
        Self {
            tenant: outcome.tenant.clone(),
            key: outcome.key.clone(),
        }
    }
}

/// A keyed request that arrived at this node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyRequest {
    /// Key the caller sent.
    pub id: KeyId,
    /// Digest of the request, so that a key used again for something else is refused.
    pub digest: u64,
    /// Identifier of this delivery of the request.
    pub request: RequestId,
    /// Time until which the caller waits.
    pub deadline: Instant,
}

/// What the owner of a key table has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyAction {
    /// Append a claim to the log, and report how the append went.
    AppendClaim(KeyClaim),
    /// Append an outcome to the log; repeating it is harmless.
    AppendOutcome(KeyOutcome),
    /// Dispatch the request: its claim is the first of its key. Issued at most once for a request.
    Dispatch {
        /// Request to dispatch.
        request: RequestId,
    },
    /// Answer the caller from the record of the key.
    Answer {
        /// Request to answer.
        request: RequestId,
        /// Verdict on the key.
        verdict: RunVerdict,
        /// Answer of the run, unless it was too large to keep.
        answer: Option<StoredAnswer>,
    },
    /// Hold the caller: another delivery of the same key owns it and its outcome is awaited.
    Wait {
        /// Request that waits.
        request: RequestId,
    },
    /// Refuse the caller at once.
    Refuse {
        /// Request to refuse.
        request: RequestId,
        /// Why.
        refusal: KeyRefusal,
        /// Verdict on the key, not on this delivery.
        verdict: RunVerdict,
        /// When to come back with the same key.
        retry_after: Duration,
    },
}

/// Why a keyed request was refused.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum KeyRefusal {
    /// The key was used before with another request.
    #[display("key_conflict")]
    Conflict,
    /// The log does not take claims at present.
    #[display("log_unavailable")]
    LogAway,
    /// This node's record of keys does not cover the whole window yet.
    #[display("key_record_incomplete")]
    Incomplete,
    /// This node holds as many keys or keyed requests as it may.
    #[display("too_many_keys")]
    TooManyKeys,
    /// The claim was not seen in the log in time, or its owner recorded no outcome in time.
    #[display("key_undecided")]
    Undecided,
    /// The owner gave the key up without dispatching; the same key may be tried again.
    #[display("key_released")]
    Released,
}
