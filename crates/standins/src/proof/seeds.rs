//! Runs a scenario over many seeds on all cores.

use std::{
    collections::BTreeMap,
    num::NonZero,
    sync::{
        Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
};

use super::{GuaranteeViolation, GuardMode, ProofFigures, ProofScenario};

/// Which seeds to run.
#[derive(Clone, Copy, Debug)]
pub struct ProofOptions {
    /// First seed.
    pub first_seed: u64,
    /// Number of consecutive seeds.
    pub count: u64,
    /// Whether guards are in force.
    pub guard: GuardMode,
}

/// Outcome of one scenario over all seeds.
#[derive(Clone, Debug, Default)]
pub struct ProofSummary {
    /// Seeds that were run.
    pub seeds: u64,
    /// Seeds on which a guarantee was violated.
    pub violations: u64,
    /// Smallest seed on which a guarantee was violated, with the violation.
    pub first_violation: Option<SeedViolation>,
    /// Sums of the counts over all seeds.
    pub counts: BTreeMap<&'static str, u64>,
}

/// A violation with the seed that causes it.
#[derive(Clone, Debug)]
pub struct SeedViolation {
    /// Seed of the run.
    pub seed: u64,
    /// Violation that the run found.
    pub violation: GuaranteeViolation,
}

impl ProofSummary {
    fn record(&mut self, seed: u64, outcome: Result<ProofFigures, GuaranteeViolation>) {
        self.seeds += 1;
        match outcome {
            Ok(figures) => {
                for count in figures.counts {
                    *self.counts.entry(count.name).or_default() += count.value;
                }
            }
            Err(violation) => {
                self.violations += 1;
                if self.first_violation.as_ref().is_none_or(|first| seed < first.seed) {
                    self.first_violation = Some(SeedViolation { seed, violation });
                }
            }
        }
    }
}

/// Runs one scenario over all seeds, spread over the machine's cores.
pub fn run_seeds(scenario: &dyn ProofScenario, options: ProofOptions) -> ProofSummary {
    let next = AtomicU64::new(options.first_seed);
    let end = options.first_seed + options.count;
    let summary = Mutex::new(ProofSummary::default());
    let workers = thread::available_parallelism().map_or(1, NonZero::get);
    thread::scope(|scope| {
        for _ in 0..workers {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= end {
                        break;
                    }
                    let outcome = scenario.run(seed, options.guard);
                    summary
                        .lock()
                        .expect("no holder of the lock panics")
                        .record(seed, outcome);
                }
            });
        }
    });
    summary.into_inner().expect("no holder of the lock panics")
}
