//! Time to the first word of an answer, as a function of a runner's load.

use std::time::Duration;

/// Weight that older measurements keep when a new one comes.
const MEMORY: f64 = 0.985;
/// Weight of measurements below which nothing is foretold.
const LEAST_WEIGHT: f64 = 12.0;

/// Line through recent measurements of the time to a first word over the load at the time of sending.
///
/// Engines read prompts one after another, so the time grows with the requests ahead; the slope says how long each takes
/// and is learnt, since it depends on models, prompts and accelerators.
#[derive(Clone, Copy, Debug, Default)]
pub struct LatencyModel {
    weight: f64,
    sum_load: f64,
    sum_time: f64,
    sum_load_squared: f64,
    sum_product: f64,
}

impl LatencyModel {
    /// Learns that a request sent at an expected load had its first word after `elapsed`.
    pub fn record(&mut self, load: f64, elapsed: Duration) {
        let elapsed_s = elapsed.as_secs_f64();
        for (sum, value) in [
            (&mut self.weight, 1.0),
            (&mut self.sum_load, load),
            (&mut self.sum_time, elapsed_s),
            (&mut self.sum_load_squared, load * load),
            (&mut self.sum_product, load * elapsed_s),
        ] {
            *sum = *sum * MEMORY + value;
        }
    }

    /// Foretells the time to a first word at a load, or `None` before enough was measured.
    pub fn foretell(&self, load: f64) -> Option<Duration> {
        if self.weight < LEAST_WEIGHT {
            return None;
        }
        let (mean_load, mean_time) = (self.sum_load / self.weight, self.sum_time / self.weight);
        let variance = self.sum_load_squared / self.weight - mean_load * mean_load;
        let covariance = self.sum_product / self.weight - mean_load * mean_time;
        let slope = if variance > 0.1 {
            (covariance / variance).max(0.0)
        } else {
            0.0
        };
        let foretold_s = mean_time + slope * (load - mean_load);
        Some(Duration::from_secs_f64(foretold_s.max(0.0)))
    }
}
