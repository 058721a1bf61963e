//! How soon a caller hears that its deadline cannot be met.

use std::{
    sync::{Arc, atomic::AtomicU64},
    time::{Duration, Instant},
};

use hyper::{Method, StatusCode, header::HeaderName, header::HeaderValue};
use mustardctl::client::{HttpClient, insert_bearer_key, json_request};
use mustardgate_protocol::callers::{CHAT_PATH, ChatMessage, ChatRequest, DEADLINE_HEADER};
use snafu::ResultExt;
use tokio::task::JoinSet;

use super::{
    CommandSnafu, PerformanceError,
    deployment::{MODEL, MeasuredDeployment},
    relay::{StreamCall, read_stream},
    report::RefusalFigures,
};

/// Streams that keep every slot and the queue busy.
const FILLERS: u64 = 40;
const FILLER_TOKENS: u32 = 250;
/// Time for the fillers to take their places.
const FILL_TIME: Duration = Duration::from_secs(1);
const PROBES: u64 = 200;
const PROBE_INTERVAL: Duration = Duration::from_millis(10);
/// Deadline of a probe, which the requests before it make impossible.
pub(super) const PROBE_DEADLINE: Duration = Duration::from_millis(500);

pub(super) async fn measure_refusals(deployment: &MeasuredDeployment) -> Result<RefusalFigures, PerformanceError> {
    // One answer first, so that the node has measured how long an answer takes.
    let call = |number, tokens| StreamCall {
        address: deployment.callers(),
        key: deployment.tenants().swap_remove(0).key,
        number,
        tokens,
    };
    let open = Arc::new(AtomicU64::new(0));
    read_stream(&HttpClient::new(), &call(0, FILLER_TOKENS), &open).await;
    let mut fillers = JoinSet::new();
    for number in 1..=FILLERS {
        let (call, open) = (call(number, FILLER_TOKENS), Arc::clone(&open));
        fillers.spawn(async move { read_stream(&HttpClient::new(), &call, &open).await });
    }
    tokio::time::sleep(FILL_TIME).await;
    let mut figures = RefusalFigures::new(PROBE_DEADLINE);
    let client = HttpClient::new();
    for _ in 0..PROBES {
        let (status, elapsed) = send_probe(&client, deployment).await?;
        figures.record(status, elapsed);
        tokio::time::sleep(PROBE_INTERVAL).await;
    }
    fillers.abort_all();
    Ok(figures.finish())
}

async fn send_probe(
    client: &HttpClient,
    deployment: &MeasuredDeployment,
) -> Result<(Option<StatusCode>, Duration), PerformanceError> {
    let chat = ChatRequest {
        model: MODEL.into(),
        messages: vec![ChatMessage {
            role: "user".into(),
            content: "probe".to_owned(),
        }],
        stream: true,
        max_tokens: 1,
    };
    let mut request = json_request(Method::POST, CHAT_PATH, &chat).context(CommandSnafu)?;
    let key = deployment.tenants().swap_remove(1).key;
    insert_bearer_key(request.headers_mut(), key.as_deref()).context(CommandSnafu)?;
    let deadline = HeaderValue::from(PROBE_DEADLINE.as_millis() as u64);
    let name = HeaderName::from_static(DEADLINE_HEADER);
    request.headers_mut().insert(name, deadline);
    let sent = Instant::now();
    let answer = client.call(deployment.callers(), request).await;
    Ok((answer.ok().map(|answer| answer.status), sent.elapsed()))
}
