//! No unload takes away the last answering replica of a declared model, and a lost runner's models come back.

use std::collections::{BTreeMap, BTreeSet};

use mustardgate_core::{
    leader::DomainConfig,
    log::Artifact,
    placement::{DomainView, HoldingState, PlannedMove, RunnerView},
    resources::FencingSupport,
};
use rand::{Rng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;

use super::{
    GuaranteeViolation, GuardMode, ProofFigures, ProofScenario,
    domain::{DomainSimulation, FaultPlan, SimulationSettings, declared_runner},
    memory::{artifact, check_memory, demand, fast_store, figures},
};

const FAULTY_MS: u64 = 60_000;
const HEALED_MS: u64 = 40_000;
const RUNNERS: usize = 4;
const MODELS: usize = 4;
const REPLICAS: usize = 2;

/// Moves of declared models over engines of both kinds. Guard: the last answering replica is not unloaded; without it
/// the leader takes the models for undeclared.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReplicaScenario;

impl ProofScenario for ReplicaScenario {
    fn name(&self) -> &'static str {
        "replica-keeps-answering"
    }

    fn run(&self, seed: u64, guard: GuardMode) -> Result<ProofFigures, GuaranteeViolation> {
        let mut simulation = DomainSimulation::new(seed, settings(seed, guard));
        let mut judge = ReplicaJudge::default();
        while simulation.now_ms < FAULTY_MS {
            simulation.step(&mut |rng, view| plan_moves(rng, view, true));
            check_memory(&simulation)?;
            judge.check(&simulation)?;
        }
        simulation.heal();
        while simulation.now_ms < FAULTY_MS + HEALED_MS {
            simulation.step(&mut |rng, view| plan_moves(rng, view, false));
            judge.check(&simulation)?;
        }
        check_all_answer(&simulation)?;
        Ok(figures(&simulation))
    }
}

fn settings(seed: u64, guard: GuardMode) -> SimulationSettings {
    let fencing = |index| match index % 2 {
        0 => FencingSupport::Refuses,
        _ => FencingSupport::Ignores,
    };
    let declared = match guard {
        GuardMode::Enforced => MODELS,
        GuardMode::Removed => 0,
    };
    SimulationSettings {
        engines: (0..RUNNERS).map(fencing).collect(),
        config: DomainConfig {
            runners: (0..RUNNERS)
                .map(|index| declared_runner(index, fencing(index), vec![100]))
                .collect(),
            demands: (0..declared).map(|index| demand(index, 30)).collect(),
            policy: fast_store(),
            ..DomainConfig::default()
        },
        faults: FaultPlan {
            pause_ratio: 0.004,
            kill_ratio: 0.001,
            outage_ratio: 0.002,
            // A restart takes replicas away like a lost runner, of which the judge knows one.
            restart_ratio: 0.0,
            loses_runner: seed.is_multiple_of(2),
        },
        settles_by_timeout: false,
    }
}

/// Watches the ready replicas at the engines themselves.
#[derive(Debug, Default)]
struct ReplicaJudge {
    answering: BTreeSet<Artifact>,
    /// Models that the lost runner held when it was lost; an unload decided before may take their last replica.
    excused: Option<BTreeSet<Artifact>>,
}

impl ReplicaJudge {
    fn check(&mut self, simulation: &DomainSimulation) -> Result<(), GuaranteeViolation> {
        if let (Some(lost), None) = (simulation.lost_engine, &self.excused) {
            self.excused = Some(simulation.engines[lost].ready().cloned().collect());
        }
        let answering = ready_counts(simulation);
        let is_excused = |model: &Artifact| self.excused.as_ref().is_some_and(|excused| excused.contains(model));
        let gone = self
            .answering
            .iter()
            .find(|model| !answering.contains_key(*model) && !is_excused(model));
        if let Some(model) = gone {
            return Err(GuaranteeViolation {
                guarantee: "a declared model keeps an answering replica",
                detail: format!("at {} ms: {} has none", simulation.now_ms, model.model),
            });
        }
        self.answering = answering.into_keys().collect();
        Ok(())
    }
}

fn ready_counts(simulation: &DomainSimulation) -> BTreeMap<Artifact, usize> {
    let mut counts = BTreeMap::new();
    for (index, engine) in simulation.engines.iter().enumerate() {
        if simulation.lost_engine == Some(index) {
            continue;
        }
        for model in engine.ready() {
            *counts.entry(model.clone()).or_default() += 1;
        }
    }
    counts
}

fn check_all_answer(simulation: &DomainSimulation) -> Result<(), GuaranteeViolation> {
    let counts = ready_counts(simulation);
    let missing = (0..MODELS).map(artifact).find(|model| !counts.contains_key(model));
    missing.map_or(Ok(()), |model| {
        Err(GuaranteeViolation {
            guarantee: "every declared model answers after the faults",
            detail: format!("{} has no replica", model.model),
        })
    })
}

/// Keeps two replicas of each model and, while `is_moving`, proposes to unload any replica.
fn plan_moves(rng: &mut ChaCha8Rng, view: &DomainView, is_moving: bool) -> Vec<PlannedMove> {
    let mut moves: Vec<PlannedMove> = (0..MODELS).filter_map(|model| plan_load(rng, view, model)).collect();
    moves.extend((0..MODELS).filter_map(|model| plan_surplus_unload(view, model)));
    if is_moving {
        moves.extend(plan_unload(rng, view));
    }
    moves
}

fn plan_load(rng: &mut ChaCha8Rng, view: &DomainView, model: usize) -> Option<PlannedMove> {
    let artifact = artifact(model);
    let (with, without) = staying_runners(view, &artifact);
    if with.len() >= REPLICAS {
        return None;
    }
    Some(PlannedMove::Load {
        backend: without.choose(rng)?.backend.clone(),
        accelerator: 0,
        artifact,
        memory_mib: 30,
    })
}

/// Frees the memory that a model takes beyond its two replicas, so that one without any finds room.
fn plan_surplus_unload(view: &DomainView, model: usize) -> Option<PlannedMove> {
    let artifact = artifact(model);
    let (with, _) = staying_runners(view, &artifact);
    let surplus = with.get(REPLICAS)?;
    Some(PlannedMove::Unload {
        backend: surplus.backend.clone(),
        accelerator: 0,
        artifact,
    })
}

/// Splits the runners that stay into those that hold the weights and those that do not.
fn staying_runners<'a>(view: &'a DomainView, artifact: &Artifact) -> (Vec<&'a RunnerView>, Vec<&'a RunnerView>) {
    let staying = view.runners.iter().filter(|runner| !runner.is_unschedulable);
    staying.partition(|runner| {
        let mut holdings = runner.accelerators[0].holdings.iter();
        holdings.any(|holding| holding.artifact == *artifact && holding.state != HoldingState::Unloading)
    })
}

fn plan_unload(rng: &mut ChaCha8Rng, view: &DomainView) -> Option<PlannedMove> {
    let runner = view.runners.choose(rng)?;
    let holding = runner.accelerators[0].holdings.choose(rng)?;
    rng.random_bool(0.5).then(|| PlannedMove::Unload {
        backend: runner.backend.clone(),
        accelerator: 0,
        artifact: holding.artifact.clone(),
    })
}
