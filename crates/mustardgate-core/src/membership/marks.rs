//! Memory of backend servers that some node's list showed as leaving.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use super::message::LeavingMark;
use crate::ids::BackendId;

/// Backend servers known to be leaving, each with the age of the evidence.
///
/// Passing a mark on does not renew it, so that marks end everywhere when no list shows the server any more.
#[derive(Clone, Debug, Default)]
pub(super) struct LeavingMarks {
    marks: BTreeMap<MarkKey, MarkAge>,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct MarkKey {
    backend: BackendId,
    address: SocketAddr,
}

/// Age of the evidence at the time when it was taken in.
#[derive(Clone, Copy, Debug)]
struct MarkAge {
    taken_in: Instant,
    age: Duration,
}

impl MarkAge {
    fn at(self, now: Instant) -> Duration {
        self.age + now.saturating_duration_since(self.taken_in)
    }
}

impl LeavingMarks {
    /// Takes in evidence; returns whether the server was not known to be leaving before.
    pub fn insert(&mut self, backend: &BackendId, address: SocketAddr, age: Duration, now: Instant) -> bool {
        let key = MarkKey {
            backend: backend.clone(),
            address,
        };
        let taken = MarkAge { taken_in: now, age };
        let known = self.marks.get(&key).copied();
        if known.is_none_or(|known| age < known.at(now)) {
            self.marks.insert(key, taken);
        }
        known.is_none()
    }

    /// Drops evidence older than `memory`; returns whether there was any.
    pub fn expire(&mut self, memory: Duration, now: Instant) -> bool {
        let count = self.marks.len();
        self.marks.retain(|_, age| age.at(now) <= memory);
        self.marks.len() != count
    }

    /// Returns whether a server is known to be leaving.
    pub fn contains(&self, backend: &BackendId, address: SocketAddr) -> bool {
        self.marks.contains_key(&MarkKey {
            backend: backend.clone(),
            address,
        })
    }

    /// Returns the marks as they are passed on.
    pub fn to_messages(&self, now: Instant) -> Vec<LeavingMark> {
        let marks = self.marks.iter().map(|(key, age)| LeavingMark {
            backend: key.backend.clone(),
            address: key.address,
            age_ms: age.at(now).as_millis() as u64,
        });
        marks.collect()
    }
}
