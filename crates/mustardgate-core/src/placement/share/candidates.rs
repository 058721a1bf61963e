//! Candidate runners for another replica of a model, and the models to evict there.

use std::collections::BTreeMap;

use super::policy::{SharePlan, SharePolicy, free_mib};
use crate::{
    ids::MemoryMib,
    log::Artifact,
    placement::{RunnerView, gain::ReplicaPlace},
};

/// A runner that can load another replica of a model.
pub(super) struct ReplicaCandidate<'a> {
    pub(super) runner: &'a RunnerView,
    pub(super) victims: Vec<Artifact>,
    /// Duration of the evictions and the load, plus the runner's request rate relative to its capacity.
    pub(super) cost_s: f64,
}

impl SharePolicy {
    pub(super) fn candidate<'a>(
        &self,
        plan: &SharePlan<'_>,
        runner: &'a RunnerView,
        artifact: &Artifact,
        targets: &BTreeMap<Artifact, u32>,
    ) -> Option<ReplicaCandidate<'a>> {
        let victims = self.choose_victims(plan, runner, artifact, targets)?;
        let load_time_s = self.load_times.load_time(&runner.backend, artifact).as_secs_f64();
        let eviction_s = self.settings.eviction_time.as_secs_f64() * victims.len() as f64;
        let evicted_rate: f64 = victims.iter().map(|victim| plan.counts.rate_per_replica(victim)).sum();
        let kept_rate = plan.counts.runner_load(runner, &victims);
        let capacity = f64::from(runner.request_capacity.max(1));
        Some(ReplicaCandidate {
            cost_s: load_time_s + eviction_s + (evicted_rate + kept_rate) / capacity,
            runner,
            victims,
        })
    }

    /// Returns the models to evict to make room, or `None` if those worth less than the new replica do not free enough
    /// memory.
    fn choose_victims(
        &self,
        plan: &SharePlan<'_>,
        runner: &RunnerView,
        artifact: &Artifact,
        targets: &BTreeMap<Artifact, u32>,
    ) -> Option<Vec<Artifact>> {
        let mut missing_mib = plan.counts.memory_mib(artifact).saturating_sub(free_mib(runner));
        let rate_after_load = plan
            .counts
            .rate_per_replica_at(artifact, plan.counts.replicas(artifact) + 1);
        let has_no_replica = plan.counts.replicas(artifact) == 0;
        let is_headroom = self.is_headroom(plan, artifact);
        let holdings = runner.accelerators.iter().flat_map(|accelerator| &accelerator.holdings);
        let mut removable: Vec<(f64, &Artifact, MemoryMib)> = holdings
            .filter(|holding| self.is_evictable(plan, runner, &holding.artifact))
            .filter(|holding| {
                let held = &holding.artifact;
                let replicas = plan.counts.replicas(held);
                let is_surplus = replicas > targets.get(held).copied().unwrap_or_default();
                let rate_after_eviction = plan.counts.rate_per_replica_at(held, replicas.saturating_sub(1));
                if is_headroom {
                    return is_surplus && self.has_stable_surplus(plan, held);
                }
                has_no_replica || is_surplus || rate_after_eviction * self.settings.hysteresis < rate_after_load
            })
            .map(|holding| {
                let rate = plan.counts.rate_per_replica(&holding.artifact);
                (rate, &holding.artifact, holding.memory_mib)
            })
            .collect();
        removable.sort_by(|one, other| one.0.total_cmp(&other.0));
        let mut victims = Vec::new();
        for (_, held, memory_mib) in removable {
            if missing_mib == 0 {
                break;
            }
            missing_mib = missing_mib.saturating_sub(memory_mib);
            victims.push(held.clone());
        }
        (missing_mib == 0).then_some(victims)
    }

    /// Returns whether a replica may be evicted: not the last one that serves requests, not before its minimum
    /// residence, and no replica of a model that is getting more.
    fn is_evictable(&self, plan: &SharePlan<'_>, runner: &RunnerView, artifact: &Artifact) -> bool {
        let place = ReplicaPlace {
            backend: runner.backend.clone(),
            accelerator: 0,
            artifact: artifact.clone(),
        };
        let ready = plan.counts.ready(artifact);
        ready >= 2
            && !plan.growing.contains(artifact)
            && self.residence.has_stayed(plan.now, &place, self.settings.min_residence)
    }
}
