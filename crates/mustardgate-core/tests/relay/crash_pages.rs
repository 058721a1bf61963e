//! Parts of limited size of what nodes tell each other of crashes, and the pace of reports between regular ones.

use std::time::{Duration, Instant};

use mustardgate_core::{
    ids::RunnerProcess,
    relay::{
        CrashDigest, CrashLedger, CrashReportCursor, CrashSettings, FeedAllowance, FeedLimits, InputId, PageRequest,
        ReportPace,
    },
};
use proptest::{collection::vec, prelude::*, test_runner::RngSeed};

const PARTS: u64 = 12;
const MAX_ENTRIES: usize = 5;

fn ledger(first: u64) -> CrashLedger {
    CrashLedger::new(CrashSettings::default()).with_changes_from(first)
}

fn process(number: u64) -> RunnerProcess {
    (format!("engine-{number}").into(), 1)
}

fn inputs() -> impl Iterator<Item = InputId> {
    (0..PARTS).map(InputId::Part)
}

fn counts(ledger: &CrashLedger) -> Vec<usize> {
    inputs().map(|input| ledger.crash_count([input])).collect()
}

fn entries(digest: &CrashDigest) -> usize {
    digest.crashes.len() + digest.sound.len() + digest.quarantined.len()
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(74), ..ProptestConfig::default() })]

    // Guards against BUDGET: what does not fit into one answer of a new leader comes with the next ones.
    #[test]
    fn small_pages_tell_a_node_what_it_lacks(
        crashes in vec((0..PARTS, 0_u64..20), 0..80),
        known in vec((0..PARTS, 0_u64..20), 0..40),
    ) {
        let now = Instant::now();
        let (mut leader, mut node) = (ledger(1_000), ledger(5_000));
        for (part, runner) in known {
            node.record_crash(now, &process(runner), [InputId::Part(part)]);
        }
        leader.merge(now, &node.report(now, &CrashReportCursor::default(), usize::MAX).0);
        for (part, runner) in crashes {
            leader.record_crash(now, &process(runner), [InputId::Part(part)]);
        }
        let (mut seen, mut is_complete) = (0, false);
        for _ in 0..=PARTS {
            let summary = (!is_complete).then(|| node.suspect_summary(now));
            let request = PageRequest { seen, known: summary.as_ref(),
                own: None, max_entries: MAX_ENTRIES };
            let page = leader.suspect_page(now, request);
            let largest = inputs().map(|input| leader.crash_count([input])).max().unwrap_or_default();
            prop_assert!(entries(&page.digest) <= MAX_ENTRIES.max(largest));
            node.merge(now, &page.digest);
            (seen, is_complete) = (page.last, page.is_complete);
        }
        prop_assert!(is_complete);
        for input in inputs().filter(|input| leader.crash_count([*input]) > 1) {
            prop_assert_eq!(node.crash_count([input]), leader.crash_count([input]));
        }
    }

    // Guards against BUDGET: nodes without a leader that exchange summaries end up knowing the same.
    #[test]
    fn answers_to_summaries_bring_two_nodes_together(
        first in vec((0..PARTS, 0_u64..20), 0..60),
        second in vec((0..PARTS, 0_u64..20), 0..60),
    ) {
        let now = Instant::now();
        let mut nodes = [ledger(1_000), ledger(5_000)];
        for (node, crashes) in nodes.iter_mut().zip([first, second]) {
            for (part, runner) in crashes {
                node.record_crash(now, &process(runner), [InputId::Part(part)]);
            }
        }
        for _ in 0..PARTS {
            for (asking, asked) in [(0, 1), (1, 0)] {
                let missing = nodes[asked].missing_page(now, &nodes[asking].summary(now), MAX_ENTRIES);
                nodes[asking].merge(now, &missing);
            }
        }
        prop_assert_eq!(counts(&nodes[0]), counts(&nodes[1]));
        prop_assert_eq!(nodes[0].summary(now), nodes[1].summary(now));
        prop_assert_eq!(nodes[0].missing_page(now, &nodes[1].summary(now), MAX_ENTRIES), CrashDigest::default());
    }
}

#[test]
fn a_page_without_room_leaves_everything_for_the_next() {
    let now = Instant::now();
    let mut leader = ledger(1_000);
    for runner in 0..2 {
        leader.record_crash(now, &process(runner), [InputId::Part(1)]);
    }
    let page = leader.suspect_page(now, PageRequest::default());
    assert_eq!(
        (page.digest, page.last, page.is_complete),
        (CrashDigest::default(), 1_000, false)
    );
}

// Guards against CONFIG breaks by a leader whose link is full of soundness that every node repeats.
#[test]
fn what_was_answered_well_is_not_repeated_in_each_report() {
    let start = Instant::now();
    let mut node = ledger(1_000);
    for runner in 0..2 {
        node.record_crash(start, &process(runner), [InputId::Part(1)]);
    }
    node.record_sound(start, [InputId::Part(1)]);
    let (told, mut cursor) = node.report(start, &CrashReportCursor::default(), usize::MAX);
    assert_eq!(told.sound.len(), 1);
    let mut repeated = 0;
    for step in 1..=10 {
        let now = start + Duration::from_millis(700) * step;
        node.record_sound(now, [InputId::Part(1)]);
        let (told, next) = node.report(now, &cursor, usize::MAX);
        (repeated, cursor) = (repeated + told.sound.len(), next);
    }
    assert!((1..=3).contains(&repeated), "told again {repeated} times in 7 s");
}

#[test]
fn reports_of_crashes_are_paced_by_the_number_of_nodes() {
    let start = Instant::now();
    let mut pace = ReportPace::default();
    let delay = |pace: &ReportPace, nodes, is_led| pace.crash_delay(start, nodes, is_led).as_millis();
    assert_eq!(delay(&pace, 60, true), 20);
    pace.record_report(start);
    assert_eq!(delay(&pace, 2, true), 20);
    assert_eq!(delay(&pace, 60, true), 300);
    assert_eq!(delay(&pace, 100_000, true), 700);
    assert_eq!(delay(&pace, 60, false), 250);
}

#[test]
fn what_is_sent_in_any_case_leaves_less_room() {
    let start = Instant::now();
    let limits = FeedLimits {
        bytes_per_s: 1_000.0,
        burst_bytes: 500.0,
        max_delay: Duration::ZERO,
    };
    let mut allowance = FeedAllowance::new(limits);
    assert_eq!(allowance.room(start), 500);
    allowance.spend(start, 700);
    assert_eq!(allowance.room(start), 0);
    assert_eq!(allowance.room(start + Duration::from_millis(300)), 100);
    allowance.spend(start, 1_000_000);
    assert_eq!(allowance.room(start + Duration::from_millis(1_800)), 500);
}
