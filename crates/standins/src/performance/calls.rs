//! The same open-loop load of plain calls straight at the service and through the node, without and with a key.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use hyper::{Method, header::HeaderName, header::HeaderValue};
use mustardctl::{
    client::{HttpClient, insert_bearer_key, json_request},
    load::ArrivalSchedule,
};
use mustardgate_protocol::callers::{IDEMPOTENCY_KEY_HEADER, SERVICES_PREFIX};
use snafu::ResultExt;
use tokio::task::JoinSet;

use super::{
    AbsentSnafu, CommandSnafu, PerformanceError,
    deployment::{MeasuredDeployment, SERVICE},
    report::{CallFigures, CallSummary},
};

const RATE_PER_S: f64 = 60.0;
const DURATION: Duration = Duration::from_secs(15);
const SEED: u64 = 2;
const ORDER: &str = "{\"lunches\":40}";

/// Where calls go and what they carry.
#[derive(Clone, Debug)]
struct CallRoute {
    address: SocketAddr,
    path: String,
    bearer: Option<String>,
    has_key: bool,
}

pub(super) async fn measure_calls(deployment: &MeasuredDeployment) -> Result<CallFigures, PerformanceError> {
    let straight = CallRoute {
        address: deployment.service()?,
        path: "/orders".to_owned(),
        bearer: None,
        has_key: false,
    };
    let without_key = CallRoute {
        address: deployment.callers(),
        path: format!("{SERVICES_PREFIX}{SERVICE}/orders"),
        bearer: deployment.tenants().swap_remove(0).key,
        has_key: false,
    };
    let with_key = CallRoute {
        has_key: true,
        ..without_key.clone()
    };
    let straight = send_calls(straight).await?;
    let started = deployment.usage()?;
    let without_key = send_calls(without_key).await?;
    let between = deployment.usage()?;
    let with_key = send_calls(with_key).await?;
    let ended = deployment.usage()?;
    let used = |from: Duration, to: Duration| to.saturating_sub(from);
    Ok(CallFigures::compare(
        straight,
        without_key.with_processor(used(started.processor, between.processor)),
        with_key.with_processor(used(between.processor, ended.processor)),
    ))
}

async fn send_calls(route: CallRoute) -> Result<CallSummary, PerformanceError> {
    let client = HttpClient::new();
    let start = Instant::now();
    let mut calls = JoinSet::new();
    for scheduled in ArrivalSchedule::new(SEED, RATE_PER_S, DURATION, vec![1.0], 1) {
        let due = start + scheduled.due;
        tokio::time::sleep_until(due.into()).await;
        let (client, route) = (client.clone(), route.clone());
        calls.spawn(async move {
            let is_answered = send_call(&client, &route, scheduled.number).await;
            is_answered.map(|is_answered| (is_answered, due.elapsed()))
        });
    }
    let mut summary = CallSummary::new();
    while let Some(joined) = calls.join_next().await {
        let outcome = joined.map_err(|error| {
            AbsentSnafu {
                what: error.to_string(),
            }
            .build()
        })?;
        let (is_answered, elapsed) = outcome?;
        summary.record(is_answered, elapsed);
    }
    Ok(summary.finish())
}

async fn send_call(client: &HttpClient, route: &CallRoute, number: u64) -> Result<bool, PerformanceError> {
    let mut request = json_request(Method::POST, &route.path, &ORDER).context(CommandSnafu)?;
    let headers = request.headers_mut();
    insert_bearer_key(headers, route.bearer.as_deref()).context(CommandSnafu)?;
    if route.has_key {
        let value = HeaderValue::from_str(&format!("order-{number}"));
        let value = value.map_err(|error| {
            AbsentSnafu {
                what: error.to_string(),
            }
            .build()
        })?;
        headers.insert(HeaderName::from_static(IDEMPOTENCY_KEY_HEADER), value);
    }
    let answer = client.call(route.address, request).await;
    Ok(answer.is_ok_and(|answer| answer.status.is_success()))
}
