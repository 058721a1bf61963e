//! Compares the list of log events with the code and with `docs/EVENTS.md`.

use mustardgate::events::ALL;

#[test]
fn events_page_lists_exactly_the_events_of_the_code() {
    let page = include_str!("../../../docs/EVENTS.md");
    let table_lines: Vec<&str> = page
        .lines()
        .filter(|line| line.starts_with("| ") && !line.starts_with("| N"))
        .collect();
    let rows: Vec<&str> = table_lines
        .into_iter()
        .filter(|line| !line.starts_with("| ---"))
        .collect();
    assert_eq!(
        rows.len(),
        ALL.len(),
        "docs/EVENTS.md has another number of rows than the code has events"
    );
    for (row, event) in rows.iter().zip(ALL) {
        let expected = format!("| {} | {:?} | {} |", event.number, event.level, event.message);
        assert!(row.starts_with(&expected), "{row} does not start with {expected}");
    }
}

#[test]
fn numbers_increase_and_every_event_is_listed() {
    assert!(ALL.windows(2).all(|pair| pair[0].number < pair[1].number));
    let source = include_str!("../src/events/mod.rs");
    let declared = source
        .lines()
        .filter(|line| line.contains(": EventKind = event("))
        .count();
    assert_eq!(declared, ALL.len(), "an event is missing in ALL");
}
