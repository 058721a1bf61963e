//! The figures, and which stated targets they miss.

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

/// Everything measured in one run.
#[derive(Clone, Debug, Serialize)]
pub struct PerformanceReport {
    /// The machine's load average before the run; above the number of cores, waiting for a core is in every figure.
    pub load_average_before: String,
    /// The machine's load average after the run.
    pub load_average_after: String,
    /// Cores of the machine.
    pub cores: usize,
    /// Streams of an open-loop load.
    pub streams: StreamFigures,
    /// Plain calls of an open-loop load.
    pub calls: CallFigures,
    /// Many streams at once.
    pub relay: RelayFigures,
    /// Refusals under overload.
    pub refusals: RefusalFigures,
    /// Stated targets that were missed.
    pub missed: Vec<String>,
}

/// Streams sent straight and through the node.
#[derive(Clone, Debug, Serialize)]
pub struct StreamFigures {
    /// Straight at the engines.
    pub straight: LoadReport,
    /// Through the node.
    pub through: LoadReport,
    /// Difference of the medians to the first token.
    pub added_first_token_p50_ms: f64,
    /// Difference of the 95th percentiles to the first token.
    pub added_first_token_p95_ms: f64,
    /// Difference of the 95th percentiles between tokens.
    pub added_token_gap_p95_ms: f64,
    /// Processor time of the node for one request.
    pub node_processor_ms_per_request: f64,
}

/// Plain calls of one kind.
#[derive(Clone, Debug, Default, Serialize)]
pub struct CallSummary {
    /// Calls sent.
    pub sent: u64,
    /// Calls that were not answered with success.
    pub failed: u64,
    /// Time from when a call was due to its whole answer.
    pub latency_ms: LatencySummary,
    /// Processor time of the node for one call.
    pub node_processor_ms_per_call: f64,
    #[serde(skip)]
    histogram: Option<Histogram<u64>>,
}

/// Plain calls sent straight and through the node.
#[derive(Clone, Debug, Serialize)]
pub struct CallFigures {
    /// Straight at the service.
    pub straight: CallSummary,
    /// Through the node without a key.
    pub without_key: CallSummary,
    /// Through the node with a key, which is recorded in the log before dispatch.
    pub with_key: CallSummary,
    /// Difference of the medians without a key and straight.
    pub added_p50_ms: f64,
    /// Difference of the medians with a key and without.
    pub added_by_key_p50_ms: f64,
}

/// Many streams relayed by one node.
#[derive(Clone, Debug, Default, Serialize)]
pub struct RelayFigures {
    /// Streams asked for.
    pub streams: u64,
    /// Streams that were the whole answer to their own prompt.
    pub whole: u64,
    /// Most streams seen open at once.
    pub most_open: u64,
    /// Tokens of the whole streams.
    pub tokens: u64,
    /// Processor time of the node.
    pub processor_s: f64,
    /// Resident bytes of the node before.
    pub resident_before: u64,
    /// Most resident bytes of the node while the streams ran.
    pub resident_during: u64,
    /// Resident bytes of the node two seconds after.
    pub resident_after: u64,
}

/// Refusals of requests whose deadline cannot be met.
#[derive(Clone, Debug, Serialize)]
pub struct RefusalFigures {
    /// Deadline stated by each request, in milliseconds.
    pub deadline_ms: f64,
    /// Requests by status of the answer; `none` without an answer.
    pub by_status: BTreeMap<SmolStr, u64>,
    /// Time from sending to the refusal.
    pub latency_ms: LatencySummary,
    #[serde(skip)]
    histogram: Histogram<u64>,
}

impl PerformanceReport {
    pub(super) fn judge(
        load_average_before: String,
        streams: StreamFigures,
        calls: CallFigures,
        relay: RelayFigures,
        refusals: RefusalFigures,
    ) -> Self {
        let mut missed = Vec::new();
        let mut require = |holds: bool, target: String| {
            if !holds {
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
        let (whole, asked, open) = (relay.whole, relay.streams, relay.most_open);
        require(
            whole == asked,
            format!("every one of {asked} streams whole: {whole} were"),
        );
        require(open == asked, format!("{asked} streams open at once: {open} were"));
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
    pub(super) fn compare(straight: LoadReport, through: LoadReport, processor: Duration) -> Self {
        let first = |report: &LoadReport| (report.first_token_ms.p50, report.first_token_ms.p95);
        let (straight_p50, straight_p95) = first(&straight);
        let (through_p50, through_p95) = first(&through);
        Self {
            added_first_token_p50_ms: through_p50 - straight_p50,
            added_first_token_p95_ms: through_p95 - straight_p95,
            added_token_gap_p95_ms: through.token_gap_ms.p95 - straight.token_gap_ms.p95,
            node_processor_ms_per_request: per_request_ms(processor, through.sent),
            straight,
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
    pub(super) fn compare(straight: CallSummary, without_key: CallSummary, with_key: CallSummary) -> Self {
        Self {
            added_p50_ms: without_key.latency_ms.p50 - straight.latency_ms.p50,
            added_by_key_p50_ms: with_key.latency_ms.p50 - without_key.latency_ms.p50,
            straight,
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
        let is_refused = [StatusCode::TOO_MANY_REQUESTS, StatusCode::SERVICE_UNAVAILABLE];
        if status.is_some_and(|status| is_refused.contains(&status)) {
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
