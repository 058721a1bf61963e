//! One node: what it knows of limits, and how it obtains permits.

use std::{
    slice,
    time::{Duration, Instant},
};

use mustardgate_core::{
    ids::RunnerProcess,
    relay::{LimitLedger, LimitObservation, LimitStatement, PermitIssuer, PermitSchedule},
};

use crate::proof::GuardMode;

/// Longest time for which a message between nodes is under way.
pub(super) const MAX_MESSAGE_TIME: Duration = Duration::from_millis(800);
/// Longest delay before a node asks for a permit again.
const MAX_PERMIT_DELAY: Duration = Duration::from_secs(2);

/// Number of nodes assumed while no leader has told it.
const ASSUMED_NODES: u32 = 360;

/// One node.
#[derive(Debug, Default)]
pub(super) struct SimulatedNode {
    pub(super) ledger: LimitLedger,
    issuer: PermitIssuer,
    schedule: PermitSchedule,
    /// Largest number of nodes that a leader told.
    pub(super) largest_node_count: u32,
    /// When an answer first stated the current limit of each runner.
    pub(super) told_at: Vec<Option<Instant>>,
    /// Until when each runner is not asked for.
    pub(super) held_until: Vec<Option<Instant>>,
    /// Whether the node and the leader reach each other.
    pub(super) reaches_leader: bool,
    /// When the node reports to the leader next.
    pub(super) next_report: Option<Instant>,
}

impl SimulatedNode {
    pub(super) fn new(runners: usize) -> Self {
        Self {
            told_at: vec![None; runners],
            held_until: vec![None; runners],
            reaches_leader: true,
            ..Self::default()
        }
    }

    /// Issues a permit in a term as leader.
    pub(super) fn issue(&mut self, now: Instant, term: u64, limit: &LimitObservation) -> Result<(), Duration> {
        self.ledger.merge(now, slice::from_ref(limit), MAX_MESSAGE_TIME);
        match self.ledger.rate(&limit.process) {
            Some(rate) => self.issuer.issue(now, term, &limit.process, rate),
            None => Ok(()),
        }
    }

    /// Uses a slot without a leader. Without the guard the node takes the whole limit for itself.
    pub(super) fn use_slot(
        &mut self,
        now: Instant,
        process: &RunnerProcess,
        draw: f64,
        guard: GuardMode,
    ) -> Result<(), Duration> {
        let Some(rate) = self.ledger.rate(process) else {
            return Ok(());
        };
        if guard == GuardMode::Removed {
            return self.issuer.issue(now, 0, process, rate);
        }
        let nodes = match self.largest_node_count {
            0 => ASSUMED_NODES,
            nodes => nodes,
        };
        self.schedule.use_slot(now, process, rate, nodes, draw)
    }

    /// Holds a runner back after a refused permit.
    pub(super) fn hold(&mut self, runner: usize, now: Instant, delay: Duration, draw: f64) {
        self.held_until[runner] = Some(now + delay.min(MAX_PERMIT_DELAY).mul_f64(1.0 + draw));
    }

    /// Records an answer.
    pub(super) fn receive(
        &mut self,
        now: Instant,
        runner: usize,
        process: &RunnerProcess,
        statement: LimitStatement,
        sent_at: Instant,
    ) {
        self.ledger.observe(now, process, statement, sent_at);
        if matches!(statement, LimitStatement::PerSecond(_)) {
            self.told_at[runner].get_or_insert(now);
        }
    }
}
