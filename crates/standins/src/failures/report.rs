//! Result of one fault.

use std::collections::BTreeMap;

use serde::Serialize;

/// What was counted and measured while a fault was in force, and what broke.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct FaultReport {
    /// Name of the fault.
    pub fault: String,
    /// Seed of the traffic.
    pub seed: u64,
    /// Seconds the whole run took, the start of the deployment included.
    pub run_s: f64,
    /// Counts by name.
    pub counts: BTreeMap<String, u64>,
    /// Measured values; the name ends with the unit.
    pub figures: BTreeMap<String, f64>,
    /// Promises that were broken; empty when all held.
    pub violations: Vec<String>,
}

impl FaultReport {
    /// Adds to a count.
    pub(super) fn count(&mut self, name: &str, value: u64) {
        *self.counts.entry(name.to_owned()).or_default() += value;
    }

    /// Notes a broken promise.
    pub(super) fn add_violation(&mut self, what: String) {
        self.violations.push(what);
    }
}
