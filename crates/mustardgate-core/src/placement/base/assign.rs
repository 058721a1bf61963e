//! Assignment of replicas to the accelerators of one region, within their memory.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
};

use super::{BaseReplica, DeclaredArtifact, DeclaredRunner, rank::rank};
use crate::{
    ids::{AcceleratorIndex, DomainId, MemoryMib, ModelId},
    log::Artifact,
    placement::BaseAssignment,
};

/// Replicas of each artifact in a region, as far as memory and failure domains allow.
const DEFAULT_REPLICAS_PER_REGION: u32 = 2;

/// Replicas of one region, and artifacts that got none.
#[derive(Debug, Default)]
pub(super) struct RegionAssignment {
    pub(super) replicas: BTreeMap<Artifact, Vec<BaseReplica>>,
    pub(super) unplaced: Vec<Artifact>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PackingOrder {
    /// Highest rendezvous rank first, which keeps most replicas in place when runners join or leave.
    Rank,
    /// Least free memory first, which fits more artifacts when memory is tight.
    BestFit,
}

#[derive(Debug)]
struct AcceleratorSlot<'a> {
    runner: &'a DeclaredRunner,
    accelerator: AcceleratorIndex,
    capacity_mib: MemoryMib,
    free_mib: MemoryMib,
    artifacts: BTreeSet<&'a Artifact>,
}

/// Live and absent runners of one region.
#[derive(Debug, Default)]
pub(super) struct RegionRunners<'a> {
    pub(super) live: Vec<&'a DeclaredRunner>,
    pub(super) absent: Vec<&'a DeclaredRunner>,
}

/// Assigns replicas to live and absent runners, and adds replicas on live runners only for artifacts that have too few
/// there. If that leaves artifacts without any replica and a new assignment to the live runners leaves fewer, returns
/// the new one, because availability goes before stability.
pub(super) fn assign_region(artifacts: &[DeclaredArtifact], runners: &RegionRunners<'_>) -> RegionAssignment {
    if runners.absent.is_empty() {
        return assign_from_scratch(artifacts, &runners.live);
    }
    let all_runners: Vec<&DeclaredRunner> = runners.live.iter().chain(&runners.absent).copied().collect();
    let full = assign_from_scratch(artifacts, &all_runners);
    let kept = RegionPacker::new(&runners.live, PackingOrder::Rank).keep_and_complete(artifacts, full);
    if kept.unplaced.is_empty() {
        return kept;
    }
    let reassigned = assign_from_scratch(artifacts, &runners.live);
    if reassigned.unplaced.len() < kept.unplaced.len() {
        reassigned
    } else {
        kept
    }
}

/// Assigns by rank, or by best fit if that leaves fewer artifacts without a replica.
fn assign_from_scratch(artifacts: &[DeclaredArtifact], runners: &[&DeclaredRunner]) -> RegionAssignment {
    let ranked = RegionPacker::new(runners, PackingOrder::Rank).assign(artifacts);
    if ranked.unplaced.is_empty() {
        return ranked;
    }
    let packed = RegionPacker::new(runners, PackingOrder::BestFit).assign(artifacts);
    if packed.unplaced.len() < ranked.unplaced.len() {
        packed
    } else {
        ranked
    }
}

struct RegionPacker<'a> {
    slots: Vec<AcceleratorSlot<'a>>,
    order: PackingOrder,
    assignment: RegionAssignment,
}

impl<'a> RegionPacker<'a> {
    fn new(runners: &[&'a DeclaredRunner], order: PackingOrder) -> Self {
        let mut slots: Vec<AcceleratorSlot<'a>> = runners
            .iter()
            .flat_map(|runner| {
                (0..)
                    .zip(&runner.accelerators)
                    .map(|(accelerator, memory_mib)| AcceleratorSlot {
                        runner,
                        accelerator,
                        capacity_mib: *memory_mib,
                        free_mib: *memory_mib,
                        artifacts: BTreeSet::new(),
                    })
            })
            .collect();
        slots.sort_by(|left, right| {
            (&left.runner.backend, left.accelerator).cmp(&(&right.runner.backend, right.accelerator))
        });
        Self {
            slots,
            order,
            assignment: RegionAssignment::default(),
        }
    }

    /// Places the first replica of every artifact before any second replica, and adapters right after their model, so
    /// that no other model takes the memory that they need next to it.
    fn assign(mut self, artifacts: &'a [DeclaredArtifact]) -> RegionAssignment {
        let ordered = ordered_by_family(artifacts);
        for declared in &ordered {
            if !self.place(declared, &ordered, false) {
                self.assignment.unplaced.push(declared.artifact.clone());
            }
        }
        let max_replicas = ordered
            .iter()
            .map(|declared| declared.min_replicas)
            .max()
            .unwrap_or_default();
        for replica in 1..max_replicas.max(DEFAULT_REPLICAS_PER_REGION) {
            for declared in &ordered {
                if replica < declared.min_replicas.max(DEFAULT_REPLICAS_PER_REGION) {
                    self.place(declared, &ordered, true);
                }
            }
        }
        self.assignment
    }

    /// Keeps the replicas of `full` that are on these runners, and adds replicas until each artifact has its minimum,
    /// at least one.
    fn keep_and_complete(mut self, artifacts: &'a [DeclaredArtifact], full: RegionAssignment) -> RegionAssignment {
        let ordered = ordered_by_family(artifacts);
        let mut replicas = full.replicas;
        for declared in &ordered {
            for replica in replicas.remove(&declared.artifact).into_iter().flatten() {
                self.keep_replica(declared, replica);
            }
        }
        for declared in &ordered {
            let kept = self.assignment.replicas.get(&declared.artifact).map_or(0, Vec::len) as u32;
            for replica in kept..declared.min_replicas.max(1) {
                if !self.place(declared, &ordered, replica > 0) && replica == 0 {
                    self.assignment.unplaced.push(declared.artifact.clone());
                }
            }
        }
        self.assignment
    }

    fn keep_replica(&mut self, declared: &'a DeclaredArtifact, replica: BaseReplica) {
        let place = &replica.place;
        let slot = self
            .slots
            .iter_mut()
            .find(|slot| slot.runner.backend == place.backend && slot.accelerator == place.accelerator);
        let Some(slot) = slot else { return };
        let Some(free_mib) = slot.free_mib.checked_sub(declared.memory_mib) else {
            return;
        };
        slot.free_mib = free_mib;
        slot.artifacts.insert(&declared.artifact);
        let kept = self.assignment.replicas.entry(declared.artifact.clone()).or_default();
        kept.push(replica);
    }

    /// Places one replica in a failure domain without one, preferably where the adapters of a model fit too. Other
    /// failure domains are used only below the minimum number of replicas.
    fn place(
        &mut self,
        declared: &'a DeclaredArtifact,
        declarations: &[&DeclaredArtifact],
        is_additional: bool,
    ) -> bool {
        let replicas: Vec<BaseReplica> = self
            .assignment
            .replicas
            .get(&declared.artifact)
            .cloned()
            .unwrap_or_default();
        if is_additional && replicas.is_empty() {
            return false;
        }
        let is_new_domain = |domain: &DomainId| replicas.iter().all(|replica| replica.domain != *domain);
        let is_below_minimum = |_: &DomainId| (replicas.len() as u32) < declared.min_replicas;
        let family_mib = family_memory(&declared.artifact, declarations);
        let choice = self
            .choose_slot(declared, family_mib, &is_new_domain)
            .or_else(|| self.choose_slot(declared, declared.memory_mib, &is_new_domain))
            .or_else(|| self.choose_slot(declared, declared.memory_mib, &is_below_minimum));
        let Some(index) = choice else { return false };
        let slot = &mut self.slots[index];
        let Some(free_mib) = slot.free_mib.checked_sub(declared.memory_mib) else {
            return false;
        };
        slot.free_mib = free_mib;
        slot.artifacts.insert(&declared.artifact);
        let replica = BaseReplica {
            region: slot.runner.region.clone(),
            domain: slot.runner.domain.clone(),
            place: BaseAssignment {
                backend: slot.runner.backend.clone(),
                accelerator: slot.accelerator,
            },
        };
        self.assignment
            .replicas
            .entry(declared.artifact.clone())
            .or_default()
            .push(replica);
        true
    }

    fn choose_slot(
        &self,
        declared: &DeclaredArtifact,
        room_mib: MemoryMib,
        is_allowed_domain: &dyn Fn(&DomainId) -> bool,
    ) -> Option<usize> {
        let score = |slot: &AcceleratorSlot<'_>| match self.order {
            PackingOrder::Rank => rank(
                &declared.artifact,
                &slot.runner.backend,
                slot.accelerator,
                slot.capacity_mib,
            ),
            PackingOrder::BestFit => -(slot.free_mib as f64),
        };
        (0..self.slots.len())
            .filter(|index| {
                let slot = &self.slots[*index];
                slot.free_mib >= room_mib
                    && !slot.artifacts.contains(&declared.artifact)
                    && is_allowed_domain(&slot.runner.domain)
                    && holds_model_of(slot, &declared.artifact)
            })
            .max_by(|left, right| score(&self.slots[*left]).total_cmp(&score(&self.slots[*right])))
    }
}

/// Orders artifacts by family, which is a model with its adapters: the largest family first, and in it the model first.
fn ordered_by_family(artifacts: &[DeclaredArtifact]) -> Vec<&DeclaredArtifact> {
    let mut sizes: BTreeMap<&ModelId, MemoryMib> = BTreeMap::new();
    for declared in artifacts {
        *sizes.entry(&declared.artifact.model).or_default() += declared.memory_mib;
    }
    let mut ordered: Vec<&DeclaredArtifact> = artifacts.iter().collect();
    ordered.sort_by(|left, right| {
        let key = |declared: &DeclaredArtifact| {
            let family_mib = sizes.get(&declared.artifact.model).copied().unwrap_or_default();
            (
                Reverse(family_mib),
                declared.artifact.model.clone(),
                declared.artifact.adapter.is_some(),
            )
        };
        let by_family = key(left).cmp(&key(right));
        by_family
            .then_with(|| right.memory_mib.cmp(&left.memory_mib))
            .then_with(|| left.artifact.cmp(&right.artifact))
    });
    ordered.dedup_by(|left, right| left.artifact == right.artifact);
    ordered
}

/// Returns the memory of a model with all its adapters, or of an adapter alone.
fn family_memory(artifact: &Artifact, declarations: &[&DeclaredArtifact]) -> MemoryMib {
    declarations
        .iter()
        .filter(|declared| {
            let is_own_adapter = artifact.adapter.is_none()
                && declared.artifact.adapter.is_some()
                && declared.artifact.model == artifact.model;
            declared.artifact == *artifact || is_own_adapter
        })
        .map(|declared| declared.memory_mib)
        .sum()
}

fn holds_model_of(slot: &AcceleratorSlot<'_>, artifact: &Artifact) -> bool {
    artifact.adapter.is_none()
        || slot
            .artifacts
            .iter()
            .any(|held| held.adapter.is_none() && held.model == artifact.model)
}
