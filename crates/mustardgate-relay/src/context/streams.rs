//! What this node knows of the software versions of streams, and the records that other nodes have to be told.

use std::{
    collections::BTreeSet,
    sync::{Mutex, MutexGuard},
    time::{Duration, Instant},
};

use metrics::counter;
use mustardgate_core::{
    ids::ServiceId,
    relay::{
        BegunStream, ListRead, NoticeScope, NumberingBook, NumberingEvidence, OriginFinding, RelayConfig, RelayRoute,
        RequestDigest, StreamKey, StreamOrigin, StreamVersions, VersionDigest, VersionTag,
    },
};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

use crate::{fleet::RunnerFleet, peers::MAX_MESSAGE_TIME};

/// Where a stream began, and which other nodes have to be told.
pub type StreamNotice = (StreamOrigin, NoticeScope);

/// Holds the versions of streams, and hands records to the task that tells other nodes.
///
/// Times are those of the clock that counts suspensions.
#[derive(Debug)]
pub struct StreamGuard {
    versions: Mutex<StreamVersions>,
    /// Whether the deployment starts for the first time.
    is_first_start: bool,
    outbox: UnboundedSender<StreamNotice>,
    /// Taken by the task that tells other nodes.
    pending: Mutex<Option<UnboundedReceiver<StreamNotice>>>,
    recorder: UnboundedSender<StreamOrigin>,
    /// How the identifiers of events rise in streams.
    numberings: Mutex<NumberingBook>,
    /// Taken by the task that writes to the log.
    unrecorded: Mutex<Option<UnboundedReceiver<StreamOrigin>>>,
}

impl StreamGuard {
    /// Creates a guard that knows nothing; `is_first_start` says that the deployment starts for the first time.
    pub fn new(is_first_start: bool) -> Self {
        let (outbox, pending) = unbounded_channel();
        let (recorder, unrecorded) = unbounded_channel();
        Self {
            versions: Mutex::default(),
            is_first_start,
            outbox,
            pending: Mutex::new(Some(pending)),
            recorder,
            numberings: Mutex::default(),
            unrecorded: Mutex::new(Some(unrecorded)),
        }
    }

    /// Returns the records to tell other nodes; only the first call does.
    pub fn take_pending(&self) -> Option<UnboundedReceiver<StreamNotice>> {
        self.pending.lock().expect("no holder of the lock panics").take()
    }

    /// Returns the records to write to the log; only the first call does.
    pub fn take_unrecorded(&self) -> Option<UnboundedReceiver<StreamOrigin>> {
        self.unrecorded.lock().expect("no holder of the lock panics").take()
    }

    /// Hands records to the task that writes them to the log.
    pub fn record_to_log(&self, origins: &[StreamOrigin]) {
        for origin in origins {
            if self.recorder.send(*origin).is_err() {
                counter!("mustardgate_stream_records_total", "outcome" => "unrecorded").increment(1);
            }
        }
    }

    /// Returns a read of the list of runners.
    pub fn list_read(&self, began_at: Instant, ended_at: Instant) -> ListRead {
        ListRead {
            began_at,
            ended_at,
            reaches_end: false,
            is_complete: false,
            is_first_start: self.is_first_start,
        }
    }

    /// Records that the list of runners was read and applied to the fleet.
    pub fn record_list(&self, read: ListRead, fleet: &RunnerFleet) {
        let listed = listed_versions(fleet);
        let listed = listed.iter().map(|(service, version)| (service, *version));
        let due = self.lock().record_list(read, listed);
        self.tell_all(due);
    }

    /// Records the versions that are listed now, and passes on streams of services that may have several by now.
    pub fn sweep(&self, now: Instant, fleet: &RunnerFleet) {
        let listed = listed_versions(fleet);
        let listed = listed.iter().map(|(service, version)| (service, *version));
        let due = self.lock().sweep(now, listed);
        self.tell_all(due);
    }

    /// Records that a configuration comes into force; `may_skip` says that versions between it and the one before may not
    /// have been read.
    pub fn record_config(&self, now: Instant, config: &RelayConfig, may_skip: bool) {
        self.lock().record_config(now, config, may_skip, self.is_first_start);
    }

    /// Returns the services that may have begun a stream of a route within `life`, or `None` if some may not be known.
    pub fn services(&self, now: Instant, route: &RelayRoute, life: Duration) -> Option<BTreeSet<ServiceId>> {
        self.lock().services(now, route, life)
    }

    /// Returns the only version of some services as far as this node knows, which other nodes may know better.
    pub fn sole_version(&self, now: Instant, services: &BTreeSet<ServiceId>, life: Duration) -> Option<VersionTag> {
        self.lock().sole_version_among(now, services, life)
    }

    /// Returns the only version of some services that may have begun a stream which its caller took up at `taken_up_at`, at
    /// most `life` after its begin, if that is certain.
    pub fn certain_version(
        &self,
        now: Instant,
        services: &BTreeSet<ServiceId>,
        life: Duration,
        taken_up_at: Instant,
    ) -> Option<VersionTag> {
        self.lock().certain_version(now, services, life, taken_up_at)
    }

    /// Returns whether everything that was listed until `at` is known.
    pub fn has_list_of(&self, at: Instant) -> bool {
        self.lock().has_list_of(at)
    }

    /// Records that a stream began at this node, whose first event is being passed on.
    pub fn begin(&self, now: Instant, stream: BegunStream) {
        let origin = stream.origin;
        let scope = self.lock().begin(now, stream);
        self.tell(origin, scope);
    }

    /// Records that a stream ended as complete, so that its caller does not come back.
    pub fn finish(&self, key: StreamKey) {
        self.lock().finish(key);
    }

    /// Records what a stream says of the identifiers of events that runners of a version write.
    pub fn record_numbering(&self, version: VersionTag, evidence: NumberingEvidence) {
        let mut numberings = self.numberings.lock().expect("no holder of the lock panics");
        numberings.record(version, evidence);
    }

    /// Returns what is known of the identifiers of events that runners of a version write.
    pub fn numbering(&self, version: VersionTag) -> NumberingEvidence {
        let numberings = self.numberings.lock().expect("no holder of the lock panics");
        numberings.evidence(version)
    }

    /// Records where streams began that another node told of.
    pub fn learn(&self, now: Instant, origins: &[StreamOrigin]) {
        self.lock().learn(now, origins);
    }

    /// Returns what this node knows of the stream that a request takes up.
    pub fn find(&self, key: StreamKey, digest: &RequestDigest) -> OriginFinding {
        self.lock().find(key, digest)
    }

    /// Returns what other nodes should know of versions.
    pub fn version_digest(&self, now: Instant) -> VersionDigest {
        self.lock().digest(now)
    }

    /// Takes over what another node knows of versions.
    pub fn merge_versions(&self, now: Instant, digest: &VersionDigest) {
        self.lock().merge(now, digest, MAX_MESSAGE_TIME);
    }

    /// Takes over what a record in the log says of versions, and the versions that were listed since it was written.
    pub fn merge_version_record(
        &self,
        now: Instant,
        record: &VersionDigest,
        listed_since: &BTreeSet<(ServiceId, VersionTag)>,
    ) {
        let listed = listed_since.iter().map(|(service, version)| (service, *version));
        self.lock().merge_record(now, record, listed);
    }

    fn tell_all(&self, origins: impl IntoIterator<Item = StreamOrigin>) {
        for origin in origins {
            self.tell(origin, NoticeScope::All);
        }
    }

    fn tell(&self, origin: StreamOrigin, scope: NoticeScope) {
        if self.outbox.send((origin, scope)).is_err() {
            // Without the task, as in a node without a listener for other nodes, nobody can be told.
            counter!("mustardgate_stream_records_total", "outcome" => "unheard").increment(1);
        }
    }

    fn lock(&self) -> MutexGuard<'_, StreamVersions> {
        self.versions.lock().expect("no holder of the lock panics")
    }
}

fn listed_versions(fleet: &RunnerFleet) -> Vec<(ServiceId, VersionTag)> {
    let cells = fleet.all();
    cells
        .iter()
        .map(|cell| (cell.listed().service.clone(), cell.version_tag()))
        .collect()
}
