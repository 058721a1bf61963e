//! The task that appends claims and outcomes of keys to the log in batches.

use std::{future, sync::Arc, time::Duration};

use mustardgate_core::{log::LogRecord, ports::PlatformLog};
use tokio::time;
use tokio_util::sync::CancellationToken;

use super::KeyCoordinator;

/// Interval at which pending keyed requests are checked for timeouts.
const TIMEOUT_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Appends claims and outcomes until `shutdown`, and once more after it so that the last outcomes are recorded.
pub async fn append_batches(coordinator: Arc<KeyCoordinator>, log: Arc<dyn PlatformLog>, shutdown: CancellationToken) {
    let mut ticks = time::interval(TIMEOUT_CHECK_INTERVAL);
    loop {
        tokio::select! {
            () = shutdown.cancelled() => break,
            () = coordinator.entry_queued() => {}
            () = sleep_until_next_append(&coordinator) => {}
            _ = ticks.tick() => coordinator.check_timeouts(),
        }
        append_next_batch(&coordinator, &*log).await;
    }
    if let Some(time) = coordinator.next_append() {
        time::sleep_until(time.into()).await;
        append_next_batch(&coordinator, &*log).await;
    }
}

async fn sleep_until_next_append(coordinator: &KeyCoordinator) {
    match coordinator.next_append() {
        Some(time) => time::sleep_until(time.into()).await,
        None => future::pending().await,
    }
}

async fn append_next_batch(coordinator: &KeyCoordinator, log: &dyn PlatformLog) {
    let Some(batch) = coordinator.next_batch() else {
        return;
    };
    let result = log.append(LogRecord::Batch(batch.clone())).await;
    coordinator.on_append(batch, result);
}
