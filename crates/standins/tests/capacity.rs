//! The least-squares fit of measured slopes.

use mustardgate_standins::capacity::MeasuredSlope;

#[test]
fn a_line_is_fitted_exactly_and_a_curve_leaves_a_residual() {
    let line = MeasuredSlope::measure("line", "B", "step", &[1, 2, 4, 8], |size| 7.0 + 3.0 * size as f64);
    assert!((line.slope - 3.0).abs() < 1e-9 && (line.intercept - 7.0).abs() < 1e-9);
    assert!(line.residual_ratio < 1e-9 && (line.at(100.0) - 307.0).abs() < 1e-6);
    let curve = MeasuredSlope::measure("curve", "B", "step", &[1, 2, 4, 8], |size| (size * size) as f64);
    assert!(curve.residual_ratio > 0.1, "{}", curve.residual_ratio);
}
