//! Assignment within one region under the accelerators' memory.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
};

use super::{BaseReplica, DeclaredArtifact, LiveRunner, rank::rank};
use crate::{
    ids::{AcceleratorIndex, DomainId, MemoryMib, ModelId},
    log::Artifact,
    placement::BaseAssignment,
};

const REPLICAS_WANTED: u32 = 2;

/// Replicas of one region.
#[derive(Debug, Default)]
pub(super) struct RegionAssignment {
    pub(super) replicas: BTreeMap<Artifact, Vec<BaseReplica>>,
    pub(super) unplaced: Vec<Artifact>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PackingOrder {
    /// By rendezvous rank, which keeps most replicas in place when runners come and go.
    Rank,
    /// By least memory left over, which fits more when memory is tight.
    BestFit,
}

#[derive(Debug)]
struct Slot<'a> {
    runner: &'a LiveRunner,
    accelerator: AcceleratorIndex,
    capacity_mib: MemoryMib,
    free_mib: MemoryMib,
    held: BTreeSet<&'a Artifact>,
}

/// Runners of one region.
#[derive(Debug, Default)]
pub(super) struct RegionRunners<'a> {
    pub(super) live: Vec<&'a LiveRunner>,
    pub(super) absent: Vec<&'a LiveRunner>,
}

/// Assigns over all runners, and replaces on live ones only what has too few replicas left; when that finds no room,
/// assigns anew over the live runners, because reach goes before staying in place.
pub(super) fn assign_region(artifacts: &[DeclaredArtifact], runners: &RegionRunners<'_>) -> RegionAssignment {
    if runners.absent.is_empty() {
        return assign_anew(artifacts, &runners.live);
    }
    let all: Vec<&LiveRunner> = runners.live.iter().chain(&runners.absent).copied().collect();
    let home = assign_anew(artifacts, &all);
    let kept = RegionPacker::new(&runners.live, PackingOrder::Rank).keep(artifacts, home);
    if kept.unplaced.is_empty() {
        return kept;
    }
    let anew = assign_anew(artifacts, &runners.live);
    if anew.unplaced.len() < kept.unplaced.len() {
        anew
    } else {
        kept
    }
}

/// Assigns by rank, and packs tighter when that leaves something without any replica.
fn assign_anew(artifacts: &[DeclaredArtifact], runners: &[&LiveRunner]) -> RegionAssignment {
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
    slots: Vec<Slot<'a>>,
    order: PackingOrder,
    assignment: RegionAssignment,
}

impl<'a> RegionPacker<'a> {
    fn new(runners: &[&'a LiveRunner], order: PackingOrder) -> Self {
        let mut slots: Vec<Slot<'a>> = runners
            .iter()
            .flat_map(|runner| {
                (0..).zip(&runner.accelerators).map(|(accelerator, memory_mib)| Slot {
                    runner,
                    accelerator,
                    capacity_mib: *memory_mib,
                    free_mib: *memory_mib,
                    held: BTreeSet::new(),
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

    /// Places the first replica of everything before the second of anything, and adapters right after their model, so
    /// that no other model takes the room beside it.
    fn assign(mut self, artifacts: &'a [DeclaredArtifact]) -> RegionAssignment {
        let ordered = ordered_by_family(artifacts);
        for declared in &ordered {
            if !self.place(declared, &ordered, false) {
                self.assignment.unplaced.push(declared.artifact.clone());
            }
        }
        let most = ordered
            .iter()
            .map(|declared| declared.min_replicas)
            .max()
            .unwrap_or_default();
        for replica in 1..most.max(REPLICAS_WANTED) {
            for declared in &ordered {
                if replica < declared.min_replicas.max(REPLICAS_WANTED) {
                    self.place(declared, &ordered, true);
                }
            }
        }
        self.assignment
    }

    /// Keeps the replicas of `home` that are on these runners, and adds what is missing to each artifact's minimum.
    fn keep(mut self, artifacts: &'a [DeclaredArtifact], home: RegionAssignment) -> RegionAssignment {
        let ordered = ordered_by_family(artifacts);
        let mut replicas = home.replicas;
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
        slot.held.insert(&declared.artifact);
        let kept = self.assignment.replicas.entry(declared.artifact.clone()).or_default();
        kept.push(replica);
    }

    /// Places one replica; a further one goes to a failure domain without a replica while there is such a domain.
    fn place(&mut self, declared: &'a DeclaredArtifact, all: &[&DeclaredArtifact], is_further: bool) -> bool {
        let held: Vec<BaseReplica> = self
            .assignment
            .replicas
            .get(&declared.artifact)
            .cloned()
            .unwrap_or_default();
        if is_further && held.is_empty() {
            return false;
        }
        let is_new_domain = |domain: &DomainId| held.iter().all(|replica| replica.domain != *domain);
        let is_allowed = |_: &DomainId| (held.len() as u32) < declared.min_replicas;
        let family_mib = family_memory(&declared.artifact, all);
        let choice = self
            .choose(declared, family_mib, &is_new_domain)
            .or_else(|| self.choose(declared, declared.memory_mib, &is_new_domain))
            .or_else(|| self.choose(declared, declared.memory_mib, &is_allowed));
        let Some(index) = choice else { return false };
        let slot = &mut self.slots[index];
        let Some(free_mib) = slot.free_mib.checked_sub(declared.memory_mib) else {
            return false;
        };
        slot.free_mib = free_mib;
        slot.held.insert(&declared.artifact);
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

    fn choose(
        &self,
        declared: &DeclaredArtifact,
        room_mib: MemoryMib,
        is_wanted: &dyn Fn(&DomainId) -> bool,
    ) -> Option<usize> {
        let score = |slot: &Slot<'_>| match self.order {
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
                    && !slot.held.contains(&declared.artifact)
                    && is_wanted(&slot.runner.domain)
                    && is_beside_model(slot, &declared.artifact)
            })
            .max_by(|left, right| score(&self.slots[*left]).total_cmp(&score(&self.slots[*right])))
    }
}

/// Orders families of a model and its adapters by size, the largest first, and each model before its adapters.
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
fn family_memory(artifact: &Artifact, all: &[&DeclaredArtifact]) -> MemoryMib {
    all.iter()
        .filter(|declared| {
            let is_beside = artifact.adapter.is_none()
                && declared.artifact.adapter.is_some()
                && declared.artifact.model == artifact.model;
            declared.artifact == *artifact || is_beside
        })
        .map(|declared| declared.memory_mib)
        .sum()
}

fn is_beside_model(slot: &Slot<'_>, artifact: &Artifact) -> bool {
    artifact.adapter.is_none()
        || slot
            .held
            .iter()
            .any(|held| held.adapter.is_none() && held.model == artifact.model)
}
