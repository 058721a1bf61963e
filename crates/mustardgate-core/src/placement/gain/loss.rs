//! Requests that a runner answers late, as a function of its load.

const COMFORTABLE_UTILISATION: f64 = 0.7;

/// Returns the requests a second that miss their target at a runner.
///
/// The curve is convex, so that two runners at half load are better than one full and one idle: nothing is late up to
/// a comfortable utilisation, and beyond capacity every further request is.
pub(super) fn late_per_second(load: f64, capacity: f64) -> f64 {
    if capacity <= 0.0 {
        return load;
    }
    let excess = (load / capacity - COMFORTABLE_UTILISATION).max(0.0);
    let reach = 1.0 - COMFORTABLE_UTILISATION;
    let late = if excess <= reach {
        excess * excess / (2.0 * reach)
    } else {
        excess - reach / 2.0
    };
    late * capacity
}

/// Returns the share of one more request that is late at a given utilisation.
pub(super) fn marginal_late_ratio(utilisation: f64) -> f64 {
    ((utilisation - COMFORTABLE_UTILISATION) / (1.0 - COMFORTABLE_UTILISATION)).clamp(0.0, 1.0)
}
