//! Report of a load: counts and latencies.

use std::{collections::BTreeMap, time::Duration};

use hdrhistogram::Histogram;
use serde::Serialize;
use smol_str::SmolStr;

use super::request::RequestOutcome;

const MICROSECONDS_PER_MILLISECOND: f64 = 1_000.0;
/// Largest latency that a histogram records, one hour; larger ones are recorded as this one.
const MAX_LATENCY_US: u64 = 3_600_000_000;
/// Number of significant decimal digits of a recorded latency.
const HISTOGRAM_DIGITS: u8 = 3;

/// Percentiles of a latency in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct LatencySummary {
    /// Number of values.
    pub count: u64,
    /// Mean.
    pub mean: f64,
    /// Median.
    pub p50: f64,
    /// 90th percentile.
    pub p90: f64,
    /// 95th percentile.
    pub p95: f64,
    /// 99th percentile.
    pub p99: f64,
    /// Largest value.
    pub max: f64,
}

/// Report of a load.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct LoadReport {
    /// Seed of the schedule.
    pub seed: u64,
    /// Rate of the schedule, in requests per second.
    pub rate: f64,
    /// Time during which requests were sent, in seconds.
    pub seconds: f64,
    /// Requests sent.
    pub sent: u64,
    /// Requests answered whole.
    pub answered: u64,
    /// Requests answered whole whose first token came in time.
    pub in_time: u64,
    /// Requests that failed after their first token: their answer was incomplete or had tokens of another request.
    pub broken: u64,
    /// Failed requests by error code.
    pub failures: BTreeMap<SmolStr, u64>,
    /// Tokens received.
    pub tokens: u64,
    /// Time to the first token.
    pub first_token_ms: LatencySummary,
    /// Time between consecutive tokens.
    pub token_gap_ms: LatencySummary,
    /// Time to the end of a whole answer.
    pub whole_answer_ms: LatencySummary,
    /// Delay with which requests were sent; large values mean that the load did not follow the schedule.
    pub sender_delay_ms: LatencySummary,
    /// Report for each tenant.
    pub by_tenant: BTreeMap<SmolStr, TenantReport>,
}

/// Report for one tenant.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct TenantReport {
    /// Requests sent.
    pub sent: u64,
    /// Requests answered whole.
    pub answered: u64,
    /// Requests answered whole whose first token came in time.
    pub in_time: u64,
    /// Requests that failed.
    pub failed: u64,
    /// Time to the first token.
    pub first_token_ms: LatencySummary,
}

/// Builds a report from the outcomes of requests.
#[derive(Debug)]
pub(super) struct ReportBuilder {
    report: LoadReport,
    first_token_target: Duration,
    first_tokens: Histogram<u64>,
    token_gaps: Histogram<u64>,
    whole_answers: Histogram<u64>,
    sender_delays: Histogram<u64>,
    tenant_first_tokens: BTreeMap<SmolStr, Histogram<u64>>,
}

impl ReportBuilder {
    pub(super) fn new(report: LoadReport, first_token_target: Duration) -> Self {
        Self {
            report,
            first_token_target,
            first_tokens: new_histogram(),
            token_gaps: new_histogram(),
            whole_answers: new_histogram(),
            sender_delays: new_histogram(),
            tenant_first_tokens: BTreeMap::new(),
        }
    }

    pub(super) fn record(&mut self, tenant: &SmolStr, outcome: &RequestOutcome) {
        let report = &mut self.report;
        let by_tenant = report.by_tenant.entry(tenant.clone()).or_default();
        report.sent += 1;
        by_tenant.sent += 1;
        report.tokens += u64::from(outcome.tokens);
        record(&mut self.sender_delays, outcome.sender_delay);
        for gap in &outcome.token_gaps {
            record(&mut self.token_gaps, *gap);
        }
        if let Some(first) = outcome.first_token {
            record(&mut self.first_tokens, first);
            record(
                self.tenant_first_tokens
                    .entry(tenant.clone())
                    .or_insert_with(new_histogram),
                first,
            );
        }
        if let Some(code) = &outcome.failure {
            *report.failures.entry(code.clone()).or_default() += 1;
            report.broken += u64::from(outcome.is_broken);
            by_tenant.failed += 1;
            return;
        }
        record(&mut self.whole_answers, outcome.elapsed);
        let is_in_time = outcome
            .first_token
            .is_some_and(|first| first <= self.first_token_target);
        report.answered += 1;
        by_tenant.answered += 1;
        report.in_time += u64::from(is_in_time);
        by_tenant.in_time += u64::from(is_in_time);
    }

    pub(super) fn finish(mut self) -> LoadReport {
        self.report.first_token_ms = LatencySummary::of(&self.first_tokens);
        self.report.token_gap_ms = LatencySummary::of(&self.token_gaps);
        self.report.whole_answer_ms = LatencySummary::of(&self.whole_answers);
        self.report.sender_delay_ms = LatencySummary::of(&self.sender_delays);
        for (tenant, histogram) in &self.tenant_first_tokens {
            if let Some(report) = self.report.by_tenant.get_mut(tenant) {
                report.first_token_ms = LatencySummary::of(histogram);
            }
        }
        self.report
    }
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_LATENCY_US, HISTOGRAM_DIGITS)
        .expect("the bounds and the number of digits are valid")
}

fn record(histogram: &mut Histogram<u64>, latency: Duration) {
    histogram.saturating_record(latency.as_micros() as u64);
}

impl LatencySummary {
    /// Returns the summary, in milliseconds, of a histogram in microseconds.
    pub fn of(histogram: &Histogram<u64>) -> Self {
        let quantile = |quantile| histogram.value_at_quantile(quantile) as f64 / MICROSECONDS_PER_MILLISECOND;
        Self {
            count: histogram.len(),
            mean: histogram.mean() / MICROSECONDS_PER_MILLISECOND,
            p50: quantile(0.5),
            p90: quantile(0.9),
            p95: quantile(0.95),
            p99: quantile(0.99),
            max: histogram.max() as f64 / MICROSECONDS_PER_MILLISECOND,
        }
    }
}
