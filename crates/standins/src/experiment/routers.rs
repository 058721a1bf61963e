//! Routing policies behind one trait: the product's, round robin, and least reported load.

use std::{
    collections::BTreeMap,
    fmt::Debug,
    time::{Duration, Instant},
};

use mustardgate_core::{
    admission::PoolLoad,
    ids::BackendId,
    routing::{
        AttemptOutcome, Availability, LoadReport, Locality, RouteRequest, RouteTicket, RoutingSettings, RunnerProfile,
        RunnerSelector,
    },
};

use super::{Deployment, deployment::BATCH_SLOTS, node::backend_name};

/// A request for which a router selects a backend server.
#[derive(Clone, Copy, Debug)]
pub(super) struct RouteQuery<'a> {
    pub(super) job: usize,
    pub(super) entry: usize,
    pub(super) prefix: Option<u64>,
    pub(super) excluded: &'a [BackendId],
}

/// A load report of one backend server, as one node receives it.
#[derive(Clone, Copy, Debug)]
pub(super) struct BackendReport {
    pub(super) measured_at: Instant,
    pub(super) outstanding: u32,
    /// Requests of this node that were outstanding there when the report was measured.
    pub(super) own_outstanding: u32,
}

/// The routing policy of one node.
pub(super) trait RequestRouter: Debug + Send {
    fn set_ready(&mut self, backend: usize, ready: &[usize]);
    fn set_alive(&mut self, backend: usize, is_alive: bool);
    fn apply_report(&mut self, backend: usize, report: BackendReport);
    fn select(&mut self, now: Instant, query: RouteQuery<'_>) -> Option<usize>;
    fn complete(&mut self, now: Instant, job: usize, outcome: AttemptOutcome);
    fn pool_load(&self, now: Instant, entry: usize) -> PoolLoad;
    /// Returns how many requests of this node are outstanding at a backend server.
    fn own_outstanding(&self, backend: usize) -> u32;
}

/// Routes with the product's [`RunnerSelector`].
#[derive(Debug)]
pub(super) struct ProductRouter {
    deployment: Deployment,
    selector: RunnerSelector,
    tickets: BTreeMap<usize, (usize, RouteTicket)>,
    own_outstanding: Vec<u32>,
    names: Vec<BackendId>,
    ready: Vec<Option<Vec<usize>>>,
}

impl ProductRouter {
    pub(super) fn new(deployment: &Deployment, domain: usize, seed: u64) -> Self {
        let locality = Locality {
            domain: Deployment::domain_name(domain),
            region: Deployment::region().into(),
        };
        Self {
            deployment: deployment.clone(),
            selector: RunnerSelector::new(RoutingSettings::default(), locality, seed),
            tickets: BTreeMap::new(),
            own_outstanding: vec![0; deployment.backends()],
            names: (0..deployment.backends()).map(backend_name).collect(),
            ready: vec![None; deployment.backends()],
        }
    }
}

impl RequestRouter for ProductRouter {
    fn set_ready(&mut self, backend: usize, ready: &[usize]) {
        if self.ready[backend].as_deref() == Some(ready) {
            return;
        }
        self.ready[backend] = Some(ready.to_vec());
        let entries = &self.deployment.catalogue.entries;
        self.selector.upsert_runner(RunnerProfile {
            backend: backend_name(backend),
            domain: Deployment::domain_name(self.deployment.domain_of(backend)),
            region: Deployment::region().into(),
            max_concurrency: BATCH_SLOTS,
            ready: ready.iter().map(|entry| entries[*entry].artifact.clone()).collect(),
        });
    }

    fn set_alive(&mut self, backend: usize, is_alive: bool) {
        let availability = if is_alive {
            Availability::Serving
        } else {
            Availability::Suspected
        };
        self.selector.set_availability(&self.names[backend], availability);
    }

    fn apply_report(&mut self, backend: usize, report: BackendReport) {
        let report = LoadReport {
            measured_at: report.measured_at,
            outstanding: report.outstanding,
        };
        self.selector.apply_report(&self.names[backend], report);
    }

    fn select(&mut self, now: Instant, query: RouteQuery<'_>) -> Option<usize> {
        let request = RouteRequest {
            artifact: self.deployment.catalogue.entries[query.entry].artifact.clone(),
            prefix: query.prefix,
            excluded: query.excluded.to_vec(),
        };
        let ticket = self.selector.select(now, &request).ok()?;
        let backend = super::deployment::backend_index(ticket.backend());
        self.own_outstanding[backend] += 1;
        self.tickets.insert(query.job, (backend, ticket));
        Some(backend)
    }

    fn complete(&mut self, now: Instant, job: usize, outcome: AttemptOutcome) {
        if let Some((backend, ticket)) = self.tickets.remove(&job) {
            self.own_outstanding[backend] -= 1;
            let completed = self.selector.complete(ticket, now, outcome);
            completed.expect("every ticket belongs to an attempt in flight");
        }
    }

    fn pool_load(&self, now: Instant, entry: usize) -> PoolLoad {
        self.selector
            .pool_load(now, &self.deployment.catalogue.entries[entry].artifact)
    }

    fn own_outstanding(&self, backend: usize) -> u32 {
        self.own_outstanding[backend]
    }
}

/// How a baseline chooses among the runners that hold the weights and have room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BaselineChoice {
    /// The next one in turn.
    RoundRobin,
    /// The one with the least load, by its last report and this node's requests since.
    LeastLoad,
}

#[derive(Debug)]
struct BaselineBackend {
    is_alive: bool,
    ready: Vec<bool>,
    own_outstanding: u32,
    /// Outstanding requests of other nodes, by the last report.
    others_outstanding: u32,
    hold_s: f64,
    answer_s: f64,
}

/// Routes for the baselines, which count load and apply limits alike and differ only in their choice.
#[derive(Debug)]
pub(super) struct BaselineRouter {
    choice: BaselineChoice,
    backends: Vec<BaselineBackend>,
    attempts: BTreeMap<usize, (usize, Instant)>,
    turn: usize,
}

fn is_excluded(query: RouteQuery<'_>, backend: usize) -> bool {
    !query.excluded.is_empty() && query.excluded.contains(&backend_name(backend))
}

/// Weight of the newest sample in the moving averages of times.
const AVERAGE_WEIGHT: f64 = 0.1;

impl BaselineRouter {
    pub(super) fn new(deployment: &Deployment, choice: BaselineChoice, seed: u64) -> Self {
        let backends = (0..deployment.backends()).map(|_| BaselineBackend {
            is_alive: true,
            ready: vec![false; deployment.catalogue.entries.len()],
            own_outstanding: 0,
            others_outstanding: 0,
            hold_s: 0.5,
            answer_s: 0.1,
        });
        Self {
            choice,
            backends: backends.collect(),
            attempts: BTreeMap::new(),
            turn: seed as usize,
        }
    }

    fn load(&self, backend: usize) -> u32 {
        self.backends[backend].own_outstanding + self.backends[backend].others_outstanding
    }

    fn holders(&self, entry: usize) -> Vec<usize> {
        (0..self.backends.len())
            .filter(|backend| self.backends[*backend].is_alive && self.backends[*backend].ready[entry])
            .collect()
    }
}

impl RequestRouter for BaselineRouter {
    fn set_ready(&mut self, backend: usize, ready: &[usize]) {
        let state = &mut self.backends[backend];
        state.ready.fill(false);
        for entry in ready {
            state.ready[*entry] = true;
        }
    }

    fn set_alive(&mut self, backend: usize, is_alive: bool) {
        self.backends[backend].is_alive = is_alive;
    }

    fn apply_report(&mut self, backend: usize, report: BackendReport) {
        self.backends[backend].others_outstanding = report.outstanding.saturating_sub(report.own_outstanding);
    }

    fn select(&mut self, now: Instant, query: RouteQuery<'_>) -> Option<usize> {
        let mut open = self.holders(query.entry);
        open.retain(|backend| self.load(*backend) < BATCH_SLOTS && !is_excluded(query, *backend));
        if open.is_empty() {
            return None;
        }
        self.turn = self.turn.wrapping_add(1);
        let turn = self.turn % open.len();
        open.rotate_left(turn);
        let chosen = match self.choice {
            BaselineChoice::RoundRobin => open[0],
            BaselineChoice::LeastLoad => open.into_iter().min_by_key(|backend| self.load(*backend))?,
        };
        self.backends[chosen].own_outstanding += 1;
        self.attempts.insert(query.job, (chosen, now));
        Some(chosen)
    }

    fn complete(&mut self, now: Instant, job: usize, outcome: AttemptOutcome) {
        let Some((backend, begun_at)) = self.attempts.remove(&job) else {
            return;
        };
        let state = &mut self.backends[backend];
        state.own_outstanding -= 1;
        if let AttemptOutcome::Answered { first_token } = outcome {
            let held_s = now.duration_since(begun_at).as_secs_f64();
            state.hold_s += (held_s - state.hold_s) * AVERAGE_WEIGHT;
            state.answer_s += (first_token.as_secs_f64() - state.answer_s) * AVERAGE_WEIGHT;
        }
    }

    fn pool_load(&self, _now: Instant, entry: usize) -> PoolLoad {
        let holders = self.holders(entry);
        let mean = |read: fn(&BaselineBackend) -> f64| {
            let sum: f64 = holders.iter().map(|backend| read(&self.backends[*backend])).sum();
            Duration::from_secs_f64(sum / holders.len().max(1) as f64)
        };
        PoolLoad {
            slots: holders.len() as u32 * BATCH_SLOTS,
            outstanding: holders.iter().map(|backend| self.load(*backend)).sum(),
            hold_time: mean(|backend| backend.hold_s),
            answer_time: mean(|backend| backend.answer_s),
        }
    }

    fn own_outstanding(&self, backend: usize) -> u32 {
        self.backends[backend].own_outstanding
    }
}
