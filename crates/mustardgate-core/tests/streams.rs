//! Tests of answer assembly and of the verdict on attempts.

use mustardgate_core::{
    streams::{AnswerAction, AnswerAssembler, AnswerEvent, AnswerFailure, AnswerPart, AttemptTracker},
    verdict::RunVerdict,
};

fn token(request: &str, attempt: u32, index: u32) -> AnswerEvent {
    AnswerEvent {
        request: request.into(),
        attempt,
        part: AnswerPart::Token {
            index,
            text: index.to_string(),
        },
    }
}

fn done(attempt: u32, tokens: u32) -> AnswerEvent {
    AnswerEvent {
        request: "r1".into(),
        attempt,
        part: AnswerPart::Done { tokens },
    }
}

fn forwarded(index: u32) -> AnswerAction {
    AnswerAction::Forward {
        index,
        text: index.to_string(),
    }
}

#[test]
fn answer_is_resumed_at_the_gap_and_late_tokens_are_dropped() {
    let mut assembler = AnswerAssembler::new("r1".into(), 1);
    assert_eq!(assembler.accept(token("r1", 1, 0)), None, "no attempt has begun");
    assert_eq!(assembler.begin_attempt(), 1);
    assert_eq!(assembler.accept(token("r1", 1, 0)), Some(forwarded(0)));
    assert_eq!(assembler.accept(token("r1", 1, 0)), None);
    assert_eq!(assembler.accept(token("r2", 1, 1)), None);
    assert_eq!(
        assembler.accept(token("r1", 1, 2)),
        Some(AnswerAction::Resume { from: 1 })
    );
    assert_eq!(assembler.accept(token("r1", 1, 1)), None);
    assert_eq!(assembler.begin_attempt(), 2);
    assert_eq!(assembler.accept(token("r1", 1, 1)), None);
    assert_eq!(assembler.accept(token("r1", 2, 1)), Some(forwarded(1)));
    assert_eq!(assembler.accept(done(2, 2)), Some(AnswerAction::Finish { tokens: 2 }));
    assert_eq!(assembler.accept(token("r1", 2, 2)), None);
    let counters = assembler.counters();
    assert_eq!(
        (counters.crossed, counters.late, counters.duplicates, counters.gaps),
        (1, 4, 1, 1)
    );
}

#[test]
fn short_or_miscounted_answers_are_never_finished() {
    let broken = Some(AnswerAction::Fail {
        failure: AnswerFailure::Broken,
    });
    let inconsistent = Some(AnswerAction::Fail {
        failure: AnswerFailure::Inconsistent,
    });
    for (tokens, expected) in [(2, broken.clone()), (0, inconsistent)] {
        let mut assembler = AnswerAssembler::new("r1".into(), 0);
        assembler.begin_attempt();
        assembler.accept(token("r1", 1, 0));
        assert_eq!(assembler.accept(done(1, tokens)), expected);
        assert!(assembler.is_ended());
    }
    let mut assembler = AnswerAssembler::new("r1".into(), 0);
    assembler.begin_attempt();
    assert_eq!(assembler.connection_closed(1), broken);
    assert_eq!(assembler.connection_closed(1), None);
}

#[test]
fn verdict_follows_what_may_have_been_sent() {
    let mut tracker = AttemptTracker::default();
    assert_eq!(tracker.verdict(), RunVerdict::NotRun);
    tracker.record_sending(1);
    assert_eq!(tracker.verdict(), RunVerdict::MayHaveRun);
    assert!(!tracker.permits_retry(false));
    tracker.record_declined(1);
    assert!(tracker.permits_retry(false));
    tracker.record_sending(1);
    assert!(
        !tracker.permits_retry(false),
        "bytes of a declined attempt may be sent again"
    );
    tracker.record_declined(1);
    tracker.record_sending(2);
    tracker.record_answered(2);
    tracker.record_declined(2);
    assert_eq!(tracker.attempt_verdict(1), RunVerdict::NotRun);
    assert_eq!(tracker.verdict(), RunVerdict::Ran);
}
