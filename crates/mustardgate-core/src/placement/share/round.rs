//! One planning round: the models and runners, the limits left, and the moves planned so far.

use std::time::Instant;

use super::{
    candidates::ReplicaCandidate,
    policy::{SharePolicy, ShareSettings},
    rows::{ModelIndex, PlanRows, RunnerIndex},
};
use crate::placement::{DomainView, PlannedMove};

/// Number of models and runners that a planning round looked at, each time that it did.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PlanEffort {
    /// Models, to give out replicas.
    pub models: u64,
    /// Runners, to find one for a replica.
    pub runners: u64,
}

/// Working state of one planning round.
pub(super) struct PlanRound<'a> {
    pub(super) now: Instant,
    pub(super) rows: PlanRows<'a>,
    /// Loads from the weight store that may still begin.
    pub(super) allowance: u32,
    /// Runners that may still be given a move, with the rate per replica that a model must exceed to get memory there; the
    /// lowest first. Moves of the round only raise these rates.
    open_runners: Vec<(f64, RunnerIndex)>,
    is_open: Vec<bool>,
    pub(super) moves: Vec<PlannedMove>,
    pub(super) effort: PlanEffort,
}

impl<'a> PlanRound<'a> {
    pub(super) fn new(policy: &mut SharePolicy, now: Instant, view: &'a DomainView) -> Self {
        let rows = PlanRows::new(policy, now, view);
        let runners = rows.runners.iter();
        Self {
            open_runners: Vec::new(),
            is_open: runners.map(|row| row.is_idle && !row.view.is_unschedulable).collect(),
            now,
            rows,
            allowance: policy.load_allowance(now),
            moves: Vec::new(),
            effort: PlanEffort::default(),
        }
    }

    /// Gives a runner no further move in this round.
    pub(super) fn take(&mut self, runner: RunnerIndex) {
        self.is_open[runner] = false;
    }

    /// Orders the runners that may be given a move by the rate that they ask for.
    pub(super) fn rank_runners(&mut self, settings: &ShareSettings, targets: &[u32]) {
        let smallest_mib = self.rows.models[..self.rows.declared]
            .iter()
            .map(|row| row.memory_mib)
            .min();
        let smallest_mib = smallest_mib.unwrap_or_default();
        let open = (0..self.rows.runners.len()).filter(|runner| self.is_open[*runner]);
        let ranked = open.filter_map(|runner| {
            let row = &self.rows.runners[runner];
            if row.free_mib >= smallest_mib {
                return Some((f64::NEG_INFINITY, runner));
            }
            let evictable = row.held.iter().filter(|held| self.is_evictable(held));
            let rates = evictable.map(|held| self.rate_to_evict(settings, held, targets));
            rates.min_by(f64::total_cmp).map(|rate| (rate, runner))
        });
        self.open_runners = ranked.collect();
        self.open_runners.sort_by(|one, other| one.0.total_cmp(&other.0));
    }

    /// Returns the cheapest runner for another replica of a model, the first of several; without `may_use_store`, only
    /// runners that have a copy of the model are considered.
    pub(super) fn best_candidate(
        &mut self,
        settings: &ShareSettings,
        model: ModelIndex,
        targets: &[u32],
        may_use_store: bool,
    ) -> Option<ReplicaCandidate> {
        let considered: Vec<RunnerIndex> = if may_use_store {
            self.open_runners.retain(|(_, runner)| self.is_open[*runner]);
            let offered_rate = self.rows.models[model].offered_rate();
            let affordable = self.open_runners.partition_point(|(rate, _)| *rate < offered_rate);
            self.open_runners[..affordable]
                .iter()
                .map(|(_, runner)| *runner)
                .collect()
        } else {
            let holders = self.rows.copies[model].iter().copied();
            holders.filter(|runner| self.is_open[*runner]).collect()
        };
        self.effort.runners += considered.len() as u64;
        let candidates = considered
            .into_iter()
            .filter_map(|runner| self.candidate(settings, runner, model, targets));
        candidates.min_by(|one, other| {
            let costs = one.cost_s.total_cmp(&other.cost_s);
            costs.then(one.runner.cmp(&other.runner))
        })
    }
}
