//! The task that reads the log from its oldest record to its end, and then on.

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

/// Records read at once.
const PAGE_RECORDS: usize = 1_000;
/// Time between reads of the log's end while nothing is awaited.
const IDLE_POLL: Duration = Duration::from_secs(1);
/// Time between reads while the log is away.
const AWAY_POLL: Duration = Duration::from_millis(250);

/// Wakes the task that follows the records, and says whether the log answers.
#[derive(Debug, Default)]
pub struct RecordTail {
    wake: Notify,
    is_away: AtomicBool,
}

impl RecordTail {
    /// Has the log read at once, because this node has just appended to it.
    pub fn wake(&self) {
        self.wake.notify_one();
    }

    /// Returns whether the last read failed.
    pub fn is_away(&self) -> bool {
        self.is_away.load(Ordering::Relaxed)
    }
}

/// Follows the records until `shutdown` and hands them to every observer.
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
                    self.set_away(false);
                    self.take_page(from, &page);
                    if self.next.is_some_and(|next| next >= page.end) {
                        self.rest(IDLE_POLL).await;
                    }
                }
                Err(ReadError::Trimmed { earliest }) => {
                    self.set_away(false);
                    self.take_trim(earliest);
                }
                Err(ReadError::Unavailable) => {
                    self.set_away(true);
                    self.rest(AWAY_POLL).await;
                }
            }
        }
    }

    async fn rest(&self, limit: Duration) {
        tokio::select! {
            () = self.tail.wake.notified() => {}
            () = time::sleep(limit) => {}
        }
    }

    fn take_page(&mut self, from: Offset, page: &LogPage) {
        let now = clock::now();
        if self.next.is_none() {
            self.each(|observer| observer.on_start(from, now));
        }
        self.next = Some(page.entries.last().map_or(from, |entry| entry.offset + 1));
        self.each(|observer| {
            if !page.entries.is_empty() {
                observer.on_entries(&page.entries, now);
            }
            observer.on_bounds(page.earliest, page.end, now);
        });
    }

    fn take_trim(&mut self, earliest: Offset) {
        let now = clock::now();
        if self.next.is_none() {
            self.each(|observer| observer.on_start(earliest, now));
        } else {
            self.each(|observer| observer.on_gap(earliest, now));
        }
        self.next = Some(earliest);
    }

    fn set_away(&self, is_away: bool) {
        if self.tail.is_away.swap(is_away, Ordering::Relaxed) != is_away {
            let now = clock::now();
            self.each(|observer| observer.on_availability(is_away, now));
        }
    }

    fn each(&self, step: impl Fn(&dyn RecordObserver)) {
        for observer in &self.observers {
            step(&**observer);
        }
    }
}
