//! Specifications of services, which callers address.

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::ids::ModelId;

/// Specification of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// Priority of the service's requests in queues and at engines.
    pub priority: PriorityClass,
    /// Share of the capacity, relative to the shares of other services.
    pub share: u32,
    /// Models that the service uses; empty for a plain service.
    #[serde(default)]
    pub models: Vec<ModelId>,
    /// Path prefixes below `/services/{service}` whose calls are idempotent, each as `METHOD /path`.
    #[serde(default)]
    pub idempotent_calls: Vec<SmolStr>,
    /// Target for the time to the first token, or to the answer of a plain call, in milliseconds.
    pub target_ms: u64,
}

impl ServiceSpec {
    /// Returns the time within which an answer counts as in time.
    pub fn target(&self) -> Duration {
        Duration::from_millis(self.target_ms)
    }

    /// Returns whether a call was declared idempotent; a call that is not declared is non-idempotent.
    pub fn is_idempotent_call(&self, method: &str, path: &str) -> bool {
        self.idempotent_calls.iter().any(|call| {
            call.split_once(' ')
                .is_some_and(|(declared, prefix)| declared == method && path.starts_with(prefix))
        })
    }
}

/// Priority classes, the most urgent first.
#[derive(Clone, Copy, Debug, Display, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PriorityClass {
    /// A person waits for the answer.
    #[display("interactive")]
    Interactive,
    /// An answer is wanted soon.
    #[default]
    #[display("standard")]
    Standard,
    /// Work that can wait, such as overnight drafts.
    #[display("batch")]
    Batch,
}

impl PriorityClass {
    /// Every class, the most urgent first.
    pub const ALL: [Self; 3] = [Self::Interactive, Self::Standard, Self::Batch];
}
