//! The task that replays the log from its oldest record, and then follows its end.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use mustardgate_core::{
    clock,
    ids::Offset,
    ports::{LogPage, PlatformLog, ReadError},
};
use tokio::{sync::Notify, time};
use tokio_util::sync::CancellationToken;

use super::RecordObserver;

/// Maximum number of records in one read.
const PAGE_RECORDS: usize = 1_000;
/// Time between reads at the log's end, unless the task is woken.
const IDLE_POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Time between reads while the log is unavailable, unless the task is woken.
const UNAVAILABLE_POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Handle of the task that follows the records: wakes it, and shows whether the log is available.
#[derive(Debug, Default)]
pub struct RecordTail {
    wake: Notify,
    is_log_unavailable: AtomicBool,
}

impl RecordTail {
    /// Makes the task read the log at once, because this node just appended to it.
    pub fn wake(&self) {
        self.wake.notify_one();
    }

    /// Returns whether the log was unavailable at the last read.
    pub fn is_log_unavailable(&self) -> bool {
        self.is_log_unavailable.load(Ordering::Relaxed)
    }
}

/// Follows the records until `shutdown` and passes them to every observer.
pub async fn follow_records(
    log: Arc<dyn PlatformLog>,
    tail: Arc<RecordTail>,
    observers: Vec<Arc<dyn RecordObserver>>,
    shutdown: CancellationToken,
) {
    let mut reader = TailReader {
        log,
        tail,
        observers,
        next: None,
    };
    tokio::select! {
        () = shutdown.cancelled() => {}
        () = reader.run() => {}
    }
}

#[derive(Debug)]
struct TailReader {
    log: Arc<dyn PlatformLog>,
    tail: Arc<RecordTail>,
    observers: Vec<Arc<dyn RecordObserver>>,
    next: Option<Offset>,
}

impl TailReader {
    async fn run(&mut self) {
        loop {
            let from = self.next.unwrap_or_default();
            match self.log.read(from, PAGE_RECORDS).await {
                Ok(page) => {
                    self.set_unavailable(false);
                    self.process_page(from, &page);
                    if self.next.is_some_and(|next| next >= page.end) {
                        self.wait(IDLE_POLL_INTERVAL).await;
                    }
                }
                Err(ReadError::Trimmed { earliest }) => {
                    self.set_unavailable(false);
                    self.process_trim(earliest);
                }
                Err(ReadError::Unavailable) => {
                    self.set_unavailable(true);
                    self.wait(UNAVAILABLE_POLL_INTERVAL).await;
                }
            }
        }
    }

    async fn wait(&self, limit: Duration) {
        tokio::select! {
            () = self.tail.wake.notified() => {}
            () = time::sleep(limit) => {}
        }
    }

    fn process_page(&mut self, from: Offset, page: &LogPage) {
        let now = clock::now();
        if self.next.is_none() {
            self.notify(|observer| observer.on_start(from, now));
        }
        self.next = Some(page.entries.last().map_or(from, |entry| entry.offset + 1));
        self.notify(|observer| {
            if !page.entries.is_empty() {
                observer.on_entries(&page.entries, now);
            }
            observer.on_bounds(page.earliest, page.end, now);
        });
    }

    fn process_trim(&mut self, earliest: Offset) {
        let now = clock::now();
        if self.next.is_none() {
            self.notify(|observer| observer.on_start(earliest, now));
        } else {
            self.notify(|observer| observer.on_gap(earliest, now));
        }
        self.next = Some(earliest);
    }

    fn set_unavailable(&self, is_unavailable: bool) {
        if self.tail.is_log_unavailable.swap(is_unavailable, Ordering::Relaxed) != is_unavailable {
            let now = clock::now();
            self.notify(|observer| observer.on_availability(is_unavailable, now));
        }
    }

    fn notify(&self, call: impl Fn(&dyn RecordObserver)) {
        for observer in &self.observers {
            call(&**observer);
        }
    }
}
