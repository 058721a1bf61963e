//! What this node knows of inputs under which runners crash.

use std::{
    ops::Range,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use mustardgate::events;
use mustardgate_core::{
    clock,
    ids::RequestId,
    relay::{
        ChangeNumber, CrashDigest, CrashLedger, CrashPage, CrashReportCursor, CrashSettings, CrashSummary, InputId,
        LedgerSummary, ListedRunner, PageRequest,
    },
};
use rand::Rng;
use slog::{Logger, o};
use tokio::sync::Notify;

/// Range from which each process draws the number before its first change, so that numbers of a former process are not
/// taken for its own.
const FIRST_CHANGES: Range<ChangeNumber> = 1..1 << 52;

/// Time for which a summary serves for the pages of other nodes.
const SUMMARY_TIME: Duration = Duration::from_millis(500);

/// Holds the crash ledger of this node, which is exchanged with other nodes.
#[derive(Debug)]
pub struct CrashGuard {
    ledger: Mutex<CrashLedger>,
    changed: Notify,
    /// Summary with which those of other nodes are compared, and when it was made.
    recent_summary: Mutex<Option<(Instant, Arc<LedgerSummary>)>>,
    /// Tells the task that keeps what must outlast all nodes.
    news: Notify,
    /// Whether that was read at the start, or could not be read for a while.
    is_loaded: AtomicBool,
    started_at: Instant,
    logger: Logger,
}

impl CrashGuard {
    /// Creates a guard that knows of no crash.
    pub fn new(settings: CrashSettings, logger: Logger) -> Self {
        Self {
            ledger: Mutex::new(CrashLedger::new(settings).with_changes_from(rand::rng().random_range(FIRST_CHANGES))),
            changed: Notify::new(),
            recent_summary: Mutex::default(),
            news: Notify::new(),
            is_loaded: AtomicBool::new(false),
            started_at: clock::now(),
            logger,
        }
    }

    /// Returns whether a request must not be sent because runners crash under one of its inputs.
    pub fn refuses(&self, inputs: impl IntoIterator<Item = InputId>) -> bool {
        self.lock().refuses(clock::now(), inputs)
    }

    /// Records that a runner crashed when it processed these inputs of a request; returns whether another one did so
    /// before.
    pub fn record_crash(&self, runner: &ListedRunner, request: &RequestId, inputs: &[InputId]) -> bool {
        let process = (runner.id.clone(), runner.started_at_ms);
        let now = clock::now();
        let mut ledger = self.lock();
        let revision = ledger.revision();
        ledger.record_crash(now, &process, inputs.iter().copied());
        events::RELAY_RUNNER_CRASHED.write(
            &self.logger,
            o!(
                "uptime_ms" => now.saturating_duration_since(self.started_at).as_millis() as u64,
                "crashes" => ledger.crash_count(inputs.iter().copied()),
                "digests" => describe(inputs, digest_text),
                "parts" => describe(inputs, part_text),
                "backend" => runner.id.to_string(),
                "request" => request.to_string(),
            ),
        );
        self.update(&mut ledger, now, revision);
        self.changed.notify_one();
        ledger.is_repeated(inputs.iter().copied())
    }

    /// Records that a request was answered beyond the point at which runners crash.
    pub fn record_sound(&self, inputs: impl IntoIterator<Item = InputId>) {
        self.lock().record_sound(clock::now(), inputs);
    }

    /// Completes once this node has observed a crash since the last call.
    pub async fn next_crash(&self) {
        self.changed.notified().await;
    }

    /// Returns what the leader has to be told after what it was told before, and what it knows then.
    pub fn report(&self, cursor: &CrashReportCursor, max_entries: usize) -> (CrashDigest, CrashReportCursor) {
        self.updated(|ledger, now| ledger.report(now, cursor, max_entries))
    }

    /// Returns what the nodes that this one leads should know.
    pub fn suspect_digest(&self) -> CrashDigest {
        self.updated(CrashLedger::suspect_digest)
    }

    /// Returns a part of that which a node lacks. The summaries of many nodes are compared with the same one of this node.
    pub fn suspect_page(&self, request: PageRequest<'_>) -> CrashPage {
        let own = request.known.map(|_| self.recent_summary());
        self.updated(|ledger, now| {
            let own = own.as_deref();
            ledger.suspect_page(now, PageRequest { own, ..request })
        })
    }

    fn recent_summary(&self) -> Arc<LedgerSummary> {
        let mut recent = self.recent_summary.lock().expect("no holder of the lock panics");
        let now = clock::now();
        let is_recent = |at: Instant| now.saturating_duration_since(at) < SUMMARY_TIME;
        if let Some((at, summary)) = recent.as_ref()
            && is_recent(*at)
        {
            return Arc::clone(summary);
        }
        let summary = Arc::new(self.updated(CrashLedger::ledger_summary));
        *recent = Some((now, Arc::clone(&summary)));
        summary
    }

    /// Returns a summary of what a leader tells all nodes, for a leader that has not told this node anything.
    pub fn suspect_summary(&self) -> CrashSummary {
        self.updated(CrashLedger::suspect_summary)
    }

    /// Returns what has become known after a change, for nodes without a leader.
    pub fn news_page(&self, seen: ChangeNumber, max_entries: usize) -> CrashPage {
        self.updated(|ledger, now| ledger.news_page(now, seen, max_entries))
    }

    /// Returns a summary of everything that this node knows, for nodes without a leader.
    pub fn summary(&self) -> CrashSummary {
        self.updated(CrashLedger::summary)
    }

    /// Returns a part of what a node with this summary lacks, for nodes without a leader.
    pub fn missing_page(&self, known: &CrashSummary, max_entries: usize) -> CrashDigest {
        self.updated(|ledger, now| ledger.missing_page(now, known, max_entries))
    }

    /// Returns the newest part of everything that this node knows, for nodes of earlier builds without a leader.
    pub fn newest_digest(&self, max_crashes: usize) -> CrashDigest {
        self.updated(|ledger, now| ledger.newest_digest(now, max_crashes))
    }

    /// Returns the number of the last change.
    pub fn last_change(&self) -> ChangeNumber {
        self.lock().last_change()
    }

    /// Returns what must outlast all nodes.
    pub fn lasting_digest(&self) -> CrashDigest {
        self.updated(CrashLedger::lasting_digest)
    }

    /// Returns for how long a crash counts.
    pub fn crash_memory(&self) -> Duration {
        self.lock().crash_memory()
    }

    /// Returns whether no crash and no quarantine is known.
    pub fn is_empty(&self) -> bool {
        self.lock().is_empty()
    }

    /// Completes once a crash, or the begin or end of a quarantine, has become known since the last call.
    pub async fn next_news(&self) {
        self.news.notified().await;
    }

    /// Records that the log was read for what former processes knew, or that the node no longer waits for it.
    pub fn set_loaded(&self) {
        self.is_loaded.store(true, Ordering::Relaxed);
    }

    /// Returns whether the node need not wait for what former processes knew.
    pub fn is_loaded(&self) -> bool {
        self.is_loaded.load(Ordering::Relaxed)
    }

    fn updated<T>(&self, digest: impl FnOnce(&CrashLedger, Instant) -> T) -> T {
        let now = clock::now();
        let mut ledger = self.lock();
        let revision = ledger.revision();
        self.update(&mut ledger, now, revision);
        digest(&ledger, now)
    }

    /// Takes over what another node knows.
    pub fn merge(&self, digest: &CrashDigest) {
        let now = clock::now();
        let mut ledger = self.lock();
        let revision = ledger.revision();
        ledger.merge(now, digest);
        self.update(&mut ledger, now, revision);
    }

    /// Brings the ledger up to date, and tells what has changed since an earlier revision.
    fn update(&self, ledger: &mut CrashLedger, now: Instant, revision: u64) {
        let added = ledger.update(now);
        if ledger.revision() != revision {
            self.news.notify_one();
        }
        for (input, crashes) in added {
            events::RELAY_INPUT_QUARANTINED.write(
                &self.logger,
                o!(
                    "crashes" => crashes,
                    "digest" => digest_text(&input).unwrap_or_default(),
                    "part" => part_text(&input).unwrap_or_default(),
                ),
            );
        }
    }

    fn lock(&self) -> MutexGuard<'_, CrashLedger> {
        self.ledger.lock().expect("no holder of the lock panics")
    }
}

fn describe(inputs: &[InputId], text: impl Fn(&InputId) -> Option<String>) -> String {
    let texts: Vec<String> = inputs.iter().filter_map(text).collect();
    texts.join(",")
}

fn part_text(input: &InputId) -> Option<String> {
    match input {
        InputId::Part(part) => Some(format!("{part:x}")),
        InputId::Request(_) => None,
    }
}

fn digest_text(input: &InputId) -> Option<String> {
    match input {
        InputId::Part(_) => None,
        InputId::Request(digest) => Some(digest.to_string()),
    }
}
