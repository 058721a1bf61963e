//! One node of the configuration proofs: the production decision code, optionally with one guard removed.

use std::time::{Duration, Instant};

use mustardgate_core::{
    config::{
        ChangeOutcome, ChangeSubmission, ConfigReplica, ConfigSpan, FeedFrame, FollowAction, FollowReport,
        FollowerState, SnapshotPolicy, SnapshotSource, SubmissionAction,
    },
    ids::{ChangeId, NodeId, Offset},
    log::{LogRecord, SnapshotRecord},
    ports::{LogEntry, LogPage, ReadError},
};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use smol_str::format_smolstr;

use super::config_log::{LogSimulation, RETENTION_STEPS};

/// Simulated duration of one step, in milliseconds.
pub(super) const STEP_MS: u64 = 500;
const READS_PER_STEP: usize = 8;
const PAGE_RECORDS: usize = 40;

/// The guard that a scenario tests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConfigGuard {
    /// A change takes effect only if the resource has the version it expects.
    VersionCheck,
    /// A second record with the same change identifier is ignored.
    ChangeIdentifiers,
    /// A change is reported as accepted only after its record was read back from the log.
    ReadBack,
    /// Records that were trimmed before the node read them are not skipped.
    GapRefusal,
    /// A snapshot never takes a replica back to an earlier offset.
    ForwardOnly,
    /// A replica that is not loaded is not served.
    LoadState,
}

/// Output of one step of a node.
#[derive(Debug, Default)]
pub(super) struct NodeOutput {
    pub(super) frames: Vec<FeedFrame>,
    pub(super) wants_neighbour_snapshot: bool,
    pub(super) reported: Vec<(ChangeId, ChangeOutcome)>,
}

/// One process on one VM.
#[derive(Debug)]
pub(super) struct ConfigNode {
    pub(super) name: NodeId,
    pub(super) replica: ConfigReplica,
    pub(super) follower: FollowerState,
    pub(super) paused_until: u64,
    pub(super) highest_served: Option<Offset>,
    pub(super) log_end_at_start: Offset,
    pub(super) has_met_outage: bool,
    pub(super) violations: u64,
    submissions: Vec<ChangeSubmission>,
    removed_guard: Option<ConfigGuard>,
}

impl ConfigNode {
    pub(super) fn new(
        index: usize,
        seed: u64,
        removed_guard: Option<ConfigGuard>,
        simulation: &LogSimulation,
        now: Instant,
    ) -> Self {
        let name = format_smolstr!("node-{index}");
        let policy = SnapshotPolicy {
            retention: Duration::from_millis(RETENTION_STEPS * STEP_MS),
            min_records: 60,
            max_records: 300,
            read_back_timeout: Duration::from_secs(5),
        };
        Self {
            follower: FollowerState::new(name.clone(), policy, seed, now),
            name,
            replica: ConfigReplica::new(),
            paused_until: 0,
            highest_served: None,
            log_end_at_start: simulation.log.end(),
            has_met_outage: simulation.is_down,
            violations: 0,
            submissions: Vec::new(),
            removed_guard,
        }
    }

    pub(super) fn submit(&mut self, submission: ChangeSubmission) {
        self.submissions.push(submission);
    }

    /// Returns whether the node answers readers from its view.
    pub(super) fn is_serving(&self) -> bool {
        self.replica.is_loaded() || self.removed_guard == Some(ConfigGuard::LoadState)
    }

    pub(super) fn step(
        &mut self,
        simulation: &mut LogSimulation,
        step: u64,
        now: Instant,
        rng: &mut ChaCha8Rng,
    ) -> NodeOutput {
        self.has_met_outage |= simulation.is_down;
        let mut output = NodeOutput::default();
        for _ in 0..READS_PER_STEP {
            match self.follower.next_action(&self.replica, now) {
                FollowAction::Wait(_) => break,
                FollowAction::AskNeighbours => output.wants_neighbour_snapshot = true,
                FollowAction::AppendSnapshot(snapshot) => {
                    // The node reads the outcome from the log; a snapshot that was lost becomes due again.
                    let _ = simulation.append(LogRecord::Snapshot(snapshot), step, rng);
                }
                FollowAction::ReadLog { from, limit } => {
                    let answer = simulation.log.read_now(from, limit.min(PAGE_RECORDS));
                    let report = self.receive_page(from, answer, now);
                    output.frames.extend(self.record_report(report));
                }
            }
        }
        self.advance_submissions(simulation, step, now, rng, &mut output);
        output
    }

    pub(super) fn receive_feed(&mut self, frame: &FeedFrame, now: Instant) {
        if self.rewrites_records() && frame.span.from <= self.replica.next_offset() {
            for entry in &frame.span.entries {
                let single = ConfigSpan {
                    from: frame.span.from,
                    until: entry.offset + 1,
                    entries: vec![self.rewrite_for_removed_guard(entry.clone())],
                };
                self.violations += u64::from(self.replica.has_base() && self.replica.apply(&single).is_err());
            }
        }
        let report = self.follower.on_feed(&mut self.replica, frame, now);
        self.record_report(report);
    }

    pub(super) fn receive_snapshot(&mut self, snapshot: &SnapshotRecord) {
        if self.removed_guard == Some(ConfigGuard::ForwardOnly) {
            self.replica = ConfigReplica::new();
            let source = SnapshotSource::Neighbour;
            self.violations += u64::from(self.replica.install(snapshot, source).is_err());
            return;
        }
        let report = self.follower.on_neighbour_snapshot(&mut self.replica, snapshot);
        self.record_report(report);
    }

    fn receive_page(&mut self, from: Offset, answer: Result<LogPage, ReadError>, now: Instant) -> FollowReport {
        let answer = match (self.removed_guard, answer) {
            (Some(ConfigGuard::GapRefusal), Err(ReadError::Trimmed { earliest })) if self.replica.has_base() => {
                let skipped = ConfigSpan {
                    from: self.replica.next_offset(),
                    until: earliest,
                    entries: Vec::new(),
                };
                self.violations += u64::from(self.replica.apply(&skipped).is_err());
                return FollowReport::default();
            }
            (_, Ok(mut page)) if self.rewrites_records() => {
                page.entries.truncate(1);
                page.entries = page
                    .entries
                    .into_iter()
                    .map(|entry| self.rewrite_for_removed_guard(entry))
                    .collect();
                Ok(page)
            }
            (_, answer) => answer,
        };
        self.follower.on_page(&mut self.replica, from, answer, now)
    }

    /// Returns whether the removal of the guard is simulated by rewriting each record to fit the state it applies to.
    fn rewrites_records(&self) -> bool {
        matches!(
            self.removed_guard,
            Some(ConfigGuard::VersionCheck | ConfigGuard::ChangeIdentifiers)
        )
    }

    fn rewrite_for_removed_guard(&self, mut entry: LogEntry) -> LogEntry {
        let LogRecord::Change(change) = &mut entry.record else {
            return entry;
        };
        if self.removed_guard == Some(ConfigGuard::VersionCheck) {
            change.expected = self.replica.view().version_of(&change.resource);
        } else if self.replica.outcome_of(&change.change).is_some() {
            change.change = format_smolstr!("{}/{}", change.change, entry.offset);
        }
        entry
    }

    fn record_report(&mut self, report: FollowReport) -> Option<FeedFrame> {
        self.violations += report.violations.len() as u64;
        report.feed
    }

    fn advance_submissions(
        &mut self,
        simulation: &mut LogSimulation,
        step: u64,
        now: Instant,
        rng: &mut ChaCha8Rng,
        output: &mut NodeOutput,
    ) {
        for mut submission in std::mem::take(&mut self.submissions) {
            match self.advance_submission(&mut submission, simulation, step, now, rng) {
                Some(outcome) => output.reported.push((submission.change().clone(), outcome)),
                None => self.submissions.push(submission),
            }
        }
    }

    fn advance_submission(
        &mut self,
        submission: &mut ChangeSubmission,
        simulation: &mut LogSimulation,
        step: u64,
        now: Instant,
        rng: &mut ChaCha8Rng,
    ) -> Option<ChangeOutcome> {
        match submission.poll(&self.replica, now) {
            SubmissionAction::Finish(outcome) => return Some(outcome),
            SubmissionAction::Wait(_) => {}
            SubmissionAction::FindEnd => {
                let end = simulation.log.read_now(simulation.log.end(), 1).map(|page| page.end);
                submission.on_end(end, now);
            }
            SubmissionAction::Append(record) => {
                let answer = simulation.append(LogRecord::Change(record), step, rng);
                if let (Some(ConfigGuard::ReadBack), Ok(version)) = (self.removed_guard, answer) {
                    return Some(ChangeOutcome::Accepted { version });
                }
                // The process may be suspended between the append and its answer.
                if rng.random_bool(0.02) {
                    self.paused_until = step + rng.random_range(1..80);
                }
                submission.on_append(answer, now);
            }
        }
        None
    }
}
