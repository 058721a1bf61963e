//! Checks nodes and reported outcomes against the records that the log really holds.

use std::collections::{BTreeMap, BTreeSet};

use mustardgate_core::{
    config::ChangeOutcome,
    ids::{ChangeId, Offset},
};

use super::{GuaranteeViolation, config_log::LogSimulation, config_node::ConfigNode};

/// Every outcome reported to an operator, checked against the log.
#[derive(Debug, Default)]
pub(super) struct OutcomeChecker {
    resubmitted: BTreeSet<ChangeId>,
    reported: BTreeMap<ChangeId, Vec<ChangeOutcome>>,
}

impl OutcomeChecker {
    /// Records that a change was submitted more than once.
    pub(super) fn record_resubmission(&mut self, change: &ChangeId) {
        self.resubmitted.insert(change.clone());
    }

    /// Checks an outcome that is reported to an operator, and keeps it for [`OutcomeChecker::check_all`].
    pub(super) fn record(
        &mut self,
        simulation: &LogSimulation,
        change: ChangeId,
        outcome: ChangeOutcome,
    ) -> Result<(), GuaranteeViolation> {
        self.check(simulation, &change, &outcome)?;
        self.reported.entry(change).or_default().push(outcome);
        Ok(())
    }

    /// Checks every reported outcome again after all records have arrived.
    pub(super) fn check_all(&self, simulation: &LogSimulation) -> Result<(), GuaranteeViolation> {
        for (change, outcomes) in &self.reported {
            for outcome in outcomes {
                self.check(simulation, change, outcome)?;
            }
        }
        Ok(())
    }

    /// Checks one outcome. "Not applied" refers to one submission, so the change may still take effect if it was
    /// submitted again.
    fn check(
        &self,
        simulation: &LogSimulation,
        change: &ChangeId,
        outcome: &ChangeOutcome,
    ) -> Result<(), GuaranteeViolation> {
        let decision = simulation.decision(change);
        let effective = decision
            .filter(|(_, is_effective)| *is_effective)
            .map(|(offset, _)| offset);
        let holds = match outcome {
            ChangeOutcome::Accepted { version } => effective == Some(*version),
            ChangeOutcome::Conflict { .. } => effective.is_none(),
            ChangeOutcome::NotApplied => decision.is_none() || self.resubmitted.contains(change),
            ChangeOutcome::Unknown { .. } => true,
        };
        if holds {
            return Ok(());
        }
        violated(
            "a reported outcome is true",
            format!("{change} was reported as {outcome:?}, but the log decided {decision:?}"),
        )
    }
}

/// Checks what one node serves.
pub(super) fn check_node(simulation: &LogSimulation, node: &mut ConfigNode) -> Result<(), GuaranteeViolation> {
    let applied = node.replica.applied_offset();
    if node.violations > 0 {
        return violated(
            "a snapshot equals the replayed state",
            format!("{} at {applied:?}", node.name),
        );
    }
    if !node.is_serving() {
        return Ok(());
    }
    if node.highest_served > applied {
        let detail = format!("{} went back from {:?} to {applied:?}", node.name, node.highest_served);
        return violated("no view goes back to an earlier offset", detail);
    }
    node.highest_served = applied;
    let is_behind_start = !node.has_met_outage && applied.map_or(0, |offset| offset + 1) < node.log_end_at_start;
    if is_behind_start || (applied.is_none() && node.log_end_at_start > 0) {
        let detail = format!(
            "{} serves as of {applied:?}, but the log ended at {} when it started",
            node.name, node.log_end_at_start
        );
        return violated("nothing is served before the declared configuration is known", detail);
    }
    check_view(simulation, node, applied)
}

fn check_view(
    simulation: &LogSimulation,
    node: &ConfigNode,
    applied: Option<Offset>,
) -> Result<(), GuaranteeViolation> {
    let view = node.replica.view();
    let declared = simulation.state_at(applied);
    let is_same = view.len() == declared.len()
        && view.iter().all(|resource| {
            declared
                .get(&resource.key)
                .is_some_and(|(version, spec)| *version == resource.version && *spec == resource.spec)
        });
    if is_same {
        return Ok(());
    }
    violated(
        "a view is what the log declares",
        format!("{} differs at {applied:?}", node.name),
    )
}

/// Checks that every node is loaded and has applied the log up to `end`, its end after the faults ceased.
pub(super) fn check_convergence(nodes: &[ConfigNode], end: Offset) -> Result<(), GuaranteeViolation> {
    for node in nodes {
        if !node.replica.is_loaded() || node.replica.next_offset() < end {
            let detail = format!(
                "{} is {:?} at {} of {end}",
                node.name,
                node.replica.load_state(),
                node.replica.next_offset()
            );
            return violated("a change is in force everywhere in time", detail);
        }
    }
    Ok(())
}

fn violated(guarantee: &'static str, detail: String) -> Result<(), GuaranteeViolation> {
    Err(GuaranteeViolation { guarantee, detail })
}
