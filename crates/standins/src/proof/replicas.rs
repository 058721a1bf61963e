//! Proofs that no unload removes the last answering replica of a declared model, and that the models of a lost runner
//! are loaded again.

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
    memory::{artifact, check_memory, demand, fast_store_policy, figures},
};

const FAULTY_MS: u64 = 60_000;
const HEALED_MS: u64 = 40_000;
const RUNNERS: usize = 4;
const MODELS: usize = 4;
const REPLICAS: usize = 2;

/// Moves of declared models between engines of both kinds. Guard: the last answering replica of a declared model is
/// not unloaded; without it the models are not declared to the leader.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReplicaScenario;

impl ProofScenario for ReplicaScenario {
    fn name(&self) -> &'static str {
        "replica-keeps-answering"
    }

    fn run(&self, seed: u64, guard: GuardMode) -> Result<ProofFigures, GuaranteeViolation> {
        let mut simulation = DomainSimulation::new(seed, settings(seed, guard));
        let mut checker = ReplicaChecker::default();
        while simulation.now_ms < FAULTY_MS {
            simulation.step(&mut |rng, view| plan_moves(rng, view, true));
            check_memory(&simulation)?;
            checker.check(&simulation)?;
        }
        simulation.heal();
        while simulation.now_ms < FAULTY_MS + HEALED_MS {
            simulation.step(&mut |rng, view| plan_moves(rng, view, false));
            checker.check(&simulation)?;
        }
        check_all_models_answer(&simulation)?;
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
            policy: fast_store_policy(),
            ..DomainConfig::default()
        },
        faults: FaultPlan {
            pause_ratio: 0.004,
            kill_ratio: 0.001,
            outage_ratio: 0.002,
            // A restarted engine loses its replicas like a lost runner, and the checker exempts only one lost runner.
            restart_ratio: 0.0,
            loses_runner: seed.is_multiple_of(2),
        },
        settles_by_timeout: false,
    }
}

/// Checks the ready replicas at the engines themselves.
#[derive(Debug, Default)]
struct ReplicaChecker {
    answering: BTreeSet<Artifact>,
    /// Models that the lost runner held when it was lost. An unload decided before may remove their last
    /// remaining replica.
    exempt: Option<BTreeSet<Artifact>>,
}

impl ReplicaChecker {
    fn check(&mut self, simulation: &DomainSimulation) -> Result<(), GuaranteeViolation> {
        if let (Some(lost), None) = (simulation.lost_runner, &self.exempt) {
            self.exempt = Some(simulation.engines[lost].ready_artifacts().cloned().collect());
        }
        let answering = replica_counts(simulation);
        let is_exempt = |model: &Artifact| self.exempt.as_ref().is_some_and(|exempt| exempt.contains(model));
        let unserved = self
            .answering
            .iter()
            .find(|model| !answering.contains_key(*model) && !is_exempt(model));
        if let Some(model) = unserved {
            return Err(GuaranteeViolation {
                guarantee: "a declared model keeps an answering replica",
                detail: format!("at {} ms: {} has none", simulation.now_ms, model.model),
            });
        }
        self.answering = answering.into_keys().collect();
        Ok(())
    }
}

fn replica_counts(simulation: &DomainSimulation) -> BTreeMap<Artifact, usize> {
    let mut counts = BTreeMap::new();
    for (index, engine) in simulation.engines.iter().enumerate() {
        if simulation.lost_runner == Some(index) {
            continue;
        }
        for model in engine.ready_artifacts() {
            *counts.entry(model.clone()).or_default() += 1;
        }
    }
    counts
}

fn check_all_models_answer(simulation: &DomainSimulation) -> Result<(), GuaranteeViolation> {
    let counts = replica_counts(simulation);
    let missing = (0..MODELS).map(artifact).find(|model| !counts.contains_key(model));
    missing.map_or(Ok(()), |model| {
        Err(GuaranteeViolation {
            guarantee: "every declared model answers after the faults",
            detail: format!("{} has no replica", model.model),
        })
    })
}

/// Proposes moves that keep two replicas of each model, and with `has_random_unloads` also unloads of random replicas.
fn plan_moves(rng: &mut ChaCha8Rng, view: &DomainView, has_random_unloads: bool) -> Vec<PlannedMove> {
    let mut moves: Vec<PlannedMove> = (0..MODELS).filter_map(|model| plan_load(rng, view, model)).collect();
    moves.extend((0..MODELS).filter_map(|model| plan_surplus_unload(view, model)));
    if has_random_unloads {
        moves.extend(plan_random_unload(rng, view));
    }
    moves
}

fn plan_load(rng: &mut ChaCha8Rng, view: &DomainView, model: usize) -> Option<PlannedMove> {
    let artifact = artifact(model);
    let (with, without) = schedulable_runners(view, &artifact);
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

/// Unloads a replica beyond the two that a model needs, so that there is memory for a model without any.
fn plan_surplus_unload(view: &DomainView, model: usize) -> Option<PlannedMove> {
    let artifact = artifact(model);
    let (with, _) = schedulable_runners(view, &artifact);
    let surplus = with.get(REPLICAS)?;
    Some(PlannedMove::Unload {
        backend: surplus.backend.clone(),
        accelerator: 0,
        artifact,
    })
}

/// Splits the schedulable runners into those that hold the weights and those that do not.
fn schedulable_runners<'a>(view: &'a DomainView, artifact: &Artifact) -> (Vec<&'a RunnerView>, Vec<&'a RunnerView>) {
    let schedulable = view.runners.iter().filter(|runner| !runner.is_unschedulable);
    schedulable.partition(|runner| {
        let mut holdings = runner.accelerators[0].holdings.iter();
        holdings.any(|holding| holding.artifact == *artifact && holding.state != HoldingState::Unloading)
    })
}

fn plan_random_unload(rng: &mut ChaCha8Rng, view: &DomainView) -> Option<PlannedMove> {
    let runner = view.runners.choose(rng)?;
    let holding = runner.accelerators[0].holdings.choose(rng)?;
    rng.random_bool(0.5).then(|| PlannedMove::Unload {
        backend: runner.backend.clone(),
        accelerator: 0,
        artifact: holding.artifact.clone(),
    })
}
