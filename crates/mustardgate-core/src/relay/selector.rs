//! Selection of a runner among those that can answer a request.

use std::{collections::BTreeMap, time::Duration};

use super::{
    shared_load::{LoadSpread, RunnerLoadView},
    versions::VersionTag,
};

/// State of one runner at the time of the selection.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Candidate {
    /// Requests expected at the runner by what this node sees itself.
    pub load: f64,
    /// Expected time to the first token.
    pub wait: Duration,
    /// Share of the prompt that is not in its prefix cache, from 0 to 1.
    pub uncached_share: f64,
    /// Whether it has to load the requested adapter first.
    pub lacks_adapter: bool,
    /// Whether it is in another failure domain.
    pub is_remote: bool,
    /// Share of recent requests that failed, from 0 to 1.
    pub failure_ratio: f64,
    /// Whether it is in a cooldown, during which it is used only if no other runner can answer.
    pub is_in_cooldown: bool,
    /// Version of its software, if the request begins a stream that may have to go on at another runner of that version.
    pub version: Option<VersionTag>,
    /// What all nodes together know of its load, if its service is paced: its runners state their pace.
    pub shared: Option<RunnerLoadView>,
}

impl Candidate {
    /// Returns the requests expected at the runner, by the shared view if there is one.
    pub fn expected_load(&self) -> f64 {
        self.shared.map_or(self.load, |view| view.running + view.waiting)
    }
}

/// Weights of the selection cost, in units of one request at a runner.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SelectionWeights {
    /// Cost of a second of expected wait.
    pub wait: f64,
    /// Cost of processing a whole prompt.
    pub prefill: f64,
    /// Cost of loading an adapter.
    pub adapter: f64,
    /// Cost of sending a request to another failure domain.
    pub remote: f64,
    /// Cost of a runner that fails every request.
    pub failure: f64,
    /// Cost of a runner in a cooldown.
    pub cooldown: f64,
    /// Cost of the only candidate of its software version while there are candidates of other versions.
    pub lone_version: f64,
    /// Width of the random term that keeps nodes with the same reports from all selecting the same runner.
    pub jitter: f64,
}

impl Default for SelectionWeights {
    fn default() -> Self {
        Self {
            wait: 12.0,
            prefill: 4.0,
            adapter: 3.0,
            remote: 0.5,
            failure: 40.0,
            cooldown: 200.0,
            lone_version: 12.0,
            jitter: 1.0,
        }
    }
}

/// Selects the runner with the lowest expected cost.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunnerSelector {
    weights: SelectionWeights,
    spread: LoadSpread,
}

impl RunnerSelector {
    /// Creates a selector with the given weights.
    pub fn new(weights: SelectionWeights) -> Self {
        Self {
            weights,
            ..Self::default()
        }
    }

    /// Sets how requests of paced services are spread.
    #[must_use]
    pub fn with_spread(self, spread: LoadSpread) -> Self {
        Self { spread, ..self }
    }

    /// Returns the cost of a candidate by itself, without the random term and the cost of a lone version.
    pub fn cost(&self, candidate: &Candidate) -> f64 {
        let weights = &self.weights;
        let cost_if = |is_set: bool, cost: f64| if is_set { cost } else { 0.0 };
        candidate.load
            + candidate.wait.as_secs_f64() * weights.wait
            + candidate.uncached_share * weights.prefill
            + cost_if(candidate.lacks_adapter, weights.adapter)
            + cost_if(candidate.is_remote, weights.remote)
            + candidate.failure_ratio * weights.failure
            + cost_if(candidate.is_in_cooldown, weights.cooldown)
    }

    /// Returns the index of the best candidate; `draws` returns a random number from 0 to 1 for each candidate.
    pub fn select(&self, candidates: &[Candidate], mut draws: impl FnMut() -> f64) -> Option<usize> {
        if candidates.iter().any(|candidate| candidate.shared.is_some()) {
            return self.select_paced(candidates, draws);
        }
        let lone_versions = LoneVersions::of(candidates);
        let costs = candidates
            .iter()
            .map(|candidate| {
                let is_lone = lone_versions.contains(candidate);
                let lone_cost = if is_lone { self.weights.lone_version } else { 0.0 };
                self.cost(candidate) + lone_cost + draws() * self.weights.jitter
            })
            .enumerate();
        costs
            .min_by(|left, right| left.1.total_cmp(&right.1))
            .map(|(index, _)| index)
    }

    /// Chooses at random by spare capacity; each unit of the other costs makes a runner less likely by the factor e. A
    /// runner of which no statement is known gets the mean weight of the others.
    fn select_paced(&self, candidates: &[Candidate], mut draws: impl FnMut() -> f64) -> Option<usize> {
        let lone_versions = LoneVersions::of(candidates);
        let log_weight = |candidate: &Candidate| candidate.shared.map(|view| self.spread.log_weight(&view));
        let log_weights: Vec<Option<f64>> = candidates.iter().map(log_weight).collect();
        let known: Vec<f64> = log_weights.iter().copied().flatten().collect();
        let mean = known.iter().sum::<f64>() / known.len().max(1) as f64;
        let scores = candidates.iter().zip(log_weights).map(|(candidate, log_weight)| {
            let is_lone = lone_versions.contains(candidate);
            let lone_cost = if is_lone { self.weights.lone_version } else { 0.0 };
            let other_costs = self.cost(candidate) - candidate.load + lone_cost;
            LoadSpread::draw(log_weight.unwrap_or(mean) - other_costs, draws())
        });
        scores
            .enumerate()
            .max_by(|left, right| left.1.total_cmp(&right.1))
            .map(|(index, _)| index)
    }
}

/// Software versions of which only one candidate is fit, so that a stream that begins there goes on nowhere if its runner
/// fails. See `docs/design/stream-versions.md`.
struct LoneVersions {
    /// Candidates outside a cooldown by version, if there are several versions.
    fit_counts: BTreeMap<VersionTag, usize>,
}

impl LoneVersions {
    fn of(candidates: &[Candidate]) -> Self {
        let mut fit_counts: BTreeMap<VersionTag, usize> = BTreeMap::new();
        let has_several = candidates.windows(2).any(|pair| pair[0].version != pair[1].version);
        if has_several {
            let fit = candidates.iter().filter(|candidate| !candidate.is_in_cooldown);
            for version in fit.filter_map(|candidate| candidate.version) {
                *fit_counts.entry(version).or_default() += 1;
            }
        }
        Self { fit_counts }
    }

    fn contains(&self, candidate: &Candidate) -> bool {
        let version = candidate.version.as_ref();
        version.and_then(|version| self.fit_counts.get(version)) == Some(&1)
    }
}
