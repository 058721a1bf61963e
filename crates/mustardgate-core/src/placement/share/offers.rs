//! Ways to give a model another replica, and what has to go for it.

use std::collections::BTreeMap;

use super::policy::{SharePlan, SharePolicy, free_mib};
use crate::{
    ids::MemoryMib,
    log::Artifact,
    placement::{RunnerView, gain::ReplicaPlace},
};

/// One way to give a model another replica.
pub(super) struct ReplicaOffer<'a> {
    pub(super) runner: &'a RunnerView,
    pub(super) victims: Vec<Artifact>,
    pub(super) cost_s: f64,
}

impl SharePolicy {
    pub(super) fn offer<'a>(
        &self,
        plan: &SharePlan<'_>,
        runner: &'a RunnerView,
        artifact: &Artifact,
        wanted: &BTreeMap<Artifact, u32>,
    ) -> Option<ReplicaOffer<'a>> {
        let victims = self.victims(plan, runner, artifact, wanted)?;
        let load_time_s = self.load_times.load_time(&runner.backend, artifact).as_secs_f64();
        let eviction_s = self.settings.eviction_time.as_secs_f64() * victims.len() as f64;
        let lost: f64 = victims.iter().map(|victim| plan.ledger.rate_per_copy(victim)).sum();
        let kept = plan.ledger.load_of(runner, &victims);
        let rate = f64::from(runner.max_concurrency.max(1));
        Some(ReplicaOffer {
            cost_s: load_time_s + eviction_s + (lost + kept) / rate,
            runner,
            victims,
        })
    }

    /// Returns what has to go to make room, or `None` when that is worth more than what comes.
    fn victims(
        &self,
        plan: &SharePlan<'_>,
        runner: &RunnerView,
        artifact: &Artifact,
        wanted: &BTreeMap<Artifact, u32>,
    ) -> Option<Vec<Artifact>> {
        let mut missing = plan.ledger.size(artifact).saturating_sub(free_mib(runner));
        let gained = plan.ledger.rate_with(artifact, plan.ledger.copies(artifact) + 1);
        let is_absent = plan.ledger.copies(artifact) == 0;
        let is_ahead = self.is_ahead(plan, artifact);
        let holdings = runner.accelerators.iter().flat_map(|state| &state.holdings);
        let mut removable: Vec<(f64, &Artifact, MemoryMib)> = holdings
            .filter(|holding| self.may_go(plan, runner, &holding.artifact))
            .filter(|holding| {
                let held = &holding.artifact;
                let copies = plan.ledger.copies(held);
                let is_surplus = copies > wanted.get(held).copied().unwrap_or_default();
                let left_rate = plan.ledger.rate_with(held, copies.saturating_sub(1));
                if is_ahead {
                    return is_surplus && self.has_stable_surplus(plan, held);
                }
                is_absent || is_surplus || left_rate * self.settings.hysteresis < gained
            })
            .map(|holding| {
                let rate = plan.ledger.rate_per_copy(&holding.artifact);
                (rate, &holding.artifact, holding.memory_mib)
            })
            .collect();
        removable.sort_by(|one, other| one.0.total_cmp(&other.0));
        let mut victims = Vec::new();
        for (_, held, size) in removable {
            if missing == 0 {
                break;
            }
            missing = missing.saturating_sub(size);
            victims.push(held.clone());
        }
        (missing == 0).then_some(victims)
    }

    /// Never the last replica that answers, nothing that has just come, and nothing that more replicas are wanted of.
    fn may_go(&self, plan: &SharePlan<'_>, runner: &RunnerView, artifact: &Artifact) -> bool {
        let place = ReplicaPlace {
            backend: runner.backend.clone(),
            accelerator: 0,
            artifact: artifact.clone(),
        };
        let answering = plan.ledger.answering(artifact);
        answering >= 2
            && !plan.growing.contains(artifact)
            && self.residence.has_stayed(plan.now, &place, self.settings.min_residence)
    }
}
