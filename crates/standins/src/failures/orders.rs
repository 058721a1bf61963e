//! Callers who send keyed orders through randomly chosen nodes and repeat them with the same idempotency key.

use std::{sync::Arc, time::Duration};

use hyper::{
    Method, StatusCode,
    header::{AUTHORIZATION, HeaderName, HeaderValue},
};
use mustardgate_core::{ids::IdempotencyKey, verdict::RunVerdict};
use mustardgate_protocol::callers::{DEADLINE_HEADER, ErrorAnswer, IDEMPOTENCY_KEY_HEADER};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use smol_str::format_smolstr;
use tokio_util::sync::CancellationToken;

use super::{declarations::TENANT_KEY, testbed::NodeTarget};
use crate::{
    http::{CallError, call, json_request},
    service::PlainAnswer,
};

const MAX_ATTEMPTS: usize = 8;
const DEADLINE_MS: u64 = 3_000;
/// Time after which a caller gives up on an attempt, one second after the deadline in the request.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(DEADLINE_MS + 1_000);
const RETRY_PAUSE: Duration = Duration::from_millis(100);
const ORDER_PAUSE: Duration = Duration::from_millis(30);
/// Probability that an order is sent once more after it was answered.
const REPEAT_RATIO: f64 = 0.3;
/// Probability that a caller does not retry an order that a node reported as not run.
const GIVE_UP_RATIO: f64 = 0.5;

/// Outcome of one attempt as seen by the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OrderOutcome {
    /// The answer to this order.
    Answered,
    /// An answer to a different order, or one that cannot be parsed.
    WrongAnswer,
    /// An error with a verdict.
    Refused(RunVerdict),
    /// The connection closed before the answer was complete.
    CutOff,
    /// No answer within [`ATTEMPT_TIMEOUT`].
    TimedOut,
    /// The connection could not be established.
    Unreachable,
}

/// One attempt to send an order.
#[derive(Clone, Copy, Debug)]
pub(super) struct OrderAttempt {
    pub node: usize,
    pub outcome: OrderOutcome,
}

/// One order with its attempts, in the order in which they were made.
#[derive(Clone, Debug)]
pub(super) struct OrderRecord {
    pub key: IdempotencyKey,
    pub attempts: Vec<OrderAttempt>,
}

/// A caller who sends one order after another.
#[derive(Debug)]
pub(super) struct OrderCaller {
    targets: Arc<Vec<NodeTarget>>,
    stop: CancellationToken,
    rng: ChaCha8Rng,
    name: String,
}

impl OrderCaller {
    pub(super) fn new(targets: Arc<Vec<NodeTarget>>, stop: CancellationToken, seed: u64, number: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        rng.set_stream(number);
        Self {
            targets,
            stop,
            rng,
            name: format!("order-{seed}-{number}"),
        }
    }

    /// Sends orders until told to stop.
    pub(super) async fn run(mut self) -> Vec<OrderRecord> {
        let mut records = Vec::new();
        while !self.stop.is_cancelled() {
            let key = format_smolstr!("{}-{}", self.name, records.len());
            records.push(self.send_with_retries(key).await);
            tokio::time::sleep(ORDER_PAUSE).await;
        }
        records
    }

    async fn send_with_retries(&mut self, key: IdempotencyKey) -> OrderRecord {
        let gives_up_when_not_run = self.rng.random_bool(GIVE_UP_RATIO);
        let mut repeats_after_answer = self.rng.random_bool(REPEAT_RATIO);
        let mut attempts = Vec::new();
        while attempts.len() < MAX_ATTEMPTS {
            let node = self.rng.random_range(0..self.targets.len());
            let outcome = send_order(&self.targets[node], &key).await;
            attempts.push(OrderAttempt { node, outcome });
            match outcome {
                OrderOutcome::Answered if repeats_after_answer => repeats_after_answer = false,
                OrderOutcome::Answered | OrderOutcome::WrongAnswer => break,
                OrderOutcome::Refused(RunVerdict::NotRun) if gives_up_when_not_run => break,
                _ => tokio::time::sleep(RETRY_PAUSE).await,
            }
            if self.stop.is_cancelled() {
                break;
            }
        }
        OrderRecord { key, attempts }
    }
}

async fn send_order(target: &NodeTarget, key: &IdempotencyKey) -> OrderOutcome {
    let mut request = json_request(Method::POST, "/services/orders/orders", &json!({ "order": key }));
    let headers = request.headers_mut();
    let bearer = HeaderValue::from_str(&format!("Bearer {TENANT_KEY}")).expect("the key is plain text");
    headers.insert(AUTHORIZATION, bearer);
    let value = HeaderValue::from_str(key).expect("keys generated here are plain text");
    headers.insert(HeaderName::from_static(IDEMPOTENCY_KEY_HEADER), value);
    headers.insert(HeaderName::from_static(DEADLINE_HEADER), HeaderValue::from(DEADLINE_MS));
    let Ok(called) = tokio::time::timeout(ATTEMPT_TIMEOUT, call(target.callers_address, request)).await else {
        return OrderOutcome::TimedOut;
    };
    let answer = match called {
        Ok(answer) => answer,
        Err(CallError::Connect { .. }) => return OrderOutcome::Unreachable,
        Err(CallError::Closed { .. }) => return OrderOutcome::CutOff,
        Err(CallError::TimedOut { .. }) => return OrderOutcome::TimedOut,
    };
    if answer.status != StatusCode::OK {
        let refused: Result<ErrorAnswer, _> = answer.json();
        return refused.map_or(OrderOutcome::WrongAnswer, |refused| {
            OrderOutcome::Refused(refused.error.verdict)
        });
    }
    let sent_body = json!({ "order": key }).to_string();
    let is_own_answer = answer.json().is_ok_and(|answer: PlainAnswer| answer.body == sent_body);
    if is_own_answer {
        OrderOutcome::Answered
    } else {
        OrderOutcome::WrongAnswer
    }
}
