//! The choice of a runner among those that can answer a request.

use std::time::Duration;

/// What is known of one runner at the moment of the choice.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Requests expected at the runner.
    pub load: f64,
    /// Expected wait for a first word.
    pub wait: Duration,
    /// Share of the prompt that it has to read, from 0 to 1.
    pub unread_share: f64,
    /// Whether the adapter asked for has to be loaded first.
    pub lacks_adapter: bool,
    /// Whether it stands in another failure domain.
    pub is_remote: bool,
    /// Share of recent requests that failed, from 0 to 1.
    pub failure_ratio: f64,
    /// Whether it is left alone unless nobody else can answer.
    pub is_paused: bool,
}

/// Weights of the choice, in requests waiting at a runner.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ChoiceWeights {
    /// Price of a second of expected wait.
    pub wait: f64,
    /// Price of reading a whole prompt.
    pub unread: f64,
    /// Price of loading an adapter.
    pub adapter: f64,
    /// Price of crossing into another failure domain.
    pub remote: f64,
    /// Price of a runner that fails every request.
    pub failure: f64,
    /// Price of a runner that is left alone.
    pub paused: f64,
    /// Width of the random term that keeps nodes with the same reports from choosing alike.
    pub spread: f64,
}

impl Default for ChoiceWeights {
    fn default() -> Self {
        Self {
            wait: 12.0,
            unread: 4.0,
            adapter: 3.0,
            remote: 0.5,
            failure: 40.0,
            paused: 200.0,
            spread: 1.0,
        }
    }
}

/// Chooses the runner with the least expected cost.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunnerChoice {
    weights: ChoiceWeights,
}

impl RunnerChoice {
    /// Creates a choice with other weights than the default.
    pub fn new(weights: ChoiceWeights) -> Self {
        Self { weights }
    }

    /// Returns the cost of a candidate, without the random term.
    pub fn cost(&self, candidate: &Candidate) -> f64 {
        let weights = &self.weights;
        let flag = |is_set: bool, price: f64| if is_set { price } else { 0.0 };
        candidate.load
            + candidate.wait.as_secs_f64() * weights.wait
            + candidate.unread_share * weights.unread
            + flag(candidate.lacks_adapter, weights.adapter)
            + flag(candidate.is_remote, weights.remote)
            + candidate.failure_ratio * weights.failure
            + flag(candidate.is_paused, weights.paused)
    }

    /// Returns the index of the best candidate; `draws` gives a random number from 0 to 1 for each.
    pub fn choose(&self, candidates: &[Candidate], mut draws: impl FnMut() -> f64) -> Option<usize> {
        let costs = candidates
            .iter()
            .map(|candidate| self.cost(candidate) + draws() * self.weights.spread)
            .enumerate();
        costs
            .min_by(|left, right| left.1.total_cmp(&right.1))
            .map(|(index, _)| index)
    }
}
