//! Model of the requests that miss their target at a runner, as a function of its load.

/// Utilisation up to which no request is late.
const COMFORTABLE_UTILISATION: f64 = 0.7;

/// Returns the requests a second that miss their target at a runner.
///
/// No request is late up to a comfortable utilisation, and beyond capacity every additional one is. The curve is
/// convex, so that two runners at half load are better than one at full load and one idle.
pub(super) fn late_per_second(load: f64, capacity: f64) -> f64 {
    if capacity <= 0.0 {
        return load;
    }
    let excess = (load / capacity - COMFORTABLE_UTILISATION).max(0.0);
    let range = 1.0 - COMFORTABLE_UTILISATION;
    let late = if excess <= range {
        excess * excess / (2.0 * range)
    } else {
        excess - range / 2.0
    };
    late * capacity
}

/// Returns the probability that one additional request is late at a given utilisation.
pub(super) fn marginal_late_ratio(utilisation: f64) -> f64 {
    ((utilisation - COMFORTABLE_UTILISATION) / (1.0 - COMFORTABLE_UTILISATION)).clamp(0.0, 1.0)
}
