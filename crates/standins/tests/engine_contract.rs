//! Contract of the stand-in for an engine: generations, orders, fencing, and the effect of each fault.

mod support;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use hyper::{Method, StatusCode};
use mustardgate_core::{
    ids::FencingNumber,
    log::{Artifact, OrderAction},
    ports::{EngineOrder, EngineReport},
    resources::{FencingSupport, PriorityClass},
};
use mustardgate_protocol::engine::{
    CANCEL_PATH, CancelRequest, EngineEvent, FENCING_PATH, FencedAnswer, GENERATE_PATH, GenerateRequest,
    KV_EXPORT_PATH, KV_IMPORT_PATH, KvExport, KvExportRequest, ORDERS_PATH, REPORT_PATH, RaiseFencing,
};
use mustardgate_standins::{
    engine_http::{
        BatchOptions, EngineFaults, EngineOptions, EngineServer, EngineStats, FAULTS_PATH, MemoryOptions,
        PrefixOptions, STATS_PATH, whole_answer,
    },
    http::{CallAnswer, call, json_request, plain_request},
};

/// Largest number of polls until a late order must have taken effect.
const MAX_POLLS: u32 = 1_000;

fn options(fencing: FencingSupport) -> EngineOptions {
    EngineOptions {
        name: "r1".into(),
        seed: 3,
        memory: MemoryOptions {
            accelerators: vec![1_000, 1_000],
            fencing,
            model_load: Duration::ZERO,
            adapter_load: Duration::ZERO,
            unload: Duration::ZERO,
            store_loads_per_second: 1_000.0,
        },
        batch: BatchOptions {
            tokens_per_second: 100_000.0,
            max_running: 8,
            max_waiting: 8,
            step: Duration::from_millis(1),
        },
        prefix: PrefixOptions {
            capacity_blocks: 64,
            event_lag: Duration::ZERO,
            lost_event_ratio: 0.0,
        },
        report_lag: Duration::ZERO,
        prefill_per_block: Duration::ZERO,
    }
}

fn artifact() -> Artifact {
    Artifact {
        model: "menu".into(),
        adapter: None,
        version: "v1".into(),
    }
}

async fn start(fencing: FencingSupport) -> SocketAddr {
    let engine = Arc::new(EngineServer::new(options(fencing)));
    assert!(engine.preload(artifact(), 600));
    tokio::spawn(Arc::clone(&engine).run_batch());
    support::serve(engine).await
}

fn generate_request(request: &str, resume_from: u32) -> GenerateRequest {
    GenerateRequest {
        request: request.into(),
        attempt: 1,
        artifact: artifact(),
        prompt: format!("draft a menu for {request}"),
        max_tokens: 20,
        priority: PriorityClass::Interactive,
        resume_from,
    }
}

async fn post<T: serde::Serialize>(address: SocketAddr, path: &str, value: &T) -> CallAnswer {
    call(address, json_request(Method::POST, path, value))
        .await
        .expect("the engine answers")
}

async fn stats(address: SocketAddr) -> EngineStats {
    let request = plain_request(Method::GET, STATS_PATH);
    call(address, request)
        .await
        .expect("the engine answers")
        .json()
        .expect("valid body")
}

fn events(answer: &CallAnswer) -> Vec<EngineEvent> {
    let text = std::str::from_utf8(&answer.body).expect("events are text");
    let lines = text.lines().filter_map(|line| line.strip_prefix("data: "));
    lines
        .map(|line| serde_json::from_str(line).expect("valid event"))
        .collect()
}

fn answer_text(events: &[EngineEvent]) -> String {
    let texts = events.iter().filter_map(|event| match event {
        EngineEvent::Token { text, .. } => Some(text.as_str()),
        _ => None,
    });
    texts.collect()
}

fn is_whole(events: &[EngineEvent], own: &str) -> bool {
    let is_own = |event: &EngineEvent| match event {
        EngineEvent::Token { request, .. }
        | EngineEvent::Done { request, .. }
        | EngineEvent::Failed { request, .. } => request == own,
    };
    events.iter().all(is_own) && matches!(events.last(), Some(EngineEvent::Done { tokens: 20, .. }))
}

#[tokio::test]
async fn a_whole_answer_depends_on_the_prompt_alone() {
    let address = start(FencingSupport::Refuses).await;
    let first = generate_request("q1", 0);
    let answer = events(&post(address, GENERATE_PATH, &first).await);
    assert!(is_whole(&answer, "q1"), "{answer:?}");
    assert_eq!(answer_text(&answer), whole_answer(&first.prompt, 20));
}

#[tokio::test]
async fn a_resumed_answer_continues_where_it_broke() {
    let address = start(FencingSupport::Refuses).await;
    let resumed = generate_request("q1", 12);
    let answer = events(&post(address, GENERATE_PATH, &resumed).await);
    let whole = whole_answer(&resumed.prompt, 20);
    assert!(whole.ends_with(&answer_text(&answer)));
    assert_eq!(answer.len(), 9);
}

#[tokio::test]
async fn a_generation_without_resident_weights_is_refused_with_409_and_does_not_run() {
    let address = start(FencingSupport::Refuses).await;
    let mut other = generate_request("q1", 0);
    other.artifact.version = "v2".into();
    assert_eq!(post(address, GENERATE_PATH, &other).await.status, StatusCode::CONFLICT);
    assert!(stats(address).await.runs.is_empty());
}

/// One fault, and what becomes of a generation under it.
struct FaultCase {
    faults: EngineFaults,
    is_answered: bool,
    is_whole: bool,
    has_run: bool,
}

#[tokio::test]
async fn each_fault_of_a_generation_has_its_effect() {
    let no_faults = EngineFaults::default;
    let cases = [
        FaultCase {
            faults: no_faults(),
            is_answered: true,
            is_whole: true,
            has_run: true,
        },
        FaultCase {
            faults: EngineFaults {
                crossed_ratio: 1.0,
                ..no_faults()
            },
            is_answered: true,
            is_whole: false,
            has_run: true,
        },
        FaultCase {
            faults: EngineFaults {
                broken_ratio: 1.0,
                ..no_faults()
            },
            is_answered: false,
            is_whole: false,
            has_run: true,
        },
        FaultCase {
            faults: EngineFaults {
                cut_short_ratio: 1.0,
                ..no_faults()
            },
            is_answered: true,
            is_whole: false,
            has_run: true,
        },
        FaultCase {
            faults: EngineFaults {
                refused_ratio: 1.0,
                ..no_faults()
            },
            is_answered: true,
            is_whole: false,
            has_run: false,
        },
    ];
    for case in cases {
        let address = start(FencingSupport::Refuses).await;
        post(address, FAULTS_PATH, &case.faults).await;
        let answer = call(
            address,
            json_request(Method::POST, GENERATE_PATH, &generate_request("q1", 0)),
        )
        .await;
        assert_eq!(answer.is_ok(), case.is_answered, "{:?}", case.faults);
        if let Ok(answer) = answer {
            let is_answer_whole = answer.status == StatusCode::OK && is_whole(&events(&answer), "q1");
            assert_eq!(is_answer_whole, case.is_whole, "{:?}", case.faults);
        }
        assert_eq!(!stats(address).await.runs.is_empty(), case.has_run, "{:?}", case.faults);
    }
}

#[tokio::test]
async fn a_cancelled_generation_stops() {
    let address = start(FencingSupport::Refuses).await;
    post(
        address,
        FAULTS_PATH,
        &EngineFaults {
            is_stalled: true,
            ..EngineFaults::default()
        },
    )
    .await;
    let first = generate_request("q1", 0);
    let stream = tokio::spawn(async move { post(address, GENERATE_PATH, &first).await });
    let cancel = CancelRequest { request: "q1".into() };
    while post(address, CANCEL_PATH, &cancel).await.status == StatusCode::NOT_FOUND {
        tokio::task::yield_now().await;
    }
    let answer = events(&stream.await.expect("no panic"));
    assert!(matches!(answer.as_slice(), [EngineEvent::Failed { .. }]), "{answer:?}");
    assert!(stats(address).await.runs.is_empty());
}

fn load(order: &str, lease_offset: u64, model: &str, memory_mib: u64) -> EngineOrder {
    EngineOrder {
        order: order.into(),
        fencing: FencingNumber {
            lease_offset,
            ..FencingNumber::default()
        },
        accelerator: 1,
        action: OrderAction::Load {
            artifact: Artifact {
                model: model.into(),
                ..artifact()
            },
            memory_mib,
        },
    }
}

#[tokio::test]
async fn orders_with_an_old_fencing_number_are_refused_or_executed_as_declared() {
    for (fencing, expected) in [
        (FencingSupport::Refuses, StatusCode::CONFLICT),
        (FencingSupport::Ignores, StatusCode::ACCEPTED),
    ] {
        let address = start(fencing).await;
        let fencing = FencingNumber {
            lease_offset: 9,
            ..FencingNumber::default()
        };
        let raised = post(address, FENCING_PATH, &RaiseFencing { fencing }).await;
        assert_eq!(raised.status, StatusCode::OK);
        let answer = post(address, ORDERS_PATH, &load("o1", 8, "old", 100)).await;
        assert_eq!(answer.status, expected);
        if answer.status == StatusCode::CONFLICT {
            assert_eq!(answer.json::<FencedAnswer>().expect("valid body").newest, fencing);
        }
    }
}

#[tokio::test]
async fn a_repeated_order_is_executed_once_and_an_overcommitment_is_detected() {
    let address = start(FencingSupport::Refuses).await;
    for _ in 0..2 {
        let answer = post(address, ORDERS_PATH, &load("o1", 1, "a", 700)).await;
        assert_eq!(answer.status, StatusCode::ACCEPTED);
    }
    let report = call(address, plain_request(Method::GET, REPORT_PATH)).await;
    let report: EngineReport = report.expect("the engine answers").json().expect("valid body");
    assert_eq!(report.resident.len(), 2);
    assert_eq!(report.settled.iter().filter(|order| *order == "o1").count(), 1);
    let counted = stats(address).await;
    assert_eq!((counted.loads, counted.has_overcommitted), (1, false));

    let again = post(address, ORDERS_PATH, &load("o2", 1, "a", 700)).await;
    assert_eq!(again.status, StatusCode::UNPROCESSABLE_ENTITY);
    assert!(!stats(address).await.has_overcommitted);
    let surplus = post(address, ORDERS_PATH, &load("o3", 1, "b", 700)).await;
    assert_eq!(surplus.status, StatusCode::ACCEPTED);
    let counted = stats(address).await;
    assert_eq!((counted.loads, counted.has_overcommitted), (2, true));
}

#[tokio::test]
async fn reports_are_numbered_and_list_a_repeated_order_as_the_newest() {
    let address = start(FencingSupport::Ignores).await;
    let report = async || -> EngineReport {
        let answer = call(address, plain_request(Method::GET, REPORT_PATH)).await;
        answer.expect("the engine answers").json().expect("valid body")
    };
    for (order, memory_mib) in [("o1", 5_000), ("o2", 5_000), ("o1", 5_000)] {
        let answer = post(address, ORDERS_PATH, &load(order, 1, "b", memory_mib)).await;
        assert!(!answer.status.is_server_error());
    }
    let (first, second) = (report().await, report().await);
    assert_eq!(first.settled, ["o2", "o1"]);
    assert!(0 < first.sequence && first.sequence < second.sequence);
}

#[tokio::test]
async fn reports_after_a_restart_are_numbered_above_those_before() {
    let mut last = 0;
    for _ in 0..2 {
        let address = start(FencingSupport::Refuses).await;
        let answer = call(address, plain_request(Method::GET, REPORT_PATH)).await;
        let report: EngineReport = answer.expect("the engine answers").json().expect("valid body");
        assert!(report.sequence > last);
        last = report.sequence;
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

async fn loads_after_report(address: SocketAddr) -> u64 {
    call(address, plain_request(Method::GET, REPORT_PATH))
        .await
        .expect("the engine answers");
    stats(address).await.loads
}

#[tokio::test]
async fn lost_and_late_orders_have_the_stated_effect() {
    let no_faults = EngineFaults::default;
    for (faults, expected_loads) in [
        (
            EngineFaults {
                dropped_order_ratio: 1.0,
                ..no_faults()
            },
            0,
        ),
        (
            EngineFaults {
                late_order_ratio: 1.0,
                ..no_faults()
            },
            1,
        ),
    ] {
        let address = start(FencingSupport::Ignores).await;
        post(address, FAULTS_PATH, &faults).await;
        let order = load("o1", 1, "a", 100);
        let answer = call(address, json_request(Method::POST, ORDERS_PATH, &order)).await;
        answer.expect_err("the answer is lost");
        let mut loads = loads_after_report(address).await;
        for _ in 0..MAX_POLLS {
            if loads == expected_loads {
                break;
            }
            loads = loads_after_report(address).await;
        }
        assert_eq!(loads, expected_loads, "{faults:?}");
    }
}

#[tokio::test]
async fn a_cache_moves_to_another_engine() {
    let from = start(FencingSupport::Refuses).await;
    let to = start(FencingSupport::Refuses).await;
    let mut first = generate_request("q1", 0);
    first.prompt = "allergies ".repeat(20);
    post(from, GENERATE_PATH, &first).await;
    let export_request = KvExportRequest { request: "q1".into() };
    let export: KvExport = post(from, KV_EXPORT_PATH, &export_request)
        .await
        .json()
        .expect("valid body");
    assert_eq!(export.blocks.len(), 3);
    assert_eq!(post(to, KV_IMPORT_PATH, &export).await.status, StatusCode::NO_CONTENT);
}
