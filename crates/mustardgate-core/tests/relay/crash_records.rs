//! Records of crashes in the log: what outlasts all nodes, for how long, and when a record is due.

use std::time::{Duration, Instant};

use mustardgate_core::{
    ids::RunnerProcess,
    relay::{CrashLedger, CrashRecord, CrashSettings, InputId, RecordNeed, RecordedCrashes},
};

const BAD: InputId = InputId::Part(7);
const SHARED: InputId = InputId::Part(1);
const SETTINGS: fn() -> CrashSettings = CrashSettings::default;
/// Time of day at which records are written, in Unix milliseconds.
const WRITTEN_AT_MS: u64 = 1_700_000_000_000;

fn process(number: u64) -> RunnerProcess {
    (format!("engine-{number}").as_str().into(), 1)
}

/// Returns a ledger under whose inputs some processes crashed a while before `now`.
fn ledger_with_crashes(now: Instant, count: u64) -> CrashLedger {
    let mut ledger = CrashLedger::new(SETTINGS());
    let at = now.checked_sub(SETTINGS().dispute_time).unwrap_or(now);
    for number in 0..count {
        ledger.record_crash(at, &process(number), [SHARED, BAD]);
    }
    ledger.update(now);
    ledger
}

/// Returns the ledger of a process that starts some time after a record was written, and reads it.
fn read_after(now: Instant, ledger: &CrashLedger, elapsed: Duration) -> CrashLedger {
    let record = CrashRecord {
        written_at_ms: WRITTEN_AT_MS,
        digest: ledger.lasting_digest(now),
    };
    let mut reader = CrashLedger::new(SETTINGS());
    let digest = record.digest_at(WRITTEN_AT_MS + elapsed.as_millis() as u64);
    reader.merge(now + elapsed, &digest);
    reader.update(now + elapsed);
    reader
}

#[test]
fn a_quarantine_outlasts_the_nodes_that_knew_of_it() {
    let now = Instant::now();
    let ledger = ledger_with_crashes(now, 3);
    let elapsed = Duration::from_secs(40);
    assert!(read_after(now, &ledger, elapsed).refuses(now + elapsed, [SHARED, BAD]));
}

#[test]
fn a_recorded_quarantine_has_an_end() {
    let now = Instant::now();
    let ledger = ledger_with_crashes(now, 3);
    let elapsed = SETTINGS().max_quarantine_time;
    assert!(!read_after(now, &ledger, elapsed).refuses(now + elapsed, [SHARED, BAD]));
    // The longest time binds though the input comes again and again.
    let mut reader = read_after(now, &ledger, elapsed / 2);
    let mut at = now + elapsed / 2;
    while at < now + elapsed {
        assert!(reader.refuses(at, [SHARED, BAD]));
        at += SETTINGS().quarantine_time / 2;
    }
    assert!(!reader.refuses(now + elapsed, [SHARED, BAD]));
}

#[test]
fn crashes_before_and_after_the_end_of_all_nodes_add_up() {
    let now = Instant::now();
    let elapsed = Duration::from_secs(5);
    let mut reader = read_after(now, &ledger_with_crashes(now, 2), elapsed);
    assert!(!reader.refuses(now + elapsed, [SHARED, BAD]));
    reader.record_crash(now + elapsed, &process(9), [BAD]);
    assert_eq!(reader.update(now + elapsed), [(BAD, 3)]);
}

#[test]
fn recorded_crashes_are_forgotten_like_others() {
    let now = Instant::now();
    let elapsed = SETTINGS().crash_memory;
    let reader = read_after(now, &ledger_with_crashes(now, 2), elapsed);
    assert!(reader.is_empty());
}

#[test]
fn a_time_of_day_that_went_back_makes_nothing_younger_than_it_was() {
    let now = Instant::now();
    let record = CrashRecord {
        written_at_ms: WRITTEN_AT_MS,
        digest: ledger_with_crashes(now, 3).lasting_digest(now),
    };
    let digest = record.clone().digest_at(WRITTEN_AT_MS - 1_000_000);
    assert_eq!(digest, record.digest);
}

#[test]
fn a_record_holds_no_input_that_was_answered_well_since() {
    let now = Instant::now();
    let mut ledger = ledger_with_crashes(now, 2);
    ledger.record_sound(now, [SHARED]);
    let digest = ledger.lasting_digest(now);
    assert!(digest.crashes.iter().all(|crash| crash.input == BAD), "{digest:?}");
    assert_eq!(digest.crashes.len(), 2);
}

#[test]
fn a_record_is_due_when_it_lacks_a_crash_or_holds_an_ended_quarantine() {
    let now = Instant::now();
    let memory = SETTINGS().crash_memory;
    let mut ledger = ledger_with_crashes(now, 3);
    let known = ledger.lasting_digest(now);
    assert_eq!(
        RecordedCrashes::default().need(now, &known, memory),
        RecordNeed::Addition
    );
    let mut recorded = RecordedCrashes::of(now, &known);
    assert_eq!(recorded.need(now, &known, memory), RecordNeed::None);
    // Crashes that are only old are removed by every reader.
    let later = now + memory;
    ledger.update(later);
    assert_eq!(
        recorded.need(later, &ledger.lasting_digest(later), memory),
        RecordNeed::None
    );
    ledger.record_sound(later, [SHARED, BAD]);
    assert_eq!(
        recorded.need(later, &ledger.lasting_digest(later), memory),
        RecordNeed::Removal
    );
}

#[test]
fn a_wave_of_crashes_leaves_a_record_of_bounded_size_with_the_suspects_in_it() {
    let now = Instant::now();
    let mut ledger = ledger_with_crashes(now, 2);
    for number in 0..3_000 {
        ledger.record_crash(now, &process(100), [InputId::Part(1_000 + number)]);
    }
    let digest = ledger.lasting_digest(now);
    assert!(digest.crashes.len() <= 128, "{}", digest.crashes.len());
    let suspects = digest.crashes.iter().filter(|crash| crash.input == BAD);
    assert_eq!(suspects.count(), 2);
}
