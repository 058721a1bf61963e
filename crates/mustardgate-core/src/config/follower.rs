//! Where the next records come from: the log, a feed, or a neighbour's state.

use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::{
    feeds::FEED_SILENCE_MS,
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

/// What the node does next to follow the configuration.
#[derive(Clone, Debug, PartialEq)]
pub enum FollowAction {
    /// Read the log and report to [`FollowerState::on_page`].
    ReadLog {
        /// First offset wanted.
        from: Offset,
        /// Number of records wanted.
        limit: usize,
    },
    /// Ask neighbours for their state and report it to [`FollowerState::on_handover`].
    AskNeighbours,
    /// Append this snapshot to the log; its answer does not matter.
    AppendSnapshot(Box<SnapshotRecord>),
    /// Do nothing until then, or until a feed or an answer arrives.
    Wait(Instant),
}

/// What an input led to.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FollowReport {
    /// Steps that were refused, each to be logged and counted as a broken invariant.
    pub violations: Vec<ReplicaError>,
    /// What is to be fed to the other nodes of the domain when this node is a feeder.
    pub feed: Option<FeedFrame>,
}

#[derive(Clone, Debug)]
enum Phase {
    /// The bounds of the log are not known.
    Probing {
        from: Offset,
    },
    Searching(SnapshotSearch),
    Tailing,
}

#[derive(Clone, Copy, Debug)]
struct LogBounds {
    earliest: Offset,
    end: Offset,
}

/// Decides what one node reads, and when it writes a snapshot.
#[derive(Clone, Debug)]
pub struct FollowerState {
    node: NodeId,
    phase: Phase,
    is_feeder: bool,
    last_feed: Option<Instant>,
    wait_until: Option<Instant>,
    wants_neighbours: bool,
    is_log_away: bool,
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
            wants_neighbours: false,
            is_log_away: false,
            bounds: None,
            schedule,
            rng,
        }
    }

    /// Sets whether this node is among the feeders of its domain.
    pub fn set_feeder(&mut self, is_feeder: bool) {
        self.is_feeder = is_feeder;
    }

    /// Has the log read at once, because this node has just appended to it or found its end.
    pub fn wake(&mut self) {
        self.last_feed = None;
        self.wait_until = None;
    }

    /// Returns whether the last read of the log failed.
    pub fn is_log_away(&self) -> bool {
        self.is_log_away
    }

    /// Returns what to do next.
    pub fn next_action(&mut self, replica: &ConfigReplica, now: Instant) -> FollowAction {
        if self.wants_neighbours {
            self.wants_neighbours = false;
            return FollowAction::AskNeighbours;
        }
        if let Some(snapshot) = self.due_snapshot(replica, now) {
            self.schedule.on_write(now);
            return FollowAction::AppendSnapshot(Box::new(snapshot));
        }
        match self.resting_until(now) {
            Some(time) => FollowAction::Wait(time),
            None => self.next_read(replica),
        }
    }

    /// Takes the answer to a read of the log.
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
                self.is_log_away = false;
                self.phase = Phase::Probing { from: earliest };
                FollowReport::default()
            }
            Err(ReadError::Unavailable) => {
                self.on_outage(replica, now);
                FollowReport::default()
            }
        }
    }

    /// Takes a frame from a feeder of the domain; one that leaves a gap sends this node to the log.
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

    /// Takes the state of a neighbour, which counts only when it is ahead.
    pub fn on_handover(&mut self, replica: &mut ConfigReplica, snapshot: &SnapshotRecord) -> FollowReport {
        let source = if self.is_log_away {
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
        self.is_log_away = false;
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
                self.on_search(replica, step, now)
            }
            Phase::Tailing => self.on_tail(replica, from, page, now),
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

    fn on_search(&mut self, replica: &mut ConfigReplica, step: SearchStep, now: Instant) -> FollowReport {
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
            SearchStep::Exhausted => self.on_exhausted(replica, now),
        }
        report
    }

    fn on_exhausted(&mut self, replica: &mut ConfigReplica, now: Instant) {
        let earliest = self.bounds.map_or(0, |bounds| bounds.earliest);
        replica.note_reason(NotLoadedReason::NoSnapshot { earliest });
        self.phase = Phase::Probing { from: earliest };
        self.wants_neighbours = true;
        self.wait_until = Some(now + Duration::from_millis(SEARCH_RETRY_MS));
    }

    fn on_tail(&mut self, replica: &mut ConfigReplica, from: Offset, page: &LogPage, now: Instant) -> FollowReport {
        let span = ConfigSpan::from_page(from, page);
        let Ok(violations) = replica.apply(&span) else {
            self.phase = Phase::Probing { from: page.earliest };
            return FollowReport::default();
        };
        self.note_snapshots(&span, now);
        if replica.next_offset() >= page.end {
            self.wait_until = Some(now + Duration::from_millis(POLL_INTERVAL_MS));
        }
        FollowReport {
            violations,
            feed: Some(FeedFrame::new(span, replica.digest())),
        }
    }

    fn on_outage(&mut self, replica: &mut ConfigReplica, now: Instant) {
        self.is_log_away = true;
        replica.note_reason(NotLoadedReason::LogUnavailable);
        self.wants_neighbours |= !replica.is_loaded();
        self.wait_until = Some(now + Duration::from_millis(POLL_INTERVAL_MS));
    }

    fn note_snapshots(&mut self, span: &ConfigSpan, now: Instant) {
        for entry in &span.entries {
            if let LogRecord::Snapshot(snapshot) = &entry.record {
                self.schedule.on_snapshot(snapshot.as_of, now, &mut self.rng);
            }
        }
    }

    /// Returns a snapshot when one is due and this node has read the log to its end itself.
    fn due_snapshot(&self, replica: &ConfigReplica, now: Instant) -> Option<SnapshotRecord> {
        let bounds = self.bounds?;
        let is_reading = self.is_feeder || self.fed_until().is_none_or(|time| time <= now);
        let is_current = is_reading && !self.is_log_away && replica.next_offset() >= bounds.end;
        if !is_current || !self.schedule.is_due(bounds.earliest, bounds.end, now) {
            return None;
        }
        replica.to_snapshot(self.node.clone())
    }

    fn fed_until(&self) -> Option<Instant> {
        self.last_feed.map(|time| time + Duration::from_millis(FEED_SILENCE_MS))
    }

    fn resting_until(&self, now: Instant) -> Option<Instant> {
        let is_fed = !self.is_feeder && matches!(self.phase, Phase::Tailing);
        let rest = if is_fed {
            self.wait_until.max(self.fed_until())
        } else {
            self.wait_until
        };
        rest.filter(|time| now < *time)
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
