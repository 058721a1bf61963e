//! Tenants that the configuration declares, and the API keys by which their callers are known.
//!
//! Answers the load of one account that sends through many callers and every node: whatever key and node a request
//! comes by, it counts for the same tenant. See `docs/design/tenants.md`.

use std::{
    collections::BTreeMap,
    fmt::{self, Debug, Formatter},
    sync::Arc,
};

use derive_more::Display;
use sha2::{Digest, Sha256};

use super::TokenUsage;
use crate::ids::TenantId;

/// SHA-256 digest of an API key.
///
/// Keys are compared by their digests, so that a look-up takes as long whatever part of a key is right. The digest of a
/// short key can be guessed, so it is not shown either.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Returns the digest of a key.
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }
}

impl Debug for KeyDigest {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

/// What a quota counts.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Hash)]
pub enum QuotaUnit {
    /// Requests.
    #[default]
    #[display("requests")]
    Requests,
    /// Tokens of prompts and answers, as callers declare them.
    #[display("tokens")]
    Tokens,
}

/// Limit on what all requests of a tenant may use, over all nodes together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TenantQuota {
    /// What it counts.
    pub unit: QuotaUnit,
    /// Units allowed per second; above 0.
    pub rate_per_s: f64,
    /// Units that an unused quota saves up.
    pub burst: f64,
    /// Tokens that a request counts which declares none.
    pub plain_tokens: u64,
}

impl TenantQuota {
    /// Returns the units that a request with these declared sizes uses.
    pub fn cost(&self, usage: Option<TokenUsage>) -> u64 {
        match (self.unit, usage) {
            (QuotaUnit::Requests, _) => 1,
            (QuotaUnit::Tokens, Some(usage)) => usage.prompt.saturating_add(usage.output),
            (QuotaUnit::Tokens, None) => self.plain_tokens,
        }
    }
}

/// A tenant of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct RelayTenant {
    /// Name, which runners are told.
    pub name: TenantId,
    /// Digests of its API keys; without any, its requests are refused until it gets one.
    pub keys: Vec<KeyDigest>,
    /// Priority that takes precedence over the route's, 0 being the most urgent.
    pub priority: Option<u32>,
    /// Quota; `None` for no limit.
    pub quota: Option<TenantQuota>,
}

/// Why a request has no tenant.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum CredentialFault {
    /// It carries no credentials.
    #[display("missing")]
    Missing,
    /// It carries several credentials, of which any could be meant.
    #[display("several")]
    Several,
    /// Its credentials are of another scheme or malformed.
    #[display("other_scheme")]
    OtherScheme,
    /// Its key is empty.
    #[display("empty_key")]
    EmptyKey,
    /// No tenant has its key.
    #[display("unknown_key")]
    UnknownKey,
}

/// For whom a request is sent.
#[derive(Clone, Debug, PartialEq)]
pub enum CallerIdentity {
    /// A tenant, by one of its keys.
    Tenant(Arc<RelayTenant>),
    /// Nobody in particular, on a route that allows it.
    Anonymous,
    /// Not known, on a route that needs a key.
    Unknown(CredentialFault),
}

/// Two tenants that declare the same key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SharedKey {
    /// The tenant that holds the key, the first in the configuration.
    pub holder: TenantId,
    /// The tenant whose declaration of the key has no effect.
    pub other: TenantId,
}

/// Tenants of one configuration version, indexed by their keys.
#[derive(Clone, Debug, Default)]
pub struct TenantTable {
    by_key: BTreeMap<KeyDigest, Arc<RelayTenant>>,
    shared_keys: Vec<SharedKey>,
}

impl TenantTable {
    /// Creates a table of the tenants. The first that declares a key holds it.
    pub fn new(tenants: &[Arc<RelayTenant>]) -> Self {
        let mut table = Self::default();
        for tenant in tenants {
            for key in &tenant.keys {
                let holder = table.by_key.entry(*key).or_insert_with(|| Arc::clone(tenant));
                if holder.name != tenant.name {
                    table.shared_keys.push(SharedKey {
                        holder: holder.name.clone(),
                        other: tenant.name.clone(),
                    });
                }
            }
        }
        table
    }

    /// Returns the keys that more than one tenant declares, by the names of the tenants.
    pub fn shared_keys(&self) -> &[SharedKey] {
        &self.shared_keys
    }

    /// Returns the tenant that holds a key.
    pub fn holder(&self, key: KeyDigest) -> Option<&Arc<RelayTenant>> {
        self.by_key.get(&key)
    }

    /// Returns for whom a request with these credentials is sent. Where no key is needed, one that names no tenant is
    /// ignored.
    pub fn identify(&self, credentials: Result<KeyDigest, CredentialFault>, allow_anonymous: bool) -> CallerIdentity {
        let found = credentials.and_then(|key| self.holder(key).ok_or(CredentialFault::UnknownKey));
        match found {
            Ok(tenant) => CallerIdentity::Tenant(Arc::clone(tenant)),
            Err(_) if allow_anonymous => CallerIdentity::Anonymous,
            Err(fault) => CallerIdentity::Unknown(fault),
        }
    }
}
