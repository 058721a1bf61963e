//! Least-squares lines through measured figures.

use serde::Serialize;

/// One measured figure at one size.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct MeasuredPoint {
    /// Size, in the unit named by [`MeasuredSlope::per`].
    pub size: f64,
    /// Figure measured at that size.
    pub value: f64,
}

/// A least-squares line through figures measured at several sizes.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct MeasuredSlope {
    /// What was measured.
    pub name: &'static str,
    /// Unit of the figure.
    pub unit: &'static str,
    /// Unit of the size.
    pub per: &'static str,
    /// Increase of the figure per unit of the size.
    pub slope: f64,
    /// Figure at size zero.
    pub intercept: f64,
    /// Root mean square distance from the line, as a share of the mean figure.
    pub residual_ratio: f64,
    /// The measured figures.
    pub points: Vec<MeasuredPoint>,
}

impl MeasuredSlope {
    /// Measures the figure at each size and fits the line.
    pub fn measure(
        name: &'static str,
        unit: &'static str,
        per: &'static str,
        sizes: &[usize],
        mut figure: impl FnMut(usize) -> f64,
    ) -> Self {
        let point = |size: &usize| MeasuredPoint {
            size: *size as f64,
            value: figure(*size),
        };
        let points: Vec<MeasuredPoint> = sizes.iter().map(point).collect();
        let (slope, intercept) = fit_line(&points);
        let squared_distance = |point: &MeasuredPoint| (point.value - intercept - slope * point.size).powi(2);
        let mean_square = mean(points.iter().map(squared_distance));
        let mean_value = mean(points.iter().map(|point| point.value));
        Self {
            name,
            unit,
            per,
            slope,
            intercept,
            residual_ratio: mean_square.sqrt() / mean_value.abs().max(f64::MIN_POSITIVE),
            points,
        }
    }

    /// Returns the figure of the line at a size.
    pub fn at(&self, size: f64) -> f64 {
        self.intercept + self.slope * size
    }
}

fn mean(values: impl ExactSizeIterator<Item = f64>) -> f64 {
    let count = values.len().max(1) as f64;
    values.sum::<f64>() / count
}

fn fit_line(points: &[MeasuredPoint]) -> (f64, f64) {
    let mean_size = mean(points.iter().map(|point| point.size));
    let mean_value = mean(points.iter().map(|point| point.value));
    let variance = mean(points.iter().map(|point| (point.size - mean_size).powi(2)));
    let covariance = mean(
        points
            .iter()
            .map(|point| (point.size - mean_size) * (point.value - mean_value)),
    );
    let slope = if variance > 0.0 { covariance / variance } else { 0.0 };
    (slope, mean_value - slope * mean_size)
}
