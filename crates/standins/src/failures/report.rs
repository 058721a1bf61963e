//! Result of a run with one fault.

use std::collections::BTreeMap;

use serde::Serialize;

/// Counts, measurements and violations of a run with one fault.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct FaultReport {
    /// Name of the fault.
    pub fault: String,
    /// Seed of the traffic.
    pub seed: u64,
    /// Duration of the whole run in seconds, including the start of the deployment.
    pub run_s: f64,
    /// Counts by name.
    pub counts: BTreeMap<String, u64>,
    /// Measured values by name; each name ends with the unit.
    pub figures: BTreeMap<String, f64>,
    /// Violated guarantees; empty when all guarantees held.
    pub violations: Vec<String>,
}

impl FaultReport {
    /// Adds to a count.
    pub(super) fn count(&mut self, name: &str, value: u64) {
        *self.counts.entry(name.to_owned()).or_default() += value;
    }

    /// Adds the description of a violated guarantee.
    pub(super) fn add_violation(&mut self, description: String) {
        self.violations.push(description);
    }
}
