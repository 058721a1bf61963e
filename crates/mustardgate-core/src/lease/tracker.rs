//! Follows the lease records of one failure domain and decides when to claim, renew or release.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use crate::{
    ids::{DomainId, NodeId, Offset},
    log::LeaseRecord,
};

/// Attempts per term to renew a lease, or to append a record when the log does not respond.
const RENEWALS_PER_TERM: u32 = 3;

/// Settings of one node for the lease of its failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseSettings {
    /// Failure domain of the lease.
    pub domain: DomainId,
    /// Name of this node.
    pub node: NodeId,
    /// Number drawn at random when the process started.
    pub session: u64,
    /// Duration of the lease.
    pub term: Duration,
    /// Time before the end of the term at which the holder stops acting.
    pub margin: Duration,
}

/// The newest lease record that took effect.
#[derive(Clone, Debug)]
struct EffectiveLease {
    offset: Offset,
    claim: Offset,
    is_own: bool,
    is_released: bool,
    /// When another node may claim: a full term after this node read the record.
    expires_at: Instant,
}

#[derive(Clone, Debug)]
struct PendingAppend {
    record: LeaseRecord,
    first_sent_at: Instant,
    sent_at: Instant,
    has_failed: bool,
}

/// Follows lease records by log order and decides what to append.
#[derive(Debug)]
pub struct LeaseTracker {
    settings: LeaseSettings,
    known_from: Option<Offset>,
    newest: Option<EffectiveLease>,
    /// Records that may be in effect, with the end of their terms, if the log before them was trimmed unread.
    candidates: BTreeMap<Offset, Instant>,
    pending: Option<PendingAppend>,
    held_until: Option<Instant>,
    /// Time for which this node leaves a vacant lease to others that are better placed to hold it.
    claim_delay: Duration,
    /// When this node first found that it may claim the lease without having read one.
    vacant_since: Option<Instant>,
    is_draining: bool,
    is_withdrawn: bool,
}

impl LeaseTracker {
    /// Creates a tracker that has read nothing and therefore claims nothing.
    pub fn new(settings: LeaseSettings) -> Self {
        Self {
            settings,
            known_from: None,
            newest: None,
            candidates: BTreeMap::new(),
            pending: None,
            held_until: None,
            claim_delay: Duration::ZERO,
            vacant_since: None,
            is_draining: false,
            is_withdrawn: false,
        }
    }

    /// Sets the time for which this node leaves a vacant lease to others that are better placed to hold it.
    #[must_use]
    pub fn with_claim_delay(mut self, delay: Duration) -> Self {
        self.claim_delay = delay;
        self
    }

    /// Starts reading the log at `from`, and discards earlier state because records before `from` may be unread.
    pub fn start(&mut self, from: Offset) {
        self.known_from = Some(from);
        self.newest = None;
        self.candidates.clear();
        self.pending = None;
        self.held_until = None;
        self.vacant_since = None;
    }

    /// Applies the lease record at `offset`; records of other failure domains are ignored.
    pub fn observe(&mut self, now: Instant, offset: Offset, record: &LeaseRecord) {
        if record.domain != self.settings.domain {
            return;
        }
        let expires_at = now + Duration::from_millis(record.term_ms);
        if !self.is_effective(record) {
            if self.newest.is_none() {
                // A pending claim whose window covers this offset cannot take effect; the next window starts after it.
                self.pending = None;
                self.candidates.insert(offset, expires_at);
            }
            return;
        }
        let is_own = record.holder == self.settings.node && record.session == self.settings.session;
        self.held_until = self.holding_end(record).filter(|_| is_own && !record.released);
        self.candidates.clear();
        self.pending = None;
        self.vacant_since = None;
        self.newest = Some(EffectiveLease {
            offset,
            claim: record.renews.unwrap_or(offset),
            is_own,
            is_released: record.released,
            expires_at,
        });
    }

    /// Returns the record to append now, if any; it counts as sent at `now`.
    pub fn poll(&mut self, now: Instant) -> Option<LeaseRecord> {
        if self.is_withdrawn && !self.is_draining {
            return None;
        }
        if let Some(pending) = &mut self.pending {
            let retry_at = pending.sent_at + self.settings.term / RENEWALS_PER_TERM;
            if !pending.has_failed && now < retry_at {
                return None;
            }
            pending.has_failed = false;
            pending.sent_at = now;
            return Some(pending.record.clone());
        }
        let record = self.next_record(now)?;
        if record.renews.is_none() && now < self.claims_from(now) {
            return None;
        }
        self.pending = Some(PendingAppend {
            record: record.clone(),
            first_sent_at: now,
            sent_at: now,
            has_failed: false,
        });
        Some(record)
    }

    /// Records that the last append certainly did not happen, so that it may be retried at once.
    pub fn append_failed(&mut self) {
        if let Some(pending) = &mut self.pending {
            pending.has_failed = true;
        }
    }

    /// Releases the lease as soon as it is held, and makes no more claims.
    pub fn drain(&mut self) {
        self.is_draining = true;
        if self.pending.as_ref().is_some_and(|pending| !pending.record.released) {
            self.pending = None;
        }
    }

    /// Sets whether the node neither renews nor claims, because it could not act as leader. The lease ends with its term,
    /// so that holders do not change within it.
    pub fn set_withdrawn(&mut self, is_withdrawn: bool) {
        self.is_withdrawn = is_withdrawn;
    }

    /// Gives up the expired claim, so that a late renewal does not restore it.
    pub fn forfeit(&mut self) {
        self.held_until = None;
        self.pending = None;
    }

    /// Returns the claim under which this node may act at `now`.
    pub fn held_claim(&self, now: Instant) -> Option<Offset> {
        let newest = self.newest.as_ref().filter(|newest| newest.is_own)?;
        self.held_until.filter(|until| now < *until).map(|_| newest.claim)
    }

    /// Returns the claim in force by log order, whoever holds it and whether or not its term has expired.
    pub fn claim_in_force(&self) -> Option<Offset> {
        let newest = self.newest.as_ref().filter(|newest| !newest.is_released)?;
        Some(newest.claim)
    }

    /// Returns whether every lease that this node has read has expired and it is not draining, so that it may succeed
    /// the leader without the log.
    pub fn has_expired(&self, now: Instant) -> bool {
        let newest = self.newest.as_ref().map(|newest| newest.expires_at);
        let ends = newest.into_iter().chain(self.candidates.values().copied());
        !self.is_draining && ends.max().is_none_or(|end| now >= end)
    }

    fn is_effective(&self, record: &LeaseRecord) -> bool {
        match (record.previous, &self.newest) {
            (Some(previous), Some(newest)) => previous == newest.offset,
            // The author of a record names only a predecessor that it knew to be in effect, which confirms a candidate.
            (Some(previous), None) => self.candidates.contains_key(&previous),
            (None, Some(newest)) => newest.offset < record.window,
            (None, None) => {
                let is_covered = self.known_from.is_some_and(|from| from <= record.window);
                is_covered && self.candidates.range(record.window..).next().is_none()
            }
        }
    }

    /// Returns from when on this node may claim the vacant lease.
    fn claims_from(&mut self, now: Instant) -> Instant {
        match &self.newest {
            Some(newest) if newest.is_own => now,
            Some(newest) if !newest.is_released => newest.expires_at + self.claim_delay,
            _ => *self.vacant_since.get_or_insert(now) + self.claim_delay,
        }
    }

    fn holding_end(&self, record: &LeaseRecord) -> Option<Instant> {
        let pending = self.pending.as_ref().filter(|pending| pending.record == *record)?;
        let term = Duration::from_millis(record.term_ms);
        Some(pending.first_sent_at + term.saturating_sub(self.settings.margin))
    }

    fn next_record(&self, now: Instant) -> Option<LeaseRecord> {
        let known_from = self.known_from?;
        match &self.newest {
            Some(newest) if newest.is_own && !newest.is_released && self.is_draining => {
                Some(self.record(Some(newest.offset), Some(newest.claim), true))
            }
            _ if self.is_draining || self.is_withdrawn => None,
            Some(newest) if self.held_claim(now).is_some() => {
                let until = self.held_until?;
                let renew_at = until.checked_sub(self.settings.term / RENEWALS_PER_TERM * (RENEWALS_PER_TERM - 1));
                renew_at
                    .is_none_or(|at| now >= at)
                    .then(|| self.record(Some(newest.offset), Some(newest.claim), false))
            }
            Some(newest) if newest.is_own || newest.is_released || now >= newest.expires_at => {
                Some(self.record(Some(newest.offset), None, false))
            }
            None if self.has_expired(now) => {
                let window = self.candidates.last_key_value().map_or(known_from, |last| last.0 + 1);
                let record = self.record(None, None, false);
                Some(LeaseRecord { window, ..record })
            }
            _ => None,
        }
    }

    fn record(&self, previous: Option<Offset>, renews: Option<Offset>, released: bool) -> LeaseRecord {
        LeaseRecord {
            domain: self.settings.domain.clone(),
            holder: self.settings.node.clone(),
            previous,
            term_ms: self.settings.term.as_millis() as u64,
            released,
            session: self.settings.session,
            renews,
            window: 0,
        }
    }
}
