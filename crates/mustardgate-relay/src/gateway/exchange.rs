//! Handling of one request, from its head to its answer.

use std::sync::{Arc, atomic::AtomicBool};

use bytes::Bytes;
use hyper::{
    Request, Response, StatusCode,
    body::Incoming,
    header::{CONNECTION, HOST, HeaderValue, TRANSFER_ENCODING},
};
use metrics::{counter, histogram};
use mustardgate::{callers::CallerSlot, drain::InFlightGuard, events};
use mustardgate_core::{
    clock,
    ids::RequestId,
    relay::{AnswerStage, RefusalCause, RelayRequest, UrgencyRank},
    retry::{AttemptPlan, NextStep, PlanSettings},
};
use rand::Rng;
use slog::o;

use super::{
    answer::{LocalAnswer, RelayBody, full_body},
    attempt::{OpenAnswer, ReceivedRequest},
    body::{BodyFailure, discard_refused, receive_body},
    buffered::{ForwardOutcome, forward_answer},
    digests::RequestDigests,
    failure::AttemptError,
    grace::{StopCandidate, check_grace},
    identity::identify_caller,
    origin::{find_version, service_of},
    path::ResumePoint,
    quota::admit_by_quota,
    retries::{MIN_ATTEMPT_TIME, count_repeat, log_failure, next_step},
    trace::{RequestStep, RequestTrace},
};
use crate::context::RelayContext;

/// Answers one request of a caller.
pub async fn answer_caller(context: Arc<RelayContext>, request: Request<Incoming>) -> Response<RelayBody> {
    let received_at = clock::now();
    let path = request.uri().path();
    if path == context.ports.dialect.readiness_path() {
        return answer_readiness(&context);
    }
    let in_flight = context.drain.track_request();
    // A chunked request may smuggle another one past a peer that frames by length, so the connection is closed after
    // it.
    let is_chunked = request.headers().contains_key(TRANSFER_ENCODING);
    let (head, mut body) = request.into_parts();
    let caller_slot = head.extensions.get::<CallerSlot>().cloned();
    let relayed = match context.ports.dialect.read_request(&head, received_at) {
        Ok(relayed) => relayed,
        Err(error) => {
            discard_refused(&mut body, head.extensions.get()).await;
            counter!("mustardgate_relay_answers_total", "outcome" => "malformed").increment(1);
            let values = o!("reason" => error.to_string());
            context
                .log
                .write(events::RELAY_REQUEST_NOT_SERVED, &RequestId::default(), values);
            return LocalAnswer::Malformed.into_response();
        }
    };
    let id = relayed.id.clone();
    let mut trace = RequestTrace::begin(Arc::clone(&context), &relayed, RequestStep::Receiving);
    let receiving = receive(&context, head, body, relayed, in_flight);
    let received = context.drain.unless_aborted(receiving).await;
    let received = received.unwrap_or_else(|| Err(refusal(&context, RefusalCause::NodeStopping)));
    let mut response = match received {
        Ok(received) => {
            trace.reach(RequestStep::Waiting);
            // What serves a request is large, and unfinished ones shall not hold it.
            Box::pin(serve(received)).await
        }
        Err(answer) => finish_local(&context, &id, answer, received_at, "none"),
    };
    trace.end();
    let is_crowded = caller_slot.is_some_and(|slot| slot.is_crowded());
    if is_chunked || is_crowded || context.drain.is_draining() {
        let headers = response.headers_mut();
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

fn answer_readiness(context: &RelayContext) -> Response<RelayBody> {
    let mut response = Response::new(full_body(Bytes::new()));
    if !context.is_ready() {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}

/// Finds the route and receives the complete body.
async fn receive(
    context: &Arc<RelayContext>,
    mut head: hyper::http::request::Parts,
    mut body: Incoming,
    request: RelayRequest,
    in_flight: InFlightGuard,
) -> Result<ReceivedRequest, LocalAnswer> {
    let age = context.key_age();
    let caller_slot = head.extensions.get::<CallerSlot>().cloned();
    let caller_slot = caller_slot.as_ref();
    let Some(active) = context.routes.current() else {
        discard_refused(&mut body, caller_slot).await;
        return Err(refusal(context, RefusalCause::NoConfiguration));
    };
    let host = head
        .headers
        .get(HOST)
        .and_then(|host| host.to_str().ok())
        .or_else(|| head.uri.host());
    let route = host.and_then(|host| active.table.find(host, head.uri.path()));
    let limits = active.config.limits;
    let Some(route) = route.map(Arc::clone) else {
        discard_refused(&mut body, caller_slot).await;
        return Err(LocalAnswer::NoRoute);
    };
    let tenant = match identify_caller(context, &active, &route, &mut head, age) {
        Ok(tenant) => tenant,
        Err(answer) => {
            discard_refused(&mut body, caller_slot).await;
            return Err(answer);
        }
    };
    let expires_at = request.expires_at(route.timeout);
    let body = match receive_body(context, &mut body, limits, expires_at, caller_slot).await {
        Ok(body) => body,
        Err(BodyFailure::Malformed) => return Err(LocalAnswer::Malformed),
        Err(BodyFailure::Evicted) => return Err(refusal(context, RefusalCause::NoRoom)),
        Err(BodyFailure::TooSlow) => return Err(refusal(context, RefusalCause::AttemptsUsedUp)),
        Err(failure) => {
            discard_refused(&mut body, caller_slot).await;
            return Err(match failure {
                BodyFailure::NoRoom => refusal(context, RefusalCause::NoRoom),
                _ => LocalAnswer::TooLarge,
            });
        }
    };
    let digests = RequestDigests::of(&head, tenant.as_deref(), &body);
    let read_at = context.leader.lease_time();
    let candidate = StopCandidate {
        request: &request.id,
        route: &route,
        read_at,
        expires_at,
    };
    check_grace(context, &candidate).map_err(|cause| refusal(context, cause))?;
    let version = find_version(context, &route, &request, digests.content, read_at).await?;
    let service = match version {
        Some(version) => service_of(context, &route, &request, version, read_at).await?,
        None => route.service_for(rand::rng().random()).clone(),
    };
    let quota = admit_by_quota(context, tenant.as_deref(), &request, &route).await?;
    context.budgets.record_request(request.received_at, &service);
    if let Some(name) = &request.model {
        context.demand.record_request(&service, name);
    }
    Ok(ReceivedRequest {
        context: Arc::clone(context),
        is_sampled: context.log.is_sampled(&request.id),
        urgent_target: active.urgent_target(&service).unwrap_or(route.target_latency),
        most_urgent: active.most_urgent(&service).unwrap_or(UrgencyRank {
            priority: route.priority,
            target: route.target_latency,
        }),
        expires_at,
        read_at,
        is_sent: AtomicBool::default(),
        _in_flight: in_flight,
        route,
        request,
        head,
        body,
        tenant,
        quota,
        digests,
        version,
        stream_life: active.stream_life(&service),
        service,
    })
}

/// Tries runners until one answers or no further attempt is allowed.
async fn serve(mut received: ReceivedRequest) -> Response<RelayBody> {
    let mut plan = AttemptPlan::new(PlanSettings {
        is_idempotent: received.route.repeat.is_idempotent(),
        deadline: received.expires_at,
        max_attempts: received.route.max_attempts.max(1),
    });
    let mut tried = Vec::new();
    let mut fallback = None;
    let drain = received.context.drain.clone();
    loop {
        let opened = drain.unless_aborted(attempt(&received, &mut plan, &tried)).await;
        let opened = opened.unwrap_or_else(|| Err(received.stop_attempt(&mut plan)));
        let error = match opened {
            Ok(open) => match forward_answer(received, plan, open).await {
                ForwardOutcome::Answered(response) => return response,
                ForwardOutcome::Failed {
                    received: returned,
                    plan: continued,
                    error,
                    response,
                } => {
                    (received, plan) = (*returned, continued);
                    fallback = response.or(fallback);
                    error
                }
            },
            Err(error) => error,
        };
        let step = next_step(&received, &mut plan, &error);
        log_failure(&received, &plan, &error, &step);
        match step {
            NextStep::RetryElsewhere { excluded } => tried = excluded,
            NextStep::AwaitOther | NextStep::GiveUp { .. } => {
                let Some(response) = fallback else {
                    return give_up(&received, &plan, &error);
                };
                record_runner_answer(&received, response.status());
                return response;
            }
        }
    }
}

async fn attempt(
    received: &ReceivedRequest,
    plan: &mut AttemptPlan,
    tried: &[mustardgate_core::ids::BackendId],
) -> Result<OpenAnswer, AttemptError> {
    let pick = received.choose(tried).await?;
    if !plan.begin_attempt(&pick.cell.listed().id) {
        return Err(AttemptError {
            backend: None,
            ..AttemptError::at_runner(&pick.cell.listed().id, plan.verdict(), "not_permitted")
        });
    }
    let resume = ResumePoint {
        stage: match (received.route.is_stream, received.request.takes_up_stream()) {
            (false, _) => AnswerStage::Plain,
            (true, false) => AnswerStage::Stream,
            (true, true) => AnswerStage::Return,
        },
        after: None,
        may_follow: plan.allows_another(clock::now(), MIN_ATTEMPT_TIME),
    };
    let opened = received.open(&pick, &resume).await;
    received.settle_quota(&opened);
    count_repeat(plan, &resume, &opened);
    opened
}

pub(super) fn refusal(context: &RelayContext, cause: RefusalCause) -> LocalAnswer {
    LocalAnswer::Refused {
        cause,
        retry_after: Some(context.advisor.retry_delay(cause, None, rand::rng().random())),
    }
}

fn give_up(received: &ReceivedRequest, plan: &AttemptPlan, error: &AttemptError) -> Response<RelayBody> {
    let context = &received.context;
    let load_left = received.request.model.as_ref().and_then(|name| {
        let active = context.routes.current()?;
        let engine = active.config.services.get(&received.service)?.engine.as_ref()?;
        engine.models.get(&name.model).map(|model| model.load_time)
    });
    let retry_after = context
        .advisor
        .retry_delay(error.cause, load_left, rand::rng().random())
        .max(error.retry_after.unwrap_or_default());
    let retry_after = error.backlog_delay.unwrap_or(retry_after);
    let is_useful = error.cause != RefusalCause::StreamVersionAbsent;
    let retry_after = Some(retry_after).filter(|_| is_useful);
    let answer = LocalAnswer::of_verdict(plan.verdict(), error.cause, retry_after, error.is_timeout);
    finish_local(
        context,
        &received.request.id,
        answer,
        received.request.received_at,
        &received.route.name,
    )
}

/// Counts and logs an answer that the node generates itself, and returns it.
fn finish_local(
    context: &RelayContext,
    id: &RequestId,
    answer: LocalAnswer,
    received_at: std::time::Instant,
    route: &str,
) -> Response<RelayBody> {
    let elapsed = clock::now().saturating_duration_since(received_at);
    counter!("mustardgate_relay_answers_total", "outcome" => answer.label()).increment(1);
    let retry_after_ms = match answer {
        LocalAnswer::Refused { retry_after, .. } => retry_after.unwrap_or_default().as_millis() as u64,
        LocalAnswer::QuotaExceeded { retry_after } => retry_after.as_millis() as u64,
        _ => 0,
    };
    let stamp = context.config_stamp();
    let values = o!(
        "log_read_ms" => stamp.log_read_ms,
        "in_force_ms" => stamp.in_force_ms,
        "version" => stamp.version,
        "retry_after_ms" => retry_after_ms,
        "elapsed_ms" => elapsed.as_millis() as u64,
        "status" => answer.status().as_u16(),
        "outcome" => answer.label(),
        "route" => route.to_owned(),
    );
    context.log.write(events::RELAY_REQUEST_NOT_SERVED, id, values);
    let mut response = answer.into_response();
    let dialect = &context.ports.dialect;
    if answer == LocalAnswer::Unauthorized {
        dialect.write_challenge(response.headers_mut());
    }
    dialect.write_local_answer(response.headers_mut(), id);
    response
}

/// Counts an answer of a runner that is passed on, and logs it if it is sampled or a failure.
pub(super) fn record_runner_answer(received: &ReceivedRequest, status: StatusCode) {
    let elapsed = clock::now().saturating_duration_since(received.request.received_at);
    let outcome = if status.is_success() { "ok" } else { "runner_failure" };
    counter!("mustardgate_relay_answers_total", "outcome" => outcome).increment(1);
    histogram!("mustardgate_relay_answer_seconds", "route" => received.route.name.to_string())
        .record(elapsed.as_secs_f64());
    let now = received.context.leader.lease_time();
    received
        .context
        .stop
        .record_answer(now, &received.route.name, received.read_at);
    if !received.is_sampled && status.is_success() {
        return;
    }
    let values = o!(
        "elapsed_ms" => elapsed.as_millis() as u64,
        "status" => status.as_u16(),
        "outcome" => outcome,
        "route" => received.route.name.to_string(),
    );
    received
        .context
        .log
        .write(events::RELAY_REQUEST_ANSWERED, &received.request.id, values);
}
