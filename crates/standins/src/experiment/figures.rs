//! Figures of one run.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{
    Deployment, fair_shares,
    scenario::{RUN_LENGTH, WARM_UP},
    workload::Arrival,
};

/// Smallest fair share, in requests, of which a ratio is taken; a smaller one is too small a sample.
const MIN_FAIR_SHARE: f64 = 50.0;

/// Figures of one run of one policy; the warm-up is not counted.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct RunFigures {
    /// Requests that arrived.
    pub offered: u64,
    /// Requests answered within target.
    pub attained: u64,
    /// Requests answered within target for each accelerator and second.
    pub attainment_per_accelerator: f64,
    /// Loads and unloads ordered, the warm-up included.
    pub moves: u64,
    /// Median time to the first token of answered requests, in milliseconds.
    pub first_token_p50_ms: f64,
    /// 99th percentile of the time to the first token of answered requests, in milliseconds.
    pub first_token_p99_ms: f64,
    /// Requests refused.
    pub refused: u64,
    /// 99th percentile of the time from arrival to refusal, in milliseconds.
    pub refusal_told_p99_ms: f64,
    /// Longest time from when a request was due to be refused until it was, in milliseconds.
    pub refusal_delay_max_ms: f64,
    /// Refusals without a time after which to retry.
    pub refusals_without_time: u64,
    /// Share of its requests answered within target, for the tenant with the fewest requests.
    pub smallest_tenant_share: f64,
    /// Share of its requests answered within target, for the tenant with the most requests.
    pub largest_tenant_share: f64,
    /// Smallest ratio of a tenant's requests answered within target to its fair share; 1 when no tenant exceeds its
    /// share.
    pub worst_fair_ratio: f64,
    /// Catalogue entries that were requested at least three times and never answered within target.
    pub unanswered_entries: u64,
    /// Seconds after the overload until queues are back at their former level; `None` without overload.
    pub recovery_s: Option<f64>,
    /// Most loads of models in flight at once.
    pub most_model_loads: u32,
    /// Most loads of adapters in flight at once.
    pub most_adapter_loads: u32,
    /// Orders that a runner refused: loads without enough memory or of weights it already had, and unloads of weights
    /// that were not ready.
    pub refused_orders: u64,
}

/// Records requests and orders during a run.
#[derive(Debug)]
pub(super) struct RunRecorder {
    first_tokens_ms: Vec<f32>,
    refusal_waits_ms: Vec<f32>,
    max_refusal_delay: Duration,
    refusals_without_time: u64,
    /// For each tenant, its requests and those answered within target.
    tenants: Vec<[f64; 2]>,
    /// For each entry of the catalogue, its requests and those answered within target.
    entries: Vec<[u64; 2]>,
    queue_samples: Vec<(Duration, usize)>,
    pub(super) moves: u64,
    pub(super) refused_orders: u64,
}

fn is_counted(arrival: &Arrival) -> bool {
    arrival.at >= WARM_UP
}

impl RunRecorder {
    pub(super) fn new(deployment: &Deployment) -> Self {
        Self {
            first_tokens_ms: Vec::new(),
            refusal_waits_ms: Vec::new(),
            max_refusal_delay: Duration::ZERO,
            refusals_without_time: 0,
            tenants: vec![[0.0; 2]; deployment.tenants],
            entries: vec![[0; 2]; deployment.catalogue.entries.len()],
            queue_samples: Vec::new(),
            moves: 0,
            refused_orders: 0,
        }
    }

    pub(super) fn record_arrival(&mut self, arrival: &Arrival) {
        if is_counted(arrival) {
            self.tenants[arrival.tenant][0] += 1.0;
            self.entries[arrival.entry][0] += 1;
        }
    }

    pub(super) fn record_answer(&mut self, arrival: &Arrival, first_token: Duration) {
        if !is_counted(arrival) {
            return;
        }
        self.first_tokens_ms.push(first_token.as_secs_f32() * 1_000.0);
        if first_token <= arrival.target {
            self.tenants[arrival.tenant][1] += 1.0;
            self.entries[arrival.entry][1] += 1;
        }
    }

    /// Records a refusal that was sent `waited` after arrival and `delay` after it was due.
    pub(super) fn record_refusal(
        &mut self,
        arrival: &Arrival,
        waited: Duration,
        delay: Duration,
        retry_after: Duration,
    ) {
        if is_counted(arrival) {
            self.refusal_waits_ms.push(waited.as_secs_f32() * 1_000.0);
            self.max_refusal_delay = self.max_refusal_delay.max(delay);
            self.refusals_without_time += u64::from(retry_after.is_zero());
        }
    }

    pub(super) fn sample_queues(&mut self, at: Duration, waiting: usize) {
        self.queue_samples.push((at, waiting));
    }

    pub(super) fn finish(mut self, deployment: &Deployment, overload: Option<std::ops::Range<Duration>>) -> RunFigures {
        let offered: f64 = self.tenants.iter().map(|tenant| tenant[0]).sum();
        let attained: f64 = self.tenants.iter().map(|tenant| tenant[1]).sum();
        let counted_s = RUN_LENGTH.saturating_sub(WARM_UP).as_secs_f64();
        let share = |tenant: &[f64; 2]| if tenant[0] > 0.0 { tenant[1] / tenant[0] } else { 1.0 };
        let by_size = |left: &&[f64; 2], right: &&[f64; 2]| left[0].total_cmp(&right[0]);
        RunFigures {
            offered: offered as u64,
            attained: attained as u64,
            attainment_per_accelerator: attained / counted_s / deployment.runners as f64,
            moves: self.moves,
            first_token_p50_ms: percentile(&mut self.first_tokens_ms, 0.5),
            first_token_p99_ms: percentile(&mut self.first_tokens_ms, 0.99),
            refused: self.refusal_waits_ms.len() as u64,
            refusal_told_p99_ms: percentile(&mut self.refusal_waits_ms, 0.99),
            refusal_delay_max_ms: self.max_refusal_delay.as_secs_f64() * 1_000.0,
            refusals_without_time: self.refusals_without_time,
            smallest_tenant_share: self.tenants.iter().min_by(by_size).map_or(1.0, share),
            largest_tenant_share: self.tenants.iter().max_by(by_size).map_or(1.0, share),
            worst_fair_ratio: worst_fair_ratio(&self.tenants),
            unanswered_entries: self
                .entries
                .iter()
                .filter(|entry| entry[0] >= 3 && entry[1] == 0)
                .count() as u64,
            recovery_s: overload.map(|overload| recovery_s(&self.queue_samples, &overload)),
            refused_orders: self.refused_orders,
            ..RunFigures::default()
        }
    }
}

fn percentile(values: &mut [f32], share: f64) -> f64 {
    if values.is_empty() {
        return 0.0;
    }
    values.sort_by(f32::total_cmp);
    f64::from(values[((values.len() - 1) as f64 * share) as usize])
}

fn worst_fair_ratio(tenants: &[[f64; 2]]) -> f64 {
    let demands: Vec<f64> = tenants.iter().map(|tenant| tenant[0]).collect();
    let served: f64 = tenants.iter().map(|tenant| tenant[1]).sum();
    let shares = fair_shares(&demands, served);
    let is_above = |index: usize| tenants[index][1] > shares[index];
    if !(0..tenants.len()).any(is_above) {
        return 1.0;
    }
    (0..tenants.len())
        .filter(|index| shares[*index] >= MIN_FAIR_SHARE)
        .map(|index| tenants[index][1] / shares[index])
        .fold(1.0, f64::min)
}

/// Returns the seconds from the end of the overload until queues are at most two requests above their mean before it.
fn recovery_s(samples: &[(Duration, usize)], overload: &std::ops::Range<Duration>) -> f64 {
    let before: Vec<usize> = samples
        .iter()
        .filter(|(at, _)| *at >= WARM_UP && *at < overload.start)
        .map(|(_, waiting)| *waiting)
        .collect();
    let former = before.iter().sum::<usize>() as f64 / before.len().max(1) as f64;
    samples
        .iter()
        .find(|(at, waiting)| *at >= overload.end && *waiting as f64 <= former + 2.0)
        .map_or(f64::INFINITY, |(at, _)| at.saturating_sub(overload.end).as_secs_f64())
}
