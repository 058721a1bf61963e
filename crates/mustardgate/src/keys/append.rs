//! The task that appends claims and outcomes in batches.

use std::{future, sync::Arc, time::Duration};

use mustardgate_core::{log::LogRecord, ports::PlatformLog};
use tokio::time;
use tokio_util::sync::CancellationToken;

use super::KeyDesk;

/// Interval at which requests that have waited long enough are looked for.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Appends claims and outcomes until `shutdown`, and once more after it so that the last outcomes are kept.
pub async fn append_batches(desk: Arc<KeyDesk>, log: Arc<dyn PlatformLog>, shutdown: CancellationToken) {
    let mut ticks = time::interval(TICK_INTERVAL);
    loop {
        tokio::select! {
            () = shutdown.cancelled() => break,
            () = desk.woken() => {}
            () = until_next_append(&desk) => {}
            _ = ticks.tick() => desk.tick(),
        }
        append_next(&desk, &*log).await;
    }
    if let Some(time) = desk.next_append() {
        time::sleep_until(time.into()).await;
        append_next(&desk, &*log).await;
    }
}

async fn until_next_append(desk: &KeyDesk) {
    match desk.next_append() {
        Some(time) => time::sleep_until(time.into()).await,
        None => future::pending().await,
    }
}

async fn append_next(desk: &KeyDesk, log: &dyn PlatformLog) {
    let Some(batch) = desk.next_batch() else { return };
    let answer = log.append(LogRecord::Batch(batch.clone())).await;
    desk.on_append(batch, answer);
}
