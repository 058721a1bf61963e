//! Statistics of a figure over seeds.

use serde::{Deserialize, Serialize};

/// Standard deviations on each side of the mean that cover 95% of a normal distribution.
const NORMAL_95: f64 = 1.96;

/// Median, mean and confidence interval of one figure over seeds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SeedStatistics {
    /// Median over seeds.
    pub median: f64,
    /// Mean over seeds.
    pub mean: f64,
    /// Half the width of the mean's 95% confidence interval.
    pub half_width_95: f64,
    /// Smallest value.
    pub min: f64,
    /// Largest value.
    pub max: f64,
}

impl SeedStatistics {
    /// Summarises one value for each seed.
    pub fn of(values: &[f64]) -> Self {
        if values.is_empty() {
            return Self::default();
        }
        let mut sorted = values.to_vec();
        sorted.sort_by(f64::total_cmp);
        let count = sorted.len();
        let mean = sorted.iter().sum::<f64>() / count as f64;
        let squares: f64 = sorted.iter().map(|value| (value - mean).powi(2)).sum();
        let deviation = (squares / (count.max(2) - 1) as f64).sqrt();
        Self {
            median: f64::midpoint(sorted[(count - 1) / 2], sorted[count / 2]),
            mean,
            half_width_95: NORMAL_95 * deviation / (count as f64).sqrt(),
            min: sorted[0],
            max: sorted[count - 1],
        }
    }
}
