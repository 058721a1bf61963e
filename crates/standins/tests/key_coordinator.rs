//! `KeyCoordinator` of a node with an in-memory log, in simulated time.

use std::{sync::Arc, time::Duration};

use mustardgate::{
    keys::{KeyCoordinator, KeyDecision, append_batches},
    records::{RecordObserver, RecordTail, follow_records},
    settings::KeyWindowSettings,
};
use mustardgate_core::{
    clock,
    idempotency::{KeyId, KeyRefusal, KeyRequest},
    log::StoredAnswer,
    ports::PlatformLog,
    verdict::RunVerdict,
};
use mustardgate_standins::platform::{LogFaults, MemoryLog};
use tokio_util::sync::CancellationToken;

fn start_coordinator(node: &str, log: &Arc<MemoryLog>, shutdown: &CancellationToken) -> Arc<KeyCoordinator> {
    let tail = Arc::new(RecordTail::default());
    let settings = KeyWindowSettings::default();
    let coordinator = Arc::new(KeyCoordinator::new(
        &node.into(),
        "a".into(),
        &settings,
        Arc::clone(&tail),
    ));
    let log: Arc<dyn PlatformLog> = Arc::clone(log) as Arc<dyn PlatformLog>;
    let observers = vec![Arc::clone(&coordinator) as Arc<dyn RecordObserver>];
    tokio::spawn(follow_records(Arc::clone(&log), tail, observers, shutdown.clone()));
    tokio::spawn(append_batches(Arc::clone(&coordinator), log, shutdown.clone()));
    coordinator
}

fn key() -> KeyId {
    KeyId {
        tenant: "kitchen".into(),
        key: "lunch-1".into(),
    }
}

fn request(name: &str) -> KeyRequest {
    KeyRequest {
        id: key(),
        digest: 7,
        request: name.into(),
        deadline: clock::now() + Duration::from_secs(20),
    }
}

fn answer() -> StoredAnswer {
    StoredAnswer {
        status: 200,
        content_type: "text/plain".to_owned(),
        body: "placed".to_owned(),
    }
}

/// Waits until the coordinators have read the log.
async fn wait_for_log_read() {
    tokio::time::sleep(Duration::from_secs(2)).await;
}

#[tokio::test(start_paused = true)]
async fn one_of_two_deliveries_is_dispatched_and_the_other_gets_its_answer() {
    let (log, shutdown) = (Arc::new(MemoryLog::new(1)), CancellationToken::new());
    let (first, second) = (
        start_coordinator("n1", &log, &shutdown),
        start_coordinator("n2", &log, &shutdown),
    );
    wait_for_log_read().await;
    assert_eq!(first.decide(request("r1")).await, KeyDecision::Dispatch);
    let other = {
        let second = Arc::clone(&second);
        tokio::spawn(async move { second.decide(request("r2")).await })
    };
    wait_for_log_read().await;
    let verdict = first.finish(&key(), &"r1".into(), RunVerdict::Ran, Some(answer()));
    assert_eq!(verdict, RunVerdict::Ran);
    let repeated = other.await.expect("the delivery ends");
    let expected = KeyDecision::Answer {
        verdict: RunVerdict::Ran,
        answer: Some(answer()),
    };
    assert_eq!(repeated, expected);
}

#[tokio::test(start_paused = true)]
async fn a_released_key_can_be_claimed_at_another_node() {
    let (log, shutdown) = (Arc::new(MemoryLog::new(2)), CancellationToken::new());
    let (first, second) = (
        start_coordinator("n1", &log, &shutdown),
        start_coordinator("n2", &log, &shutdown),
    );
    wait_for_log_read().await;
    assert_eq!(first.decide(request("r1")).await, KeyDecision::Dispatch);
    first.release(&key(), &"r1".into());
    wait_for_log_read().await;
    assert_eq!(second.decide(request("r2")).await, KeyDecision::Dispatch);
}

#[tokio::test(start_paused = true)]
async fn a_key_reported_as_not_run_is_never_dispatched_again() {
    let (log, shutdown) = (Arc::new(MemoryLog::new(3)), CancellationToken::new());
    let (first, second) = (
        start_coordinator("n1", &log, &shutdown),
        start_coordinator("n2", &log, &shutdown),
    );
    wait_for_log_read().await;
    assert_eq!(first.decide(request("r1")).await, KeyDecision::Dispatch);
    let verdict = first.finish(&key(), &"r1".into(), RunVerdict::NotRun, None);
    assert_eq!(verdict, RunVerdict::NotRun);
    wait_for_log_read().await;
    let repeated = second.decide(request("r2")).await;
    let expected = KeyDecision::Answer {
        verdict: RunVerdict::NotRun,
        answer: None,
    };
    assert_eq!(repeated, expected);
}

#[tokio::test(start_paused = true)]
async fn a_key_is_refused_at_once_while_the_log_is_unavailable() {
    let (log, shutdown) = (Arc::new(MemoryLog::new(4)), CancellationToken::new());
    let coordinator = start_coordinator("n1", &log, &shutdown);
    wait_for_log_read().await;
    log.set_faults(LogFaults {
        is_down: true,
        ..LogFaults::default()
    });
    wait_for_log_read().await;
    let requested_at = clock::now();
    let decision = coordinator.decide(request("r1")).await;
    assert!(
        matches!(
            decision,
            KeyDecision::Refuse {
                refusal: KeyRefusal::LogUnavailable,
                verdict: RunVerdict::MayHaveRun,
                ..
            }
        ),
        "{decision:?}"
    );
    assert_eq!(clock::now(), requested_at, "the refusal must not be delayed");
}

#[tokio::test(start_paused = true)]
async fn a_claim_whose_append_response_was_lost_is_decided_from_the_log() {
    let (log, shutdown) = (Arc::new(MemoryLog::new(5)), CancellationToken::new());
    let coordinator = start_coordinator("n1", &log, &shutdown);
    wait_for_log_read().await;
    log.set_faults(LogFaults {
        lost_answer_ratio: 1.0,
        ..LogFaults::default()
    });
    assert_eq!(coordinator.decide(request("r1")).await, KeyDecision::Dispatch);
    assert_eq!(log.appends(), 1);
}
