//! An entry node: the product's admission queue and retry budget, with a router.

use std::time::Instant;

use mustardgate_core::{
    admission::{AdmissionLimits, AdmissionQueue},
    ids::BackendId,
    retry::{RetryBudget, RetryLimits},
};
use smol_str::format_smolstr;

use super::routers::RequestRouter;

/// One entry node.
#[derive(Debug)]
pub(super) struct FakeNode {
    pub(super) domain: usize,
    pub(super) is_alive: bool,
    pub(super) queue: AdmissionQueue,
    pub(super) router: Box<dyn RequestRouter>,
    pub(super) budget: RetryBudget,
    pub(super) timer_at: Option<Instant>,
}

impl FakeNode {
    pub(super) fn new(domain: usize, router: Box<dyn RequestRouter>, seed: u64) -> Self {
        Self {
            domain,
            is_alive: true,
            queue: AdmissionQueue::new(AdmissionLimits::default(), seed),
            router,
            budget: RetryBudget::new(RetryLimits::default()),
            timer_at: None,
        }
    }
}

/// Returns the name of a backend server.
pub(super) fn backend_name(backend: usize) -> BackendId {
    format_smolstr!("r{backend}")
}
