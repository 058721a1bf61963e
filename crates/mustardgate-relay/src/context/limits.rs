//! Rate limits that runners state, and permits to send within them.

use std::{
    slice,
    sync::{Mutex, MutexGuard},
    time::{Duration, Instant},
};

use mustardgate::events;
use mustardgate_core::{
    clock,
    ids::RunnerProcess,
    relay::{LimitLedger, LimitObservation, LimitStatement, ListedRunner, PermitIssuer, PermitSchedule},
};
use rand::Rng;
use slog::{Logger, o};

use crate::{
    fleet::RunnerFleet,
    peers::{MAX_MESSAGE_TIME, PermitAnswer},
};

/// Number of nodes assumed while it is not known: the number that the system is designed for.
const DESIGN_NODE_COUNT: u32 = 360;
/// Time for which a leader that gave no answer is not asked for permits.
const SILENT_LEADER_TIME: Duration = Duration::from_millis(500);

/// Holds the limits of runners, the permits that this node issues as leader, and its own schedule without one.
#[derive(Debug)]
pub struct LimitGuard {
    state: Mutex<LimitState>,
    logger: Logger,
}

#[derive(Debug, Default)]
struct LimitState {
    ledger: LimitLedger,
    issuer: PermitIssuer,
    schedule: PermitSchedule,
    leader_silent_until: Option<Instant>,
}

impl LimitGuard {
    /// Creates a guard that knows of no limit.
    pub fn new(logger: Logger) -> Self {
        Self {
            state: Mutex::default(),
            logger,
        }
    }

    /// Records what an answer of a runner says, whose request was sent at `sent_at`.
    pub fn observe(&self, runner: &ListedRunner, statement: LimitStatement, sent_at: Instant) {
        let process = process_of(runner);
        let change = self.lock().ledger.observe(clock::now(), &process, statement, sent_at);
        let Some(change) = change else { return };
        let describe = |rate: Option<f64>| rate.map_or_else(|| "none".to_owned(), |rate| rate.to_string());
        events::RELAY_RUNNER_LIMITED.write(
            &self.logger,
            o!(
                "now" => describe(change.now),
                "before" => describe(change.before),
                "backend" => runner.id.to_string(),
            ),
        );
    }

    /// Returns the limit of a runner in requests a second, if it has one.
    pub fn rate(&self, runner: &ListedRunner) -> Option<f64> {
        self.lock().ledger.rate(&process_of(runner))
    }

    /// Returns what this node knows of the limit of a runner, if it has one.
    pub fn observation(&self, runner: &ListedRunner) -> Option<LimitObservation> {
        self.lock().ledger.limited(clock::now(), &process_of(runner))
    }

    /// Returns what this node observed itself, for the leader.
    pub fn own_observations(&self) -> Vec<LimitObservation> {
        self.lock().ledger.own_observations(clock::now())
    }

    /// Returns what this node observed itself and heard from others, for the nodes that it leads.
    pub fn all_observations(&self) -> Vec<LimitObservation> {
        self.lock().ledger.all_observations(clock::now())
    }

    /// Takes over observations of other nodes.
    pub fn merge(&self, observations: &[LimitObservation]) {
        if !observations.is_empty() {
            self.lock().ledger.merge(clock::now(), observations, MAX_MESSAGE_TIME);
        }
    }

    /// Issues a permit as leader in a term, for a node that knows of a limit.
    pub fn issue(&self, term: u64, limit: &LimitObservation) -> PermitAnswer {
        let now = clock::now();
        let mut state = self.lock();
        state.ledger.merge(now, slice::from_ref(limit), MAX_MESSAGE_TIME);
        let Some(rate) = state.ledger.rate(&limit.process) else {
            return PermitAnswer::Issued;
        };
        match state.issuer.issue(now, term, &limit.process, rate) {
            Ok(()) => PermitAnswer::Issued,
            Err(delay) => PermitAnswer::Refused(delay),
        }
    }

    /// Uses a slot of this node's own schedule, because no leader answers; `nodes` is 0 if their number is not known.
    ///
    /// # Errors
    /// The time until the next slot.
    pub fn use_slot(&self, limit: &LimitObservation, nodes: u32) -> Result<(), Duration> {
        let nodes = if nodes == 0 { DESIGN_NODE_COUNT } else { nodes };
        let mut state = self.lock();
        let Some(rate) = state.ledger.rate(&limit.process) else {
            return Ok(());
        };
        let draw = rand::rng().random();
        state.schedule.use_slot(clock::now(), &limit.process, rate, nodes, draw)
    }

    /// Records that the leader did not answer, so that the next requests do not wait for it.
    pub fn record_silent_leader(&self) {
        self.lock().leader_silent_until = Some(clock::now() + SILENT_LEADER_TIME);
    }

    /// Returns whether the leader lately gave no answer.
    pub fn is_leader_silent(&self) -> bool {
        let until = self.lock().leader_silent_until;
        until.is_some_and(|until| clock::now() < until)
    }

    /// Forgets runner processes that have not been listed for a while.
    pub fn retain(&self, fleet: &RunnerFleet) {
        let mut state = self.lock();
        if state.ledger.is_empty() {
            return;
        }
        let existing = fleet.processes();
        let exists = |process: &RunnerProcess| existing.contains(process);
        state.ledger.retain(exists);
        state.issuer.retain(exists);
        state.schedule.retain(exists);
    }

    fn lock(&self) -> MutexGuard<'_, LimitState> {
        self.state.lock().expect("no holder of the lock panics")
    }
}

fn process_of(runner: &ListedRunner) -> RunnerProcess {
    (runner.id.clone(), runner.started_at_ms)
}
