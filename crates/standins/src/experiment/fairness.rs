//! Max-min fair shares of the requests that were answered.

/// Divides `served` among demands of equal weight by max-min fairness: no share exceeds its demand, and the rest is
/// divided evenly.
pub fn fair_shares(demands: &[f64], served: f64) -> Vec<f64> {
    let mut order: Vec<usize> = (0..demands.len()).collect();
    order.sort_by(|left, right| demands[*left].total_cmp(&demands[*right]));
    let mut shares = vec![0.0; demands.len()];
    let mut left = served;
    for (position, index) in order.iter().enumerate() {
        let even = left / (order.len() - position) as f64;
        shares[*index] = demands[*index].min(even);
        left -= shares[*index];
    }
    shares
}
