//! How long the log keeps records: by number, by age, or both.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use mustardgate_core::ids::Offset;

/// How long records are kept; whichever limit is reached first applies.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RetentionPolicy {
    /// Number of records that are kept.
    pub max_records: Option<u64>,
    /// Age up to which records are kept.
    pub max_age: Option<Duration>,
}

/// Tracks when each record was appended, to find those that are no longer kept.
#[derive(Debug)]
pub struct RetentionTracker {
    policy: RetentionPolicy,
    appended: VecDeque<AppendTime>,
    earliest: Offset,
}

#[derive(Clone, Copy, Debug)]
struct AppendTime {
    offset: Offset,
    at: Instant,
}

impl RetentionTracker {
    /// Creates a tracker for an empty log.
    pub fn new(policy: RetentionPolicy) -> Self {
        Self {
            policy,
            appended: VecDeque::new(),
            earliest: 0,
        }
    }

    /// Notes `now` as the append time of all new records before `end`.
    pub fn note_end(&mut self, end: Offset, now: Instant) {
        let next = self.appended.back().map_or(self.earliest, |last| last.offset + 1);
        self.appended
            .extend((next..end).map(|offset| AppendTime { offset, at: now }));
    }

    /// Returns the offset before which records are no longer kept.
    pub fn earliest(&mut self, now: Instant) -> Offset {
        while self.appended.front().is_some_and(|first| self.is_expired(*first, now)) {
            if let Some(first) = self.appended.pop_front() {
                self.earliest = first.offset + 1;
            }
        }
        self.earliest
    }

    fn is_expired(&self, record: AppendTime, now: Instant) -> bool {
        let is_surplus = self
            .policy
            .max_records
            .is_some_and(|max_records| self.appended.len() as u64 > max_records);
        let is_old = self
            .policy
            .max_age
            .is_some_and(|max_age| now.saturating_duration_since(record.at) > max_age);
        is_surplus || is_old
    }
}
