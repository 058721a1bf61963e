//! Answers to callers whose requests are malformed, not permitted or cannot be served.

mod support;

use std::{net::SocketAddr, sync::Arc};

use mustardgate::context::NodeContext;
use mustardgate_core::{clock, ids::BackendId, log::Artifact, reports::RunnerState, routing::RunnerProfile};

use mustardgate_protocol::callers::ErrorAnswer;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use support::{COURIER_KEY, KITCHEN_KEY};

const CHAT_BODY: &str = r#"{"model":"menu","messages":[{"role":"user","content":"rice"}]}"#;

/// Sends a raw request and returns the status code, the lower-case head and the body of the response.
async fn send_raw(address: SocketAddr, request: &str) -> (u16, String, String) {
    let mut stream = TcpStream::connect(address).await.expect("the node listens");
    stream.write_all(request.as_bytes()).await.expect("the node reads");
    let mut answer = Vec::new();
    stream
        .read_to_end(&mut answer)
        .await
        .expect("the node answers and closes");
    let text = String::from_utf8(answer).expect("answers are text");
    let (head, body) = text.split_once("\r\n\r\n").expect("an answer has a head");
    let status = head
        .split(' ')
        .nth(1)
        .and_then(|code| code.parse().ok())
        .expect("a status line has a code");
    (status, head.to_ascii_lowercase(), body.to_owned())
}

fn request(method: &str, path: &str, key: Option<&str>, headers: &str, body: &str) -> String {
    let authorization = key.map_or_else(String::new, |key| format!("authorization: Bearer {key}\r\n"));
    let length = body.len();
    format!(
        "{method} {path} HTTP/1.1\r\nhost: node\r\nconnection: close\r\n{authorization}{headers}content-length: {length}\r\n\r\n{body}"
    )
}

struct ErrorCase {
    name: &'static str,
    request: String,
    status: u16,
    code: &'static str,
    has_retry_after: bool,
}

fn case(name: &'static str, request: String, status: u16, code: &'static str) -> ErrorCase {
    ErrorCase {
        name,
        request,
        status,
        code,
        has_retry_after: false,
    }
}

fn cases() -> Vec<ErrorCase> {
    let chat = "/v1/chat/completions";
    let key = Some(KITCHEN_KEY);
    let post = |headers: &str, body: &str| request("POST", chat, key, headers, body);
    let unknown_model = CHAT_BODY.replace("menu", "dessert");
    let many_headers = "x-filler: 1\r\n".repeat(12);
    let long_key = format!("idempotency-key: {}\r\n", "k".repeat(129));
    let slow = "POST /v1/chat/completions HTTP/1.1\r\nhost: node\r\nconnection: close\r\nauthorization: Bearer \
                kitchen-key\r\ncontent-length: 90\r\n\r\n{\"model\"";
    vec![
        case(
            "unknown path",
            request("GET", "/v2/models", key, "", ""),
            404,
            "unknown_path",
        ),
        case(
            "wrong method",
            request("GET", chat, key, "", ""),
            405,
            "method_not_allowed",
        ),
        case("no key", request("POST", chat, None, "", CHAT_BODY), 401, "missing_key"),
        case(
            "wrong key",
            request("POST", chat, Some("guess"), "", CHAT_BODY),
            401,
            "wrong_key",
        ),
        case("not JSON", post("", "{\"model\":"), 400, "invalid_body"),
        case(
            "no messages",
            post("", "{\"model\":\"menu\",\"messages\":[]}"),
            400,
            "invalid_body",
        ),
        case(
            "no tokens",
            post("", &CHAT_BODY.replace("]}", "],\"max_tokens\":0}")),
            400,
            "invalid_body",
        ),
        case("unknown model", post("", &unknown_model), 404, "unknown_model"),
        case("body too long", post("", &" ".repeat(2_049)), 413, "body_too_long"),
        case(
            "too many headers",
            post(&many_headers, CHAT_BODY),
            431,
            "too_many_headers",
        ),
        case("slow sender", slow.to_owned(), 408, "body_too_slow"),
        case(
            "deadline is no number",
            post("x-deadline-ms: soon\r\n", CHAT_BODY),
            400,
            "invalid_header",
        ),
        case(
            "deadline is zero",
            post("x-deadline-ms: 0\r\n", CHAT_BODY),
            400,
            "invalid_header",
        ),
        case(
            "not the tenant's service",
            request("POST", chat, Some(COURIER_KEY), "", CHAT_BODY),
            403,
            "service_forbidden",
        ),
        case(
            "unknown service",
            request("POST", "/services/refunds/pay", key, "", "{}"),
            404,
            "unknown_service",
        ),
        case(
            "key too long",
            request("POST", "/services/orders/place", key, &long_key, "{}"),
            400,
            "invalid_header",
        ),
        ErrorCase {
            has_retry_after: true,
            ..case("no replica", post("", CHAT_BODY), 503, "no_capacity")
        },
        ErrorCase {
            has_retry_after: true,
            ..case(
                "no instance",
                request("POST", "/services/orders/place", key, "", "{}"),
                503,
                "no_capacity",
            )
        },
    ]
}

#[tokio::test]
async fn every_error_has_its_status_code_and_verdict() {
    let address = support::serve(support::context()).await;
    for case in cases() {
        let (status, head, body) = send_raw(address, &case.request).await;
        assert_eq!(status, case.status, "{}: {body}", case.name);
        let answer: ErrorAnswer = serde_json::from_str(&body).expect("errors are typed");
        assert_eq!(answer.error.code, case.code, "{}", case.name);
        assert_eq!(answer.error.verdict.to_string(), "not_run", "{}", case.name);
        assert!(head.contains("x-run-verdict: not_run"), "{}: {head}", case.name);
        assert_eq!(
            head.contains("retry-after: "),
            case.has_retry_after,
            "{}: {head}",
            case.name
        );
        assert_eq!(
            answer.error.retry_after_ms.is_some(),
            case.has_retry_after,
            "{}",
            case.name
        );
    }
}

/// Adds a runner that has one version of the model ready and whose address refuses connections.
fn add_unreachable_runner(context: &NodeContext, version: &str) {
    let artifact = Artifact {
        model: "menu".into(),
        adapter: None,
        version: version.into(),
    };
    let backend = BackendId::from("runner-1");
    let address = "127.0.0.1:1".parse().expect("an address");
    context
        .addresses
        .write()
        .expect("no holder panics")
        .insert(backend.clone(), address);
    context.selector.upsert_runner(RunnerProfile {
        backend: backend.clone(),
        domain: "th-a".into(),
        region: "th-central".into(),
        max_concurrency: 4,
        ready: vec![artifact.clone()],
    });
    let state = RunnerState {
        ready: [artifact].into(),
        outstanding: 0,
    };
    context.runners.update(&backend, state, clock::now());
}

#[tokio::test]
async fn another_version_is_used_until_the_serving_one_is_loaded() {
    let context = support::context();
    add_unreachable_runner(&context, "v1");
    let address = support::serve(Arc::clone(&context)).await;
    let chat = request("POST", "/v1/chat/completions", Some(KITCHEN_KEY), "", CHAT_BODY);
    let (status, _, body) = send_raw(address, &chat).await;
    let answer: ErrorAnswer = serde_json::from_str(&body).expect("errors are typed");
    // The attempt at the unreachable runner failed; without the other version the answer would be no_capacity.
    assert_eq!((status, answer.error.code.as_str()), (502, "attempts_failed"));
    assert_eq!(answer.error.verdict.to_string(), "not_run");
}

#[tokio::test]
async fn a_keyed_call_is_refused_before_the_replay_of_the_log_begins() {
    let address = support::serve(support::context()).await;
    let keyed = request(
        "POST",
        "/services/orders/place",
        Some(KITCHEN_KEY),
        "idempotency-key: k1\r\n",
        "{}",
    );
    let (status, head, body) = send_raw(address, &keyed).await;
    let answer: ErrorAnswer = serde_json::from_str(&body).expect("errors are typed");
    assert_eq!((status, answer.error.code.as_str()), (503, "key_unresolved"));
    assert_eq!(
        answer.error.verdict.to_string(),
        "may_have_run",
        "another node may hold a claim on the key"
    );
    assert!(head.contains("retry-after: "), "{head}");
}

#[tokio::test]
async fn a_node_without_configuration_answers_not_ready() {
    let context = support::context();
    let unconfigured = mustardgate::node::build_context(context.settings.clone(), context.logger.clone());
    let address = support::serve(unconfigured).await;
    let (status, _, body) = send_raw(address, &request("GET", "/v1/models", Some(KITCHEN_KEY), "", "")).await;
    let answer: ErrorAnswer = serde_json::from_str(&body).expect("errors are typed");
    assert_eq!((status, answer.error.code.as_str()), (503, "not_ready"));
}

#[tokio::test]
async fn models_are_listed_only_for_tenants_that_may_use_them() {
    let address = support::serve(support::context()).await;
    let list = |key| request("GET", "/v1/models", Some(key), "", "");
    let (status, _, body) = send_raw(address, &list(KITCHEN_KEY)).await;
    assert_eq!(status, 200);
    assert!(body.contains("\"menu\""), "{body}");
    let (_, _, body) = send_raw(address, &list(COURIER_KEY)).await;
    assert!(!body.contains("\"menu\""), "{body}");
}
