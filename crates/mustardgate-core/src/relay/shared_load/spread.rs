//! Spread of requests over runners in proportion to their spare capacity.

use std::time::Duration;

use super::estimate::RunnerLoadView;

/// Exponent of the spare share of slots for a statement that was made just now. With 2, 4 and 10 the busiest runner had 2.1,
/// 1.9 and 1.8 times the mean load; 16 and 24 gain at most 0.03, and the expected loads differ more from the true ones.
const FRESH_EXPONENT: f64 = 10.0;
/// Age of a statement at which the exponent is half. Shared statements are 0.9 s old on average.
const HALF_AGE: Duration = Duration::from_millis(600);
/// Softness of the edge at full load, as a share of the slots.
const EDGE_WIDTH: f64 = 0.08;
/// Range of random draws whose logarithms are used.
const DRAW_RANGE: (f64, f64) = (1e-12, 1.0 - 1e-12);

/// Chooses at random among runners, so that nodes which know the same of them do not all choose the same one.
///
/// Load pattern: many nodes share statements of some age, and each sends a small part of all requests. By a choice of the
/// least loaded runner all of them turn to it until its next statement. Here a runner's share of the requests grows with its
/// spare capacity, and the more evenly they are spread the older the statement is.
#[derive(Clone, Copy, Debug)]
pub struct LoadSpread {
    exponent: f64,
    half_age: Duration,
}

impl Default for LoadSpread {
    fn default() -> Self {
        Self::new(FRESH_EXPONENT, HALF_AGE)
    }
}

impl LoadSpread {
    /// Creates a spread with the exponent of the spare capacity for a new statement, and the age at which it is half.
    pub fn new(exponent: f64, half_age: Duration) -> Self {
        Self { exponent, half_age }
    }

    /// Returns the logarithm of the weight of a runner in the choice.
    pub fn log_weight(&self, view: &RunnerLoadView) -> f64 {
        let slots = view.slots.max(1.0);
        let spare = spare_share((view.running + view.waiting) / slots);
        let pace = view.pace.unwrap_or(1.0);
        let age = view.age.as_secs_f64() / self.half_age.as_secs_f64();
        slots.ln() - pace.ln() + self.exponent / (1.0 + age) * spare.ln()
    }

    /// Returns the logarithm of a weight with a random term, from a number from 0 to 1. The runner with the largest sum is
    /// chosen with a probability in proportion to its weight (Gumbel-max trick).
    pub fn draw(log_weight: f64, draw: f64) -> f64 {
        let (low, high) = DRAW_RANGE;
        log_weight - (-draw.clamp(low, high).ln()).ln()
    }
}

/// Returns the free share of a runner's slots by the share that is used. It falls in a line, and beyond full load towards
/// zero, so that the least overloaded runner is preferred while none has room.
fn spare_share(used: f64) -> f64 {
    let excess = (1.0 - used) / EDGE_WIDTH;
    let soft = if excess > 30.0 { excess } else { excess.exp().ln_1p() };
    (EDGE_WIDTH * soft).max(f64::MIN_POSITIVE)
}
