//! The software version at which a stream goes on.

use std::{
    collections::BTreeSet,
    pin::pin,
    time::{Duration, Instant},
};

use futures::future::{Either, select};
use metrics::counter;
use mustardgate::events;
use mustardgate_core::{
    clock,
    ids::ServiceId,
    relay::{
        BegunStream, OriginFinding, RefusalCause, RelayRequest, RelayRoute, RepeatPolicy, RequestDigest, StreamKey,
        StreamOrigin, VersionTag,
    },
};
use slog::o;
use tokio::time;

use super::{answer::LocalAnswer, attempt::ReceivedRequest, retries::MIN_ATTEMPT_TIME};
use crate::{
    context::RelayContext,
    peers::{OriginReport, ask_origin},
};

/// Delay after which a caller may return whose stream may be known to a node that did not answer.
const SILENT_KEEPER_DELAY: Duration = Duration::from_millis(400);

/// Time for which other nodes are asked where a stream began before the list of runners is read.
const PEER_HEAD_START: Duration = Duration::from_millis(40);

/// Returns the version that began the stream which a request takes up; `None` if it begins a new one.
///
/// # Errors
/// The refusal when the version is not known. Going on at another one would join what does not fit together.
pub(super) async fn find_version(
    context: &RelayContext,
    route: &RelayRoute,
    request: &RelayRequest,
    digest: RequestDigest,
    taken_up_at: Instant,
) -> Result<Option<VersionTag>, LocalAnswer> {
    if !route.is_stream || !request.takes_up_stream() {
        return Ok(None);
    }
    let looking_up = look_up(context, route, request, digest, taken_up_at);
    let lookup = time::timeout(lookup_time(route, request), looking_up).await;
    let lookup = lookup.unwrap_or(VersionLookup::TIMED_OUT);
    let values = o!(
        "source" => lookup.source,
        "version" => lookup.version.map_or_else(|| "unknown".to_owned(), |version| version.to_string()),
        "last_event" => request.last_event.as_deref().unwrap_or("none").to_owned(),
        "begun_as" => request.resumes.as_deref().unwrap_or("unnamed").to_owned(),
    );
    context.log.write(events::RELAY_STREAM_TAKEN_UP, &request.id, values);
    counter!("mustardgate_streams_taken_up_total", "source" => lookup.source).increment(1);
    match lookup.version {
        Some(version) => Ok(Some(version)),
        None => Err(LocalAnswer::Refused {
            cause: RefusalCause::StreamVersionUnknown,
            retry_after: lookup.is_incomplete.then_some(SILENT_KEEPER_DELAY),
        }),
    }
}

/// Where the version of a stream is known from.
#[derive(Clone, Copy, Debug)]
struct VersionLookup {
    version: Option<VersionTag>,
    source: &'static str,
    /// Whether a node or the log may know the version and did not answer.
    is_incomplete: bool,
}

impl VersionLookup {
    /// The log or other nodes did not answer within the caller's time.
    const TIMED_OUT: Self = Self {
        version: None,
        source: "timed_out",
        is_incomplete: true,
    };
}

/// Returns the time in which the version has to be found: later, the caller could only be answered too late.
fn lookup_time(route: &RelayRoute, request: &RelayRequest) -> Duration {
    let time_left = request
        .expires_at(route.timeout)
        .saturating_duration_since(clock::now());
    time_left.saturating_sub(MIN_ATTEMPT_TIME)
}

async fn look_up(
    context: &RelayContext,
    route: &RelayRoute,
    request: &RelayRequest,
    digest: RequestDigest,
    taken_up_at: Instant,
) -> VersionLookup {
    let found = |version, source| VersionLookup {
        version,
        source,
        is_incomplete: false,
    };
    let key = request.resumes.as_ref().map(StreamKey::of);
    let own = key.map_or(OriginFinding::Unknown, |key| context.streams.find(key, &digest));
    if let OriginFinding::Exact(version) = own {
        return found(Some(version), "own_record");
    }
    let asking = async {
        match key {
            Some(key) => ask_origin(context, key, digest).await,
            None => OriginReport::default(),
        }
    };
    let reading = async {
        // Mostly another node knows, and each read is a call to the log.
        time::sleep(PEER_HEAD_START).await;
        certain_version(context, route, taken_up_at).await
    };
    let (report, sole) = first_certain(asking, reading).await;
    if sole.is_some() {
        return found(sole, "sole_version");
    }
    let told = own.or(report.finding);
    if let OriginFinding::Exact(version) = told {
        return found(Some(version), "other_nodes");
    }
    // All nodes may have ended since the stream began.
    let is_read = context.stream_log.refresh(context).await;
    let recorded = key.map_or(OriginFinding::Unknown, |key| context.streams.find(key, &digest));
    match told.or(recorded) {
        OriginFinding::Exact(version) => found(Some(version), "log"),
        OriginFinding::OtherRequest(version) => found(Some(version), "other_request"),
        OriginFinding::Contradictory => found(None, "contradictory"),
        OriginFinding::Unknown => {
            let is_joined = context.stream_log.join_history(context).await;
            let version = certain_version(context, route, taken_up_at).await;
            // A list that shows several versions leaves nothing to read.
            let is_current = believed_version(context, route).is_none() || context.streams.has_list_of(taken_up_at);
            VersionLookup {
                version,
                source: if version.is_some() {
                    "versions_in_log"
                } else {
                    "unknown"
                },
                is_incomplete: report.is_incomplete || !is_read || !is_joined || !is_current,
            }
        }
    }
}

/// Waits for what other nodes know of a stream and for the only version that may have begun it, until one of them is
/// certain.
async fn first_certain(
    asking: impl Future<Output = OriginReport>,
    reading: impl Future<Output = Option<VersionTag>>,
) -> (OriginReport, Option<VersionTag>) {
    match select(pin!(asking), pin!(reading)).await {
        Either::Left((report, reading)) => match report.finding {
            OriginFinding::Exact(_) => (report, None),
            _ => (report, reading.await),
        },
        Either::Right((None, asking)) => (asking.await, None),
        Either::Right((sole, _)) => (OriginReport::default(), sole),
    }
}

/// Returns the service of a route whose runners have the version.
///
/// # Errors
/// The refusal when the route leads to no such runner any more.
pub(super) async fn service_of(
    context: &RelayContext,
    route: &RelayRoute,
    request: &RelayRequest,
    version: VersionTag,
    taken_up_at: Instant,
) -> Result<ServiceId, LocalAnswer> {
    let mut service = find_service(context, route, version);
    if service.is_none() {
        // Other nodes may have told of a version whose runners this node has not read of.
        let reading = context.list.refresh(context, taken_up_at);
        let _is_read = time::timeout(lookup_time(route, request), reading).await;
        service = find_service(context, route, version);
    }
    service.ok_or(LocalAnswer::Refused {
        cause: RefusalCause::StreamVersionAbsent,
        retry_after: None,
    })
}

fn find_service(context: &RelayContext, route: &RelayRoute, version: VersionTag) -> Option<ServiceId> {
    let has_version = |service: &ServiceId| {
        let runners = context.fleet.of_service(service);
        runners.iter().any(|runner| runner.version_tag() == version)
    };
    let services = route.targets.iter().map(|target| &target.service);
    services.into_iter().find(|service| has_version(service)).cloned()
}

/// Services that may have begun a stream of a route, and the longest time for which its caller may come back.
type StreamScope = (BTreeSet<ServiceId>, Duration);

/// Returns the services that may have begun a stream of a route which a caller takes up now, those included to which it led
/// under former configurations; `None` if some may not be known.
fn stream_scope(context: &RelayContext, route: &RelayRoute) -> Option<StreamScope> {
    let active = context.routes.current()?;
    let now = context.leader.lease_time();
    let longest = |services: &BTreeSet<ServiceId>| {
        let lives = services
            .iter()
            .map(|service| active.longest_stream_life(clock::now(), service));
        lives.max().unwrap_or_default()
    };
    let mut services: BTreeSet<ServiceId> = route.targets.iter().map(|target| target.service.clone()).collect();
    let mut life = longest(&services);
    loop {
        // Nodes take up a configuration one after the other, and until then begin streams under the one before.
        let moved_within = life + context.settings.bounds.config_apply();
        services = context.streams.services(now, route, moved_within)?;
        match longest(&services) {
            longer if longer > life => life = longer,
            _ => return Some((services, life)),
        }
    }
}

/// Returns the only version of the runners that may have begun a stream on a route, as far as this node knows.
fn believed_version(context: &RelayContext, route: &RelayRoute) -> Option<VersionTag> {
    let (services, life) = stream_scope(context, route)?;
    let now = context.leader.lease_time();
    context.streams.sole_version(now, &services, life)
}

/// Returns the version of all runners that may have begun a stream on the route, if there was certainly only one when its
/// caller took it up.
///
/// Runners of another version may have joined and begun the stream through other nodes since this node read the list, so
/// the list is read again.
async fn certain_version(context: &RelayContext, route: &RelayRoute, taken_up_at: Instant) -> Option<VersionTag> {
    // A newer list can only show more versions.
    believed_version(context, route)?;
    let is_current = context.list.refresh(context, taken_up_at).await;
    let (services, life) = stream_scope(context, route)?;
    let now = context.leader.lease_time();
    let sole = context.streams.certain_version(now, &services, life, taken_up_at);
    sole.filter(|_| is_current)
}

impl ReceivedRequest {
    /// Records the version of the runner whose first event is passed on, for the caller's return.
    pub(super) fn record_origin(&self, version: VersionTag) {
        if self.route.repeat != RepeatPolicy::Resumable {
            return;
        }
        let origin = StreamOrigin::new(&self.request.id, &self.digests.content, version);
        let now = self.context.leader.lease_time();
        let stream = BegunStream {
            origin,
            service: self.service.clone(),
            life: self.stream_life,
        };
        self.context.streams.begin(now, stream);
    }
}
