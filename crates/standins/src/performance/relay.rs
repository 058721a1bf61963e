//! Many streams relayed at once by one node, and the memory that they take.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use hyper::Method;
use mustardctl::client::{EventReader, HttpClient, insert_bearer_key, json_request};
use mustardgate_protocol::callers::{CHAT_PATH, ChatChunk, ChatMessage, ChatRequest};
use tokio::task::JoinSet;

use super::{
    PerformanceError,
    deployment::{MODEL, MeasuredDeployment},
    report::RelayFigures,
};
use crate::engine_http::whole_answer;

/// Streams open at once.
pub(super) const STREAMS: u64 = 500;
const TOKENS: u32 = 300;
const SAMPLE_STEP: Duration = Duration::from_millis(100);
/// Time for memory to be given back after the last stream.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// What one caller asks for.
#[derive(Clone, Debug)]
pub(super) struct StreamCall {
    pub address: SocketAddr,
    pub key: Option<String>,
    pub number: u64,
    pub tokens: u32,
}

pub(super) async fn measure_relay(deployment: &MeasuredDeployment) -> Result<RelayFigures, PerformanceError> {
    let open = Arc::new(AtomicU64::new(0));
    let tenants = deployment.tenants();
    let before = deployment.usage()?;
    let mut streams = JoinSet::new();
    for number in 0..STREAMS {
        let call = StreamCall {
            address: deployment.callers(),
            key: tenants[number as usize % tenants.len()].key.clone(),
            number,
            tokens: TOKENS,
        };
        let open = Arc::clone(&open);
        streams.spawn(async move { read_stream(&HttpClient::new(), &call, &open).await });
    }
    let mut figures = RelayFigures {
        streams: STREAMS,
        resident_before: before.resident_bytes,
        ..RelayFigures::default()
    };
    let mut samples = tokio::time::interval(SAMPLE_STEP);
    while !streams.is_empty() {
        tokio::select! {
            Some(joined) = streams.join_next() => figures.whole += u64::from(joined.unwrap_or(false)),
            _ = samples.tick() => {
                figures.most_open = figures.most_open.max(open.load(Ordering::Relaxed));
                figures.resident_during = figures.resident_during.max(deployment.usage()?.resident_bytes);
            }
        }
    }
    let ended = deployment.usage()?;
    figures.tokens = figures.whole * u64::from(TOKENS);
    figures.processor_s = ended.processor.saturating_sub(before.processor).as_secs_f64();
    tokio::time::sleep(SETTLE_TIME).await;
    figures.resident_after = deployment.usage()?.resident_bytes;
    Ok(figures)
}

/// Reads a stream to its end and returns whether it was the whole answer to its own prompt.
pub(super) async fn read_stream(client: &HttpClient, call: &StreamCall, open: &AtomicU64) -> bool {
    let prompt = format!("stream [seed:{}]", call.number);
    let chat = ChatRequest {
        model: MODEL.into(),
        messages: vec![ChatMessage {
            role: "user".into(),
            content: prompt.clone(),
        }],
        stream: true,
        max_tokens: call.tokens,
    };
    let Ok(mut request) = json_request(Method::POST, CHAT_PATH, &chat) else {
        return false;
    };
    if insert_bearer_key(request.headers_mut(), call.key.as_deref()).is_err() {
        return false;
    }
    let Ok(response) = client.open(call.address, request).await else {
        return false;
    };
    if !response.status().is_success() {
        return false;
    }
    open.fetch_add(1, Ordering::Relaxed);
    let text = read_text(EventReader::new(response.into_body())).await;
    open.fetch_sub(1, Ordering::Relaxed);
    text.is_some_and(|text| text == whole_answer(&prompt, call.tokens))
}

/// Returns the text of a stream, or `None` when it did not end in order.
async fn read_text(mut reader: EventReader) -> Option<String> {
    let mut text = String::new();
    loop {
        let data = reader.next_data().await.ok()??;
        if data == "[DONE]" {
            return Some(text);
        }
        let chunk: ChatChunk = serde_json::from_str(&data).ok()?;
        text.push_str(&chunk.delta);
    }
}
