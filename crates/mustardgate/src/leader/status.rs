//! Status of the leader role for the other parts of the node.

use std::sync::{
    Mutex,
    atomic::{AtomicU64, Ordering},
};

use mustardgate_core::leader::LeaderTenure;

/// Whether this node leads its failure domain, and how often the memory invariant was violated.
#[derive(Debug, Default)]
pub struct LeadershipStatus {
    tenure: Mutex<LeaderTenure>,
    violations: AtomicU64,
}

impl LeadershipStatus {
    /// Returns the authority under which this node leads.
    pub fn tenure(&self) -> LeaderTenure {
        *self.tenure.lock().expect("no holder panics")
    }

    /// Returns whether this node leads.
    pub fn is_leading(&self) -> bool {
        self.tenure() != LeaderTenure::Follower
    }

    /// Returns how often the memory ledger found more memory committed than an accelerator has.
    pub fn violations(&self) -> u64 {
        self.violations.load(Ordering::Relaxed)
    }

    /// Replaces the tenure and returns the previous one.
    pub(super) fn replace_tenure(&self, tenure: LeaderTenure) -> LeaderTenure {
        std::mem::replace(&mut *self.tenure.lock().expect("no holder panics"), tenure)
    }

    pub(super) fn count_violation(&self) {
        self.violations.fetch_add(1, Ordering::Relaxed);
    }
}
