//! The task that follows the configuration.

use std::{sync::Arc, time::Instant};

use mustardgate_core::{
    clock,
    config::{ConfigReplica, FeedFrame, FollowAction, FollowReport, FollowerState, SnapshotPolicy},
    ids::Offset,
    log::{LogRecord, SnapshotRecord},
};
use slog::o;
use tokio::time;
use tokio_util::sync::CancellationToken;

use super::feed::{FrameGatherer, ask_neighbours, feeders_of, send_frame};
use crate::{context::NodeContext, events, peers::PeerHub};

/// Follows the configuration until `shutdown`.
pub async fn follow_configuration(
    context: Arc<NodeContext>,
    hub: Arc<PeerHub>,
    seed: u64,
    shutdown: CancellationToken,
) {
    let policy = SnapshotPolicy {
        retention: context.settings.platform.retention(),
        ..SnapshotPolicy::default()
    };
    let node = context.settings.node.name.clone();
    let follower = FollowerState::new(node, policy, seed, clock::now());
    let mut task = FollowerTask {
        context,
        hub,
        follower,
        gatherer: FrameGatherer::default(),
        rounds_asked: 0,
        is_log_away: false,
        next_logged: None,
    };
    tokio::select! {
        () = shutdown.cancelled() => {}
        () = task.run() => {}
    }
}

#[derive(Debug)]
struct FollowerTask {
    context: Arc<NodeContext>,
    hub: Arc<PeerHub>,
    follower: FollowerState,
    gatherer: FrameGatherer,
    rounds_asked: usize,
    is_log_away: bool,
    /// Offset from which on changes are to be logged, or `None` before the configuration is loaded.
    next_logged: Option<Offset>,
}

impl FollowerTask {
    async fn run(&mut self) {
        loop {
            self.take_inbox();
            match self.next_action() {
                FollowAction::ReadLog { from, limit } => self.read_log(from, limit).await,
                FollowAction::AskNeighbours => self.ask_neighbours().await,
                FollowAction::AppendSnapshot(snapshot) => self.append_snapshot(snapshot).await,
                FollowAction::Wait(until) => self.wait(until).await,
            }
        }
    }

    fn next_action(&mut self) -> FollowAction {
        let now = clock::now();
        self.context
            .directory
            .read(|replica| self.follower.next_action(replica, now))
    }

    async fn wait(&self, until: Instant) {
        tokio::select! {
            () = time::sleep_until(until.into()) => {}
            () = self.context.directory.inbox().arrived() => {}
        }
    }

    fn take_inbox(&mut self) {
        if self.context.directory.inbox().take_append() {
            self.follower.wake();
        }
        while let Some(frame) = self.context.directory.inbox().pop() {
            self.take_frame(&frame);
        }
    }

    fn take_frame(&mut self, frame: &FeedFrame) {
        let now = clock::now();
        let context = Arc::clone(&self.context);
        let report = context
            .directory
            .update(|replica| self.follower.on_feed(replica, frame, now));
        self.log_report(&report);
    }

    async fn read_log(&mut self, from: Offset, limit: usize) {
        let answer = self.context.log.read(from, limit).await;
        let now = clock::now();
        let context = Arc::clone(&self.context);
        let report = context
            .directory
            .update(|replica| self.follower.on_page(replica, from, answer, now));
        self.log_report(&report);
        self.feed_neighbours(report.feed, now);
    }

    /// Sends what was read to the nodes that follow this one when it is a feeder; a node that the list does not show
    /// reads for itself and feeds nobody.
    fn feed_neighbours(&mut self, frame: Option<FeedFrame>, now: Instant) {
        let own = &self.context.settings.node.name;
        let feeders = feeders_of(&self.context);
        let is_listed = self
            .context
            .vms
            .read(|view| view.entries().any(|entry| entry.name == *own));
        let is_feeding = feeders.contains(own);
        self.follower.set_feeder(is_feeding || !is_listed);
        if !is_feeding {
            self.gatherer.clear();
            return;
        }
        if let Some(frame) = frame {
            self.gatherer.add(frame);
        }
        if let Some(due) = self.gatherer.take_due(now) {
            send_frame(&self.context, &self.hub, &feeders, due);
        }
    }

    async fn ask_neighbours(&mut self) {
        let round = self.rounds_asked;
        self.rounds_asked += 1;
        let Some(snapshot) = ask_neighbours(&self.context, &self.hub, round, clock::now()).await else {
            return;
        };
        let context = Arc::clone(&self.context);
        let before = context.directory.read(ConfigReplica::next_offset);
        let report = context
            .directory
            .update(|replica| self.follower.on_neighbour_snapshot(replica, &snapshot));
        if context.directory.read(ConfigReplica::next_offset) > before {
            let values = o!("as_of" => snapshot.as_of, "peer" => snapshot.author.to_string());
            events::CONFIG_FROM_PEER.write(&context.logger, values);
        }
        self.log_report(&report);
    }

    async fn append_snapshot(&self, snapshot: Box<SnapshotRecord>) {
        let as_of = snapshot.as_of;
        if self.context.log.append(LogRecord::Snapshot(snapshot)).await.is_ok() {
            events::SNAPSHOT_WRITTEN.write(&self.context.logger, o!("as_of" => as_of));
        }
    }

    fn log_report(&mut self, report: &FollowReport) {
        for violation in &report.violations {
            events::CONFIG_INVARIANT.write(&self.context.logger, o!("violation" => violation.to_string()));
        }
        self.log_outage();
        self.log_changes();
    }

    fn log_outage(&mut self) {
        if self.follower.is_log_unavailable() == self.is_log_away {
            return;
        }
        self.is_log_away = self.follower.is_log_unavailable();
        let event = if self.is_log_away {
            events::LOG_UNAVAILABLE
        } else {
            events::LOG_AVAILABLE
        };
        event.write(&self.context.logger, o!());
    }

    /// Logs the changes that took effect since the last call; those replayed before the first load count as loaded.
    fn log_changes(&mut self) {
        let logger = &self.context.logger;
        let (is_loaded, next) = self
            .context
            .directory
            .read(|replica| (replica.is_loaded(), replica.next_offset()));
        if !is_loaded {
            return;
        }
        let Some(from) = self.next_logged.replace(next) else {
            events::CONFIG_LOADED.write(logger, o!("offset" => next));
            return;
        };
        // Changes that a snapshot took the place of are no longer known one by one.
        let changes = self.context.directory.read(|replica| replica.events_from(from));
        for change in changes.into_iter().flatten() {
            let values = o!("offset" => change.offset, "resource" => change.key.to_string());
            events::CONFIG_APPLIED.write(logger, values);
        }
    }
}
