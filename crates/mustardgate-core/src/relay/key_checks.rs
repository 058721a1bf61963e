//! Whether a request may be sent for the caller that it names, by the age of the configuration.
//!
//! Answers a change of keys while nodes are cut off: a key that is new must not be refused by a node that has not heard
//! of it, and one that was removed must not be accepted for ever by a node that hears nothing.

use std::{sync::Arc, time::Duration};

use super::{CallerIdentity, CredentialFault, RelayTenant};

/// Age of the configuration in force.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConfigAge {
    /// Time since its topic was read; `None` if that is not known, as after a start with a neighbour's records.
    pub since_read: Option<Duration>,
    /// Time for which a newer version may exist; longer than the time above while a newer version cannot be used.
    pub since_confirmed: Option<Duration>,
}

/// Bounds on the age of a configuration by which keys are judged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyBounds {
    /// Time within which a node takes up a configuration. Up to this age a node may take an unknown key for wrong.
    pub config_apply: Duration,
    /// Age from which no key is accepted, because it may have been removed; `None` if keys are accepted at any age.
    pub revoke: Option<Duration>,
}

/// What follows from the identity of a caller.
#[derive(Clone, Debug, PartialEq)]
pub enum KeyVerdict {
    /// The request is sent, for a tenant or nobody in particular.
    Accepted(Option<Arc<RelayTenant>>),
    /// The request has no valid key.
    Unauthorized(CredentialFault),
    /// The request has no key that this node knows, but the key may be newer than the configuration.
    Unconfirmed(CredentialFault),
    /// The configuration is too old for any key.
    Outdated,
}

impl KeyBounds {
    /// Returns what follows from the identity of the caller of a route.
    pub fn judge(&self, identity: CallerIdentity, allow_anonymous: bool, age: ConfigAge) -> KeyVerdict {
        let exceeds = |age: Option<Duration>, bound: Duration| age.is_none_or(|age| age > bound);
        let is_outdated = self.revoke.is_some_and(|bound| exceeds(age.since_read, bound));
        if is_outdated && !allow_anonymous {
            return KeyVerdict::Outdated;
        }
        match identity {
            CallerIdentity::Tenant(tenant) => KeyVerdict::Accepted(Some(tenant)),
            CallerIdentity::Anonymous => KeyVerdict::Accepted(None),
            CallerIdentity::Unknown(fault) if exceeds(age.since_confirmed, self.config_apply) => {
                KeyVerdict::Unconfirmed(fault)
            }
            CallerIdentity::Unknown(fault) => KeyVerdict::Unauthorized(fault),
        }
    }
}
