//! Follows and renews the lease in the log.

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
    ports::{ConditionalAppendError, LogTopic, TopicError, TopicPage},
};
use rand::Rng;
use serde::{Deserialize, Serialize};
use slog::o;
use tokio::time;

use crate::context::RelayContext;

/// Pause between two looks at the lease of a node that leads, as a part of the term.
const HOLDER_PAUSE_SHARE: u32 = 10;
/// Pause of a node that does not lead, as a part of the term.
const FOLLOWER_PAUSE_SHARE: u32 = 6;
/// Least time between two looks of one node while the leader answers.
const LOOK_INTERVAL: Duration = Duration::from_millis(1_500);
/// Looks in a second of all nodes together while the leader answers.
const LOOKS_PER_S: u32 = 2;

/// Accounts of loads by service.
pub(super) type LoadAccounts = BTreeMap<ServiceId, LoadAccount>;

/// A lease record with what other nodes need to know of its holder.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct LeaseEntry {
    pub(super) record: LeaseRecord,
    /// Address at which the holder answers other nodes.
    pub(super) address: SocketAddr,
    /// Loads that the holder began or may begin, for its successor.
    #[serde(default)]
    pub(super) loads: LoadAccounts,
}

/// Keeps the lease, or waits for it.
#[derive(Debug)]
pub struct LeaseTask {
    context: Arc<RelayContext>,
    address: SocketAddr,
    next: Option<Offset>,
    is_leading: bool,
    is_doubting: bool,
    looked_at: Option<Instant>,
}

impl LeaseTask {
    /// Creates the task of a node that other nodes reach at `address`.
    pub fn new(context: Arc<RelayContext>, address: SocketAddr) -> Self {
        Self {
            context,
            address,
            next: None,
            is_leading: false,
            is_doubting: false,
            looked_at: None,
        }
    }

    /// Runs until the node has given the lease up in a planned stop.
    pub async fn run(mut self) {
        loop {
            self.step().await;
            self.note_role();
            if self.context.drain.is_draining() && !self.is_leading {
                return;
            }
            time::sleep(self.pause()).await;
        }
    }

    async fn step(&mut self) {
        let is_read = self.is_leading || (self.is_due() && self.read().await);
        if !is_read {
            return;
        }
        let (Some(record), Some(at)) = (self.context.leader.poll_lease(), self.next) else {
            return;
        };
        let loads = match record.renews {
            // The node does not lead yet; its successor would learn nothing from it.
            None => LoadAccounts::new(),
            Some(_) => self.context.leader.account_loads(),
        };
        let entry = LeaseEntry {
            record,
            address: self.address,
            loads,
        };
        let mut value = Vec::new();
        ciborium::into_writer(&entry, &mut value).expect("a lease entry has no map with keys other than text");
        match self.context.ports.topics.append_at(LogTopic::Leases, at, value).await {
            Ok(offset) => {
                self.is_doubting = false;
                self.next = Some(offset + 1);
                self.context.leader.confirm_loads();
                self.context.leader.observe(offset, &entry);
            }
            Err(error) => {
                if error == ConditionalAppendError::NotAppended {
                    self.context.leader.append_failed();
                }
                self.doubt(&error.to_string());
                // Whether the record is there, or another one, only the log can tell.
                let is_away = !self.read().await;
                if is_away && self.context.settings.bounds.require_fencing && !self.context.drain.is_draining() {
                    self.context.leader.extend();
                }
            }
        }
    }

    /// Returns whether a node that does not lead is to look at the log now. While the leader answers, few look, and these
    /// only so that a successor has counted most of the term when it is needed.
    fn is_due(&mut self) -> bool {
        let nodes = self.context.directory.stated_nodes().max(1);
        let interval = LOOK_INTERVAL.max(Duration::from_secs(1) * nodes / LOOKS_PER_S);
        let now = clock::now();
        let is_due = !self.context.leader.has_contact()
            || self
                .looked_at
                .is_none_or(|at| now.saturating_duration_since(at) >= interval);
        if is_due {
            self.looked_at = Some(now);
        }
        is_due
    }

    /// Reads what was appended since the last read; returns whether all is known.
    async fn read(&mut self) -> bool {
        loop {
            let from = self.next.unwrap_or_default();
            let reading = self.context.ports.topics.read(LogTopic::Leases, from, Duration::ZERO);
            match reading.await {
                Ok(page) => {
                    if self.next.is_none() {
                        self.context.leader.start_lease(from);
                    }
                    self.is_doubting = false;
                    let is_end = page.records.is_empty();
                    self.take(&page);
                    if is_end {
                        return true;
                    }
                }
                Err(TopicError::Trimmed { earliest }) => {
                    self.context.leader.start_lease(earliest);
                    self.next = Some(earliest);
                }
                Err(error) => {
                    self.doubt(&error.to_string());
                    return false;
                }
            }
        }
    }

    fn take(&mut self, page: &TopicPage) {
        self.next = Some(page.next);
        for record in &page.records {
            let value = record.value.as_deref().unwrap_or_default();
            match ciborium::from_reader::<LeaseEntry, _>(value) {
                Ok(entry) => self.context.leader.observe(record.offset, &entry),
                Err(error) => self.doubt(&error.to_string()),
            }
        }
    }

    fn note_role(&mut self) {
        let token = self.context.leader.token();
        if token.is_some() == self.is_leading {
            return;
        }
        self.is_leading = token.is_some();
        self.context.leader.begin_term(token);
        let event = if self.is_leading {
            events::LEASE_GAINED
        } else {
            events::LEASE_LOST
        };
        event.write(
            self.context.log.logger(),
            o!("offset" => self.next.unwrap_or_default(), "token" => token.unwrap_or_default()),
        );
    }

    fn doubt(&mut self, reason: &str) {
        if std::mem::replace(&mut self.is_doubting, true) {
            return;
        }
        events::RELAY_LEASE_UNCERTAIN.write(
            self.context.log.logger(),
            o!("next" => self.next.unwrap_or_default(), "reason" => reason.to_owned()),
        );
    }

    fn pause(&self) -> Duration {
        let term = self.context.settings.bounds.lease_term();
        let share = if self.is_leading {
            HOLDER_PAUSE_SHARE
        } else {
            FOLLOWER_PAUSE_SHARE
        };
        (term / share).mul_f64(rand::rng().random_range(0.8..1.2))
    }
}
