//! Reads, claims and renews the lease in the log.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use mustardgate::events;
use mustardgate_core::{
    clock,
    ids::{Offset, ServiceId},
    log::LeaseRecord,
    placement::share::LoadAccount,
    ports::{ConditionalAppendError, LogEra, LogTopic, TopicError, TopicPage, TopicPosition},
};
use rand::Rng;
use serde::{Deserialize, Serialize};
use slog::o;
use tokio::time;

use crate::context::RelayContext;

/// The leader pauses for the term divided by this between two renewal checks.
const HOLDER_PAUSE_DIVISOR: u32 = 10;
/// A node that does not lead pauses for the term divided by this between two checks of the lease.
const FOLLOWER_PAUSE_DIVISOR: u32 = 6;
/// Shortest time between two reads of the lease by one follower while the leader answers.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(1_500);
/// Reads of the lease per second by all followers together while the leader answers.
const READS_PER_S: u32 = 2;

/// Load accounts by service.
pub(super) type LoadAccounts = BTreeMap<ServiceId, LoadAccount>;

/// A lease record with what other nodes need to know about its holder.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct LeaseEntry {
    pub(super) record: LeaseRecord,
    /// Address at which the holder answers other nodes.
    pub(super) address: SocketAddr,
    /// Loads that the holder has started or may start, which its successor continues to count.
    #[serde(default)]
    pub(super) loads: LoadAccounts,
    /// Era of the log as its author knew it.
    #[serde(default)]
    pub(super) era: LogEra,
    /// Number of nodes that the holder knows, for nodes that start while no leader answers and share quotas; 0 if unknown.
    #[serde(default, skip_serializing_if = "is_default")]
    pub(super) nodes: u32,
}

fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}

/// Renews the lease while this node holds it, and otherwise waits to claim it.
#[derive(Debug)]
pub struct LeaseTask {
    context: Arc<RelayContext>,
    address: SocketAddr,
    next: Option<TopicPosition>,
    /// Earliest offset that is kept, if the log before it was trimmed unread.
    trimmed_to: Option<Offset>,
    is_leading: bool,
    has_reported_problem: bool,
    last_read_at: Option<Instant>,
    /// When the log was last found to be restored, on the lease's clock.
    restored_at: Option<Instant>,
}

impl LeaseTask {
    /// Creates the task of a node that other nodes reach at `address`.
    pub fn new(context: Arc<RelayContext>, address: SocketAddr) -> Self {
        Self {
            context,
            address,
            next: None,
            trimmed_to: None,
            is_leading: false,
            has_reported_problem: false,
            last_read_at: None,
            restored_at: None,
        }
    }

    /// Runs until a planned stop, in which a leader releases the lease first.
    pub async fn run(mut self) {
        loop {
            self.step().await;
            self.update_role();
            if self.context.drain.is_draining() && !self.is_leading {
                return;
            }
            time::sleep(self.pause()).await;
        }
    }

    async fn step(&mut self) {
        self.context.leader.set_withdrawn(self.context.link.is_cut());
        let is_read = self.is_leading || (self.is_due() && self.read().await);
        if !is_read || self.is_in_doubt() {
            return;
        }
        let (Some(record), Some(at)) = (self.context.leader.poll_lease(), self.next) else {
            return;
        };
        let loads = match record.renews {
            // A claim: the node does not lead yet and has no loads to pass on.
            None => LoadAccounts::new(),
            Some(_) => self.context.leader.load_accounts(),
        };
        let entry = LeaseEntry {
            record,
            address: self.address,
            loads,
            era: at.era.unwrap_or_default(),
            nodes: self.quota_nodes(),
        };
        let mut value = Vec::new();
        ciborium::into_writer(&entry, &mut value).expect("a lease entry has no map with keys other than text");
        match self.context.ports.topics.append_at(LogTopic::Leases, at, value).await {
            Ok(offset) => {
                self.has_reported_problem = false;
                self.next = Some(TopicPosition {
                    offset: offset + 1,
                    ..at
                });
                self.context.leader.confirm_loads();
                self.context.leader.observe(offset, &entry);
            }
            Err(error) => {
                match error {
                    ConditionalAppendError::NotAppended => self.context.leader.append_failed(),
                    ConditionalAppendError::Restored => self.restart(),
                    ConditionalAppendError::Moved { .. } | ConditionalAppendError::Unknown => {}
                }
                self.report_problem(&error.to_string());
                // Read the log to see whether this record or another one was appended.
                let is_log_unavailable = !self.read().await;
                if is_log_unavailable
                    && self.context.settings.bounds.require_fencing
                    && !self.context.drain.is_draining()
                {
                    self.context.leader.extend();
                }
            }
        }
    }

    /// Returns the number of nodes that share quotas, or 0 where no tenant has one.
    fn quota_nodes(&self) -> u32 {
        let routes = self.context.routes.current();
        let has_quotas = routes.is_some_and(|routes| !routes.quotas.is_empty());
        if has_quotas { self.context.sharing_nodes() } else { 0 }
    }

    /// Returns whether a node that does not lead must read the log now. While the leader answers, nodes read rarely,
    /// but often enough that a successor has already waited for most of the term when the leader fails.
    fn is_due(&mut self) -> bool {
        let nodes = self.context.directory.node_count().max(1);
        let interval = MIN_READ_INTERVAL.max(Duration::from_secs(1) * nodes / READS_PER_S);
        let now = clock::now();
        let is_due = !self.context.leader.has_contact()
            || self
                .last_read_at
                .is_none_or(|at| now.saturating_duration_since(at) >= interval);
        if is_due {
            self.last_read_at = Some(now);
        }
        is_due
    }

    /// Reads the records appended since the last read; returns whether the end of the log was reached.
    async fn read(&mut self) -> bool {
        loop {
            let start = TopicPosition {
                era: None,
                offset: self.trimmed_to.unwrap_or_default(),
            };
            let from = self.next.unwrap_or(start);
            let reading = self.context.ports.topics.read(LogTopic::Leases, from, Duration::ZERO);
            match reading.await {
                Ok(page) => {
                    if self.next.is_none() {
                        self.context.leader.start_lease(page.era, from.offset);
                    }
                    self.has_reported_problem = false;
                    let is_end = page.records.is_empty();
                    self.observe_page(&page);
                    if is_end {
                        return true;
                    }
                }
                Err(TopicError::Trimmed { earliest }) => {
                    self.trimmed_to = Some(earliest);
                    self.next = None;
                }
                Err(TopicError::Restored) => self.restart(),
                Err(error) => {
                    self.report_problem(&error.to_string());
                    return false;
                }
            }
        }
    }

    /// Returns whether the log was restored less than a term ago: a holder whose claim was lost with it may still act.
    fn is_in_doubt(&self) -> bool {
        let now = self.context.leader.lease_time();
        let term = self.context.settings.bounds.lease_term();
        self.restored_at
            .is_some_and(|at| now.saturating_duration_since(at) < term)
    }

    /// Starts reading the lease anew after the log was restored: records that were read may be gone, and their offsets
    /// given to others.
    fn restart(&mut self) {
        self.context.leader.restart_lease();
        self.restored_at = Some(self.context.leader.lease_time());
        self.trimmed_to = None;
        self.next = None;
        self.report_problem(&TopicError::Restored.to_string());
    }

    fn observe_page(&mut self, page: &TopicPage) {
        self.trimmed_to = None;
        self.next = Some(page.end());
        for record in &page.records {
            let value = record.value.as_deref().unwrap_or_default();
            match ciborium::from_reader::<LeaseEntry, _>(value) {
                Ok(entry) => self.context.leader.observe(record.offset, &entry),
                Err(error) => self.report_problem(&error.to_string()),
            }
        }
    }

    fn update_role(&mut self) {
        let token = self.context.leader.token();
        if token.is_some() == self.is_leading {
            return;
        }
        self.is_leading = token.is_some();
        let has_fencing = self.context.settings.bounds.require_fencing;
        self.context.leader.begin_term(token, has_fencing);
        let event = if self.is_leading {
            events::LEASE_GAINED
        } else {
            events::LEASE_LOST
        };
        event.write(
            self.context.log.logger(),
            o!("offset" => self.next.unwrap_or_default().offset, "token" => token.unwrap_or_default()),
        );
    }

    fn report_problem(&mut self, reason: &str) {
        if std::mem::replace(&mut self.has_reported_problem, true) {
            return;
        }
        events::RELAY_LEASE_UNCERTAIN.write(
            self.context.log.logger(),
            o!("next" => self.next.unwrap_or_default().offset, "reason" => reason.to_owned()),
        );
    }

    fn pause(&self) -> Duration {
        let term = self.context.settings.bounds.lease_term();
        let divisor = if self.is_leading {
            HOLDER_PAUSE_DIVISOR
        } else {
            FOLLOWER_PAUSE_DIVISOR
        };
        (term / divisor).mul_f64(rand::rng().random_range(0.8..1.2))
    }
}
