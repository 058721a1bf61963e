//! Checks of planned moves, and the orders that result from them.

use std::time::Instant;

use snafu::ensure;

use super::{
    domain::DomainLeader,
    messages::{
        LastReplicaSnafu, LeaderAction, LogUnavailableSnafu, MoveRefusal, NotLeadingSnafu, RunnerLeavingSnafu,
        StoreBusySnafu, UnknownStateSnafu,
    },
    runner::RunnerState,
    settings::LeaderTenure,
};
use crate::{
    ids::{AcceleratorIndex, BackendId, FencingNumber},
    ledger::OpenOrder,
    log::{Artifact, OrderAction, OrderIntent},
    placement::PlannedMove,
};

/// Size of the token bucket in seconds of the store's rate: the loads that may start at once after an idle period.
const BURST_SECONDS: f64 = 1.0;

/// Token bucket for the domain's share of the weight store's load rate.
#[derive(Debug, Default)]
pub(super) struct StoreBudget {
    tokens: f64,
    refilled_at: Option<Instant>,
}

impl StoreBudget {
    fn refill(&mut self, now: Instant, loads_per_second: f64) {
        let burst = (loads_per_second * BURST_SECONDS).max(1.0);
        let elapsed = self
            .refilled_at
            .map(|at| now.saturating_duration_since(at).as_secs_f64());
        let gained = elapsed.map_or(burst, |seconds| seconds * loads_per_second);
        self.tokens = (self.tokens + gained).min(burst);
        self.refilled_at = Some(now);
    }
}

impl DomainLeader {
    pub(super) fn begin_moves(&mut self, now: Instant, moves: Vec<PlannedMove>, actions: &mut Vec<LeaderAction>) {
        for planned in moves {
            if let Err(refusal) = self.begin_move(now, &planned) {
                actions.push(LeaderAction::RefuseMove { planned, refusal });
            }
        }
    }

    fn begin_move(&mut self, now: Instant, planned: &PlannedMove) -> Result<(), MoveRefusal> {
        let is_leading = self.tenure != LeaderTenure::Follower && !self.is_draining;
        ensure!(is_leading, NotLeadingSnafu);
        let (backend, accelerator, action) = order_for(planned);
        self.check_runner(now, &backend)?;
        match &action {
            OrderAction::Load { artifact, .. } => self.check_load(now, &backend, artifact)?,
            OrderAction::Unload { artifact } => self.check_unload(now, &backend, accelerator, artifact)?,
        }
        self.begin_order(backend, accelerator, action)
    }

    fn check_runner(&self, now: Instant, backend: &BackendId) -> Result<(), MoveRefusal> {
        let runner = self.runners.get(backend).filter(|_| self.is_fresh(now, backend));
        let Some(runner) = runner else {
            return UnknownStateSnafu {
                backend: backend.clone(),
            }
            .fail();
        };
        let may_log = self.writer.is_some() && self.log_unavailable_since.is_none();
        ensure!(runner.enforces_fencing() || may_log, LogUnavailableSnafu);
        Ok(())
    }

    fn check_load(&mut self, now: Instant, backend: &BackendId, artifact: &Artifact) -> Result<(), MoveRefusal> {
        let is_leaving = self.runners.get(backend).is_some_and(|runner| runner.config.is_leaving);
        ensure!(
            !is_leaving,
            RunnerLeavingSnafu {
                backend: backend.clone()
            }
        );
        let policy = &self.config.policy;
        self.budget.refill(now, policy.store_loads_per_second);
        let (models, adapters) = self.orders.open_loads(|backend| self.is_fresh(now, backend));
        let has_room = if artifact.adapter.is_some() {
            adapters < policy.adapter_loads_in_flight
        } else {
            models < policy.store_concurrent_loads && self.budget.tokens >= 1.0
        };
        ensure!(has_room, StoreBusySnafu);
        Ok(())
    }

    /// Refuses to unload the last replica of a declared artifact that is known to be ready.
    fn check_unload(
        &self,
        now: Instant,
        backend: &BackendId,
        accelerator: AcceleratorIndex,
        artifact: &Artifact,
    ) -> Result<(), MoveRefusal> {
        let demands = &self.config.demands;
        let Some(demand) = demands.iter().find(|demand| demand.artifact == *artifact) else {
            return Ok(());
        };
        // Two successors without the log may each rely on the replica that the other one unloads.
        ensure!(self.tenure != LeaderTenure::Succeeded, LogUnavailableSnafu);
        let has_other_replica = |runner: &RunnerState| {
            let is_same_runner = runner.config.backend == *backend;
            let mut accelerators = runner.ready_accelerators(artifact);
            accelerators.any(|index| !is_same_runner || index != accelerator)
        };
        let mut remaining = self
            .runners
            .values()
            .filter(|runner| !runner.config.is_leaving && self.is_fresh(now, &runner.config.backend));
        // Only a domain without a base replica may rely on other domains, so that no two rely on each other.
        let is_served_elsewhere = demand.base_assignments.is_empty() && self.config.served_elsewhere.contains(artifact);
        ensure!(
            is_served_elsewhere || remaining.any(has_other_replica),
            LastReplicaSnafu
        );
        Ok(())
    }

    fn begin_order(
        &mut self,
        backend: BackendId,
        accelerator: AcceleratorIndex,
        action: OrderAction,
    ) -> Result<(), MoveRefusal> {
        let order = self.next_order_id();
        let fencing = self.order_fencing(&backend);
        let unknown = UnknownStateSnafu {
            backend: backend.clone(),
        };
        let Some(runner) = self.runners.get_mut(&backend) else {
            return unknown.fail();
        };
        let is_logged = !runner.enforces_fencing();
        let Some(ledger) = runner.ledger_mut(accelerator) else {
            return unknown.fail();
        };
        let open = OpenOrder {
            order: order.clone(),
            action: action.clone(),
        };
        ledger
            .propose(open)
            .map_err(|violation| MoveRefusal::Ledger { violation })?;
        if matches!(&action, OrderAction::Load { artifact, .. } if artifact.adapter.is_none()) {
            self.budget.tokens -= 1.0;
        }
        let intent = OrderIntent {
            order,
            backend,
            accelerator,
            action,
            fencing,
        };
        if let Some(writer) = self.writer.as_mut().filter(|_| is_logged) {
            writer.add_intent(intent.clone());
        }
        self.orders.add(intent, is_logged);
        Ok(())
    }

    fn order_fencing(&self, backend: &BackendId) -> FencingNumber {
        let raised_fencing = self.runners.get(backend).and_then(RunnerState::raised_fencing);
        let leased = match self.tenure {
            LeaderTenure::Leased(claim) => claim,
            LeaderTenure::Follower | LeaderTenure::Succeeded => 0,
        };
        raised_fencing.unwrap_or(FencingNumber {
            lease_offset: leased,
            succession: 0,
            address: self.settings.address,
        })
    }
}

fn order_for(planned: &PlannedMove) -> (BackendId, AcceleratorIndex, OrderAction) {
    match planned.clone() {
        PlannedMove::Load {
            backend,
            accelerator,
            artifact,
            memory_mib,
        } => (backend, accelerator, OrderAction::Load { artifact, memory_mib }),
        PlannedMove::Unload {
            backend,
            accelerator,
            artifact,
        } => (backend, accelerator, OrderAction::Unload { artifact }),
    }
}
