//! Proofs that no accelerator's memory is ever committed beyond its capacity, and that no order stays open forever.

use mustardgate_core::{
    ids::MemoryMib,
    leader::{DomainConfig, RunnerConfig},
    log::Artifact,
    placement::{ArtifactDemand, DomainView, HoldingState, PlannedMove},
    resources::{FencingSupport, PolicySpec, PriorityClass},
};
use rand::{Rng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;

use super::{
    GuaranteeViolation, GuardMode, ProofCount, ProofFigures, ProofScenario,
    domain::{DomainSimulation, FaultPlan, SimulationSettings, declared_runner},
};
use crate::engine::EngineState;

const FAULTY_MS: u64 = 60_000;
const HEALED_MS: u64 = 40_000;
const RUNNERS: usize = 3;
const CAPACITY_MIB: MemoryMib = 100;
const ARTIFACTS: usize = 9;
const MOVES_PER_PLAN: usize = 3;

/// Kinds of engine in the domain, and with them the guard that is tested.
#[derive(Clone, Copy, Debug)]
pub(super) enum MemoryScenario {
    /// Engines refuse old fencing numbers. Guard: fencing; without it the engines obey every order.
    FencedEngines,
    /// Engines ignore fencing numbers. Guard: only a report settles an order and releases its memory; without it a
    /// timeout settles an order too.
    LoggedIntents,
    /// Both kinds. Guard: intents are logged before orders are sent; without it the leader treats every engine as one
    /// that refuses old fencing numbers.
    MixedEngines,
}

impl MemoryScenario {
    fn actual_fencing(self, index: usize, guard: GuardMode) -> FencingSupport {
        match (self, guard) {
            (Self::FencedEngines, GuardMode::Enforced) => FencingSupport::Refuses,
            (Self::MixedEngines, _) if index == 0 => FencingSupport::Refuses,
            _ => FencingSupport::Ignores,
        }
    }

    fn declared_fencing(self, index: usize, guard: GuardMode) -> FencingSupport {
        match (self, guard) {
            (Self::FencedEngines, _) | (Self::MixedEngines, GuardMode::Removed) => FencingSupport::Refuses,
            _ => self.actual_fencing(index, guard),
        }
    }

    fn settings(self, guard: GuardMode) -> SimulationSettings {
        let runner = |index| {
            declared_runner(
                index,
                self.declared_fencing(index, guard),
                vec![CAPACITY_MIB, CAPACITY_MIB],
            )
        };
        SimulationSettings {
            engines: (0..RUNNERS).map(|index| self.actual_fencing(index, guard)).collect(),
            config: config((0..RUNNERS).map(runner).collect()),
            faults: FaultPlan {
                pause_ratio: 0.004,
                kill_ratio: 0.001,
                outage_ratio: 0.003,
                restart_ratio: 0.001,
                loses_runner: false,
            },
            settles_by_timeout: matches!((self, guard), (Self::LoggedIntents, GuardMode::Removed)),
        }
    }
}

impl ProofScenario for MemoryScenario {
    fn name(&self) -> &'static str {
        match self {
            Self::FencedEngines => "memory-fenced-engines",
            Self::LoggedIntents => "memory-logged-intents",
            Self::MixedEngines => "memory-mixed-engines",
        }
    }

    fn run(&self, seed: u64, guard: GuardMode) -> Result<ProofFigures, GuaranteeViolation> {
        let mut simulation = DomainSimulation::new(seed, self.settings(guard));
        while simulation.now_ms < FAULTY_MS {
            simulation.step(&mut plan_random_moves);
            check_memory(&simulation)?;
        }
        simulation.heal();
        while simulation.now_ms < FAULTY_MS + HEALED_MS {
            simulation.step(&mut |_, _| Vec::new());
            check_memory(&simulation)?;
        }
        check_orders_settled(&simulation)?;
        Ok(figures(&simulation))
    }
}

/// Returns the counts of a finished run.
pub(super) fn figures(simulation: &DomainSimulation) -> ProofFigures {
    let counts = simulation.counts.iter();
    ProofFigures {
        counts: counts.map(|(name, value)| ProofCount { name, value: *value }).collect(),
    }
}

/// Checks the memory of the engines themselves.
pub(super) fn check_memory(simulation: &DomainSimulation) -> Result<(), GuaranteeViolation> {
    let overcommit = simulation.engines.iter().find_map(EngineState::overcommit);
    overcommit.map_or(Ok(()), |overcommit| {
        Err(GuaranteeViolation {
            guarantee: "no memory beyond capacity",
            detail: format!("at {} ms: {overcommit:?}", simulation.now_ms),
        })
    })
}

fn check_orders_settled(simulation: &DomainSimulation) -> Result<(), GuaranteeViolation> {
    let stuck = |detail| GuaranteeViolation {
        guarantee: "no order stays open forever",
        detail,
    };
    let Some(view) = simulation.leading_view() else {
        return Err(stuck("no node leads after the faults ended".into()));
    };
    if view.runners.len() != RUNNERS {
        return Err(stuck(format!("only {} runners are led", view.runners.len())));
    }
    let accelerators = view.runners.iter().flat_map(|runner| &runner.accelerators);
    let mut holdings = accelerators.flat_map(|accelerator| &accelerator.holdings);
    match holdings.find(|holding| holding.state != HoldingState::Resident) {
        Some(holding) => Err(stuck(format!("{holding:?}"))),
        None => Ok(()),
    }
}

/// Returns the model weights numbered `index`.
pub(super) fn artifact(index: usize) -> Artifact {
    Artifact {
        model: smol_str::format_smolstr!("m{index}"),
        adapter: None,
        version: "v1".into(),
    }
}

/// Returns a declared artifact without demand.
pub(super) fn demand(index: usize, memory_mib: MemoryMib) -> ArtifactDemand {
    ArtifactDemand {
        artifact: artifact(index),
        memory_mib,
        requests_per_second: 0.0,
        priority: PriorityClass::Standard,
        base_assignments: Vec::new(),
    }
}

/// Returns a policy whose weight store is fast enough for moves to overlap.
pub(super) fn fast_store_policy() -> PolicySpec {
    PolicySpec {
        store_loads_per_second: 20.0,
        ..PolicySpec::default()
    }
}

/// Returns a configuration that declares half of the artifacts, so that the others may always be unloaded.
fn config(runners: Vec<RunnerConfig>) -> DomainConfig {
    DomainConfig {
        runners,
        demands: (0..ARTIFACTS / 2)
            .map(|index| demand(index, memory_mib(index)))
            .collect(),
        policy: fast_store_policy(),
        ..DomainConfig::default()
    }
}

fn memory_mib(index: usize) -> MemoryMib {
    30 + 5 * index as MemoryMib
}

/// Proposes random loads, and unloads of artifacts that are held.
fn plan_random_moves(rng: &mut ChaCha8Rng, view: &DomainView) -> Vec<PlannedMove> {
    (0..MOVES_PER_PLAN)
        .filter_map(|_| plan_random_move(rng, view))
        .collect()
}

fn plan_random_move(rng: &mut ChaCha8Rng, view: &DomainView) -> Option<PlannedMove> {
    let runner = view.runners.choose(rng)?;
    let accelerator = rng.random_range(0..runner.accelerators.len());
    let holdings = &runner.accelerators[accelerator].holdings;
    let backend = runner.backend.clone();
    if rng.random_bool(0.5) {
        let artifact = holdings.choose(rng)?.artifact.clone();
        return Some(PlannedMove::Unload {
            backend,
            accelerator: accelerator as u16,
            artifact,
        });
    }
    let index = rng.random_range(0..ARTIFACTS);
    Some(PlannedMove::Load {
        backend,
        accelerator: accelerator as u16,
        artifact: artifact(index),
        memory_mib: memory_mib(index),
    })
}
