//! Follower of the configuration: reads the log, applies a feed, or takes over the state of a neighbour.

use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::{
    feeds::FEED_TIMEOUT_MS,
    replica::ConfigReplica,
    search::{SearchStep, SnapshotSearch},
    snapshots::{SnapshotPolicy, SnapshotSchedule},
    span::{ConfigSpan, FeedFrame},
    status::{InstallOutcome, NotLoadedReason, ReplicaError, SnapshotSource},
};
use crate::{
    ids::{NodeId, Offset},
    log::{LogRecord, SnapshotRecord},
    ports::{LogPage, ReadError},
};

const PAGE_RECORDS: usize = 500;
const SEARCH_WINDOW_RECORDS: u64 = 500;
const POLL_INTERVAL_MS: u64 = 1_000;
const SEARCH_RETRY_MS: u64 = 5_000;

/// Next action of a node to follow the configuration.
#[derive(Clone, Debug, PartialEq)]
pub enum FollowAction {
    /// Read the log and pass the result to [`FollowerState::on_page`].
    ReadLog {
        /// First offset to read.
        from: Offset,
        /// Maximum number of records to read.
        limit: usize,
    },
    /// Request the state of neighbours, here other nodes of any failure domain, and pass it to
    /// [`FollowerState::on_neighbour_snapshot`].
    AskNeighbours,
    /// Append this snapshot to the log; the result need not be passed on.
    AppendSnapshot(Box<SnapshotRecord>),
    /// Wait until this time, or until a frame of a feed or a result arrives.
    Wait(Instant),
}

/// Result of an input to the follower.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FollowReport {
    /// Errors of refused operations; each is to be logged and counted as a broken invariant.
    pub violations: Vec<ReplicaError>,
    /// Frame to send to the other nodes of the domain if this node is a feeder.
    pub feed: Option<FeedFrame>,
}

#[derive(Clone, Debug)]
enum Phase {
    /// The bounds of the log are not known.
    Probing { from: Offset },
    /// Searches for a snapshot.
    Searching(SnapshotSearch),
    /// Reads the records after the applied offset.
    Tailing,
}

#[derive(Clone, Copy, Debug)]
struct LogBounds {
    earliest: Offset,
    end: Offset,
}

/// State machine that decides what one node reads, and when it writes a snapshot.
#[derive(Clone, Debug)]
pub struct FollowerState {
    node: NodeId,
    phase: Phase,
    is_feeder: bool,
    last_feed: Option<Instant>,
    wait_until: Option<Instant>,
    needs_neighbour_snapshot: bool,
    is_log_unavailable: bool,
    bounds: Option<LogBounds>,
    schedule: SnapshotSchedule,
    rng: ChaCha8Rng,
}

impl FollowerState {
    /// Creates the state of a node that just started; `seed` should differ between nodes.
    pub fn new(node: NodeId, policy: SnapshotPolicy, seed: u64, now: Instant) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let schedule = SnapshotSchedule::new(policy, now, &mut rng);
        Self {
            node,
            phase: Phase::Probing { from: 0 },
            is_feeder: true,
            last_feed: None,
            wait_until: None,
            needs_neighbour_snapshot: false,
            is_log_unavailable: false,
            bounds: None,
            schedule,
            rng,
        }
    }

    /// Sets whether this node is among the feeders of its domain.
    pub fn set_feeder(&mut self, is_feeder: bool) {
        self.is_feeder = is_feeder;
    }

    /// Makes the next action read the log without waiting, because this node just appended to it or found its end.
    pub fn wake(&mut self) {
        self.last_feed = None;
        self.wait_until = None;
    }

    /// Returns whether the last read of the log failed.
    pub fn is_log_unavailable(&self) -> bool {
        self.is_log_unavailable
    }

    /// Returns the next action.
    pub fn next_action(&mut self, replica: &ConfigReplica, now: Instant) -> FollowAction {
        if self.needs_neighbour_snapshot {
            self.needs_neighbour_snapshot = false;
            return FollowAction::AskNeighbours;
        }
        if let Some(snapshot) = self.due_snapshot(replica, now) {
            self.schedule.on_write(now);
            return FollowAction::AppendSnapshot(Box::new(snapshot));
        }
        match self.idle_until(now) {
            Some(time) => FollowAction::Wait(time),
            None => self.next_read(replica),
        }
    }

    /// Handles the result of a read of the log.
    pub fn on_page(
        &mut self,
        replica: &mut ConfigReplica,
        from: Offset,
        answer: Result<LogPage, ReadError>,
        now: Instant,
    ) -> FollowReport {
        match answer {
            Ok(page) => self.on_records(replica, from, &page, now),
            Err(ReadError::Trimmed { earliest }) => {
                self.is_log_unavailable = false;
                self.phase = Phase::Probing { from: earliest };
                FollowReport::default()
            }
            Err(ReadError::Unavailable) => {
                self.on_log_unavailable(replica, now);
                FollowReport::default()
            }
        }
    }

    /// Handles a frame from a feeder of the domain; if records before it are missing, the log is read instead.
    pub fn on_feed(&mut self, replica: &mut ConfigReplica, frame: &FeedFrame, now: Instant) -> FollowReport {
        if !matches!(self.phase, Phase::Tailing) {
            return FollowReport::default();
        }
        let before = replica.next_offset();
        let Ok(mut violations) = replica.apply(&frame.span) else {
            self.last_feed = None;
            self.wait_until = None;
            return FollowReport::default();
        };
        let until = frame.span.until;
        if before <= until && replica.next_offset() == until && replica.digest() != frame.digest {
            violations.push(ReplicaError::FeedMismatch { until });
        }
        self.last_feed = Some(now);
        self.schedule.on_feed(until, now, &mut self.rng);
        FollowReport { violations, feed: None }
    }

    /// Handles the state of a neighbour, which is installed only if it is ahead of this replica.
    pub fn on_neighbour_snapshot(&mut self, replica: &mut ConfigReplica, snapshot: &SnapshotRecord) -> FollowReport {
        let source = if self.is_log_unavailable {
            SnapshotSource::Neighbour
        } else {
            SnapshotSource::Log
        };
        match replica.install(snapshot, source) {
            Ok(InstallOutcome::Installed) => {
                self.phase = Phase::Tailing;
                self.wait_until = None;
                FollowReport::default()
            }
            Ok(_) => FollowReport::default(),
            Err(violation) => FollowReport {
                violations: vec![violation],
                feed: None,
            },
        }
    }

    fn on_records(&mut self, replica: &mut ConfigReplica, from: Offset, page: &LogPage, now: Instant) -> FollowReport {
        self.is_log_unavailable = false;
        self.bounds = Some(LogBounds {
            earliest: page.earliest,
            end: page.end,
        });
        replica.require_offset(page.end);
        match &mut self.phase {
            Phase::Probing { .. } => {
                self.start_search(replica, page);
                FollowReport::default()
            }
            Phase::Searching(search) => {
                let step = search.on_page(page);
                self.on_search_step(replica, step, now)
            }
            Phase::Tailing => self.on_tail_page(replica, from, page, now),
        }
    }

    fn start_search(&mut self, replica: &ConfigReplica, page: &LogPage) {
        let is_continuous = replica.has_base() && replica.next_offset() >= page.earliest;
        self.phase = if is_continuous {
            Phase::Tailing
        } else {
            Phase::Searching(SnapshotSearch::new(page.earliest, page.end, SEARCH_WINDOW_RECORDS))
        };
    }

    fn on_search_step(&mut self, replica: &mut ConfigReplica, step: SearchStep, now: Instant) -> FollowReport {
        let mut report = FollowReport::default();
        match step {
            SearchStep::Continue => {}
            SearchStep::Found(snapshot) => match replica.install(&snapshot, SnapshotSource::Log) {
                Ok(_) => self.phase = Phase::Tailing,
                Err(violation) => report.violations.push(violation),
            },
            SearchStep::Origin => {
                replica.begin_at_origin();
                self.phase = Phase::Tailing;
            }
            SearchStep::Exhausted => self.on_search_exhausted(replica, now),
        }
        report
    }

    fn on_search_exhausted(&mut self, replica: &mut ConfigReplica, now: Instant) {
        let earliest = self.bounds.map_or(0, |bounds| bounds.earliest);
        replica.set_not_loaded_reason(NotLoadedReason::NoSnapshot { earliest });
        self.phase = Phase::Probing { from: earliest };
        self.needs_neighbour_snapshot = true;
        self.wait_until = Some(now + Duration::from_millis(SEARCH_RETRY_MS));
    }

    fn on_tail_page(
        &mut self,
        replica: &mut ConfigReplica,
        from: Offset,
        page: &LogPage,
        now: Instant,
    ) -> FollowReport {
        let span = ConfigSpan::from_page(from, page);
        let Ok(violations) = replica.apply(&span) else {
            self.phase = Phase::Probing { from: page.earliest };
            return FollowReport::default();
        };
        self.update_schedule(&span, now);
        if replica.next_offset() >= page.end {
            self.wait_until = Some(now + Duration::from_millis(POLL_INTERVAL_MS));
        }
        FollowReport {
            violations,
            feed: Some(FeedFrame::new(span, replica.digest())),
        }
    }

    fn on_log_unavailable(&mut self, replica: &mut ConfigReplica, now: Instant) {
        self.is_log_unavailable = true;
        replica.set_not_loaded_reason(NotLoadedReason::LogUnavailable);
        self.needs_neighbour_snapshot |= !replica.is_loaded();
        self.wait_until = Some(now + Duration::from_millis(POLL_INTERVAL_MS));
    }

    fn update_schedule(&mut self, span: &ConfigSpan, now: Instant) {
        for entry in &span.entries {
            if let LogRecord::Snapshot(snapshot) = &entry.record {
                self.schedule.on_snapshot(snapshot.as_of, now, &mut self.rng);
            }
        }
    }

    /// Returns a snapshot if one is due and this node itself has read the log to its end.
    fn due_snapshot(&self, replica: &ConfigReplica, now: Instant) -> Option<SnapshotRecord> {
        let bounds = self.bounds?;
        let reads_log = self.is_feeder || self.feed_expires_at().is_none_or(|time| time <= now);
        let is_current = reads_log && !self.is_log_unavailable && replica.next_offset() >= bounds.end;
        if !is_current || !self.schedule.is_due(bounds.earliest, bounds.end, now) {
            return None;
        }
        replica.to_snapshot(self.node.clone())
    }

    fn feed_expires_at(&self) -> Option<Instant> {
        self.last_feed.map(|time| time + Duration::from_millis(FEED_TIMEOUT_MS))
    }

    fn idle_until(&self, now: Instant) -> Option<Instant> {
        let is_fed = !self.is_feeder && matches!(self.phase, Phase::Tailing);
        let deadline = if is_fed {
            self.wait_until.max(self.feed_expires_at())
        } else {
            self.wait_until
        };
        deadline.filter(|time| now < *time)
    }

    fn next_read(&self, replica: &ConfigReplica) -> FollowAction {
        let (from, limit) = match &self.phase {
            Phase::Probing { from } => (*from, 1),
            Phase::Searching(search) => search.next_read(),
            Phase::Tailing => (replica.next_offset(), PAGE_RECORDS),
        };
        FollowAction::ReadLog { from, limit }
    }
}
