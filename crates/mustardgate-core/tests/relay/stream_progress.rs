//! Streams whose answers are cut at any byte and go on with whatever the next runner sends.

use mustardgate_core::relay::{EndVerdict, EventSplitter, EventVerdict, StreamProgress};
use proptest::prelude::*;

/// Events of the whole stream.
const LENGTH: u64 = 9;

fn event(number: u64) -> String {
    format!("id: {number}\ndata: word {number}\n\n")
}

fn events(numbers: impl IntoIterator<Item = u64>) -> String {
    numbers.into_iter().map(event).collect()
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
    // The caller's stream is a prefix of whole events, and complete only if it is the whole stream.
    #[test]
    fn a_cut_stream_and_what_follows_it_are_a_prefix_of_the_stream(
        cut in 0usize..200,
        rest in wrong_rest(),
        is_framed: bool,
    ) {
        let whole = events(1..=LENGTH);
        let mut progress = StreamProgress::new(None, false);
        let (mut received, _broken) = pass(&mut progress, &whole.as_bytes()[..cut.min(whole.len())], is_framed);
        prop_assert!(whole.starts_with(&received));
        if received.is_empty() {
            // Nothing binds what follows: the stream may begin anywhere.
            return Ok(());
        }
        progress.begin_answer();
        let (passed, end) = pass(&mut progress, rest.as_bytes(), is_framed);
        received.push_str(&passed);
        prop_assert!(whole.starts_with(&received), "{received:?}");
        if end == EndVerdict::Complete {
            // Only the runner knows where its stream ends, so a shorter run that went on properly counts as whole.
            let next = received.len() - passed.len();
            prop_assert!(!passed.is_empty() && whole[next..].starts_with(&passed), "{rest:?}");
        }
    }

    #[test]
    fn the_rest_of_a_stream_completes_it_wherever_it_was_cut(cut in 1usize..140) {
        let whole = events(1..=LENGTH);
        let mut progress = StreamProgress::new(None, false);
        let (mut received, _broken) = pass(&mut progress, &whole.as_bytes()[..cut.min(whole.len())], true);
        let last = progress.last().map_or(0, |last| last.parse().expect("a number"));
        progress.begin_answer();
        let (passed, end) = pass(&mut progress, events(last + 1..=LENGTH).as_bytes(), true);
        received.push_str(&passed);
        prop_assert_eq!(received, whole);
        prop_assert!(end == EndVerdict::Complete || last == LENGTH);
    }
}

#[test]
fn an_answer_that_ends_inside_an_event_was_broken_off_whatever_its_framing_says() {
    let whole = events(1..=LENGTH);
    for cut in 1..whole.len() {
        let (received, end) = pass(&mut StreamProgress::new(None, false), &whole.as_bytes()[..cut], true);
        let is_between = whole[..cut].ends_with("\n\n");
        assert_eq!(end == EndVerdict::Complete, is_between, "after {cut} bytes");
        assert!(whole.starts_with(&received));
    }
}

#[test]
fn an_answer_without_events_ends_a_stream_only_if_it_began_it_and_its_end_is_known() {
    assert_eq!(
        pass(&mut StreamProgress::new(None, false), b"", true).1,
        EndVerdict::Complete
    );
    assert_eq!(
        pass(&mut StreamProgress::new(None, false), b"", false).1,
        EndVerdict::Broken("no_event")
    );
    for is_framed in [true, false] {
        let mut taken_up = StreamProgress::new(Some("4".into()), false);
        assert_eq!(pass(&mut taken_up, b"", is_framed).1, EndVerdict::Broken("no_event"));
    }
}

#[test]
fn a_stream_of_events_without_numbers_is_complete_at_the_close_of_its_connection() {
    let body = b"data: one\n\ndata: two\n\n";
    let mut fresh = StreamProgress::new(None, false);
    let (received, end) = pass(&mut fresh, body, false);
    assert_eq!((received.as_bytes(), end), (body.as_slice(), EndVerdict::Complete));
}

// Guards against refusing sound streams of services whose events are not numbered one by one.
#[test]
fn streams_whose_identifiers_rise_by_more_than_one_go_on_once_that_is_known() {
    let mut strict = StreamProgress::new(Some("20".into()), false);
    assert_eq!(
        pass(&mut strict, events([30, 40]).as_bytes(), true).1,
        EndVerdict::Broken("foreign_event")
    );
    let mut fresh = StreamProgress::new(None, false);
    pass(&mut fresh, events([10, 20]).as_bytes(), true);
    assert!(fresh.has_gaps());
    fresh.begin_answer();
    assert_eq!(
        pass(&mut fresh, events([30, 40]).as_bytes(), true).1,
        EndVerdict::Complete
    );
    let mut known = StreamProgress::new(Some("20".into()), true);
    assert_eq!(
        pass(&mut known, events([30, 40]).as_bytes(), true).1,
        EndVerdict::Complete
    );
    let mut again = StreamProgress::new(Some("20".into()), true);
    assert_eq!(
        pass(&mut again, events([10, 20]).as_bytes(), true).1,
        EndVerdict::Broken("foreign_event")
    );
}

#[test]
fn comments_before_the_rest_of_a_stream_are_neither_events_nor_passed_on() {
    let mut taken_up = StreamProgress::new(Some("4".into()), false);
    let body = format!(": waiting\n\n{}", events([5]));
    assert_eq!(
        pass(&mut taken_up, body.as_bytes(), true),
        (events([5]), EndVerdict::Complete)
    );
    let mut alone = StreamProgress::new(Some("4".into()), false);
    let outcome = pass(&mut alone, b": waiting\n\n\n\n", true);
    assert_eq!(outcome, (String::new(), EndVerdict::Broken("no_event")));
}
