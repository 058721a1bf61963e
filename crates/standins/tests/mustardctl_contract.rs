//! Contract between `mustardctl` and the resource API: the exit code for each answer that a node may give.

mod support;

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use async_trait::async_trait;
use bytes::Bytes;
use hyper::{Method, Request, StatusCode, header::AUTHORIZATION};
use mustardgate_protocol::operators::PutRequest;
use mustardgate_standins::{
    harness::{BinarySet, ChildProcess, ScratchDirectory, free_address},
    http::{HttpHandler, HttpReply, json_reply},
};
use serde_json::{Value, json};

const TIMEOUT: Duration = Duration::from_secs(10);
const POLICY: &str = "kind = \"policy\"\nname = \"default\"\n[spec]\nmove_price = 2.0\n";

/// A node that lists no resources and gives the same answer to every change.
#[derive(Clone, Debug)]
struct FakeNode {
    status: StatusCode,
    body: Value,
    changes: Arc<Mutex<Vec<PutRequest>>>,
}

#[async_trait]
impl HttpHandler for FakeNode {
    async fn handle(&self, request: Request<Bytes>) -> HttpReply {
        if request
            .headers()
            .get(AUTHORIZATION)
            .is_none_or(|value| value != "Bearer key")
        {
            return json_reply(StatusCode::UNAUTHORIZED, &json!({"error": "key"}));
        }
        if request.method() == Method::GET && request.uri().path().matches('/').count() == 3 {
            return json_reply(StatusCode::OK, &json!({"items": [], "offset": 0}));
        }
        if request.method() == Method::PUT {
            let change = serde_json::from_slice(request.body()).expect("typed");
            self.changes.lock().expect("no holder panics").push(change);
        }
        json_reply(self.status, &self.body)
    }
}

async fn run_ctl(scratch: &ScratchDirectory, command: &[&str], server: SocketAddr) -> Option<i32> {
    let program = BinarySet::locate()
        .and_then(|set| set.program("mustardctl"))
        .expect("built");
    let key_file = scratch.write("key", "key\n").expect("written").display().to_string();
    let server = server.to_string();
    let options = ["--server", &server, "--key-file", &key_file];
    let arguments: Vec<String> = command.iter().chain(&options).map(|word| (*word).to_owned()).collect();
    let mut process = ChildProcess::start("mustardctl", &program, &arguments, scratch.path()).expect("started");
    process.wait(TIMEOUT).await.expect("it ends").code()
}

/// A node's answer to a change, with the exit code and the number of requests that it must lead to.
struct AnswerCase {
    status: StatusCode,
    body: Value,
    exit_code: i32,
    request_count: usize,
}

#[tokio::test]
async fn each_answer_to_a_change_has_its_exit_code() {
    let unknown = json!({"error": {"code": "outcome_unknown", "change": "c"}});
    let cases = [
        (StatusCode::OK, json!({"version": 4, "generation": 1}), 0, 1),
        (StatusCode::INTERNAL_SERVER_ERROR, json!({}), 1, 1),
        (StatusCode::CONFLICT, json!({"error": "conflict", "current": 3}), 3, 1),
        (StatusCode::SERVICE_UNAVAILABLE, unknown, 4, 5),
        (
            StatusCode::SERVICE_UNAVAILABLE,
            json!({"error": {"code": "not_applied"}}),
            1,
            1,
        ),
        (
            StatusCode::UNPROCESSABLE_ENTITY,
            json!({"errors": [{"field": "f", "reason": "r"}]}),
            6,
            1,
        ),
    ];
    for (status, body, exit_code, request_count) in cases {
        let case = AnswerCase {
            status,
            body,
            exit_code,
            request_count,
        };
        let scratch = ScratchDirectory::create().expect("created");
        scratch.write("policy.toml", POLICY).expect("written");
        let directory = scratch.path().display().to_string();
        let node = FakeNode {
            status: case.status,
            body: case.body.clone(),
            changes: Arc::default(),
        };
        let server = support::serve(node.clone()).await;
        let exit_code = run_ctl(&scratch, &["apply", "-f", &directory], server).await;
        assert_eq!(exit_code, Some(case.exit_code), "{} {}", case.status, case.body);
        let changes = node.changes.lock().expect("no holder panics");
        assert_eq!(changes.len(), case.request_count, "{} {}", case.status, case.body);
        assert!(changes.iter().all(|change| change.change == changes[0].change));
    }
}

#[tokio::test]
async fn other_outcomes_have_their_exit_codes() {
    let scratch = ScratchDirectory::create().expect("created");
    scratch.write("policy.toml", POLICY).expect("written");
    let directory = scratch.path().display().to_string();
    let node = FakeNode {
        status: StatusCode::NOT_FOUND,
        body: json!({}),
        changes: Arc::default(),
    };
    let server = support::serve(node.clone()).await;
    assert_eq!(run_ctl(&scratch, &["diff", "-f", &directory], server).await, Some(7));
    assert_eq!(
        run_ctl(&scratch, &["describe", "model", "absent"], server).await,
        Some(8)
    );
    assert_eq!(
        run_ctl(&scratch, &["apply", "--dry-run", "-f", &directory], server).await,
        Some(0)
    );
    assert!(node.changes.lock().expect("no holder panics").is_empty());
    assert_eq!(run_ctl(&scratch, &["get", "kind"], server).await, Some(2));
    let closed_address = free_address().expect("free").into();
    assert_eq!(run_ctl(&scratch, &["get"], closed_address).await, Some(5));
    scratch.write("faulty.toml", "kind = \"model\"").expect("written");
    assert_eq!(
        run_ctl(&scratch, &["validate", "-f", &directory], server).await,
        Some(6)
    );
}
