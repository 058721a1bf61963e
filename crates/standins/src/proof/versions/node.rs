//! A node of the simulation: its knowledge of runners, other nodes and streams.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use mustardgate_core::{
    ids::{BackendId, ServiceId},
    relay::{ListRead, NodeMember, StreamOrigin, StreamVersions, VersionTag},
};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use smol_str::format_smolstr;

/// Time between two reads of the list of runners, in milliseconds.
const READ_INTERVAL_MS: std::ops::Range<u64> = 20..600;
/// Failure domains of the nodes.
const DOMAINS: usize = 3;

/// The list of runners as the log holds it.
#[derive(Debug)]
pub(super) struct SimulatedList<'a> {
    pub(super) runners: &'a BTreeMap<BackendId, VersionTag>,
    /// Number of changes that led to it.
    pub(super) position: usize,
}

#[derive(Debug)]
pub(super) struct SimulatedNode {
    pub(super) member: NodeMember,
    pub(super) versions: StreamVersions,
    /// Runners as this node last read them.
    pub(super) listed: BTreeMap<BackendId, VersionTag>,
    /// Until when it is down.
    pub(super) down_until: Option<Instant>,
    /// Whether it is cut off from other nodes and the list.
    pub(super) is_cut: bool,
    /// Since when the rules with a time bound hold for it.
    pub(super) in_touch_since: Instant,
    next_read: Instant,
    pub(super) next_report: Instant,
    has_read: bool,
    /// Number of changes of the list that it had read at its last read.
    pub(super) read_position: usize,
    /// Whether it has taken over what the log says of versions before its start.
    pub(super) is_joined: bool,
}

impl SimulatedNode {
    pub(super) fn new(number: usize, now: Instant) -> Self {
        Self {
            member: NodeMember {
                address: SocketAddr::from(([10, (number % DOMAINS) as u8, (number / 256) as u8, number as u8], 80)),
                domain: format_smolstr!("domain-{}", number % DOMAINS),
            },
            versions: StreamVersions::default(),
            listed: BTreeMap::new(),
            down_until: None,
            is_cut: false,
            in_touch_since: now,
            next_read: now,
            next_report: now,
            has_read: false,
            read_position: 0,
            is_joined: false,
        }
    }

    pub(super) fn is_up(&self) -> bool {
        self.down_until.is_none()
    }

    /// Ends the process, which knows nothing when it starts again.
    pub(super) fn kill(&mut self, now: Instant, down_time: Duration) {
        self.versions = StreamVersions::default();
        self.listed.clear();
        self.has_read = false;
        self.is_joined = false;
        self.down_until = Some(now + down_time);
    }

    pub(super) fn start(&mut self, now: Instant) {
        self.down_until = None;
        self.in_touch_since = now;
        self.next_read = now;
        self.next_report = now;
    }

    /// Reads the list if it is time; returns the streams of which others have to be told.
    pub(super) fn read_list(
        &mut self,
        now: Instant,
        list: &SimulatedList<'_>,
        service: &ServiceId,
        is_first_start: bool,
        rng: &mut ChaCha8Rng,
    ) -> Vec<StreamOrigin> {
        if now < self.next_read {
            return Vec::new();
        }
        self.next_read = now + Duration::from_millis(rng.random_range(READ_INTERVAL_MS));
        if self.is_cut {
            let listed = self.listed.values().map(|version| (service, *version));
            return self.versions.sweep(now, listed);
        }
        self.apply_list(now, list, service, is_first_start)
    }

    /// Reads the list for a caller who takes a stream up, unless the node is cut off from it.
    pub(super) fn refresh_list(
        &mut self,
        now: Instant,
        list: &SimulatedList<'_>,
        service: &ServiceId,
    ) -> Vec<StreamOrigin> {
        if self.is_cut || !self.has_read {
            return Vec::new();
        }
        self.apply_list(now, list, service, false)
    }

    fn apply_list(
        &mut self,
        now: Instant,
        list: &SimulatedList<'_>,
        service: &ServiceId,
        is_first_start: bool,
    ) -> Vec<StreamOrigin> {
        self.listed.clone_from(list.runners);
        self.read_position = list.position;
        let read = ListRead {
            began_at: now,
            ended_at: now,
            reaches_end: true,
            is_complete: !std::mem::replace(&mut self.has_read, true),
            is_first_start,
        };
        let listed = self.listed.values().map(|version| (service, *version));
        self.versions.record_list(read, listed)
    }
}
