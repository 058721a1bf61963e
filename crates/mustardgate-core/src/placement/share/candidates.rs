//! Candidate runners for another replica of a model, and the models to evict there.

use super::{
    policy::ShareSettings,
    round::PlanRound,
    rows::{HeldModel, ModelIndex, ModelRow, RunnerIndex},
};

/// A runner that can load another replica of a model.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReplicaCandidate {
    pub(super) runner: RunnerIndex,
    /// The first model to evict, if the memory that is free is too little.
    pub(super) victim: Option<ModelIndex>,
    /// Duration of the evictions and the load, plus the runner's request rate relative to its capacity.
    pub(super) cost_s: f64,
}

impl PlanRound<'_> {
    pub(super) fn candidate(
        &self,
        settings: &ShareSettings,
        runner: RunnerIndex,
        model: ModelIndex,
        targets: &[u32],
    ) -> Option<ReplicaCandidate> {
        let row = &self.rows.runners[runner];
        let wanted = &self.rows.models[model];
        if row.holds(model) || !row.view.takes(wanted.rate) {
            return None;
        }
        let victims = self.choose_victims(settings, runner, wanted, targets)?;
        let rate = |held: &HeldModel| self.rows.models[held.model].rate_per_replica();
        let is_kept = |held: &&HeldModel| victims.iter().all(|victim| victim.model != held.model);
        let load_time_s = row.copy_load_s(model).unwrap_or(wanted.store_load_s);
        let eviction_s = settings.eviction_time.as_secs_f64() * victims.len() as f64;
        let evicted_rate: f64 = victims.iter().map(rate).sum();
        let kept_rate: f64 = row.held.iter().filter(is_kept).map(rate).sum();
        let capacity = f64::from(row.view.request_capacity.max(1));
        Some(ReplicaCandidate {
            runner,
            victim: victims.first().map(|victim| victim.model),
            cost_s: load_time_s + eviction_s + (evicted_rate + kept_rate) / capacity,
        })
    }

    /// Returns the models to evict to make room, or `None` if those worth less than the new replica do not free enough
    /// memory.
    fn choose_victims(
        &self,
        settings: &ShareSettings,
        runner: RunnerIndex,
        wanted: &ModelRow<'_>,
        targets: &[u32],
    ) -> Option<Vec<HeldModel>> {
        let row = &self.rows.runners[runner];
        let mut missing_mib = wanted.memory_mib.saturating_sub(row.free_mib);
        if missing_mib == 0 {
            return Some(Vec::new());
        }
        let rate_after_load = wanted.rate_per_replica_at(wanted.replicas + 1);
        let is_worth_less = |held: &HeldModel| {
            if wanted.is_headroom() {
                return self.is_surplus(held, targets) && self.rows.models[held.model].has_stable_surplus;
            }
            wanted.replicas == 0
                || self.is_surplus(held, targets)
                || self.rate_to_evict(settings, held, targets) < rate_after_load
        };
        let evictable = row.held.iter().filter(|held| self.is_evictable(held));
        let mut removable: Vec<HeldModel> = evictable.filter(|held| is_worth_less(held)).copied().collect();
        let rate = |held: &HeldModel| self.rows.models[held.model].rate_per_replica();
        removable.sort_by(|one, other| rate(one).total_cmp(&rate(other)));
        let mut victims = 0;
        while missing_mib > 0 {
            missing_mib = missing_mib.saturating_sub(removable.get(victims)?.memory_mib);
            victims += 1;
        }
        removable.truncate(victims);
        Some(removable)
    }

    /// Returns whether a model has more replicas than it is to have.
    fn is_surplus(&self, held: &HeldModel, targets: &[u32]) -> bool {
        let replicas = self.rows.models[held.model].replicas;
        replicas > targets.get(held.model).copied().unwrap_or_default()
    }

    /// Returns the rate per replica that another model must exceed to get the memory of a replica.
    pub(super) fn rate_to_evict(&self, settings: &ShareSettings, held: &HeldModel, targets: &[u32]) -> f64 {
        if self.is_surplus(held, targets) {
            return 0.0;
        }
        let model = &self.rows.models[held.model];
        model.rate_per_replica_at(model.replicas.saturating_sub(1)) * settings.hysteresis
    }

    /// Returns whether a replica may be evicted: not the last one that serves requests, not before its minimum
    /// residence, and no replica of a model that is getting more.
    pub(super) fn is_evictable(&self, held: &HeldModel) -> bool {
        let model = &self.rows.models[held.model];
        model.ready >= 2 && !model.is_growing && held.has_stayed
    }
}
