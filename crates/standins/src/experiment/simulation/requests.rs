//! The life cycle of a request: arrival, queueing, dispatch, and its answer or refusal.

use std::time::{Duration, Instant};

use mustardgate_core::{
    admission::{PoolId, PoolLoad, QueuedRequest, Refusal, RefusalReason, RefusedRequest},
    ids::BackendId,
    retry::{AttemptFailure, NextStep},
    routing::AttemptOutcome,
};
use smol_str::format_smolstr;

use super::{AttemptPlan, ClusterSimulation, PlanSettings, SimEvent, SimJob};
use crate::experiment::{engine::Acceptance, events::AttemptVerdict, node::backend_name, routers::RouteQuery};

const MAX_ATTEMPTS: u32 = 3;
/// Time after which a node learns that it cannot connect to a backend server that is down.
const REFUSED_CONNECTION_MS: u64 = 100;
/// Time after which a node learns that a backend server refused a request.
const REFUSED_BY_BACKEND_MS: u64 = 2;
const NETWORK_MS: u64 = 1;
/// Delay of the expiry timer, so that a request has expired when it fires.
const TIMER_GRACE_US: u64 = 100;
/// Slots assumed for weights that are being loaded; so many that queued requests hardly lengthen the expected wait.
const LOADING_SLOTS: u32 = 1_000;

impl ClusterSimulation<'_> {
    pub(super) fn arrive(&mut self, index: usize) {
        if let Some(next) = self.arrivals.get(index + 1) {
            self.events.schedule(self.start + next.at, SimEvent::Arrive(index + 1));
        }
        let Some(arrival) = self.arrivals.get(index).copied() else {
            return;
        };
        self.recorder.record_arrival(&arrival);
        let alive: Vec<usize> = (0..self.nodes.len())
            .filter(|node| self.nodes[*node].is_alive)
            .collect();
        let node = alive[(arrival.node_draw % alive.len() as u64) as usize];
        let deadline = self.now + arrival.target;
        self.jobs.push(SimJob {
            node,
            plan: AttemptPlan::new(PlanSettings {
                is_idempotent: arrival.is_idempotent,
                deadline,
                max_attempts: MAX_ATTEMPTS,
            }),
            backend: None,
            dispatched_at: self.now,
            first_token_at: self.now,
        });
        let domain = self.nodes[node].domain;
        let orders = self.with_placer(|placer, view| placer.on_arrival(view, arrival.entry, domain));
        self.execute_orders(orders);
        self.offer(node, index, deadline);
    }

    fn offer(&mut self, node: usize, job: usize, deadline: Instant) {
        let arrival = self.arrivals[job];
        let request = QueuedRequest {
            request: format_smolstr!("{job}"),
            pool: format_smolstr!("{}", arrival.entry),
            tenant: format_smolstr!("t{}", arrival.tenant),
            weight: 1,
            class: arrival.class,
            deadline,
            bytes: 2_000,
            cost: 1,
        };
        let load = self.pool_load(node, arrival.entry);
        let offered = self.nodes[node].queue.offer(self.now, request, &load);
        let outcome = offered.expect("the queue keeps its bounds");
        for refused in outcome.shed {
            self.refuse(&refused);
        }
        match outcome.refusal {
            Some(refusal) => self.record_refusal(job, refusal, Duration::ZERO),
            None => self.dispatch_queued(node),
        }
    }

    /// Returns the load of an entry's runners; while no runner has the weights, the expected wait for a pending load.
    fn pool_load(&self, node: usize, entry: usize) -> PoolLoad {
        let load = self.nodes[node].router.pool_load(self.now, entry);
        if load.slots > 0 {
            return load;
        }
        match self.placer.expected_ready(self.now, entry) {
            Some(wait) => PoolLoad {
                slots: LOADING_SLOTS,
                outstanding: 2 * LOADING_SLOTS - 1,
                hold_time: wait,
                answer_time: Duration::from_millis(150),
            },
            None => load,
        }
    }

    /// Dispatches the queued requests for which a runner has a free slot, the most urgent pool first.
    pub(super) fn dispatch_queued(&mut self, node: usize) {
        if self.nodes[node].queue.is_empty() || !self.nodes[node].is_alive {
            return;
        }
        self.expire(node);
        for pool in self.nodes[node].queue.waiting_pools() {
            self.dispatch_pool(node, &pool);
        }
        self.set_timer(node);
    }

    fn dispatch_pool(&mut self, node: usize, pool: &PoolId) {
        let entry: usize = pool.parse().expect("pools are named by entry");
        while let Some(request) = self.take_dispatchable(node, pool, entry) {
            let job: usize = request.request.parse().expect("requests are named by job");
            self.dispatch(job);
        }
        if self.nodes[node].queue.pool_len(pool) > 0 {
            let orders = self.with_placer(|placer, view| placer.on_busy(view, entry));
            self.execute_orders(orders);
        }
    }

    /// Takes the next request of a pool from the queue if a slot can be reserved for it.
    fn take_dispatchable(&mut self, node: usize, pool: &PoolId, entry: usize) -> Option<QueuedRequest> {
        let state = &mut self.nodes[node];
        if state.queue.pool_len(pool) == 0 {
            return None;
        }
        // The queue decides which request is next only when it is taken. A selection under a placeholder job, which is
        // undone at once, first makes sure that some runner has a free slot.
        let placeholder = usize::MAX;
        let query = |job, prefix| RouteQuery {
            job,
            entry,
            prefix,
            excluded: &[],
        };
        state.router.select(self.now, query(placeholder, None))?;
        state.router.complete(self.now, placeholder, AttemptOutcome::Failed);
        let request = state.queue.take(pool)?;
        let job: usize = request.request.parse().expect("requests are named by job");
        let chosen = state.router.select(self.now, query(job, self.arrivals[job].prefix));
        self.jobs[job].backend = chosen;
        Some(request)
    }

    fn dispatch(&mut self, job: usize) {
        let arrival = self.arrivals[job];
        let Some(backend) = self.jobs[job].backend else { return };
        let may_send = self.jobs[job].plan.begin_attempt(&backend_name(backend));
        assert!(may_send, "the plan allowed this attempt");
        self.jobs[job].dispatched_at = self.now;
        let fail = |is_overload| SimEvent::AttemptFailed {
            job,
            is_overload,
            verdict: AttemptVerdict::NotRun,
        };
        if !self.backends[backend].is_alive {
            let at = self.now + Duration::from_millis(REFUSED_CONNECTION_MS);
            self.events.schedule(at, fail(false));
            return;
        }
        match self.backends[backend].accept(self.now, job, arrival.entry) {
            Acceptance::Started => self.start_job(backend, job),
            Acceptance::Waiting => {}
            Acceptance::Refused => {
                let is_overload = self.backends[backend].is_ready(arrival.entry);
                let at = self.now + Duration::from_millis(REFUSED_BY_BACKEND_MS);
                self.events.schedule(at, fail(is_overload));
            }
        }
    }

    fn start_job(&mut self, backend: usize, job: usize) {
        let arrival = self.arrivals[job];
        let times = self.backends[backend].service_times(arrival.work_s, arrival.prefix);
        let network = Duration::from_millis(NETWORK_MS);
        self.jobs[job].first_token_at = self.now + times.first_token + network;
        let event = SimEvent::Finish {
            backend,
            incarnation: self.backends[backend].incarnation,
            job,
        };
        self.events
            .schedule(self.now + times.hold.max(times.first_token) + network, event);
    }

    pub(super) fn finish(&mut self, backend: usize, incarnation: u32, job: usize) {
        if self.backends[backend].incarnation != incarnation {
            return;
        }
        if let Some(next) = self.backends[backend].finish(job) {
            self.start_job(backend, next);
        }
        let SimJob {
            node,
            dispatched_at,
            first_token_at,
            ..
        } = self.jobs[job];
        if !self.nodes[node].is_alive {
            return;
        }
        let arrival = self.arrivals[job];
        let state = &mut self.nodes[node];
        let outcome = AttemptOutcome::Answered {
            first_token: first_token_at.duration_since(dispatched_at),
        };
        state.router.complete(self.now, job, outcome);
        self.jobs[job].plan.succeed_attempt(&mut state.budget);
        let first_token = first_token_at.duration_since(self.start + arrival.at);
        self.recorder.record_answer(&arrival, first_token);
        self.dispatch_queued(node);
    }

    pub(super) fn fail_attempt(&mut self, job: usize, is_overload: bool, verdict: AttemptVerdict) {
        let Some(backend) = self.jobs[job].backend.take() else {
            return;
        };
        let node = self.jobs[job].node;
        if !self.nodes[node].is_alive {
            return;
        }
        let outcome = if is_overload {
            AttemptOutcome::Overloaded
        } else {
            AttemptOutcome::Failed
        };
        self.nodes[node].router.complete(self.now, job, outcome);
        let failure = AttemptFailure {
            verdict: verdict.into(),
            backend: backend_name(backend),
            retry_after: None,
            answer_time: Duration::from_millis(100),
        };
        let budget = &mut self.nodes[node].budget;
        match self.jobs[job].plan.fail_attempt(self.now, &failure, budget) {
            NextStep::RetryElsewhere { excluded } => self.retry(job, &excluded),
            NextStep::AwaitOther => {}
            NextStep::GiveUp { retry_after, .. } => self.give_up(job, retry_after),
        }
    }

    fn retry(&mut self, job: usize, excluded: &[BackendId]) {
        let query = RouteQuery {
            job,
            entry: self.arrivals[job].entry,
            prefix: self.arrivals[job].prefix,
            excluded,
        };
        let node = self.jobs[job].node;
        self.jobs[job].backend = self.nodes[node].router.select(self.now, query);
        if self.jobs[job].backend.is_some() {
            self.dispatch(job);
        } else {
            self.give_up(job, Duration::from_millis(500));
        }
    }

    fn give_up(&mut self, job: usize, retry_after: Duration) {
        let refusal = Refusal {
            verdict: self.jobs[job].plan.verdict(),
            retry_after,
            reason: RefusalReason::NoCapacity,
        };
        self.record_refusal(job, refusal, Duration::ZERO);
    }

    pub(super) fn shed_infeasible(&mut self, node: usize) {
        for pool in self.nodes[node].queue.waiting_pools() {
            let entry: usize = pool.parse().expect("pools are named by entry");
            let load = self.pool_load(node, entry);
            for refused in self.nodes[node].queue.shed_infeasible(self.now, &pool, &load) {
                self.refuse(&refused);
            }
        }
    }

    pub(super) fn run_timer(&mut self, node: usize) {
        self.nodes[node].timer_at = None;
        self.expire(node);
        self.set_timer(node);
    }

    fn expire(&mut self, node: usize) {
        while let Some(due) = self.nodes[node].queue.next_expiry().filter(|due| *due < self.now) {
            let refused = self.nodes[node].queue.expire(due + Duration::from_nanos(1));
            for refused in refused {
                let job = refused.request.request.parse().expect("requests are named by job");
                self.record_refusal(job, refused.refusal, self.now.duration_since(due));
            }
        }
    }

    fn set_timer(&mut self, node: usize) {
        let Some(due) = self.nodes[node].queue.next_expiry() else {
            return;
        };
        let at = due.max(self.now) + Duration::from_micros(TIMER_GRACE_US);
        if self.nodes[node].timer_at.is_none_or(|set| at < set) {
            self.nodes[node].timer_at = Some(at);
            self.events.schedule(at, SimEvent::NodeTimer { node });
        }
    }

    fn refuse(&mut self, refused: &RefusedRequest) {
        let job = refused.request.request.parse().expect("requests are named by job");
        self.record_refusal(job, refused.refusal, Duration::ZERO);
    }

    fn record_refusal(&mut self, job: usize, refusal: Refusal, delay: Duration) {
        let arrival = &self.arrivals[job];
        let waited = self.now.duration_since(self.start + arrival.at);
        self.recorder
            .record_refusal(arrival, waited, delay, refusal.retry_after);
    }
}
