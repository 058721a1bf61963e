//! The measured figures, and the targets that they miss.

use std::{collections::BTreeMap, fs, time::Duration};

use hdrhistogram::Histogram;
use hyper::StatusCode;
use mustardctl::load::{LatencySummary, LoadReport};
use serde::Serialize;
use smol_str::{SmolStr, ToSmolStr};

use super::streams::FIRST_TOKEN_TARGET;

const MILLISECONDS_PER_SECOND: f64 = 1_000.0;
const TOKEN_GAP_TARGET_MS: f64 = 28.0;
const MAX_LATENCY_US: u64 = 600_000_000;
const HISTOGRAM_DIGITS: u8 = 3;

/// All figures of one run.
#[derive(Clone, Debug, Serialize)]
pub struct PerformanceReport {
    /// The machine's load average before the run; above the number of cores, every figure includes waits for a core.
    pub load_average_before: String,
    /// The machine's load average after the run.
    pub load_average_after: String,
    /// Cores of the machine.
    pub cores: usize,
    /// Streams under an open-loop load.
    pub streams: StreamFigures,
    /// Plain calls under an open-loop load.
    pub calls: CallFigures,
    /// Many concurrent streams.
    pub relay: RelayFigures,
    /// Refusals under overload.
    pub refusals: RefusalFigures,
    /// Targets that were missed.
    pub missed: Vec<String>,
}

/// Streams sent directly and through the node.
#[derive(Clone, Debug, Serialize)]
pub struct StreamFigures {
    /// Streams sent directly to the engines.
    #[serde(rename = "straight")]
    pub direct: LoadReport,
    /// Streams sent through the node.
    pub through: LoadReport,
    /// Time that the node adds to the median time to the first token.
    pub added_first_token_p50_ms: f64,
    /// Time that the node adds to the 95th percentile of the time to the first token.
    pub added_first_token_p95_ms: f64,
    /// Time that the node adds to the 95th percentile of the time between tokens.
    pub added_token_gap_p95_ms: f64,
    /// Processor time of the node per request.
    pub node_processor_ms_per_request: f64,
}

/// Plain calls sent in one way.
#[derive(Clone, Debug, Default, Serialize)]
pub struct CallSummary {
    /// Calls sent.
    pub sent: u64,
    /// Calls without a successful answer.
    pub failed: u64,
    /// Time from when a call was due until its answer was complete.
    pub latency_ms: LatencySummary,
    /// Processor time of the node per call.
    pub node_processor_ms_per_call: f64,
    #[serde(skip)]
    histogram: Option<Histogram<u64>>,
}

/// Plain calls sent directly and through the node.
#[derive(Clone, Debug, Serialize)]
pub struct CallFigures {
    /// Calls sent directly to the service.
    #[serde(rename = "straight")]
    pub direct: CallSummary,
    /// Calls sent through the node without a key.
    pub without_key: CallSummary,
    /// Calls sent through the node with a key, which is recorded in the log before dispatch.
    pub with_key: CallSummary,
    /// Time that the node adds to the median latency of a call without a key.
    pub added_p50_ms: f64,
    /// Time that a key adds to the median latency of a call through the node.
    pub added_by_key_p50_ms: f64,
}

/// Many concurrent streams relayed by one node.
#[derive(Clone, Debug, Default, Serialize)]
pub struct RelayFigures {
    /// Streams requested.
    pub streams: u64,
    /// Streams that were the complete answer to their own prompt.
    pub whole: u64,
    /// Largest number of streams seen open at once.
    pub most_open: u64,
    /// Tokens of the complete streams.
    pub tokens: u64,
    /// Processor time of the node.
    pub processor_s: f64,
    /// Resident memory of the node before the streams, in bytes.
    pub resident_before: u64,
    /// Largest resident memory of the node while the streams ran, in bytes.
    pub resident_during: u64,
    /// Resident memory of the node two seconds after the last stream, in bytes.
    pub resident_after: u64,
}

/// Refusals of requests whose deadline cannot be met.
#[derive(Clone, Debug, Serialize)]
pub struct RefusalFigures {
    /// Deadline of each request, in milliseconds.
    pub deadline_ms: f64,
    /// Requests by status of the answer, or `none` without an answer.
    pub by_status: BTreeMap<SmolStr, u64>,
    /// Time from when a request was sent to its refusal.
    pub latency_ms: LatencySummary,
    #[serde(skip)]
    histogram: Histogram<u64>,
}

impl PerformanceReport {
    pub(super) fn evaluate(
        load_average_before: String,
        streams: StreamFigures,
        calls: CallFigures,
        relay: RelayFigures,
        refusals: RefusalFigures,
    ) -> Self {
        let mut missed = Vec::new();
        let mut require = |is_met: bool, target: String| {
            if !is_met {
                missed.push(target);
            }
        };
        let through = &streams.through;
        let first_token_target_ms = FIRST_TOKEN_TARGET.as_secs_f64() * MILLISECONDS_PER_SECOND;
        let first_token_ms = through.first_token_ms.p95;
        require(
            first_token_ms <= first_token_target_ms,
            format!("first token within {first_token_target_ms} ms for 95 in 100: {first_token_ms} ms"),
        );
        let gap_ms = through.token_gap_ms.p95;
        require(
            gap_ms <= TOKEN_GAP_TARGET_MS,
            format!("{TOKEN_GAP_TARGET_MS} ms between tokens for 95 in 100: {gap_ms} ms"),
        );
        let failures = &through.failures;
        require(
            through.sent > 0 && through.answered == through.sent,
            format!("no error of a stream below capacity: {failures:?}"),
        );
        for (name, summary) in [("without", &calls.without_key), ("with", &calls.with_key)] {
            let CallSummary { sent, failed, .. } = summary;
            require(
                *sent > 0 && *failed == 0,
                format!("no error of a call {name} a key below capacity: {failed} of {sent}"),
            );
        }
        let (complete, requested, open) = (relay.whole, relay.streams, relay.most_open);
        require(
            complete == requested,
            format!("all of {requested} streams complete: {complete} were"),
        );
        require(
            open == requested,
            format!("{requested} streams open at once: {open} were"),
        );
        let statuses = &refusals.by_status;
        require(
            refusals.latency_ms.count > 0 && refusals.latency_ms.max <= refusals.deadline_ms,
            format!(
                "every refusal before the deadline: {statuses:?}, {:?}",
                refusals.latency_ms
            ),
        );
        Self {
            load_average_before,
            load_average_after: load_average(),
            cores: std::thread::available_parallelism().map_or(0, usize::from),
            streams,
            calls,
            relay,
            refusals,
            missed,
        }
    }
}

impl StreamFigures {
    pub(super) fn compare(direct: LoadReport, through: LoadReport, processor: Duration) -> Self {
        let percentiles = |report: &LoadReport| (report.first_token_ms.p50, report.first_token_ms.p95);
        let (direct_p50, direct_p95) = percentiles(&direct);
        let (through_p50, through_p95) = percentiles(&through);
        Self {
            added_first_token_p50_ms: through_p50 - direct_p50,
            added_first_token_p95_ms: through_p95 - direct_p95,
            added_token_gap_p95_ms: through.token_gap_ms.p95 - direct.token_gap_ms.p95,
            node_processor_ms_per_request: per_request_ms(processor, through.sent),
            direct,
            through,
        }
    }
}

impl CallSummary {
    pub(super) fn new() -> Self {
        Self {
            histogram: Some(new_histogram()),
            ..Self::default()
        }
    }

    pub(super) fn record(&mut self, is_answered: bool, elapsed: Duration) {
        self.sent += 1;
        self.failed += u64::from(!is_answered);
        if let Some(histogram) = self.histogram.as_mut().filter(|_| is_answered) {
            histogram.saturating_record(elapsed.as_micros() as u64);
        }
    }

    pub(super) fn finish(mut self) -> Self {
        if let Some(histogram) = self.histogram.take() {
            self.latency_ms = LatencySummary::of(&histogram);
        }
        self
    }

    pub(super) fn with_processor(self, processor: Duration) -> Self {
        Self {
            node_processor_ms_per_call: per_request_ms(processor, self.sent),
            ..self
        }
    }
}

impl CallFigures {
    pub(super) fn compare(direct: CallSummary, without_key: CallSummary, with_key: CallSummary) -> Self {
        Self {
            added_p50_ms: without_key.latency_ms.p50 - direct.latency_ms.p50,
            added_by_key_p50_ms: with_key.latency_ms.p50 - without_key.latency_ms.p50,
            direct,
            without_key,
            with_key,
        }
    }
}

impl RefusalFigures {
    pub(super) fn new(deadline: Duration) -> Self {
        Self {
            deadline_ms: deadline.as_secs_f64() * MILLISECONDS_PER_SECOND,
            by_status: BTreeMap::new(),
            latency_ms: LatencySummary::default(),
            histogram: new_histogram(),
        }
    }

    pub(super) fn record(&mut self, status: Option<StatusCode>, elapsed: Duration) {
        let name = status.map_or("none".into(), |status| status.as_u16().to_smolstr());
        *self.by_status.entry(name).or_default() += 1;
        let refusals = [StatusCode::TOO_MANY_REQUESTS, StatusCode::SERVICE_UNAVAILABLE];
        if status.is_some_and(|status| refusals.contains(&status)) {
            self.histogram.saturating_record(elapsed.as_micros() as u64);
        }
    }

    pub(super) fn finish(mut self) -> Self {
        self.latency_ms = LatencySummary::of(&self.histogram);
        self
    }
}

pub(super) fn load_average() -> String {
    fs::read_to_string("/proc/loadavg")
        .unwrap_or_default()
        .trim()
        .to_owned()
}

fn per_request_ms(processor: Duration, requests: u64) -> f64 {
    processor.as_secs_f64() * MILLISECONDS_PER_SECOND / requests.max(1) as f64
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_LATENCY_US, HISTOGRAM_DIGITS).expect("bounds and digits are in range")
}
