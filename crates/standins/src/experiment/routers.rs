//! Routing policies behind one interface: the product's, round robin, and least reported load.

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

/// What a request is routed by.
#[derive(Clone, Copy, Debug)]
pub(super) struct RouteQuery<'a> {
    pub(super) job: usize,
    pub(super) entry: usize,
    pub(super) prefix: Option<u64>,
    pub(super) excluded: &'a [BackendId],
}

/// A report of one backend server, as one node hears of it.
#[derive(Clone, Copy, Debug)]
pub(super) struct BackendReport {
    pub(super) measured_at: Instant,
    pub(super) outstanding: u32,
    /// Requests that this node had out there at that time.
    pub(super) own_then: u32,
}

/// Routing of one node.
pub(super) trait RequestRouter: Debug + Send {
    fn set_ready(&mut self, backend: usize, ready: &[usize]);
    fn set_alive(&mut self, backend: usize, is_alive: bool);
    fn apply_report(&mut self, backend: usize, report: BackendReport);
    fn select(&mut self, now: Instant, query: RouteQuery<'_>) -> Option<usize>;
    fn complete(&mut self, now: Instant, job: usize, outcome: AttemptOutcome);
    fn pool_load(&self, now: Instant, entry: usize) -> PoolLoad;
    fn own(&self, backend: usize) -> u32;
}

/// The product's selector.
#[derive(Debug)]
pub(super) struct ProductRouter {
    deployment: Deployment,
    selector: RunnerSelector,
    tickets: BTreeMap<usize, (usize, RouteTicket)>,
    own: Vec<u32>,
    names: Vec<BackendId>,
    ready: Vec<Option<Vec<usize>>>,
}

impl ProductRouter {
    pub(super) fn new(deployment: &Deployment, domain: usize, seed: u64) -> Self {
        let own = Locality {
            domain: Deployment::domain_name(domain),
            region: Deployment::region().into(),
        };
        Self {
            deployment: deployment.clone(),
            selector: RunnerSelector::new(RoutingSettings::default(), own, seed),
            tickets: BTreeMap::new(),
            own: vec![0; deployment.backends()],
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
        let backend = super::deployment::runner_index(ticket.backend());
        self.own[backend] += 1;
        self.tickets.insert(query.job, (backend, ticket));
        Some(backend)
    }

    fn complete(&mut self, now: Instant, job: usize, outcome: AttemptOutcome) {
        if let Some((backend, ticket)) = self.tickets.remove(&job) {
            self.own[backend] -= 1;
            let ended = self.selector.complete(ticket, now, outcome);
            ended.expect("every ticket belongs to an attempt that is out");
        }
    }

    fn pool_load(&self, now: Instant, entry: usize) -> PoolLoad {
        self.selector
            .pool_load(now, &self.deployment.catalogue.entries[entry].artifact)
    }

    fn own(&self, backend: usize) -> u32 {
        self.own[backend]
    }
}

/// How a baseline chooses among the runners that hold the weights and have room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BaselineChoice {
    /// The next in turn.
    RoundRobin,
    /// The one with the least load, as last reported and counted since.
    LeastLoad,
}

#[derive(Debug)]
struct BaselineBackend {
    is_alive: bool,
    ready: Vec<bool>,
    own: u32,
    others: u32,
    hold_s: f64,
    answer_s: f64,
}

/// Routing of the baselines: the same counts and limits, another choice.
#[derive(Debug)]
pub(super) struct BaselineRouter {
    choice: BaselineChoice,
    backends: Vec<BaselineBackend>,
    begun: BTreeMap<usize, (usize, Instant)>,
    turn: usize,
}

fn is_excluded(query: RouteQuery<'_>, backend: usize) -> bool {
    !query.excluded.is_empty() && query.excluded.contains(&backend_name(backend))
}

const AVERAGE_WEIGHT: f64 = 0.1;

impl BaselineRouter {
    pub(super) fn new(deployment: &Deployment, choice: BaselineChoice, seed: u64) -> Self {
        let backends = (0..deployment.backends()).map(|_| BaselineBackend {
            is_alive: true,
            ready: vec![false; deployment.catalogue.entries.len()],
            own: 0,
            others: 0,
            hold_s: 0.5,
            answer_s: 0.1,
        });
        Self {
            choice,
            backends: backends.collect(),
            begun: BTreeMap::new(),
            turn: seed as usize,
        }
    }

    fn load(&self, backend: usize) -> u32 {
        self.backends[backend].own + self.backends[backend].others
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
        self.backends[backend].others = report.outstanding.saturating_sub(report.own_then);
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
        self.backends[chosen].own += 1;
        self.begun.insert(query.job, (chosen, now));
        Some(chosen)
    }

    fn complete(&mut self, now: Instant, job: usize, outcome: AttemptOutcome) {
        let Some((backend, begun_at)) = self.begun.remove(&job) else {
            return;
        };
        let state = &mut self.backends[backend];
        state.own -= 1;
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

    fn own(&self, backend: usize) -> u32 {
        self.backends[backend].own
    }
}
