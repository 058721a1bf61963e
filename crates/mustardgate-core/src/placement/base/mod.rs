//! Base placement: the replicas that are kept regardless of demand.
//!
//! A pure function of the declarations and the list of live runners, so that all nodes compute the same placement
//! without exchanging messages. See `docs/design/placement.md`.

mod absence;
mod assign;
mod rank;

use std::collections::BTreeMap;

pub use self::absence::AbsenceTracker;
use self::assign::{RegionRunners, assign_region};
use super::BaseAssignment;
use crate::{
    ids::{BackendId, DomainId, MemoryMib, RegionId},
    log::Artifact,
};

/// Input of the base placement.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BaseInput {
    /// Declared weights that need replicas; an adapter is placed on an accelerator with a version of its model from
    /// this list.
    pub artifacts: Vec<DeclaredArtifact>,
    /// Live runners that are not shutting down.
    pub runners: Vec<DeclaredRunner>,
    /// Absent runners that are expected back. They keep their assignments, so that the loss of a runner adds replicas
    /// only for weights that fall below their minimum.
    pub absent: Vec<DeclaredRunner>,
}

/// Declared weights.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DeclaredArtifact {
    /// The weights.
    pub artifact: Artifact,
    /// Memory they take on one accelerator.
    pub memory_mib: MemoryMib,
    /// Minimum number of replicas in each region. A second one is placed even if the minimum is one, where a
    /// second failure domain has room.
    pub min_replicas: u32,
}

/// Declared runner that may hold replicas.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DeclaredRunner {
    /// Name of the backend server.
    pub backend: BackendId,
    /// Failure domain of the runner.
    pub domain: DomainId,
    /// Region of the failure domain.
    pub region: RegionId,
    /// Memory of each accelerator, by index.
    pub accelerators: Vec<MemoryMib>,
}

/// One replica of the base placement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BaseReplica {
    /// Region of the failure domain.
    pub region: RegionId,
    /// Failure domain of the runner.
    pub domain: DomainId,
    /// Runner and accelerator.
    pub place: BaseAssignment,
}

/// Weights for which no accelerator of a region has room.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnplacedArtifact {
    /// Region without a replica.
    pub region: RegionId,
    /// The weights.
    pub artifact: Artifact,
}

/// Base placement of a whole deployment.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BasePlacement {
    /// Replicas of each artifact; within a region the first replica comes first.
    pub replicas: BTreeMap<Artifact, Vec<BaseReplica>>,
    /// Weights without a replica in some region, to be reported to operators.
    pub unplaced: Vec<UnplacedArtifact>,
}

impl BasePlacement {
    /// Computes the placement, independently of the order of the input.
    pub fn compute(input: &BaseInput) -> Self {
        let mut regions: BTreeMap<&RegionId, RegionRunners<'_>> = BTreeMap::new();
        for runner in &input.runners {
            regions.entry(&runner.region).or_default().live.push(runner);
        }
        for runner in &input.absent {
            // A region without a live runner cannot serve requests and gets no replicas.
            if let Some(runners) = regions.get_mut(&runner.region) {
                runners.absent.push(runner);
            }
        }
        let mut placement = Self::default();
        for (region, runners) in regions {
            let assigned = assign_region(&input.artifacts, &runners);
            for (artifact, replicas) in assigned.replicas {
                placement.replicas.entry(artifact).or_default().extend(replicas);
            }
            let unplaced = assigned.unplaced.into_iter().map(|artifact| UnplacedArtifact {
                region: region.clone(),
                artifact,
            });
            placement.unplaced.extend(unplaced);
        }
        placement
    }

    /// Returns the accelerators of a failure domain that are assigned a replica of the weights.
    pub fn assignments_in_domain(&self, domain: &DomainId, artifact: &Artifact) -> Vec<BaseAssignment> {
        self.replicas
            .get(artifact)
            .into_iter()
            .flatten()
            .filter(|replica| replica.domain == *domain)
            .map(|replica| replica.place.clone())
            .collect()
    }
}
