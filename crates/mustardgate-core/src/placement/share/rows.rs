//! Models and runners of one planning round by position, so that the round compares no names.

use std::{
    collections::{BTreeMap, HashMap},
    time::Instant,
};

use super::policy::SharePolicy;
use crate::{
    ids::{BackendId, MemoryMib},
    log::Artifact,
    placement::{AcceleratorView, ArtifactDemand, DomainView, HoldingState, RunnerView, gain::ReplicaPlace},
};

/// Position of a model in [`PlanRows::models`].
pub(super) type ModelIndex = usize;
/// Position of a runner in [`PlanRows::runners`].
pub(super) type RunnerIndex = usize;

/// A model during one planning round.
#[derive(Clone, Debug)]
pub(super) struct ModelRow<'a> {
    pub(super) artifact: &'a Artifact,
    /// False for a model that is only held, because of an older configuration.
    pub(super) is_declared: bool,
    /// Requests a second.
    pub(super) rate: f64,
    pub(super) memory_mib: MemoryMib,
    /// Replicas that are loaded or loading.
    pub(super) replicas: u32,
    /// Replicas that serve requests now, without those that are loading.
    pub(super) ready: u32,
    /// Weight of a replica ahead of demand, if the model gets some.
    pub(super) headroom_weight: Option<f64>,
    /// Set once the model has had more replicas than it needs for long enough to lose one for a replica ahead of demand.
    pub(super) has_stable_surplus: bool,
    /// Set for a model that gets replicas in this plan or has memory reserved.
    pub(super) is_growing: bool,
    /// Duration of a load from the weight store, in seconds.
    pub(super) store_load_s: f64,
}

impl<'a> ModelRow<'a> {
    fn undeclared(artifact: &'a Artifact) -> Self {
        Self {
            artifact,
            is_declared: false,
            rate: 0.0,
            memory_mib: 0,
            replicas: 0,
            ready: 0,
            headroom_weight: None,
            has_stable_surplus: false,
            is_growing: false,
            store_load_s: 0.0,
        }
    }

    /// Returns the requests a second at each replica if there are `replicas`.
    pub(super) fn rate_per_replica_at(&self, replicas: u32) -> f64 {
        self.rate / f64::from(replicas.max(1))
    }

    /// Returns the requests a second at each replica now.
    pub(super) fn rate_per_replica(&self) -> f64 {
        self.rate_per_replica_at(self.replicas)
    }

    /// Returns whether the next replica would be one ahead of demand.
    pub(super) fn is_headroom(&self) -> bool {
        self.headroom_weight.is_some() && self.replicas > 0
    }

    /// Returns the rate per replica that the next replica offers for memory: without a replica, any.
    pub(super) fn offered_rate(&self) -> f64 {
        if self.replicas == 0 {
            f64::INFINITY
        } else if self.is_headroom() {
            f64::MIN_POSITIVE
        } else {
            self.rate_per_replica_at(self.replicas + 1).max(f64::MIN_POSITIVE)
        }
    }

    /// Counts another replica.
    pub(super) fn add_replica(&mut self) {
        if self.is_declared {
            self.replicas += 1;
        }
    }

    /// Removes a replica that serves requests.
    pub(super) fn remove_replica(&mut self) {
        self.replicas = self.replicas.saturating_sub(1);
        self.ready = self.ready.saturating_sub(1);
    }
}

/// A model that a runner holds.
#[derive(Clone, Copy, Debug)]
pub(super) struct HeldModel {
    pub(super) model: ModelIndex,
    pub(super) memory_mib: MemoryMib,
    /// Set if it has been there for the minimum residence; not looked up where another reason keeps the replica.
    pub(super) has_stayed: bool,
}

/// A runner during one planning round.
#[derive(Clone, Debug)]
pub(super) struct RunnerRow<'a> {
    pub(super) view: &'a RunnerView,
    /// Set if no load or unload is in progress.
    pub(super) is_idle: bool,
    pub(super) free_mib: MemoryMib,
    pub(super) held: Vec<HeldModel>,
    /// Models that the runner has a copy of outside its accelerators, with the duration of a load from it in seconds.
    copies: Vec<(ModelIndex, f64)>,
}

impl RunnerRow<'_> {
    /// Returns whether the runner holds a model, in whichever state.
    pub(super) fn holds(&self, model: ModelIndex) -> bool {
        self.held.iter().any(|held| held.model == model)
    }

    /// Returns the duration of a load from the runner's own copy in seconds, if it has one.
    pub(super) fn copy_load_s(&self, model: ModelIndex) -> Option<f64> {
        let copy = self.copies.iter().find(|(copied, _)| *copied == model);
        copy.map(|(_, load_s)| *load_s)
    }
}

/// Models and runners of one planning round.
#[derive(Debug)]
pub(super) struct PlanRows<'a> {
    /// Declared models ordered by artifact, then others that are held.
    pub(super) models: Vec<ModelRow<'a>>,
    /// Number of declared models.
    pub(super) declared: usize,
    /// Runners in the order of the view.
    pub(super) runners: Vec<RunnerRow<'a>>,
    /// Runners that have a copy of each model outside their accelerators, in the order of the view.
    pub(super) copies: Vec<Vec<RunnerIndex>>,
    runner_index: HashMap<&'a BackendId, RunnerIndex>,
    model_index: HashMap<&'a Artifact, ModelIndex>,
}

impl<'a> PlanRows<'a> {
    pub(super) fn runner_index(&self, backend: &BackendId) -> Option<RunnerIndex> {
        self.runner_index.get(backend).copied()
    }

    pub(super) fn model_index(&self, artifact: &Artifact) -> Option<ModelIndex> {
        self.model_index.get(artifact).copied()
    }

    /// Returns the runners that may be given models.
    pub(super) fn usable_runners(&self) -> impl Iterator<Item = &RunnerRow<'a>> {
        self.runners.iter().filter(|runner| !runner.view.is_unschedulable)
    }

    /// Returns the memory for weights of all runners that may be given models.
    pub(super) fn total_mib(&self) -> MemoryMib {
        let accelerators = self.usable_runners().flat_map(|runner| &runner.view.accelerators);
        accelerators.map(|accelerator| accelerator.capacity_mib).sum()
    }
}

impl<'a> PlanRows<'a> {
    /// Arranges the view, with what the policy knows of its models and runners.
    pub(super) fn new(policy: &SharePolicy, now: Instant, view: &'a DomainView) -> Self {
        let demands: BTreeMap<&Artifact, &ArtifactDemand> =
            view.demands.iter().map(|demand| (&demand.artifact, demand)).collect();
        let declared = demands.values().map(|demand| policy.model_row(demand));
        let mut rows = Self {
            models: declared.collect(),
            declared: demands.len(),
            runners: Vec::with_capacity(view.runners.len()),
            copies: Vec::new(),
            runner_index: view
                .runners
                .iter()
                .zip(0..)
                .map(|(runner, index)| (&runner.backend, index))
                .collect(),
            model_index: demands.keys().copied().zip(0..).collect(),
        };
        for runner in &view.runners {
            rows.add_runner(runner);
        }
        rows.find_copies(policy);
        rows.find_stayed(policy, now);
        rows
    }

    fn add_runner(&mut self, runner: &'a RunnerView) {
        let holdings = || runner.accelerators.iter().flat_map(|accelerator| &accelerator.holdings);
        let mut held = Vec::new();
        for holding in holdings() {
            let model = self.index_of(&holding.artifact);
            held.push(HeldModel {
                model,
                memory_mib: holding.memory_mib,
                has_stayed: false,
            });
            if runner.is_unschedulable {
                continue;
            }
            let row = &mut self.models[model];
            // A replica that cannot take the demand for its model needs another one beside it.
            if holding.state != HoldingState::Unloading && runner.takes(row.rate) {
                row.add_replica();
            }
            if holding.state == HoldingState::Resident {
                row.ready += 1;
            }
        }
        self.runners.push(RunnerRow {
            view: runner,
            is_idle: holdings().all(|holding| holding.state == HoldingState::Resident),
            free_mib: runner.accelerators.iter().map(AcceleratorView::free_mib).sum(),
            held,
            copies: Vec::new(),
        });
    }

    /// Returns the position of a model, adding one that is held and not declared.
    fn index_of(&mut self, artifact: &'a Artifact) -> ModelIndex {
        let next = self.models.len();
        let index = *self.model_index.entry(artifact).or_insert(next);
        if index == next {
            self.models.push(ModelRow::undeclared(artifact));
        }
        index
    }

    fn find_copies(&mut self, policy: &SharePolicy) {
        self.copies = vec![Vec::new(); self.models.len()];
        for (index, runner) in self.runners.iter_mut().enumerate() {
            let Some(copies) = policy.load_times.from_cache.get(&runner.view.backend) else {
                continue;
            };
            for (artifact, load_time) in copies {
                if let Some(model) = self.model_index.get(artifact) {
                    runner.copies.push((*model, load_time.as_secs_f64()));
                    self.copies[*model].push(index);
                }
            }
        }
    }

    /// Looks up how long replicas have been resident of which another one serves requests.
    fn find_stayed(&mut self, policy: &SharePolicy, now: Instant) {
        for runner in &mut self.runners {
            for held in &mut runner.held {
                let model = &self.models[held.model];
                if model.ready < 2 {
                    continue;
                }
                let place = ReplicaPlace {
                    backend: runner.view.backend.clone(),
                    accelerator: 0,
                    artifact: model.artifact.clone(),
                };
                held.has_stayed = policy.residence.has_stayed(now, &place, policy.settings.min_residence);
            }
        }
    }
}
