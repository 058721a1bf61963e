//! Streams whose answers are cut at any byte and go on with whatever the next runner sends.

use mustardgate_core::relay::{
    EndVerdict, EventNumbering, EventSplitter, EventVerdict, NumberingBook, NumberingEvidence, SoftwareVersion,
    StreamProgress,
};
use proptest::prelude::*;

/// Events of the whole stream.
const LENGTH: u64 = 9;

fn event(number: u64) -> String {
    format!("id: {number}\ndata: word {number}\n\n")
}

fn events(numbers: impl IntoIterator<Item = u64>) -> String {
    numbers.into_iter().map(event).collect()
}

/// What is known of a service of which no stream was seen.
fn unknown() -> NumberingEvidence {
    NumberingEvidence::default()
}

/// What is known of a service whose streams had these steps between their identifiers.
fn steps(steps: &[u64]) -> NumberingEvidence {
    let mut evidence = NumberingEvidence::default();
    for step in steps {
        evidence.record_step(*step);
    }
    evidence
}

/// What is known of a service that numbers its events one by one.
fn consecutive() -> NumberingEvidence {
    steps(&[1, 1])
}

/// Returns whether a body cut here ends within an event.
fn is_within_event(body: &str) -> bool {
    !body.is_empty() && !body.ends_with("\n\n")
}

/// Passes the body of an answer on as a node does; returns what the caller gets, and how the answer ended.
fn pass(progress: &mut StreamProgress, body: &[u8], is_framed: bool) -> (String, EndVerdict) {
    let mut splitter = EventSplitter::default();
    splitter.push(body);
    let mut passed = String::new();
    while let Some(event) = splitter.next_event() {
        match progress.accept(&event) {
            EventVerdict::PassOn => passed.push_str(&String::from_utf8_lossy(&event.bytes)),
            EventVerdict::Skip => {}
            EventVerdict::Foreign => return (passed, EndVerdict::Broken("foreign_event")),
        }
    }
    let end = progress.end(!splitter.remainder().is_empty(), is_framed);
    (passed, end)
}

/// What the next runner may send instead of the rest.
fn wrong_rest() -> impl Strategy<Value = String> {
    prop_oneof![
        Just(String::new()),
        "[ -~]{0,60}",
        "[ -~]{0,30}\n\n[ -~]{0,30}\n\n",
        Just("HTTP/1.1 500 Failed\r\nContent-Length: 4\r\n\r\noops".to_owned()),
        Just("event: error\ndata: no memory\n\n".to_owned()),
        (1..=LENGTH, 1..=LENGTH).prop_map(|(from, to)| events(from..=to)),
    ]
}

proptest! {
    // The caller's stream is a prefix of whole events, and complete only if it is the whole stream, as far as the process can
    // know that: it knows how the service numbers its events, and whether a runner had begun to write more.
    #[test]
    fn a_cut_stream_and_what_follows_it_are_a_prefix_of_the_stream(
        cut in 0usize..200,
        rest in wrong_rest(),
        is_framed: bool,
    ) {
        let whole = events(1..=LENGTH);
        let begin = &whole[..cut.min(whole.len())];
        let mut progress = StreamProgress::new(None, consecutive());
        let (mut received, _broken) = pass(&mut progress, begin.as_bytes(), is_framed);
        prop_assert!(whole.starts_with(&received));
        if received.is_empty() {
            // Nothing binds what follows: the stream may begin anywhere.
            return Ok(());
        }
        progress.begin_answer(consecutive(), is_within_event(begin));
        let (passed, end) = pass(&mut progress, rest.as_bytes(), is_framed);
        received.push_str(&passed);
        prop_assert!(whole.starts_with(&received), "{received:?}");
        if end == EndVerdict::Complete {
            // Only the runner knows where its stream ends, so a shorter run that went on properly counts as whole, and so does
            // one that says that nothing is left, unless more was seen of it.
            let next = received.len() - passed.len();
            let is_rest = !passed.is_empty() && whole[next..].starts_with(&passed);
            let is_end = passed.is_empty() && is_framed && !is_within_event(begin);
            prop_assert!(is_rest || is_end, "{rest:?}");
        }
    }

    #[test]
    fn the_rest_of_a_stream_completes_it_wherever_it_was_cut(cut in 1usize..140) {
        let whole = events(1..=LENGTH);
        let begin = &whole[..cut.min(whole.len())];
        let mut progress = StreamProgress::new(None, unknown());
        let (mut received, _broken) = pass(&mut progress, begin.as_bytes(), true);
        let last = progress.last().map_or(0, |last| last.parse().expect("a number"));
        progress.begin_answer(unknown(), is_within_event(begin));
        let (passed, end) = pass(&mut progress, events(last + 1..=LENGTH).as_bytes(), true);
        received.push_str(&passed);
        prop_assert_eq!(received, whole);
        prop_assert_eq!(end, EndVerdict::Complete);
    }
}

#[test]
fn an_answer_that_ends_inside_an_event_was_broken_off_whatever_its_framing_says() {
    let whole = events(1..=LENGTH);
    for cut in 1..whole.len() {
        let (received, end) = pass(
            &mut StreamProgress::new(None, unknown()),
            &whole.as_bytes()[..cut],
            true,
        );
        let is_between = whole[..cut].ends_with("\n\n");
        assert_eq!(end == EndVerdict::Complete, is_between, "after {cut} bytes");
        assert!(whole.starts_with(&received));
    }
}

// Guards against LOST breaks by refusing what a sound runner answers when no event is left, and against ORDER breaks by taking
// anything else for that.
#[test]
fn an_answer_without_events_ends_a_stream_if_its_end_is_known_and_no_runner_had_begun_to_write_more() {
    for is_framed in [true, false] {
        let expected = if is_framed {
            EndVerdict::Complete
        } else {
            EndVerdict::Broken("no_event")
        };
        let mut fresh = StreamProgress::new(None, unknown());
        assert_eq!(pass(&mut fresh, b"", is_framed).1, expected, "first answer");
        let mut taken_up = StreamProgress::new(Some("4".into()), unknown());
        assert_eq!(pass(&mut taken_up, b"", is_framed).1, expected, "taken up");
        for has_more in [true, false] {
            let mut continued = StreamProgress::new(None, unknown());
            pass(&mut continued, events(1..=3).as_bytes(), true);
            continued.begin_answer(unknown(), has_more);
            let expected = if has_more {
                EndVerdict::Broken("no_event")
            } else {
                expected
            };
            assert_eq!(pass(&mut continued, b"", is_framed).1, expected, "{has_more}");
        }
    }
}

#[test]
fn an_event_that_broke_off_in_one_answer_is_still_due_until_another_brings_it() {
    let mut progress = StreamProgress::new(None, unknown());
    pass(&mut progress, events(1..=3).as_bytes(), true);
    progress.begin_answer(unknown(), true);
    progress.begin_answer(unknown(), false);
    assert_eq!(pass(&mut progress, b"", true).1, EndVerdict::Broken("no_event"));
    progress.begin_answer(unknown(), false);
    pass(&mut progress, events([4]).as_bytes(), true);
    progress.begin_answer(unknown(), false);
    assert_eq!(pass(&mut progress, b"", true).1, EndVerdict::Complete);
}

#[test]
fn a_stream_of_events_without_numbers_is_complete_at_the_close_of_its_connection() {
    let body = b"data: one\n\ndata: two\n\n";
    let mut fresh = StreamProgress::new(None, unknown());
    let (received, end) = pass(&mut fresh, body, false);
    assert_eq!((received.as_bytes(), end), (body.as_slice(), EndVerdict::Complete));
}

// Guards against LOST breaks by a process that has seen no stream of a service, as after its start, and refuses the rest of
// streams whose events are not numbered one by one.
#[test]
fn streams_whose_identifiers_rise_by_more_than_one_go_on_unless_the_service_numbers_one_by_one() {
    for known in [unknown(), steps(&[1]), steps(&[10]), steps(&[1, 1, 1, 4])] {
        let mut taken_up = StreamProgress::new(Some("20".into()), known);
        let outcome = pass(&mut taken_up, events([30, 40]).as_bytes(), true);
        assert_eq!(outcome, (events([30, 40]), EndVerdict::Complete), "{known:?}");
        let mut again = StreamProgress::new(Some("20".into()), known);
        assert_eq!(
            pass(&mut again, events([10, 20]).as_bytes(), true).1,
            EndVerdict::Broken("foreign_event")
        );
    }
    let mut fresh = StreamProgress::new(None, unknown());
    pass(&mut fresh, events([10, 20]).as_bytes(), true);
    assert!(fresh.has_new_gap());
    fresh.begin_answer(unknown(), false);
    assert_eq!(
        pass(&mut fresh, events([30, 40]).as_bytes(), true).1,
        EndVerdict::Complete
    );
}

// Guards against ORDER breaks by a runner that leaves out a piece, wherever the process can know that it did.
#[test]
fn a_rest_with_a_missing_event_is_refused_where_events_are_known_to_be_numbered_one_by_one() {
    for rest in [vec![5, 6], vec![4, 6]] {
        let refused = EndVerdict::Broken("foreign_event");
        let mut taken_up = StreamProgress::new(Some("3".into()), consecutive());
        assert_eq!(pass(&mut taken_up, events(rest.clone()).as_bytes(), true).1, refused);
        let mut continued = StreamProgress::new(None, unknown());
        pass(&mut continued, events(1..=3).as_bytes(), true);
        continued.begin_answer(unknown(), false);
        assert_eq!(pass(&mut continued, events(rest).as_bytes(), true).1, refused);
    }
}

#[test]
fn a_gap_that_two_runners_leave_at_the_same_place_belongs_to_the_stream() {
    let mut progress = StreamProgress::new(Some("3".into()), consecutive());
    pass(&mut progress, events([6, 7]).as_bytes(), true);
    progress.begin_answer(consecutive(), false);
    assert_eq!(
        pass(&mut progress, events([6, 7]).as_bytes(), true),
        (events([6, 7]), EndVerdict::Complete)
    );
    assert_eq!(progress.take_evidence().numbering(), EventNumbering::Gapped);
    // At different places, each may be a missing event.
    let mut other = StreamProgress::new(Some("3".into()), consecutive());
    pass(&mut other, events([6]).as_bytes(), true);
    other.begin_answer(consecutive(), false);
    let outcome = pass(&mut other, events([4, 6]).as_bytes(), true);
    assert_eq!(outcome, (events([4]), EndVerdict::Broken("foreign_event")));
}

// Guards against a rest that teaches what it was accepted for.
#[test]
fn only_steps_within_one_answer_say_how_events_are_numbered() {
    let mut progress = StreamProgress::new(Some("3".into()), unknown());
    pass(&mut progress, events([8]).as_bytes(), true);
    assert_eq!(progress.take_evidence(), unknown());
    let mut dense = StreamProgress::new(None, unknown());
    pass(&mut dense, events(1..=3).as_bytes(), true);
    assert_eq!(dense.numbering(), EventNumbering::Consecutive);
    assert_eq!(dense.take_evidence(), consecutive());
    assert_eq!(dense.take_evidence(), unknown());
    assert_eq!(dense.numbering(), EventNumbering::Consecutive);
}

#[test]
fn evidence_holds_for_one_version_and_is_bounded() {
    let tag = |service: &str, version: &str| SoftwareVersion::Stated(version.into()).tag(&service.into());
    let mut book = NumberingBook::default();
    book.record(tag("assist", "v1"), consecutive());
    assert_eq!(book.evidence(tag("assist", "v1")), consecutive());
    assert_eq!(book.evidence(tag("assist", "v2")), unknown());
    assert_eq!(book.evidence(tag("other", "v1")), unknown());
    book.record(tag("assist", "v1"), steps(&[3]));
    assert_eq!(book.evidence(tag("assist", "v1")).numbering(), EventNumbering::Gapped);
    let services: Vec<String> = (0..3_000).map(|number| format!("service-{number}")).collect();
    for service in &services {
        book.record(tag(service, "v1"), consecutive());
    }
    let remembered = services
        .iter()
        .filter(|service| book.evidence(tag(service, "v1")) == consecutive());
    assert!((1..2_000).contains(&remembered.count()));
}

#[test]
fn comments_before_the_rest_of_a_stream_are_neither_events_nor_passed_on() {
    let mut taken_up = StreamProgress::new(Some("4".into()), unknown());
    let body = format!(": waiting\n\n{}", events([5]));
    assert_eq!(
        pass(&mut taken_up, body.as_bytes(), true),
        (events([5]), EndVerdict::Complete)
    );
    let mut alone = StreamProgress::new(Some("4".into()), unknown());
    let outcome = pass(&mut alone, b": waiting\n\n\n\n", true);
    assert_eq!(outcome, (String::new(), EndVerdict::Complete));
    let mut unframed = StreamProgress::new(Some("4".into()), unknown());
    let outcome = pass(&mut unframed, b": waiting\n\n", false);
    assert_eq!(outcome, (String::new(), EndVerdict::Broken("no_event")));
}
