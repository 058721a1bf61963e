//! The task that follows the configuration.

use std::sync::Arc;

use mustardgate_core::{
    clock,
    config::{ConfigReplica, FollowAction, FollowReport, FollowerState, SnapshotPolicy},
    ids::Offset,
    log::{LogRecord, SnapshotRecord},
};
use slog::o;
use tokio::time;
use tokio_util::sync::CancellationToken;

use crate::{context::NodeContext, events};

/// Follows the configuration until `shutdown`.
pub async fn follow_configuration(context: Arc<NodeContext>, seed: u64, shutdown: CancellationToken) {
    let policy = SnapshotPolicy {
        retention: context.settings.platform.retention(),
        ..SnapshotPolicy::default()
    };
    let node = context.settings.node.name.clone();
    let follower = FollowerState::new(node, policy, seed, clock::now());
    let mut task = FollowerTask {
        context,
        follower,
        is_log_away: false,
        was_loaded: false,
    };
    tokio::select! {
        () = shutdown.cancelled() => {}
        () = task.run() => {}
    }
}

#[derive(Debug)]
struct FollowerTask {
    context: Arc<NodeContext>,
    follower: FollowerState,
    is_log_away: bool,
    was_loaded: bool,
}

impl FollowerTask {
    async fn run(&mut self) {
        loop {
            match self.next_action() {
                FollowAction::ReadLog { from, limit } => self.read_log(from, limit).await,
                FollowAction::AskNeighbours => {}
                FollowAction::AppendSnapshot(snapshot) => self.append_snapshot(snapshot).await,
                FollowAction::Wait(until) => time::sleep_until(until.into()).await,
            }
        }
    }

    fn next_action(&mut self) -> FollowAction {
        let now = clock::now();
        self.context
            .directory
            .read(|replica| self.follower.next_action(replica, now))
    }

    async fn read_log(&mut self, from: Offset, limit: usize) {
        let answer = self.context.log.read(from, limit).await;
        let now = clock::now();
        let report = self
            .context
            .directory
            .update(|replica| self.follower.on_page(replica, from, answer, now));
        self.log_report(&report);
        self.log_changes(&report);
    }

    async fn append_snapshot(&self, snapshot: Box<SnapshotRecord>) {
        let as_of = snapshot.as_of;
        if self.context.log.append(LogRecord::Snapshot(snapshot)).await.is_ok() {
            events::SNAPSHOT_WRITTEN.write(&self.context.logger, o!("as_of" => as_of));
        }
    }

    fn log_report(&self, report: &FollowReport) {
        for violation in &report.violations {
            events::CONFIG_INVARIANT.write(&self.context.logger, o!("violation" => violation.to_string()));
        }
    }

    fn log_changes(&mut self, report: &FollowReport) {
        let logger = &self.context.logger;
        if self.follower.is_log_away() != self.is_log_away {
            self.is_log_away = self.follower.is_log_away();
            let event = if self.is_log_away {
                events::LOG_UNAVAILABLE
            } else {
                events::LOG_AVAILABLE
            };
            event.write(logger, o!());
        }
        let is_loaded = self.context.directory.read(ConfigReplica::is_loaded);
        if is_loaded && !self.was_loaded {
            self.was_loaded = true;
            let offset = self.context.directory.read(ConfigReplica::next_offset);
            events::CONFIG_LOADED.write(logger, o!("offset" => offset));
        }
        for entry in report.feed.iter().flat_map(|frame| &frame.span.entries) {
            if let LogRecord::Change(change) = &entry.record {
                let values = o!("offset" => entry.offset, "resource" => change.resource.to_string());
                events::CONFIG_APPLIED.write(logger, values);
            }
        }
    }
}
