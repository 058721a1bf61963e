//! Tests cases of the key table and the claim batcher that the randomised proofs reach only by chance.

use std::time::{Duration, Instant};

use mustardgate_core::{
    clock,
    idempotency::{BatcherSettings, ClaimBatcher, KeyAction, KeyId, KeyRefusal, KeyRequest, KeySettings, KeyTable},
    ids::Offset,
    log::{BatchRecord, KeyClaim, KeyOutcome, LogRecord, StoredAnswer},
    ports::LogEntry,
    verdict::RunVerdict,
};

const DEADLINE: Duration = Duration::from_secs(5);

fn id() -> KeyId {
    KeyId {
        tenant: "kitchen".into(),
        key: "order-1".into(),
    }
}

fn request(name: &str, digest: u64, now: Instant) -> KeyRequest {
    KeyRequest {
        id: id(),
        digest,
        request: name.into(),
        deadline: now + DEADLINE,
    }
}

fn claim(node: &str, name: &str, digest: u64) -> KeyClaim {
    KeyClaim {
        tenant: "kitchen".into(),
        key: "order-1".into(),
        digest,
        node: node.into(),
        request: name.into(),
    }
}

fn entry(offset: Offset, claims: Vec<KeyClaim>, outcomes: Vec<KeyOutcome>) -> LogEntry {
    let batch = BatchRecord {
        claims,
        outcomes,
        ..BatchRecord::default()
    };
    LogEntry {
        offset,
        record: LogRecord::Batch(batch),
    }
}

fn started_table(settings: KeySettings, now: Instant) -> KeyTable {
    let mut table = KeyTable::new("n1".into(), settings);
    table.start(0, 0, now);
    table
}

fn outcomes(actions: &[KeyAction]) -> Vec<KeyOutcome> {
    let outcomes = actions.iter().filter_map(|action| match action {
        KeyAction::AppendOutcome(outcome) => Some(outcome.clone()),
        _ => None,
    });
    outcomes.collect()
}

fn refusal(actions: &[KeyAction]) -> Option<(KeyRefusal, RunVerdict)> {
    actions.iter().find_map(|action| match action {
        KeyAction::Refuse { refusal, verdict, .. } => Some((*refusal, *verdict)),
        _ => None,
    })
}

fn dispatch_count(actions: &[KeyAction]) -> usize {
    let matching = actions
        .iter()
        .filter(|action| matches!(action, KeyAction::Dispatch { .. }));
    matching.count()
}

#[test]
fn first_claim_in_log_order_dispatches_and_others_get_its_answer() {
    let now = clock::now();
    let (mut first, mut second) = (
        started_table(KeySettings::default(), now),
        KeyTable::new("n2".into(), KeySettings::default()),
    );
    second.start(0, 0, now);
    first.request(&request("r1", 1, now), now);
    second.request(&request("r2", 1, now), now);
    let log = [
        entry(0, vec![claim("n2", "r2", 1)], vec![]),
        entry(1, vec![claim("n1", "r1", 1)], vec![]),
    ];
    assert_eq!(dispatch_count(&first.replay(&log, now)), 0);
    assert_eq!(dispatch_count(&second.replay(&log, now)), 1);
    assert_eq!(
        dispatch_count(&second.replay(&log, now)),
        0,
        "a second replay dispatches nothing"
    );

    let answer = StoredAnswer {
        status: 201,
        content_type: "text/plain".into(),
        body: "forty boxes".into(),
    };
    let outcome = outcomes(&second.finish(&"r2".into(), RunVerdict::Ran, Some(answer.clone())));
    let actions = first.replay(&[entry(2, vec![], outcome)], now);
    let expected = KeyAction::Answer {
        request: "r1".into(),
        verdict: RunVerdict::Ran,
        answer: Some(answer),
    };
    assert_eq!(actions, vec![expected]);
}

#[test]
fn different_request_with_the_same_key_is_refused_with_the_verdict_on_the_key() {
    let now = clock::now();
    let mut table = started_table(KeySettings::default(), now);
    table.replay(&[entry(0, vec![claim("n2", "r2", 1)], vec![])], now);
    let actions = table.request(&request("r1", 2, now), now);
    assert_eq!(refusal(&actions), Some((KeyRefusal::Conflict, RunVerdict::MayHaveRun)));
}

#[test]
fn released_key_can_be_claimed_again_and_a_closed_one_cannot() {
    for is_released in [true, false] {
        let now = clock::now();
        let mut table = started_table(KeySettings::default(), now);
        table.request(&request("r1", 1, now), now);
        let outcome = KeyOutcome {
            tenant: "kitchen".into(),
            key: "order-1".into(),
            request: "r2".into(),
            verdict: RunVerdict::NotRun,
            is_released,
            answer: None,
        };
        table.replay(&[entry(0, vec![claim("n2", "r2", 1)], vec![])], now);
        table.replay(&[entry(1, vec![], vec![outcome])], now);
        let actions = table.replay(&[entry(2, vec![claim("n1", "r1", 1)], vec![])], now);
        assert_eq!(dispatch_count(&actions), usize::from(is_released));
    }
}

#[test]
fn waiting_request_is_refused_when_the_owner_records_no_outcome() {
    let now = clock::now();
    let mut table = started_table(KeySettings::default(), now);
    table.replay(&[entry(0, vec![claim("n2", "r2", 1)], vec![])], now);
    table.request(&request("r1", 1, now), now);
    let actions = table.tick(now + DEADLINE);
    assert_eq!(refusal(&actions), Some((KeyRefusal::Undecided, RunVerdict::MayHaveRun)));
}

#[test]
fn claim_read_after_the_deadline_is_released_and_not_dispatched() {
    let now = clock::now();
    let mut table = started_table(KeySettings::default(), now);
    table.request(&request("r1", 1, now), now);
    table.tick(now + DEADLINE);
    let actions = table.replay(&[entry(0, vec![claim("n1", "r1", 1)], vec![])], now + DEADLINE);
    assert_eq!(dispatch_count(&actions), 0);
    assert!(outcomes(&actions).iter().all(|outcome| outcome.is_released));
    assert_eq!(outcomes(&actions).len(), 1);
}

#[test]
fn keys_are_refused_until_the_window_is_covered_again() {
    let settings = KeySettings::default();
    let now = clock::now();
    let mut partial = KeyTable::new("n1".into(), settings);
    assert_eq!(
        refusal(&partial.request(&request("r0", 1, now), now)).unwrap().0,
        KeyRefusal::Incomplete
    );
    partial.start(9, 2, now);
    assert_eq!(
        refusal(&partial.request(&request("r1", 1, now), now)).unwrap().0,
        KeyRefusal::Incomplete
    );
    let later = now + settings.window;
    assert!(refusal(&partial.request(&request("r2", 1, later), later)).is_none());

    let mut gapped = started_table(settings, now);
    gapped.request(&request("r3", 1, now), now);
    let actions = gapped.record_gap(7, now);
    assert_eq!(
        refusal(&actions),
        Some((KeyRefusal::Incomplete, RunVerdict::MayHaveRun))
    );
    let actions = gapped.replay(&[entry(7, vec![claim("n1", "r3", 1)], vec![])], now);
    assert_eq!(
        dispatch_count(&actions),
        0,
        "the first claim may be among the lost records"
    );
}

#[test]
fn unavailable_log_causes_refusal_at_once_without_the_verdict_not_run() {
    let now = clock::now();
    let mut table = started_table(KeySettings::default(), now);
    table.set_log_unavailable(true);
    let actions = table.request(&request("r1", 1, now), now);
    assert_eq!(
        refusal(&actions),
        Some((KeyRefusal::LogUnavailable, RunVerdict::MayHaveRun))
    );
}

#[test]
fn full_table_refuses_a_claim_that_it_cannot_record() {
    let settings = KeySettings {
        max_entries: 1,
        ..KeySettings::default()
    };
    let now = clock::now();
    let mut table = started_table(settings, now);
    table.request(&request("r1", 1, now), now);
    let other = KeyClaim {
        key: "order-2".into(),
        ..claim("n2", "r2", 1)
    };
    let actions = table.replay(&[entry(0, vec![other, claim("n1", "r1", 1)], vec![])], now);
    assert_eq!(
        refusal(&actions),
        Some((KeyRefusal::TooManyKeys, RunVerdict::MayHaveRun))
    );
    assert_eq!(dispatch_count(&actions), 0);
    assert_eq!(table.len(), 1);
}

#[test]
fn batcher_returns_ten_batches_per_second_and_bounds_its_queue() {
    let settings = BatcherSettings {
        max_queued_claims: 40,
        max_batch_entries: 2,
        ..BatcherSettings::default()
    };
    let start = clock::now();
    let mut batcher = ClaimBatcher::new("d1".into(), settings);
    for index in 0..40 {
        batcher.push_claim(claim("n1", &format!("r{index}"), 1)).unwrap();
    }
    batcher.push_claim(claim("n1", "r40", 1)).unwrap_err();
    let appends = (0..1_000).filter_map(|ms| batcher.next_batch(start + Duration::from_millis(ms)));
    assert_eq!(appends.count(), 10);
}
