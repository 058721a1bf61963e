//! Event streams that arrive in pieces cut at any byte.

use mustardgate_core::relay::EventSplitter;
use proptest::prelude::*;

proptest! {
    #[test]
    fn events_come_whole_however_the_bytes_are_cut(cuts in proptest::collection::vec(1usize..9, 0..40), crlf: bool) {
        let end = if crlf { "\r\n" } else { "\n" };
        let events: Vec<String> = (1..=6).map(|id| format!("id: {id}{end}data: word {id}{end}{end}")).collect();
        let stream = format!("{}id: 7{end}data: brok", events.concat());
        let mut rest = stream.as_bytes();
        let mut splitter = EventSplitter::default();
        let mut seen = Vec::new();
        for cut in cuts.into_iter().chain(std::iter::repeat(5)) {
            if rest.is_empty() {
                break;
            }
            let (piece, after) = rest.split_at(cut.min(rest.len()));
            rest = after;
            splitter.push(piece);
            while let Some(event) = splitter.next_event() {
                seen.push((String::from_utf8(event.bytes).unwrap(), event.id.unwrap()));
            }
        }
        let expected: Vec<(String, String)> =
            events.into_iter().zip(1..).map(|(event, id): (String, u32)| (event, id.to_string())).collect();
        prop_assert_eq!(seen, expected);
        let unfinished = format!("id: 7{end}data: brok");
        prop_assert_eq!(splitter.remainder(), unfinished.as_bytes());
    }
}
