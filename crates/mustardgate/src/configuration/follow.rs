//! The task that keeps the configuration up to date from the log, the feed and other nodes.

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

use super::feed::{FrameBuffer, ask_neighbours, feeders_of, send_frame};
use crate::{context::NodeContext, events, peers::PeerHub};

/// Keeps the configuration up to date until `shutdown`; `seed` should differ between nodes.
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
        buffer: FrameBuffer::default(),
        neighbour_rounds: 0,
        was_log_unavailable: false,
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
    buffer: FrameBuffer,
    neighbour_rounds: usize,
    was_log_unavailable: bool,
    /// Offset from which changes are still to be logged, or `None` until the load of the configuration is logged.
    next_logged: Option<Offset>,
}

impl FollowerTask {
    async fn run(&mut self) {
        loop {
            self.process_inbox();
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

    fn process_inbox(&mut self) {
        if self.context.directory.inbox().take_append() {
            self.follower.wake();
        }
        while let Some(frame) = self.context.directory.inbox().pop() {
            self.apply_frame(&frame);
        }
    }

    fn apply_frame(&mut self, frame: &FeedFrame) {
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

    /// If this node is a feeder, sends what it read to the nodes of its failure domain that are not. A node that is
    /// missing from the VM list reads the log itself and feeds nobody.
    fn feed_neighbours(&mut self, frame: Option<FeedFrame>, now: Instant) {
        let own_name = &self.context.settings.node.name;
        let feeders = feeders_of(&self.context);
        let is_listed = self
            .context
            .vms
            .read(|view| view.entries().any(|entry| entry.name == *own_name));
        let is_feeding = feeders.contains(own_name);
        self.follower.set_feeder(is_feeding || !is_listed);
        if !is_feeding {
            self.buffer.clear();
            return;
        }
        if let Some(frame) = frame {
            self.buffer.add(frame);
        }
        if let Some(due) = self.buffer.take_due(now) {
            send_frame(&self.context, &self.hub, &feeders, due);
        }
    }

    async fn ask_neighbours(&mut self) {
        let round = self.neighbour_rounds;
        self.neighbour_rounds += 1;
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
        self.log_availability();
        self.log_changes();
    }

    fn log_availability(&mut self) {
        if self.follower.is_log_unavailable() == self.was_log_unavailable {
            return;
        }
        self.was_log_unavailable = self.follower.is_log_unavailable();
        let event = if self.was_log_unavailable {
            events::LOG_UNAVAILABLE
        } else {
            events::LOG_AVAILABLE
        };
        event.write(&self.context.logger, o!());
    }

    /// Logs each change applied since the last call; the first load is logged as one event without its changes.
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
        // Changes that were replaced by a snapshot are not known individually.
        let changes = self.context.directory.read(|replica| replica.events_from(from));
        for change in changes.into_iter().flatten() {
            let values = o!("offset" => change.offset, "resource" => change.key.to_string());
            events::CONFIG_APPLIED.write(logger, values);
        }
    }
}
