//! Contract of the stand-in for a plain service: the answer and the counts under each fault.

mod support;

use std::net::SocketAddr;

use hyper::{Method, StatusCode, header::HeaderValue};
use mustardgate_protocol::callers::{IDEMPOTENCY_KEY_HEADER, REQUEST_ID_HEADER};
use mustardgate_standins::{
    http::{CallAnswer, CallError, call, json_request, plain_request},
    service::{FAULTS_PATH, PlainAnswer, STATS_PATH, ServiceFaults, ServiceServer, ServiceStats},
};

async fn place_order(address: SocketAddr) -> Result<CallAnswer, CallError> {
    let mut request = json_request(Method::POST, "/orders", &"forty lunches");
    let headers = request.headers_mut();
    headers.insert(IDEMPOTENCY_KEY_HEADER, HeaderValue::from_static("k1"));
    headers.insert(REQUEST_ID_HEADER, HeaderValue::from_static("q1"));
    call(address, request).await
}

/// One fault, the status of a call under it, and whether the call runs.
struct FaultCase {
    faults: ServiceFaults,
    status: Option<StatusCode>,
    has_run: bool,
}

#[tokio::test]
async fn each_fault_has_its_effect() {
    let no_faults = ServiceFaults::default;
    let cases = [
        FaultCase {
            faults: no_faults(),
            status: Some(StatusCode::OK),
            has_run: true,
        },
        FaultCase {
            faults: ServiceFaults {
                refused_ratio: 1.0,
                ..no_faults()
            },
            status: Some(StatusCode::SERVICE_UNAVAILABLE),
            has_run: false,
        },
        FaultCase {
            faults: ServiceFaults {
                close_before_ratio: 1.0,
                ..no_faults()
            },
            status: None,
            has_run: false,
        },
        FaultCase {
            faults: ServiceFaults {
                close_after_ratio: 1.0,
                ..no_faults()
            },
            status: None,
            has_run: true,
        },
    ];
    for case in cases {
        let address = support::serve(ServiceServer::new("orders-1".into(), 5)).await;
        let faults = json_request(Method::POST, FAULTS_PATH, &case.faults);
        call(address, faults).await.expect("the service answers");
        let reply = place_order(address).await.ok().map(|answer| answer.status);
        assert_eq!(reply, case.status, "{:?}", case.faults);
        let answer = call(address, plain_request(Method::GET, STATS_PATH)).await;
        let stats: ServiceStats = answer.expect("the service answers").json().expect("valid body");
        let runs = u64::from(case.has_run);
        assert_eq!(stats.runs, runs, "{:?}", case.faults);
        assert_eq!(stats.by_key.get("k1").copied().unwrap_or(0), runs);
        assert_eq!(stats.by_request.get("q1").copied().unwrap_or(0), runs);
    }
}

#[tokio::test]
async fn answers_repeat_the_call_and_the_request_header() {
    let address = support::serve(ServiceServer::new("orders-1".into(), 5)).await;
    let answer = place_order(address).await.expect("the service answers");
    assert_eq!(answer.headers[REQUEST_ID_HEADER], "q1");
    let body: PlainAnswer = answer.json().expect("valid body");
    assert_eq!(
        (body.call.as_str(), body.body.as_str()),
        ("POST /orders", "\"forty lunches\"")
    );
}
