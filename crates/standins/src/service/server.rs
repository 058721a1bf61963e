//! HTTP interface of a plain service, which takes calls with any method and path.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use async_trait::async_trait;
use bytes::Bytes;
use hyper::{HeaderMap, Method, Request, StatusCode};
use mustardgate_core::ids::{BackendId, IdempotencyKey, RequestId};
use mustardgate_protocol::callers::{ATTEMPT_HEADER, IDEMPOTENCY_KEY_HEADER, REQUEST_ID_HEADER};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::http::{HttpHandler, HttpReply, json_reply, read_json, status_reply};

/// Path to which [`ServiceFaults`] are sent with `POST`.
pub const FAULTS_PATH: &str = "/admin/faults";
/// Path of the [`ServiceStats`] with `GET`.
pub const STATS_PATH: &str = "/admin/stats";

/// Faults in force.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ServiceFaults {
    /// Delay of the effect in milliseconds.
    pub delay_ms: u64,
    /// Delay of the answer after the effect in milliseconds.
    pub answer_delay_ms: u64,
    /// Probability that the connection is closed after the effect.
    pub close_after_ratio: f64,
    /// Probability that the connection is closed without an effect.
    pub close_before_ratio: f64,
    /// Probability that the call is refused with status 503 without an effect.
    pub refused_ratio: f64,
}

/// Counts of the calls that the service executed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceStats {
    /// Calls that had an effect.
    pub runs: u64,
    /// Calls that had an effect, by idempotency key.
    pub by_key: BTreeMap<IdempotencyKey, u64>,
    /// Calls that had an effect, by request.
    pub by_request: BTreeMap<RequestId, u64>,
}

/// Answer to a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlainAnswer {
    /// Instance that answers.
    pub instance: BackendId,
    /// Number of the run at this instance, from 1.
    pub run: u64,
    /// Method and path of the call.
    pub call: SmolStr,
    /// Body of the call, so that a caller can recognise its own answer.
    pub body: String,
}

/// An instance of a plain service.
#[derive(Debug)]
pub struct ServiceServer {
    name: BackendId,
    state: Arc<Mutex<ServiceState>>,
}

#[derive(Debug)]
struct ServiceState {
    stats: ServiceStats,
    faults: ServiceFaults,
    rng: ChaCha8Rng,
}

/// How a call ends, drawn from the faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallOutcome {
    Answered,
    Refused,
    ClosedBefore,
    ClosedAfter,
}

impl ServiceServer {
    /// Creates an instance whose faults are drawn from `seed`.
    pub fn new(name: BackendId, seed: u64) -> Self {
        let state = ServiceState {
            stats: ServiceStats::default(),
            faults: ServiceFaults::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        Self {
            name,
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Returns the counts of executed calls.
    pub fn stats(&self) -> ServiceStats {
        lock(&self.state).stats.clone()
    }

    fn set_faults(&self, request: &Request<Bytes>) -> HttpReply {
        match read_json(request) {
            Ok(faults) => {
                lock(&self.state).faults = faults;
                status_reply(StatusCode::NO_CONTENT)
            }
            Err(error) => error.reply(),
        }
    }

    async fn call(&self, request: Request<Bytes>) -> HttpReply {
        let (outcome, faults) = {
            let mut state = lock(&self.state);
            (state.draw_outcome(), state.faults.clone())
        };
        match outcome {
            CallOutcome::Refused => return status_reply(StatusCode::SERVICE_UNAVAILABLE),
            CallOutcome::ClosedBefore => return None,
            CallOutcome::Answered | CallOutcome::ClosedAfter => {}
        }
        let state = Arc::clone(&self.state);
        let headers = request.headers().clone();
        // Runs in its own task, so that a call that has arrived takes effect even if its caller disconnects.
        let effect = tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
            lock(&state).record(&headers)
        });
        let run = effect.await.ok()?;
        tokio::time::sleep(Duration::from_millis(faults.answer_delay_ms)).await;
        if outcome == CallOutcome::ClosedAfter {
            return None;
        }
        self.answer(&request, run)
    }

    fn answer(&self, request: &Request<Bytes>, run: u64) -> HttpReply {
        let answer = PlainAnswer {
            instance: self.name.clone(),
            run,
            call: smol_str::format_smolstr!("{} {}", request.method(), request.uri().path()),
            body: String::from_utf8_lossy(request.body()).into_owned(),
        };
        let mut response = json_reply(StatusCode::OK, &answer)?;
        for name in [REQUEST_ID_HEADER, ATTEMPT_HEADER] {
            if let Some(value) = request.headers().get(name) {
                response.headers_mut().insert(name, value.clone());
            }
        }
        Some(response)
    }
}

impl ServiceState {
    fn draw_outcome(&mut self) -> CallOutcome {
        let faults = self.faults.clone();
        if self.rng.random_bool(faults.refused_ratio) {
            CallOutcome::Refused
        } else if self.rng.random_bool(faults.close_before_ratio) {
            CallOutcome::ClosedBefore
        } else if self.rng.random_bool(faults.close_after_ratio) {
            CallOutcome::ClosedAfter
        } else {
            CallOutcome::Answered
        }
    }

    /// Counts a call and returns the number of its run.
    fn record(&mut self, headers: &HeaderMap) -> u64 {
        self.stats.runs += 1;
        if let Some(key) = header_text(headers, IDEMPOTENCY_KEY_HEADER) {
            *self.stats.by_key.entry(key).or_default() += 1;
        }
        if let Some(request) = header_text(headers, REQUEST_ID_HEADER) {
            *self.stats.by_request.entry(request).or_default() += 1;
        }
        self.stats.runs
    }
}

fn header_text(headers: &HeaderMap, name: &str) -> Option<SmolStr> {
    headers.get(name)?.to_str().ok().map(SmolStr::from)
}

fn lock(state: &Mutex<ServiceState>) -> MutexGuard<'_, ServiceState> {
    state.lock().expect("no holder of the lock panics")
}

#[async_trait]
impl HttpHandler for ServiceServer {
    async fn handle(&self, request: Request<Bytes>) -> HttpReply {
        match (request.method(), request.uri().path()) {
            (&Method::GET, STATS_PATH) => json_reply(StatusCode::OK, &self.stats()),
            (&Method::POST, FAULTS_PATH) => self.set_faults(&request),
            _ => self.call(request).await,
        }
    }
}
