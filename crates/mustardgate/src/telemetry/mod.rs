//! Metrics of the node, exported to Prometheus.

use std::time::Duration;

use metrics::{counter, describe_counter, describe_histogram, gauge, histogram};
use metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle};
use mustardgate_core::{ids::TenantId, resources::PriorityClass, verdict::RunVerdict};

/// Upper bounds of the latency histograms, in seconds.
const LATENCY_BOUNDS_S: [f64; 14] = [
    0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.58, 1.0, 2.0, 5.0, 15.0, 60.0,
];

/// Name of the histogram of the times to the end of an answer.
const ANSWER_SECONDS: &str = "mustardgate_answer_seconds";
/// Name of the histogram of the times to the first token.
const FIRST_TOKEN_SECONDS: &str = "mustardgate_first_token_seconds";
/// Name of the counter of answered requests.
const REQUESTS: &str = "mustardgate_requests_total";
/// Name of the counter of control traffic in bytes.
const CONTROL_BYTES: &str = "mustardgate_control_bytes_total";

/// Installs the metrics recorder of the process and returns the handle that renders the metrics.
///
/// # Errors
/// Returns a message when a recorder is installed already.
pub fn install_recorder() -> Result<PrometheusHandle, String> {
    let builder = PrometheusBuilder::new()
        .set_buckets_for_metric(Matcher::Suffix("_seconds".to_owned()), &LATENCY_BOUNDS_S)
        .map_err(|error| error.to_string())?;
    let handle = builder.install_recorder().map_err(|error| error.to_string())?;
    describe_histogram!(
        ANSWER_SECONDS,
        "Time from a request's arrival to the end of its answer."
    );
    describe_histogram!(FIRST_TOKEN_SECONDS, "Time from a request's arrival to its first token.");
    describe_counter!(REQUESTS, "Requests answered, by tenant, class, outcome and verdict.");
    describe_counter!(
        CONTROL_BYTES,
        "Bytes of control traffic, by kind of message and direction."
    );
    Ok(handle)
}

/// Labels under which a request is counted.
#[derive(Clone, Debug)]
pub struct RequestLabels {
    /// Tenant of the caller.
    pub tenant: TenantId,
    /// Priority class of the service.
    pub class: PriorityClass,
}

impl RequestLabels {
    /// Counts an answered request with its outcome code, such as `ok` or the code of an error.
    pub fn record_answer(&self, outcome: &str, verdict: RunVerdict, elapsed: Duration) {
        let tenant = self.tenant.to_string();
        let class = self.class.to_string();
        histogram!(ANSWER_SECONDS, "tenant" => tenant.clone(), "class" => class.clone()).record(elapsed.as_secs_f64());
        counter!(
            REQUESTS,
            "tenant" => tenant,
            "class" => class,
            "outcome" => outcome.to_owned(),
            "verdict" => verdict.to_string()
        )
        .increment(1);
    }

    /// Records the time to the first token.
    pub fn record_first_token(&self, elapsed: Duration) {
        histogram!(FIRST_TOKEN_SECONDS, "tenant" => self.tenant.to_string(), "class" => self.class.to_string())
            .record(elapsed.as_secs_f64());
    }
}

/// Counts bytes of control traffic, which are counted separately from callers' traffic.
pub fn record_control_bytes(kind: &'static str, direction: &'static str, bytes: u64) {
    counter!(CONTROL_BYTES, "kind" => kind, "direction" => direction).increment(bytes);
}

/// Publishes the number of requests in flight.
pub fn publish_in_flight(in_flight: usize) {
    gauge!("mustardgate_requests_in_flight").set(in_flight as f64);
}
