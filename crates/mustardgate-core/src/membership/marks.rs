//! Backend servers that some node's list showed as leaving.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use super::message::LeavingMark;
use crate::ids::BackendId;

/// Backend servers known to be leaving, each with the age of the evidence.
///
/// Passing a mark on does not renew it, so that marks expire everywhere once no list shows the server as leaving.
#[derive(Clone, Debug, Default)]
pub(super) struct LeavingMarks {
    marks: BTreeMap<MarkKey, MarkAge>,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct MarkKey {
    backend: BackendId,
    address: SocketAddr,
}

/// Age of the evidence when it was received.
#[derive(Clone, Copy, Debug)]
struct MarkAge {
    received_at: Instant,
    age: Duration,
}

impl MarkAge {
    fn at(self, now: Instant) -> Duration {
        self.age + now.saturating_duration_since(self.received_at)
    }
}

impl LeavingMarks {
    /// Adds evidence; returns whether the server was not known to be leaving before.
    pub fn insert(&mut self, backend: &BackendId, address: SocketAddr, age: Duration, now: Instant) -> bool {
        let key = MarkKey {
            backend: backend.clone(),
            address,
        };
        let received = MarkAge { received_at: now, age };
        let known = self.marks.get(&key).copied();
        if known.is_none_or(|known| age < known.at(now)) {
            self.marks.insert(key, received);
        }
        known.is_none()
    }

    /// Drops evidence older than `retention`; returns whether there was any.
    pub fn expire(&mut self, retention: Duration, now: Instant) -> bool {
        let count = self.marks.len();
        self.marks.retain(|_, age| age.at(now) <= retention);
        self.marks.len() != count
    }

    /// Returns whether a server is known to be leaving.
    pub fn contains(&self, backend: &BackendId, address: SocketAddr) -> bool {
        self.marks.contains_key(&MarkKey {
            backend: backend.clone(),
            address,
        })
    }

    /// Returns the marks in the form in which they are sent to other nodes.
    pub fn to_messages(&self, now: Instant) -> Vec<LeavingMark> {
        let marks = self.marks.iter().map(|(key, age)| LeavingMark {
            backend: key.backend.clone(),
            address: key.address,
            age_ms: age.at(now).as_millis() as u64,
        });
        marks.collect()
    }
}
