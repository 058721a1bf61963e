//! Counts and histograms of a load.

use std::{collections::BTreeMap, time::Duration};

use hdrhistogram::Histogram;
use serde::Serialize;
use smol_str::SmolStr;

use super::request::RequestOutcome;

const MICROSECONDS_PER_MILLISECOND: f64 = 1_000.0;
/// Largest latency that is told apart from larger ones, one hour.
const MAX_LATENCY_US: u64 = 3_600_000_000;
/// Significant decimal digits of a recorded latency.
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

/// Result of a load.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct LoadReport {
    /// Seed of the arrivals.
    pub seed: u64,
    /// Requests a second asked for.
    pub rate: f64,
    /// Seconds for which requests were sent.
    pub seconds: f64,
    /// Requests sent.
    pub sent: u64,
    /// Requests answered whole.
    pub answered: u64,
    /// Requests answered whole whose first token came in time.
    pub in_time: u64,
    /// Answers that were not whole or not those of the request.
    pub broken: u64,
    /// Failed requests by code.
    pub failures: BTreeMap<SmolStr, u64>,
    /// Tokens received.
    pub tokens: u64,
    /// Time to the first token.
    pub first_token_ms: LatencySummary,
    /// Time between two tokens.
    pub token_gap_ms: LatencySummary,
    /// Time to the end of a whole answer.
    pub whole_answer_ms: LatencySummary,
    /// Delay of the sender itself; large values mean that the load was not as asked for.
    pub sender_delay_ms: LatencySummary,
    /// The same by tenant.
    pub by_tenant: BTreeMap<SmolStr, TenantReport>,
}

/// Result for one tenant.
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

/// Collects outcomes.
#[derive(Debug)]
pub(super) struct ReportBuilder {
    report: LoadReport,
    target: Duration,
    first: Histogram<u64>,
    gaps: Histogram<u64>,
    whole: Histogram<u64>,
    delays: Histogram<u64>,
    tenants: BTreeMap<SmolStr, Histogram<u64>>,
}

impl ReportBuilder {
    pub(super) fn new(report: LoadReport, target: Duration) -> Self {
        Self {
            report,
            target,
            first: histogram(),
            gaps: histogram(),
            whole: histogram(),
            delays: histogram(),
            tenants: BTreeMap::new(),
        }
    }

    pub(super) fn record(&mut self, tenant: &SmolStr, outcome: &RequestOutcome) {
        let report = &mut self.report;
        let by_tenant = report.by_tenant.entry(tenant.clone()).or_default();
        report.sent += 1;
        by_tenant.sent += 1;
        report.tokens += u64::from(outcome.tokens);
        record(&mut self.delays, outcome.sender_delay);
        for gap in &outcome.gaps {
            record(&mut self.gaps, *gap);
        }
        if let Some(first) = outcome.first_token {
            record(&mut self.first, first);
            record(self.tenants.entry(tenant.clone()).or_insert_with(histogram), first);
        }
        if let Some(code) = &outcome.failure {
            *report.failures.entry(code.clone()).or_default() += 1;
            report.broken += u64::from(outcome.is_broken);
            by_tenant.failed += 1;
            return;
        }
        record(&mut self.whole, outcome.elapsed);
        let is_in_time = outcome.first_token.is_some_and(|first| first <= self.target);
        report.answered += 1;
        by_tenant.answered += 1;
        report.in_time += u64::from(is_in_time);
        by_tenant.in_time += u64::from(is_in_time);
    }

    pub(super) fn finish(mut self) -> LoadReport {
        self.report.first_token_ms = LatencySummary::of(&self.first);
        self.report.token_gap_ms = LatencySummary::of(&self.gaps);
        self.report.whole_answer_ms = LatencySummary::of(&self.whole);
        self.report.sender_delay_ms = LatencySummary::of(&self.delays);
        for (tenant, histogram) in &self.tenants {
            if let Some(report) = self.report.by_tenant.get_mut(tenant) {
                report.first_token_ms = LatencySummary::of(histogram);
            }
        }
        self.report
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_LATENCY_US, HISTOGRAM_DIGITS).expect("bounds and digits are in range")
}

fn record(histogram: &mut Histogram<u64>, latency: Duration) {
    histogram.saturating_record(latency.as_micros() as u64);
}

impl LatencySummary {
    /// Summarises a histogram of microseconds in milliseconds.
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
