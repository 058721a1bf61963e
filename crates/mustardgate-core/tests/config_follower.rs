//! Tests where a follower reads records from, in normal operation and under faults, and when it writes snapshots.

mod config_support;

use std::time::{Duration, Instant};

use mustardgate_core::{
    config::{
        ConfigReplica, FEED_TIMEOUT_MS, FEEDERS_PER_DOMAIN, FeedFrame, FollowAction, FollowerState, LoadState,
        NotLoadedReason, ReplicaError, SnapshotPolicy, SnapshotSchedule, StateDigest, choose_feeders,
    },
    ids::{NodeId, Offset},
    log::{BatchRecord, LogRecord},
    ports::{LogEntry, LogPage, ReadError},
};
use proptest::prelude::{prop_assert, prop_assert_eq, proptest};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use smol_str::format_smolstr;

use crate::config_support::{change, entry, loaded_replica, span};

/// Log in memory.
struct FakeLog {
    earliest: Offset,
    entries: Vec<LogEntry>,
    is_down: bool,
}

impl FakeLog {
    /// Creates a log of `count` records, with a snapshot at each of the given offsets and a change at every other
    /// hundredth offset.
    fn new(count: Offset, snapshots: &[Offset]) -> Self {
        let mut replica = loaded_replica(&[]);
        let mut entries = Vec::new();
        for offset in 0..count {
            let record = if snapshots.contains(&offset) {
                LogRecord::Snapshot(Box::new(replica.to_snapshot("node-9".into()).expect("loaded")))
            } else if offset % 100 == 0 {
                LogRecord::Change(change(&offset.to_string(), offset as usize, None, Some(1)))
            } else {
                LogRecord::Batch(BatchRecord::default())
            };
            let entry = LogEntry { offset, record };
            replica.apply(&span(std::slice::from_ref(&entry))).expect("no gap");
            entries.push(entry);
        }
        Self {
            earliest: 0,
            entries,
            is_down: false,
        }
    }

    fn read(&self, from: Offset, limit: usize) -> Result<LogPage, ReadError> {
        if self.is_down {
            return Err(ReadError::Unavailable);
        }
        if from < self.earliest {
            return Err(ReadError::Trimmed {
                earliest: self.earliest,
            });
        }
        Ok(LogPage {
            earliest: self.earliest,
            end: self.entries.len() as Offset,
            entries: self.entries.iter().skip(from as usize).take(limit).cloned().collect(),
        })
    }
}

struct Fixture {
    log: FakeLog,
    replica: ConfigReplica,
    follower: FollowerState,
    now: Instant,
    records_read: usize,
}

impl Fixture {
    fn new(log: FakeLog) -> Self {
        let now = Instant::now();
        Self {
            log,
            replica: ConfigReplica::new(),
            follower: FollowerState::new("node-1".into(), SnapshotPolicy::default(), 1, now),
            now,
            records_read: 0,
        }
    }

    /// Answers reads until the follower returns another action, and returns that action.
    fn run_reads(&mut self) -> FollowAction {
        loop {
            let action = self.follower.next_action(&self.replica, self.now);
            let FollowAction::ReadLog { from, limit } = action else {
                return action;
            };
            let answer = self.log.read(from, limit);
            self.records_read += answer.as_ref().map_or(0, |page| page.entries.len());
            let report = self.follower.on_page(&mut self.replica, from, answer, self.now);
            assert_eq!(report.violations, []);
        }
    }

    fn state(&self) -> (LoadState, Offset, usize) {
        let replica = &self.replica;
        (replica.load_state(), replica.next_offset(), replica.view().len())
    }
}

#[test]
fn new_node_replays_the_complete_log() {
    let mut fixture = Fixture::new(FakeLog::new(250, &[]));
    assert!(matches!(fixture.run_reads(), FollowAction::Wait(_)));
    assert_eq!(fixture.state(), (LoadState::Loaded, 250, 3));
}

#[test]
fn empty_log_is_an_empty_configuration() {
    let mut fixture = Fixture::new(FakeLog::new(0, &[]));
    fixture.run_reads();
    assert_eq!(fixture.state(), (LoadState::Loaded, 0, 0));
}

#[test]
fn new_node_finds_the_newest_snapshot_from_the_end_of_the_log() {
    let mut log = FakeLog::new(20_000, &[5_050, 18_050, 19_050]);
    log.earliest = 1_000;
    let mut fixture = Fixture::new(log);
    fixture.run_reads();
    assert_eq!(fixture.state(), (LoadState::Loaded, 20_000, 200));
    assert!(fixture.records_read < 3_000, "{} records read", fixture.records_read);
}

#[test]
fn trimmed_log_without_snapshot_is_not_loaded() {
    let mut log = FakeLog::new(3_000, &[]);
    log.earliest = 1_000;
    let mut fixture = Fixture::new(log);
    assert_eq!(fixture.run_reads(), FollowAction::AskNeighbours);
    let reason = NotLoadedReason::NoSnapshot { earliest: 1_000 };
    assert_eq!(fixture.replica.load_state(), LoadState::NotLoaded(reason));
}

#[test]
fn snapshot_followed_by_trimmed_records_is_no_base_state() {
    let mut log = FakeLog::new(3_000, &[1_050]);
    log.earliest = 1_050;
    let mut fixture = Fixture::new(log);
    fixture.run_reads();
    assert!(
        fixture.replica.is_loaded(),
        "the records after a snapshot as of 1049 begin at 1050"
    );
    fixture = Fixture::new(FakeLog::new(3_000, &[1_050]));
    fixture.log.earliest = 1_051;
    assert_eq!(fixture.run_reads(), FollowAction::AskNeighbours);
}

#[test]
fn node_whose_next_records_were_trimmed_installs_a_newer_snapshot() {
    let mut fixture = Fixture::new(FakeLog::new(150, &[]));
    fixture.run_reads();
    fixture.log = FakeLog::new(3_000, &[2_050]);
    fixture.log.earliest = 1_000;
    fixture.now += Duration::from_secs(60);
    fixture.run_reads();
    assert_eq!(fixture.state(), (LoadState::Loaded, 3_000, 30));
}

#[test]
fn node_that_starts_during_a_log_outage_loads_the_state_of_a_neighbour() {
    let mut fixture = Fixture::new(FakeLog::new(250, &[]));
    fixture.log.is_down = true;
    assert_eq!(fixture.run_reads(), FollowAction::AskNeighbours);
    assert_eq!(
        fixture.replica.load_state(),
        LoadState::NotLoaded(NotLoadedReason::LogUnavailable)
    );
    let neighbour = loaded_replica(&fixture.log.entries[..150]);
    let snapshot = neighbour.to_snapshot("node-2".into()).expect("loaded");
    fixture.follower.on_neighbour_snapshot(&mut fixture.replica, &snapshot);
    assert_eq!(fixture.state(), (LoadState::Loaded, 150, 2));
    fixture.log.is_down = false;
    fixture.now += Duration::from_secs(2);
    fixture.run_reads();
    assert_eq!(fixture.state(), (LoadState::Loaded, 250, 3));
    fixture.follower.on_neighbour_snapshot(&mut fixture.replica, &snapshot);
    assert_eq!(fixture.state(), (LoadState::Loaded, 250, 3));
}

#[test]
fn fed_node_reads_the_log_only_when_its_feed_times_out_or_has_a_gap() {
    let mut fixture = Fixture::new(FakeLog::new(100, &[]));
    fixture.follower.set_feeder(false);
    fixture.run_reads();
    fixture.now += Duration::from_secs(2);
    let fed = FeedFrame {
        span: span(&[entry(100, change("fed", 7, None, Some(1)))]),
        digest: fed_digest(&fixture.replica),
    };
    let report = fixture.follower.on_feed(&mut fixture.replica, &fed, fixture.now);
    assert_eq!(report.violations, []);
    assert_eq!(fixture.replica.next_offset(), 101);
    let timeout = fixture.now + Duration::from_millis(FEED_TIMEOUT_MS);
    assert_eq!(
        fixture.follower.next_action(&fixture.replica, fixture.now),
        FollowAction::Wait(timeout)
    );
    let action = fixture.follower.next_action(&fixture.replica, timeout);
    assert!(matches!(action, FollowAction::ReadLog { from: 101, .. }));
    let gap = FeedFrame {
        span: span(&[entry(105, change("gap", 8, None, Some(1)))]),
        digest: fixture.replica.digest(),
    };
    fixture.follower.on_feed(&mut fixture.replica, &gap, fixture.now);
    let action = fixture.follower.next_action(&fixture.replica, fixture.now);
    assert!(matches!(action, FollowAction::ReadLog { from: 101, .. }));
}

#[test]
fn own_append_is_read_back_at_once_and_only_once() {
    for is_feeder in [true, false] {
        let mut fixture = Fixture::new(FakeLog::new(100, &[]));
        fixture.follower.set_feeder(is_feeder);
        fixture.run_reads();
        let wait = fixture.follower.next_action(&fixture.replica, fixture.now);
        assert!(matches!(wait, FollowAction::Wait(_)));
        fixture.follower.wake();
        let read = fixture.follower.next_action(&fixture.replica, fixture.now);
        assert!(matches!(read, FollowAction::ReadLog { from: 100, .. }));
        assert_eq!(fixture.run_reads(), wait);
    }
}

/// Returns the digest of a feeder after the change that the tests send in a frame.
fn fed_digest(replica: &ConfigReplica) -> StateDigest {
    let mut feeder = replica.clone();
    feeder
        .apply(&span(&[entry(100, change("fed", 7, None, Some(1)))]))
        .expect("no gap");
    feeder.digest()
}

#[test]
fn frame_of_a_feeder_with_a_different_state_is_reported() {
    let mut fixture = Fixture::new(FakeLog::new(100, &[]));
    fixture.run_reads();
    let frame = FeedFrame {
        span: span(&[entry(100, change("other", 7, None, Some(1)))]),
        digest: fed_digest(&fixture.replica),
    };
    let report = fixture.follower.on_feed(&mut fixture.replica, &frame, fixture.now);
    assert_eq!(report.violations, [ReplicaError::FeedMismatch { until: 101 }]);
}

#[test]
fn fed_node_leaves_snapshots_to_its_feeders() {
    let mut fixture = Fixture::new(FakeLog::new(100, &[]));
    fixture.follower.set_feeder(false);
    fixture.run_reads();
    fixture.now += SnapshotPolicy::default().retention;
    let frame = FeedFrame {
        span: span(&[entry(100, change("fed", 7, None, Some(1)))]),
        digest: fed_digest(&fixture.replica),
    };
    fixture.follower.on_feed(&mut fixture.replica, &frame, fixture.now);
    assert!(matches!(fixture.run_reads(), FollowAction::Wait(_)));
}

#[test]
fn snapshot_is_due_by_age_and_not_again_before_it_is_read_back() {
    let mut fixture = Fixture::new(FakeLog::new(100, &[]));
    fixture.run_reads();
    fixture.now += SnapshotPolicy::default().retention / 8;
    assert!(matches!(fixture.run_reads(), FollowAction::AppendSnapshot(snapshot) if snapshot.as_of == 99));
    assert!(matches!(fixture.run_reads(), FollowAction::Wait(_)));
    fixture.now += SnapshotPolicy::default().read_back_timeout;
    assert!(
        matches!(fixture.run_reads(), FollowAction::AppendSnapshot(_)),
        "the first one was lost"
    );
}

proptest! {
    #[test]
    fn snapshot_is_due_before_the_newest_one_leaves_the_log(
        seed in 0..1_000u64, newest in 0..1_000_000u64, kept in 1..1_000_000u64,
    ) {
        let now = Instant::now();
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let policy = SnapshotPolicy::default();
        let mut schedule = SnapshotSchedule::new(policy, now, &mut rng);
        schedule.on_snapshot(newest, now, &mut rng);
        prop_assert!(!schedule.is_due(0, newest + policy.max_records / 2 - 1, now) || newest < policy.max_records);
        prop_assert!(schedule.is_due(0, newest + policy.max_records, now));
        prop_assert!(schedule.is_due(newest, newest + policy.min_records + kept, now));
        prop_assert!(!schedule.is_due(newest, newest + policy.min_records - 1, now + policy.retention / 5));
        prop_assert!(schedule.is_due(newest, newest, now + policy.retention / 2));
    }

    #[test]
    fn feeder_is_replaced_only_when_it_leaves(count in 3..20usize, leaving in 0..20usize) {
        let live: Vec<NodeId> = (0..count).map(|index| format_smolstr!("node-{index}")).collect();
        let feeders = choose_feeders(&"domain-1".into(), &live);
        prop_assert_eq!(feeders.len(), FEEDERS_PER_DOMAIN);
        let mut rest = live.clone();
        let leaving = rest.remove(leaving % count);
        rest.reverse();
        let after = choose_feeders(&"domain-1".into(), &rest);
        prop_assert!(feeders.iter().all(|feeder| *feeder == leaving || after.contains(feeder)));
    }
}
