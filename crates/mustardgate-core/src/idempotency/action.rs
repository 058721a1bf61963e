//! Requests to a key table, and the actions it returns.

use std::time::{Duration, Instant};

use derive_more::Display;

use crate::{
    ids::{IdempotencyKey, RequestId, TenantId},
    log::{KeyClaim, KeyOutcome, StoredAnswer},
    verdict::RunVerdict,
};

/// Identity of a key; equal keys of different tenants are unrelated.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display("{tenant}/{key}")]
pub struct KeyId {
    /// Tenant whose key it is.
    pub tenant: TenantId,
    /// Idempotency key that the caller sent.
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
    /// Digest of the request, by which a key that is reused for a different request is refused.
    pub digest: u64,
    /// Identifier of this delivery of the request.
    pub request: RequestId,
    /// Time until which the caller waits for an answer.
    pub deadline: Instant,
}

/// An action that the owner of a key table has to perform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyAction {
    /// Append a claim to the log; if it was definitely not appended, call [`super::KeyTable::claim_not_appended`].
    AppendClaim(KeyClaim),
    /// Append an outcome to the log; appending it twice is harmless.
    AppendOutcome(KeyOutcome),
    /// Dispatch the request, because its claim of the key is in force. Issued at most once for a request.
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
        /// Answer of the run, unless none was produced or it was too large to store.
        answer: Option<StoredAnswer>,
    },
    /// Let the caller wait for the outcome of another delivery, which owns the key.
    Wait {
        /// Request that waits.
        request: RequestId,
    },
    /// Refuse the request at once.
    Refuse {
        /// Request to refuse.
        request: RequestId,
        /// Reason for the refusal.
        refusal: KeyRefusal,
        /// Verdict on the key, not on this delivery.
        verdict: RunVerdict,
        /// Time after which the caller may retry with the same key.
        retry_after: Duration,
    },
}

/// Why a keyed request was refused.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum KeyRefusal {
    /// The key was used before with a different request.
    #[display("key_conflict")]
    Conflict,
    /// The log does not accept claims at present.
    #[display("log_unavailable")]
    LogUnavailable,
    /// This node's record of keys does not cover the whole window yet.
    #[display("key_record_incomplete")]
    Incomplete,
    /// This node holds the maximum number of keys or of pending keyed requests.
    #[display("too_many_keys")]
    TooManyKeys,
    /// The claim was not read back from the log in time, or the owner of the key recorded no outcome in time.
    #[display("key_undecided")]
    Undecided,
    /// The owner released the key without sending the request; the same key may be tried again.
    #[display("key_released")]
    Released,
}
