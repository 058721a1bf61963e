//! Contract of the stand-in for the platform: its interface, its limits, and the effect of each fault.

mod support;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use hyper::{Method, StatusCode};
use mustardgate_core::{
    log::{LeaseRecord, LogRecord},
    ports::{LogPage, VmEntry, VmRole, VmState},
};
use mustardgate_protocol::platform::{APPEND_PATH, AppendAnswer, RECORDS_PATH, TrimmedAnswer, VMS_PATH};
use mustardgate_standins::{
    http::{CallAnswer, CallError, call, json_request, plain_request},
    platform::{
        FAULTS_PATH, LogFaults, PlatformFaults, PlatformOptions, PlatformServer, PlatformStats, PlatformView,
        RetentionPolicy, STATS_PATH, VMS_ADMIN_PATH,
    },
};

fn options() -> PlatformOptions {
    PlatformOptions {
        seed: 7,
        appends_per_second: 10_000.0,
        retention: RetentionPolicy::default(),
        list_lag: Duration::ZERO,
    }
}

async fn serve(options: PlatformOptions) -> SocketAddr {
    let server = Arc::new(PlatformServer::new(options));
    support::serve(PlatformView { server, view: None }).await
}

fn record(number: u64) -> LogRecord {
    LogRecord::Lease(LeaseRecord {
        domain: "a".into(),
        holder: "n1".into(),
        previous: Some(number),
        term_ms: 1_000,
        released: false,
        session: 1,
        renews: None,
        window: 0,
    })
}

async fn append(address: SocketAddr, number: u64) -> Result<CallAnswer, CallError> {
    call(address, json_request(Method::POST, APPEND_PATH, &record(number))).await
}

async fn get(address: SocketAddr, path: &str) -> CallAnswer {
    call(address, plain_request(Method::GET, path))
        .await
        .expect("the platform answers")
}

#[tokio::test]
async fn appends_are_read_back_in_order() {
    let address = serve(options()).await;
    for number in 0..5 {
        let answer: AppendAnswer = append(address, number)
            .await
            .expect("the platform answers")
            .json()
            .expect("valid body");
        assert_eq!(answer.offset, number);
    }
    let page: LogPage = get(address, &format!("{RECORDS_PATH}?from=2&limit=2"))
        .await
        .json()
        .expect("valid body");
    let offsets: Vec<u64> = page.entries.iter().map(|entry| entry.offset).collect();
    assert_eq!((offsets, page.end), (vec![2, 3], 5));
    assert_eq!(page.entries[0].record, record(2));
}

/// One fault, the status of an append under it, and whether the append takes effect.
struct FaultCase {
    faults: LogFaults,
    status: Option<StatusCode>,
    has_effect: bool,
}

#[tokio::test]
async fn each_fault_has_its_effect() {
    let cases = [
        FaultCase {
            faults: LogFaults::default(),
            status: Some(StatusCode::OK),
            has_effect: true,
        },
        FaultCase {
            faults: LogFaults {
                is_down: true,
                ..LogFaults::default()
            },
            status: Some(StatusCode::SERVICE_UNAVAILABLE),
            has_effect: false,
        },
        FaultCase {
            faults: LogFaults {
                refused_ratio: 1.0,
                ..LogFaults::default()
            },
            status: Some(StatusCode::SERVICE_UNAVAILABLE),
            has_effect: false,
        },
        FaultCase {
            faults: LogFaults {
                lost_answer_ratio: 1.0,
                ..LogFaults::default()
            },
            status: None,
            has_effect: true,
        },
    ];
    for case in cases {
        let address = serve(options()).await;
        let faults = PlatformFaults {
            log: case.faults.clone(),
            ..PlatformFaults::default()
        };
        call(address, json_request(Method::POST, FAULTS_PATH, &faults))
            .await
            .expect("the platform answers");
        let reply = append(address, 0).await.ok().map(|answer| answer.status);
        assert_eq!(reply, case.status, "{:?}", case.faults);
        let stats: PlatformStats = get(address, STATS_PATH).await.json().expect("valid body");
        assert_eq!(stats.appends == 1, case.has_effect, "{:?}", case.faults);
    }
}

#[tokio::test]
async fn records_beyond_the_retention_are_trimmed() {
    let retention = RetentionPolicy {
        max_records: Some(3),
        max_age: None,
    };
    let address = serve(PlatformOptions { retention, ..options() }).await;
    for number in 0..10 {
        append(address, number).await.expect("the platform answers");
    }
    let answer = get(address, &format!("{RECORDS_PATH}?from=0")).await;
    assert_eq!(answer.status, StatusCode::GONE);
    let trimmed: TrimmedAnswer = answer.json().expect("valid body");
    assert_eq!(trimmed.earliest, 7);
}

#[tokio::test]
async fn appends_beyond_the_rate_limit_are_delayed_and_not_refused() {
    let address = serve(PlatformOptions {
        appends_per_second: 50.0,
        ..options()
    })
    .await;
    let appends = futures::future::join_all((0..5).map(|number| append(address, number))).await;
    assert!(
        appends
            .iter()
            .all(|answer| answer.as_ref().is_ok_and(|answer| answer.status == StatusCode::OK))
    );
    let stats: PlatformStats = get(address, STATS_PATH).await.json().expect("valid body");
    assert!(stats.delayed_appends >= 1, "{stats:?}");
}

#[tokio::test]
async fn vms_are_listed_and_removed() {
    let address = serve(options()).await;
    let entry = VmEntry {
        name: "runner-1".into(),
        role: VmRole::Backend,
        domain: "a".into(),
        region: "r".into(),
        address: ([127, 0, 0, 1], 9).into(),
        state: VmState::Live,
    };
    call(address, json_request(Method::POST, VMS_ADMIN_PATH, &entry))
        .await
        .expect("the platform answers");
    let listed: Vec<VmEntry> = get(address, VMS_PATH).await.json().expect("valid body");
    assert_eq!(listed, vec![entry]);
    let path = format!("{VMS_ADMIN_PATH}/runner-1");
    call(address, plain_request(Method::DELETE, &path))
        .await
        .expect("the platform answers");
    let listed: Vec<VmEntry> = get(address, VMS_PATH).await.json().expect("valid body");
    assert!(listed.is_empty());
}
