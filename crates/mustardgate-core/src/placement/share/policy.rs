//! The policy itself.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use super::{
    ledger::ReplicaLedger,
    offers::ReplicaOffer,
    window::{LoadAccount, LoadBound, LoadWindow},
};
use crate::{
    ids::{BackendId, MemoryMib},
    log::Artifact,
    placement::{
        AcceleratorView, DomainView, HoldingState, PlacementPolicy, PlannedMove, RunnerView,
        gain::{LoadTimes, ResidenceTracker},
    },
};

/// Settings of [`SharePolicy`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShareSettings {
    /// Part of a runner's rate up to which another replica brings nothing.
    pub comfortable_share: f64,
    /// Time for which a replica stays before it may give way.
    pub min_residence: Duration,
    /// Factor by which a replica's requests must exceed those of one that gives way to it.
    pub hysteresis: f64,
    /// Time after which room that was made for a model is free for others.
    pub intent_time: Duration,
    /// Time that an eviction takes, for comparing runners.
    pub eviction_time: Duration,
    /// Part of a comfortable rate up to which replicas follow demand before others get any ahead of theirs: models that
    /// are asked for may grow too.
    pub headroom_share: f64,
    /// Replicas up to which a model gets some ahead of its demand, from room that demand leaves.
    pub headroom_copies: u32,
    /// Time for which a model must have replicas to spare before one gives way to a replica ahead of demand.
    pub headroom_patience: Duration,
    /// Part of the loads allowed at the weight store that replicas ahead of demand leave to others.
    pub headroom_reserve: f64,
}

impl Default for ShareSettings {
    fn default() -> Self {
        Self {
            comfortable_share: 0.6,
            min_residence: Duration::from_secs(3),
            hysteresis: 1.6,
            intent_time: Duration::from_secs(4),
            eviction_time: Duration::from_secs(1),
            headroom_share: 0.45,
            headroom_copies: 3,
            headroom_patience: Duration::from_millis(1_500),
            headroom_reserve: 0.5,
        }
    }
}

/// Placement by shares.
#[derive(Debug)]
pub struct SharePolicy {
    pub(super) settings: ShareSettings,
    bound: LoadBound,
    loads: LoadWindow,
    pub(super) residence: ResidenceTracker,
    pub(super) load_times: LoadTimes,
    headroom: BTreeMap<Artifact, f64>,
    /// Since when each model has more replicas than its demand asks for.
    surplus_since: BTreeMap<Artifact, Instant>,
    /// What room was made for on a runner, and until when it is kept.
    intents: BTreeMap<BackendId, (Artifact, Instant)>,
}

impl SharePolicy {
    /// Creates a policy that has seen nothing.
    pub fn new(settings: ShareSettings) -> Self {
        Self {
            settings,
            bound: LoadBound {
                window: Duration::ZERO,
                most: 0,
            },
            loads: LoadWindow::default(),
            residence: ResidenceTracker::default(),
            load_times: LoadTimes::default(),
            headroom: BTreeMap::new(),
            surplus_since: BTreeMap::new(),
            intents: BTreeMap::new(),
        }
    }

    /// Sets the bound on loads from the weight store; without one none begins.
    pub fn set_bound(&mut self, bound: LoadBound) {
        self.bound = bound;
    }

    /// Notes that this node begins to lead: what the one before it loaded a moment ago is not known.
    pub fn begin_term(&mut self, now: Instant) {
        self.loads.close(now, self.bound);
        self.intents.clear();
        self.residence.take_over();
    }

    /// Notes that this node begins to lead after one that told of its loads, in an account read `age` ago.
    pub fn resume_term(&mut self, now: Instant, age: Duration, account: &LoadAccount) {
        self.loads.resume(now, age, account, self.bound);
        self.intents.clear();
        self.residence.take_over();
    }

    /// Returns the account of the loads for a successor, or `None` while no bound is known.
    pub fn account(&mut self, now: Instant) -> Option<LoadAccount> {
        (self.bound.most > 0).then(|| self.loads.account(now, self.bound))
    }

    /// Notes that the last account is in the log.
    pub fn confirm_account(&mut self) {
        self.loads.confirm_account();
    }

    /// Counts a load whose order got no answer.
    pub fn note_doubtful_load(&mut self, now: Instant) {
        self.loads.record_doubtful(now, self.bound);
    }

    /// Takes the models that deserve replicas ahead of demand, with their weights.
    pub fn set_headroom(&mut self, weights: BTreeMap<Artifact, f64>) {
        self.headroom = weights;
    }

    /// Takes the times of loads.
    pub fn set_load_times(&mut self, load_times: LoadTimes) {
        self.load_times = load_times;
    }
}

/// What one plan has used up so far.
pub(super) struct SharePlan<'a> {
    pub(super) now: Instant,
    pub(super) view: &'a DomainView,
    pub(super) ledger: ReplicaLedger,
    /// Loads from the weight store that may still begin.
    pub(super) allowance: u32,
    pub(super) touched: BTreeSet<BackendId>,
    /// What this plan, or room made earlier, adds replicas of.
    pub(super) growing: BTreeSet<Artifact>,
    pub(super) moves: Vec<PlannedMove>,
}

impl<'a> SharePlan<'a> {
    fn usable_runners(&self) -> impl Iterator<Item = &'a RunnerView> + Clone + use<'a> {
        self.view.runners.iter().filter(|runner| !runner.is_unschedulable)
    }

    fn total_mib(&self) -> MemoryMib {
        let accelerators = self.usable_runners().flat_map(|runner| &runner.accelerators);
        accelerators.map(|state| state.capacity_mib).sum()
    }
}

impl PlacementPolicy for SharePolicy {
    fn plan(&mut self, now: Instant, view: &DomainView) -> Vec<PlannedMove> {
        self.residence.update(now, view);
        let allowance = self.loads.allowance(now, self.bound);
        let mut plan = SharePlan {
            now,
            view,
            ledger: ReplicaLedger::new(view),
            allowance,
            touched: BTreeSet::new(),
            growing: BTreeSet::new(),
            moves: Vec::new(),
        };
        self.follow_intents(&mut plan);
        let mut wanted = self.demanded_copies(&plan, 1.0);
        let ample = self.demanded_copies(&plan, self.settings.headroom_share);
        self.note_surplus(&plan, &ample);
        for (artifact, copies) in self.with_headroom(&plan, &ample) {
            if copies > ample[&artifact] {
                wanted.insert(artifact, copies);
            }
        }
        let mut needy: Vec<&Artifact> = wanted.keys().collect();
        // A model that nobody holds comes first, whatever its demand: each must stay reachable.
        needy.sort_by(|one, other| {
            let key = |artifact: &Artifact| (plan.ledger.copies(artifact) == 0, plan.ledger.rate_per_copy(artifact));
            let (one, other) = (key(one), key(other));
            other.0.cmp(&one.0).then_with(|| other.1.total_cmp(&one.1))
        });
        for artifact in needy {
            while plan.ledger.copies(artifact) < wanted[artifact] {
                if !self.add_replica(&mut plan, artifact, &wanted) {
                    break;
                }
            }
        }
        plan.moves
    }
}

impl SharePolicy {
    /// Returns the replicas that demand asks for, each with a part of a comfortable rate.
    fn demanded_copies(&self, plan: &SharePlan<'_>, part: f64) -> BTreeMap<Artifact, u32> {
        let usable = plan.usable_runners();
        let rates = usable.clone().map(|runner| f64::from(runner.max_concurrency));
        let enough = rates.fold(0.0, f64::max) * self.settings.comfortable_share * part;
        plan.ledger
            .wanted_copies(plan.total_mib(), usable.count() as u32, enough)
    }

    /// Adds replicas ahead of demand, from the memory that demand leaves.
    fn with_headroom(&self, plan: &SharePlan<'_>, demanded: &BTreeMap<Artifact, u32>) -> BTreeMap<Artifact, u32> {
        plan.ledger.add_headroom(
            demanded.clone(),
            plan.total_mib(),
            &self.headroom,
            self.settings.headroom_copies,
        )
    }

    fn note_surplus(&mut self, plan: &SharePlan<'_>, demanded: &BTreeMap<Artifact, u32>) {
        self.surplus_since.retain(|artifact, _| {
            demanded
                .get(artifact)
                .is_some_and(|wanted| plan.ledger.copies(artifact) > *wanted)
        });
        for (artifact, wanted) in demanded {
            if plan.ledger.copies(artifact) > *wanted {
                self.surplus_since.entry(artifact.clone()).or_insert(plan.now);
            }
        }
    }

    /// Returns whether the next replica of a model is ahead of its demand.
    pub(super) fn is_ahead(&self, plan: &SharePlan<'_>, artifact: &Artifact) -> bool {
        self.headroom.contains_key(artifact) && plan.ledger.copies(artifact) > 0
    }

    pub(super) fn has_stable_surplus(&self, plan: &SharePlan<'_>, artifact: &Artifact) -> bool {
        let since = self.surplus_since.get(artifact);
        since.is_some_and(|since| plan.now.saturating_duration_since(*since) >= self.settings.headroom_patience)
    }

    /// Loads what room was made for, and counts what room is still being made for.
    fn follow_intents(&mut self, plan: &mut SharePlan<'_>) {
        let now = plan.now;
        self.intents.retain(|_, (_, until)| now < *until);
        for (backend, (artifact, _)) in self.intents.clone() {
            let runner = plan.view.runners.iter().find(|runner| runner.backend == backend);
            let Some(runner) = runner.filter(|runner| !runner.is_unschedulable && !holds(runner, &artifact)) else {
                self.intents.remove(&backend);
                continue;
            };
            plan.ledger.add(&artifact);
            plan.growing.insert(artifact.clone());
            plan.touched.insert(backend.clone());
            let has_room = free_mib(runner) >= plan.ledger.size(&artifact);
            if is_idle(runner) && has_room && self.pay(plan, &backend, &artifact) {
                self.intents.remove(&backend);
                plan.moves.push(load(runner, &artifact, plan.ledger.size(&artifact)));
            }
        }
    }

    fn add_replica(&mut self, plan: &mut SharePlan<'_>, artifact: &Artifact, wanted: &BTreeMap<Artifact, u32>) -> bool {
        let offers = plan
            .view
            .runners
            .iter()
            .filter(|runner| is_idle(runner) && !runner.is_unschedulable && !holds(runner, artifact))
            .filter(|runner| !plan.touched.contains(&runner.backend))
            .filter(|runner| self.is_affordable(plan, &runner.backend, artifact))
            .filter_map(|runner| self.offer(plan, runner, artifact, wanted));
        let best = offers.min_by(|one, other| one.cost_s.total_cmp(&other.cost_s));
        let Some(ReplicaOffer { runner, victims, .. }) = best else {
            return false;
        };
        plan.touched.insert(runner.backend.clone());
        plan.ledger.add(artifact);
        plan.growing.insert(artifact.clone());
        let Some(victim) = victims.first() else {
            let is_paid = self.pay(plan, &runner.backend, artifact);
            if is_paid {
                plan.moves.push(load(runner, artifact, plan.ledger.size(artifact)));
            }
            return is_paid;
        };
        // A runner takes one order at a time, so further victims and the load itself follow in later plans.
        plan.ledger.remove(victim);
        let until = plan.now + self.settings.intent_time;
        self.intents.insert(runner.backend.clone(), (artifact.clone(), until));
        plan.moves.push(PlannedMove::Unload {
            backend: runner.backend.clone(),
            accelerator: 0,
            artifact: victim.clone(),
        });
        true
    }

    fn is_affordable(&self, plan: &SharePlan<'_>, backend: &BackendId, artifact: &Artifact) -> bool {
        let reserve = if self.is_ahead(plan, artifact) {
            (f64::from(self.bound.most) * self.settings.headroom_reserve) as u32
        } else {
            0
        };
        plan.allowance > reserve || self.load_times.copy_load_time(backend, artifact).is_some()
    }

    fn pay(&mut self, plan: &mut SharePlan<'_>, backend: &BackendId, artifact: &Artifact) -> bool {
        if self.load_times.copy_load_time(backend, artifact).is_some() {
            return true;
        }
        if plan.allowance == 0 {
            return false;
        }
        plan.allowance -= 1;
        self.loads.record(plan.now, self.bound);
        true
    }
}

fn load(runner: &RunnerView, artifact: &Artifact, memory_mib: MemoryMib) -> PlannedMove {
    PlannedMove::Load {
        backend: runner.backend.clone(),
        accelerator: 0,
        artifact: artifact.clone(),
        memory_mib,
    }
}

fn holds(runner: &RunnerView, artifact: &Artifact) -> bool {
    let mut holdings = runner.accelerators.iter().flat_map(|state| &state.holdings);
    holdings.any(|holding| holding.artifact == *artifact)
}

/// Returns whether no order is out at a runner.
fn is_idle(runner: &RunnerView) -> bool {
    let mut holdings = runner.accelerators.iter().flat_map(|state| &state.holdings);
    holdings.all(|holding| holding.state == HoldingState::Resident)
}

pub(super) fn free_mib(runner: &RunnerView) -> MemoryMib {
    runner.accelerators.iter().map(AcceleratorView::free_mib).sum()
}
