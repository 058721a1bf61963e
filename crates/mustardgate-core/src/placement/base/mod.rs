//! Base placement: the replicas that are kept whatever the demand.
//!
//! A pure function of the declarations and the live list, so that every node computes the same without messages. See
//! `docs/design/placement.md`.

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

/// What the base placement is computed from.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BaseInput {
    /// Declared weights that have to be reachable; an adapter is placed beside a listed version of its model.
    pub artifacts: Vec<DeclaredArtifact>,
    /// Runners in the live list that are not leaving.
    pub runners: Vec<LiveRunner>,
    /// Declared runners that are away and expected back. Their places stay theirs, so that a lost runner moves only
    /// weights that have no replica left.
    pub absent: Vec<LiveRunner>,
}

/// Weights that must stay reachable.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DeclaredArtifact {
    /// The weights.
    pub artifact: Artifact,
    /// Memory they take on one accelerator.
    pub memory_mib: MemoryMib,
    /// Replicas wanted in each region beyond the second, if more than two.
    pub min_replicas: u32,
}

/// A runner that may hold weights.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LiveRunner {
    /// Name of the backend server.
    pub backend: BackendId,
    /// Failure domain it stands in.
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

/// Weights that no accelerator of a region has room for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnplacedArtifact {
    /// Region without a replica.
    pub region: RegionId,
    /// The weights.
    pub artifact: Artifact,
}

/// The base placement of a whole deployment.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BasePlacement {
    /// Replicas by weights, the first replica of each region first.
    pub replicas: BTreeMap<Artifact, Vec<BaseReplica>>,
    /// Weights without a replica in some region, which operators have to hear of.
    pub unplaced: Vec<UnplacedArtifact>,
}

impl BasePlacement {
    /// Computes the placement; the order of the input does not matter.
    pub fn compute(input: &BaseInput) -> Self {
        let mut regions: BTreeMap<&RegionId, RegionRunners<'_>> = BTreeMap::new();
        for runner in &input.runners {
            regions.entry(&runner.region).or_default().live.push(runner);
        }
        for runner in &input.absent {
            // A region without a live runner is out of reach and places nothing.
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
