//! What a node knows of the software versions of streams, and which other nodes it has to tell.

use std::{
    collections::{BTreeSet, HashMap},
    time::{Duration, Instant},
};

use super::{
    config::{RelayConfig, RelayRoute},
    inputs::RequestDigest,
    route_targets::TargetHistory,
    stream_origins::{OriginFinding, OriginLedger, StreamKey, StreamOrigin},
    versions::{VersionDigest, VersionHistory, VersionTag},
};
use crate::ids::ServiceId;

/// Age of the last read of the list of runners up to which the list counts as recent.
const RECENT_LIST_AGE: Duration = Duration::from_secs(2);

/// A stream that begins at this node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BegunStream {
    /// Its origin.
    pub origin: StreamOrigin,
    /// Service of its runner.
    pub service: ServiceId,
    /// Longest time until its caller may take it up.
    pub life: Duration,
}

/// A read of the list of runners.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListRead {
    /// When the read began.
    pub began_at: Instant,
    /// When it ended.
    pub ended_at: Instant,
    /// Whether it went up to the end of the list, so that everything listed before it began is known.
    pub reaches_end: bool,
    /// Whether it was of the whole list, so that changes since the read before may be missing.
    pub is_complete: bool,
    /// Whether the deployment starts for the first time.
    pub is_first_start: bool,
}

/// Which other nodes have to be told where a stream began.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoticeScope {
    /// One keeper. One version serves, so the origin counts only if another version comes while the stream lasts and this
    /// node cannot tell of it any more then.
    OneKeeper,
    /// Both keepers and the recorder, because several versions may serve.
    All,
}

/// Records of streams, and the versions that served of late.
///
/// While it is certain that a service has runners of one version only, one other node is told where its streams began. All
/// that keep such records are told of the streams in flight once that ends. Times are those of a clock that counts
/// suspensions. See `docs/design/stream-versions.md`.
#[derive(Debug, Default)]
pub struct StreamVersions {
    ledger: OriginLedger,
    history: VersionHistory,
    targets: TargetHistory,
    /// Streams that began at this node, have not ended, and of which one keeper at most was told.
    untold: HashMap<StreamKey, (Instant, BegunStream)>,
    list_read_at: Option<Instant>,
    /// Time up to which everything that was listed is known.
    current_as_of: Option<Instant>,
}

impl StreamVersions {
    /// Records that the list of runners was read, and returns the streams of which all keepers have to be told by now.
    pub fn record_list<'a>(
        &mut self,
        read: ListRead,
        listed: impl IntoIterator<Item = (&'a ServiceId, VersionTag)>,
    ) -> Vec<StreamOrigin> {
        if read.is_complete {
            self.history.record_gap(read.ended_at);
            if read.is_first_start && self.list_read_at.is_none() {
                self.history.record_first_start();
            }
        }
        self.list_read_at = Some(read.ended_at);
        if read.reaches_end {
            // Two reads may overlap.
            self.current_as_of = self.current_as_of.max(Some(read.began_at));
        }
        self.sweep(read.ended_at, listed)
    }

    /// Records the versions that are listed now, and returns the streams of which all keepers have to be told by now.
    pub fn sweep<'a>(
        &mut self,
        now: Instant,
        listed: impl IntoIterator<Item = (&'a ServiceId, VersionTag)>,
    ) -> Vec<StreamOrigin> {
        self.history.observe(now, listed);
        self.history.forget(now);
        self.untold
            .retain(|_, (began_at, stream)| now.saturating_duration_since(*began_at) <= stream.life);
        let history = &self.history;
        let is_recent = is_recent(self.list_read_at, now);
        let due = self.untold.extract_if(|_, (_, stream)| {
            !is_recent || history.sole_version(now, [&stream.service], stream.life).is_none()
        });
        let mut due: Vec<StreamOrigin> = due.map(|(_, (_, stream))| stream.origin).collect();
        // The map's order differs by process.
        due.sort_unstable_by_key(|origin| origin.key);
        due
    }

    /// Returns the only version of a service that may have begun a stream within `life`, as far as this node knows. Other
    /// nodes may know better since the list was read.
    pub fn sole_version(&self, now: Instant, service: &ServiceId, life: Duration) -> Option<VersionTag> {
        self.sole_version_among(now, [service], life)
    }

    /// Returns the only version of some services that may have begun a stream within `life`, as far as this node knows.
    pub fn sole_version_among<'a>(
        &self,
        now: Instant,
        services: impl IntoIterator<Item = &'a ServiceId>,
        life: Duration,
    ) -> Option<VersionTag> {
        let sole = self.history.sole_version(now, services, life);
        sole.filter(|_| is_recent(self.list_read_at, now))
    }

    /// Returns the only version of some services that may have begun a stream which its caller took up at `taken_up_at`,
    /// if that is certain.
    ///
    /// Runners are listed before they begin a stream, so only a read of the list that began later shows all that may have
    /// begun this one.
    pub fn certain_version<'a>(
        &self,
        now: Instant,
        services: impl IntoIterator<Item = &'a ServiceId>,
        life: Duration,
        taken_up_at: Instant,
    ) -> Option<VersionTag> {
        let sole = self.history.sole_version(now, services, life);
        sole.filter(|_| self.has_list_of(taken_up_at))
    }

    /// Records that a configuration comes into force; `may_skip` says that versions between it and the one before may not
    /// have been read.
    pub fn record_config(&mut self, now: Instant, config: &RelayConfig, may_skip: bool, is_first_start: bool) {
        self.targets.record_config(now, config, may_skip, is_first_start);
    }

    /// Returns the services that may have begun a stream of a route within `life`, or `None` if some may not be known.
    pub fn services(&self, now: Instant, route: &RelayRoute, life: Duration) -> Option<BTreeSet<ServiceId>> {
        self.targets.services(now, route, life)
    }

    /// Returns whether everything that was listed until `at` is known.
    pub fn has_list_of(&self, at: Instant) -> bool {
        self.current_as_of.is_some_and(|known| known >= at)
    }

    /// Records that a stream begins at this node; returns which nodes have to be told of its origin now.
    pub fn begin(&mut self, now: Instant, stream: BegunStream) -> NoticeScope {
        let origin = stream.origin;
        self.ledger.record(now, origin);
        if self.sole_version(now, &stream.service, stream.life).is_none() {
            return NoticeScope::All;
        }
        self.untold.insert(origin.key, (now, stream));
        NoticeScope::OneKeeper
    }

    /// Records that a stream ended as complete, so that its caller does not come back.
    pub fn finish(&mut self, key: StreamKey) {
        self.untold.remove(&key);
    }

    /// Records where streams began that another node told of.
    pub fn learn(&mut self, now: Instant, origins: &[StreamOrigin]) {
        for origin in origins {
            self.ledger.record(now, *origin);
        }
    }

    /// Returns what this node knows of the stream that a request takes up.
    pub fn find(&self, key: StreamKey, digest: &RequestDigest) -> OriginFinding {
        self.ledger.find(key, digest)
    }

    /// Returns what other nodes should know of versions.
    pub fn digest(&self, now: Instant) -> VersionDigest {
        let list_age = self.list_read_at.map(|at| now.saturating_duration_since(at));
        VersionDigest {
            targets: self.targets.digest(now),
            ..self.history.digest(now, list_age)
        }
    }

    /// Takes over what a record in the log says of versions, and the versions that were listed since it was written.
    pub fn merge_record<'a>(
        &mut self,
        now: Instant,
        record: &VersionDigest,
        listed_since: impl IntoIterator<Item = (&'a ServiceId, VersionTag)>,
    ) {
        self.history.merge_record(now, record, listed_since);
        self.targets.merge(now, &record.targets);
    }

    /// Takes over what another node knows, from a message that was under way for `message_time` at most.
    pub fn merge(&mut self, now: Instant, digest: &VersionDigest, message_time: Duration) {
        self.history.merge(now, digest, message_time);
        self.targets.merge(now, &digest.targets);
    }
}

fn is_recent(list_read_at: Option<Instant>, now: Instant) -> bool {
    list_read_at.is_some_and(|at| now.saturating_duration_since(at) <= RECENT_LIST_AGE)
}
