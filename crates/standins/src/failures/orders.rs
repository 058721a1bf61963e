//! Callers who place keyed orders through any node, and repeat them through others.

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
/// Time after which a caller gives up on an attempt, a second after the deadline that the node was told.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(DEADLINE_MS + 1_000);
const RETRY_PAUSE: Duration = Duration::from_millis(100);
const ORDER_PAUSE: Duration = Duration::from_millis(30);
/// Probability that an answered order is sent once more, through another node.
const REPEAT_RATIO: f64 = 0.3;
/// Probability that a caller who is told that an order was not run leaves it at that.
const GIVE_UP_RATIO: f64 = 0.5;

/// What a caller heard of one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OrderOutcome {
    /// The answer to this very order.
    Answered,
    /// An answer to something else.
    WrongAnswer,
    /// An error with a verdict.
    Refused(RunVerdict),
    /// The connection ended before an answer.
    CutOff,
    /// No answer in time.
    TimedOut,
    /// No connection.
    Unreachable,
}

/// One attempt to place an order.
#[derive(Clone, Copy, Debug)]
pub(super) struct OrderAttempt {
    pub node: usize,
    pub outcome: OrderOutcome,
}

/// One order with all its attempts, in order.
#[derive(Clone, Debug)]
pub(super) struct OrderRecord {
    pub key: IdempotencyKey,
    pub attempts: Vec<OrderAttempt>,
}

/// A caller who places one order after the other.
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

    /// Places orders until told to stop.
    pub(super) async fn run(mut self) -> Vec<OrderRecord> {
        let mut records = Vec::new();
        while !self.stop.is_cancelled() {
            let key = format_smolstr!("{}-{}", self.name, records.len());
            records.push(self.place(key).await);
            tokio::time::sleep(ORDER_PAUSE).await;
        }
        records
    }

    async fn place(&mut self, key: IdempotencyKey) -> OrderRecord {
        let gives_up = self.rng.random_bool(GIVE_UP_RATIO);
        let mut is_repeating = self.rng.random_bool(REPEAT_RATIO);
        let mut attempts = Vec::new();
        while attempts.len() < MAX_ATTEMPTS {
            let node = self.rng.random_range(0..self.targets.len());
            let outcome = send_order(&self.targets[node], &key).await;
            attempts.push(OrderAttempt { node, outcome });
            match outcome {
                OrderOutcome::Answered if is_repeating => is_repeating = false,
                OrderOutcome::Answered | OrderOutcome::WrongAnswer => break,
                OrderOutcome::Refused(RunVerdict::NotRun) if gives_up => break,
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
    let value = HeaderValue::from_str(key).expect("keys made here are plain text");
    headers.insert(HeaderName::from_static(IDEMPOTENCY_KEY_HEADER), value);
    headers.insert(HeaderName::from_static(DEADLINE_HEADER), HeaderValue::from(DEADLINE_MS));
    let Ok(called) = tokio::time::timeout(ATTEMPT_TIMEOUT, call(target.callers, request)).await else {
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
    let own = json!({ "order": key }).to_string();
    let is_own = answer.json().is_ok_and(|answer: PlainAnswer| answer.body == own);
    if is_own {
        OrderOutcome::Answered
    } else {
        OrderOutcome::WrongAnswer
    }
}
