//! Software versions of runners, and which of them served of late; what runners of two versions write does not fit
//! together.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use derive_more::Display;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use smol_str::SmolStr;

use super::route_targets::TargetDigest;
use crate::ids::{RunnerProcess, ServiceId};

/// Extension of the time for which a version counts after it was seen, because it is looked for periodically.
const OBSERVATION_INTERVAL: Duration = Duration::from_secs(1);

/// Time for which versions are remembered; where streams last longer, none is certain.
const VERSION_MEMORY: Duration = Duration::from_secs(300);

/// Time that stands for the first start of the deployment in messages, longer than any stream lasts.
const FIRST_START_AGE: Duration = Duration::from_secs(86_400);

/// Version of the software of a runner process, not of the weights that it holds.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum SoftwareVersion {
    /// The version that the runner states.
    #[display("{_0}")]
    Stated(SmolStr),
    /// The runner states none, so that the version of no other process is known to be the same.
    #[display("unknown of {}", _0.0)]
    Unknown(RunnerProcess),
}

impl SoftwareVersion {
    /// Returns the version that a process states; an empty text states none.
    pub fn of(stated: &str, process: RunnerProcess) -> Self {
        match stated.trim() {
            "" => Self::Unknown(process),
            stated => Self::Stated(stated.into()),
        }
    }

    /// Returns the short form of the version of a service, which all nodes compute alike.
    pub fn tag(&self, service: &ServiceId) -> VersionTag {
        let mut hash = Sha256::new();
        let mut update = |field: &[u8]| {
            hash.update((field.len() as u64).to_be_bytes());
            hash.update(field);
        };
        update(service.as_bytes());
        match self {
            Self::Stated(version) => update(version.as_bytes()),
            Self::Unknown((id, started_at_ms)) => {
                update(id.as_bytes());
                update(&started_at_ms.to_be_bytes());
            }
        }
        VersionTag(leading_number(&hash.finalize()))
    }
}

/// Short form of a service and a version of its runners.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[display("{_0:016x}")]
pub struct VersionTag(u64);

impl VersionTag {
    /// Returns the tag that a record holds as this number.
    pub(super) fn from_number(number: u64) -> Self {
        Self(number)
    }

    /// Returns the number that stands for the tag in records.
    pub(super) fn number(self) -> u64 {
        self.0
    }
}

/// Returns the first eight bytes of a hash.
pub(super) fn leading_number(hash: &[u8]) -> u64 {
    hash.iter()
        .take(8)
        .fold(0, |number, byte| (number << 8) | u64::from(*byte))
}

/// A version that was seen, as nodes tell each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SeenVersion {
    /// Service.
    pub service: ServiceId,
    /// Version.
    pub version: VersionTag,
    /// Time since it was last seen.
    pub age: Duration,
}

/// What a node knows of the versions that served of late.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionDigest {
    /// Time back to which no version is missing.
    pub covers: Option<Duration>,
    /// Time since the node's list of runners was read, up to which its knowledge reaches.
    pub list_age: Duration,
    /// Versions seen.
    pub seen: Vec<SeenVersion>,
    /// Services to which routes led of late; earlier builds do not tell them.
    #[serde(default)]
    pub targets: TargetDigest,
}

/// Since when a node knows of all versions that served.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum CompleteSince {
    /// Since the deployment was started for the first time.
    FirstStart,
    Time(Instant),
}

impl CompleteSince {
    /// Returns the start of the knowledge of a node that starts now.
    pub(super) fn start(now: Instant, is_first_start: bool) -> Self {
        if is_first_start {
            Self::FirstStart
        } else {
            Self::Time(now)
        }
    }

    /// Returns the time that lies back by `covers`, as another node states it.
    pub(super) fn before(now: Instant, covers: Duration) -> Self {
        match now.checked_sub(covers) {
            Some(at) if covers < FIRST_START_AGE => Self::Time(at),
            _ => Self::FirstStart,
        }
    }

    /// Returns how far it lies back, as other nodes are told.
    pub(super) fn age(self, now: Instant) -> Duration {
        match self {
            Self::FirstStart => FIRST_START_AGE,
            Self::Time(at) => now.saturating_duration_since(at),
        }
    }

    /// Returns whether it lies back by `life`.
    pub(super) fn reaches(self, now: Instant, life: Duration) -> bool {
        match self {
            Self::FirstStart => true,
            Self::Time(at) => now.saturating_duration_since(at) >= life,
        }
    }
}

/// Remembers which versions of each service served, and since when it knows of all of them.
///
/// A stream whose version is not known may go on only if all runners that may have begun it had one version.
#[derive(Clone, Debug, Default)]
pub struct VersionHistory {
    seen: BTreeMap<ServiceId, BTreeMap<VersionTag, Instant>>,
    began_at: Option<Instant>,
    complete_since: Option<CompleteSince>,
}

impl VersionHistory {
    /// Records the versions of the runners that are listed now.
    pub fn observe<'a>(&mut self, now: Instant, listed: impl IntoIterator<Item = (&'a ServiceId, VersionTag)>) {
        for (service, version) in listed {
            if !self.seen.contains_key(service) {
                self.seen.insert(service.clone(), BTreeMap::new());
            }
            let versions = self.seen.get_mut(service).expect("it was added");
            versions.insert(version, now);
        }
    }

    /// Records that the whole list was read without the changes before, so that earlier versions may be missing.
    pub fn record_gap(&mut self, now: Instant) {
        self.began_at = Some(now);
        self.complete_since = Some(CompleteSince::Time(now));
    }

    /// Records that the deployment starts for the first time, so that no version served before.
    pub fn record_first_start(&mut self) {
        self.complete_since = Some(CompleteSince::FirstStart);
    }

    /// Returns what other nodes should know; `list_age` is the time since the list of runners was read.
    pub fn digest(&self, now: Instant, list_age: Option<Duration>) -> VersionDigest {
        let age = |at: Instant| now.saturating_duration_since(at);
        let seen = self.seen.iter().flat_map(|(service, versions)| {
            versions.iter().map(move |(version, at)| SeenVersion {
                service: service.clone(),
                version: *version,
                age: age(*at),
            })
        });
        let covers = self.complete_since.map(|since| since.age(now));
        VersionDigest {
            covers: covers.filter(|_| list_age.is_some()),
            list_age: list_age.unwrap_or_default(),
            seen: seen.collect(),
            targets: TargetDigest::default(),
        }
    }

    /// Takes over what another node knows, from a message that was under way for `message_time` at most.
    pub fn merge(&mut self, now: Instant, digest: &VersionDigest, message_time: Duration) {
        self.merge_seen(now, &digest.seen);
        // The other node's knowledge has to reach up to the start of this node's own.
        let is_joined = self.began_at.is_some_and(|began_at| {
            now.saturating_duration_since(began_at) >= digest.list_age.saturating_add(message_time)
        });
        if let Some(covers) = digest.covers.filter(|_| is_joined) {
            self.extend_back(now, covers);
        }
    }

    /// Takes over what a record in the log says of the time before, and every version that was listed since it was
    /// written.
    ///
    /// The age of the record is not known. Its times count as if it were written now, so that versions are remembered
    /// longer than needed and the history reaches back less far than it might.
    pub fn merge_record<'a>(
        &mut self,
        now: Instant,
        record: &VersionDigest,
        listed_since: impl IntoIterator<Item = (&'a ServiceId, VersionTag)>,
    ) {
        self.observe(now, listed_since);
        self.merge_seen(now, &record.seen);
        if let Some(covers) = record.covers {
            self.extend_back(now, covers);
        }
    }

    fn merge_seen(&mut self, now: Instant, digest: &[SeenVersion]) {
        for seen in digest {
            let Some(at) = now.checked_sub(seen.age) else { continue };
            let versions = self.seen.entry(seen.service.clone()).or_default();
            let known = versions.entry(seen.version).or_insert(at);
            *known = at.max(*known);
        }
    }

    /// Records that no version is missing since `covers` before now.
    fn extend_back(&mut self, now: Instant, covers: Duration) {
        let since = CompleteSince::before(now, covers);
        self.complete_since = self.complete_since.map(|own| own.min(since));
    }

    /// Returns the only version of some services that served within `life`, or `None` if there were several or some may
    /// not be known.
    pub fn sole_version<'a>(
        &self,
        now: Instant,
        services: impl IntoIterator<Item = &'a ServiceId>,
        life: Duration,
    ) -> Option<VersionTag> {
        let is_complete = self.complete_since?.reaches(now, life) && life <= VERSION_MEMORY;
        let counts = |at: Instant| now.saturating_duration_since(at) <= life + OBSERVATION_INTERVAL;
        let versions = services.into_iter().filter_map(|service| self.seen.get(service));
        let mut recent = versions.flatten().filter(|(_, at)| counts(**at));
        let sole = recent.next().map(|(version, _)| *version);
        sole.filter(|_| is_complete && recent.next().is_none())
    }

    /// Forgets versions that were last seen too long ago to have begun a stream that may be taken up.
    pub fn forget(&mut self, now: Instant) {
        for versions in self.seen.values_mut() {
            versions.retain(|_, at| now.saturating_duration_since(*at) <= VERSION_MEMORY + OBSERVATION_INTERVAL);
        }
        self.seen.retain(|_, versions| !versions.is_empty());
    }
}
