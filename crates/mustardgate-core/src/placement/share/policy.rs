//! The policy itself.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use super::{
    ledger::ReplicaLedger,
    window::{LoadBound, LoadWindow},
};
use crate::{
    ids::{BackendId, MemoryMib},
    log::Artifact,
    placement::{
        AcceleratorView, DomainView, HoldingState, PlacementPolicy, PlannedMove, RunnerView,
        gain::{LoadTimes, ReplicaPlace, ResidenceBook},
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
}

impl Default for ShareSettings {
    fn default() -> Self {
        Self {
            comfortable_share: 0.6,
            min_residence: Duration::from_secs(3),
            hysteresis: 1.6,
            intent_time: Duration::from_secs(4),
            eviction_time: Duration::from_secs(1),
        }
    }
}

/// Placement by shares.
#[derive(Debug)]
pub struct SharePolicy {
    settings: ShareSettings,
    bound: LoadBound,
    loads: LoadWindow,
    residence: ResidenceBook,
    load_times: LoadTimes,
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
            residence: ResidenceBook::default(),
            load_times: LoadTimes::default(),
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
    }

    /// Counts a load whose order got no answer.
    pub fn note_doubtful_load(&mut self, now: Instant) {
        self.loads.record_doubtful(now, self.bound);
    }

    /// Takes the times of loads.
    pub fn set_load_times(&mut self, load_times: LoadTimes) {
        self.load_times = load_times;
    }
}

/// What one plan has used up so far.
struct SharePlan<'a> {
    now: Instant,
    view: &'a DomainView,
    ledger: ReplicaLedger,
    /// Loads from the weight store that may still begin.
    allowance: u32,
    touched: BTreeSet<BackendId>,
    /// What this plan, or room made earlier, adds replicas of.
    growing: BTreeSet<Artifact>,
    moves: Vec<PlannedMove>,
}

/// One way to give a model another replica.
struct ReplicaOffer<'a> {
    runner: &'a RunnerView,
    victims: Vec<Artifact>,
    cost_s: f64,
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
        let wanted = self.wanted_copies(&plan);
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
    fn wanted_copies(&self, plan: &SharePlan<'_>) -> BTreeMap<Artifact, u32> {
        let usable = plan.view.runners.iter().filter(|runner| !runner.is_leaving);
        let total_mib: MemoryMib = usable
            .clone()
            .flat_map(|runner| &runner.accelerators)
            .map(|state| state.capacity_mib)
            .sum();
        let rates = usable.clone().map(|runner| f64::from(runner.max_concurrency));
        let enough = rates.fold(0.0, f64::max) * self.settings.comfortable_share;
        plan.ledger.wanted_copies(total_mib, usable.count() as u32, enough)
    }

    /// Loads what room was made for, and counts what room is still being made for.
    fn follow_intents(&mut self, plan: &mut SharePlan<'_>) {
        let now = plan.now;
        self.intents.retain(|_, (_, until)| now < *until);
        for (backend, (artifact, _)) in self.intents.clone() {
            let runner = plan.view.runners.iter().find(|runner| runner.backend == backend);
            let Some(runner) = runner.filter(|runner| !runner.is_leaving && !holds(runner, &artifact)) else {
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
            .filter(|runner| is_idle(runner) && !runner.is_leaving && !holds(runner, artifact))
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

    fn offer<'a>(
        &self,
        plan: &SharePlan<'_>,
        runner: &'a RunnerView,
        artifact: &Artifact,
        wanted: &BTreeMap<Artifact, u32>,
    ) -> Option<ReplicaOffer<'a>> {
        let victims = self.victims(plan, runner, artifact, wanted)?;
        let load_time_s = self.load_times.load_time(&runner.backend, artifact).as_secs_f64();
        let eviction_s = self.settings.eviction_time.as_secs_f64() * victims.len() as f64;
        let lost: f64 = victims.iter().map(|victim| plan.ledger.rate_per_copy(victim)).sum();
        let kept = plan.ledger.load_of(runner, &victims);
        let rate = f64::from(runner.max_concurrency.max(1));
        Some(ReplicaOffer {
            cost_s: load_time_s + eviction_s + (lost + kept) / rate,
            runner,
            victims,
        })
    }

    /// Returns what has to go to make room, or `None` when that is worth more than what comes.
    fn victims(
        &self,
        plan: &SharePlan<'_>,
        runner: &RunnerView,
        artifact: &Artifact,
        wanted: &BTreeMap<Artifact, u32>,
    ) -> Option<Vec<Artifact>> {
        let mut missing = plan.ledger.size(artifact).saturating_sub(free_mib(runner));
        let gained = plan.ledger.rate_with(artifact, plan.ledger.copies(artifact) + 1);
        let is_absent = plan.ledger.copies(artifact) == 0;
        let holdings = runner.accelerators.iter().flat_map(|state| &state.holdings);
        let mut removable: Vec<(f64, &Artifact, MemoryMib)> = holdings
            .filter(|holding| self.may_go(plan, runner, &holding.artifact))
            .filter(|holding| {
                let held = &holding.artifact;
                let copies = plan.ledger.copies(held);
                let is_surplus = copies > wanted.get(held).copied().unwrap_or_default();
                let left_rate = plan.ledger.rate_with(held, copies.saturating_sub(1));
                is_absent || is_surplus || left_rate * self.settings.hysteresis < gained
            })
            .map(|holding| {
                let rate = plan.ledger.rate_per_copy(&holding.artifact);
                (rate, &holding.artifact, holding.memory_mib)
            })
            .collect();
        removable.sort_by(|one, other| one.0.total_cmp(&other.0));
        let mut victims = Vec::new();
        for (_, held, size) in removable {
            if missing == 0 {
                break;
            }
            missing = missing.saturating_sub(size);
            victims.push(held.clone());
        }
        (missing == 0).then_some(victims)
    }

    /// Never the last replica that answers, nothing that has just come, and nothing that more replicas are wanted of.
    fn may_go(&self, plan: &SharePlan<'_>, runner: &RunnerView, artifact: &Artifact) -> bool {
        let place = ReplicaPlace {
            backend: runner.backend.clone(),
            accelerator: 0,
            artifact: artifact.clone(),
        };
        let answering = plan.ledger.answering(artifact);
        answering >= 2
            && !plan.growing.contains(artifact)
            && self.residence.has_stayed(plan.now, &place, self.settings.min_residence)
    }

    fn is_affordable(&self, plan: &SharePlan<'_>, backend: &BackendId, artifact: &Artifact) -> bool {
        plan.allowance > 0 || self.load_times.copy_time(backend, artifact).is_some()
    }

    fn pay(&mut self, plan: &mut SharePlan<'_>, backend: &BackendId, artifact: &Artifact) -> bool {
        if self.load_times.copy_time(backend, artifact).is_some() {
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

fn free_mib(runner: &RunnerView) -> MemoryMib {
    runner.accelerators.iter().map(AcceleratorView::free_mib).sum()
}
