//! Reads the reports of runners in turn.

use std::time::Duration;

use futures::future::join_all;
use mustardgate_core::{clock, ids::BackendId, ports::EngineControl};
use tokio::time::{self, MissedTickBehavior};
use tokio_util::sync::CancellationToken;

use super::RunnerBoard;

/// Reads the reports of the runners that `assigned` names, once an interval, until `shutdown`.
pub async fn poll_reports(
    board: &RunnerBoard,
    engines: &dyn EngineControl,
    assigned: impl Fn() -> Vec<BackendId>,
    interval: Duration,
    shutdown: CancellationToken,
) {
    let mut ticks = time::interval(interval);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            () = shutdown.cancelled() => return,
            _ = ticks.tick() => {}
        }
        let backends = assigned();
        join_all(backends.iter().map(|backend| read_report(board, engines, backend))).await;
    }
}

async fn read_report(board: &RunnerBoard, engines: &dyn EngineControl, backend: &BackendId) {
    let asked = clock::now();
    let Ok(report) = engines.report(backend).await else {
        return;
    };
    board.update(backend, report, asked);
}
