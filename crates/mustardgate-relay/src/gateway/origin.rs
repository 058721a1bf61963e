//! The software version at which a stream goes on.

use std::time::Duration;

use metrics::counter;
use mustardgate::events;
use mustardgate_core::{
    ids::ServiceId,
    relay::{
        BegunStream, OriginFinding, RefusalCause, RelayRequest, RelayRoute, RepeatPolicy, RequestDigest, StreamKey,
        StreamOrigin, VersionTag,
    },
};
use slog::o;

use super::{answer::LocalAnswer, attempt::ReceivedRequest};
use crate::{context::RelayContext, peers::ask_origin};

/// Delay after which a caller may return whose stream may be known to a node that did not answer.
const SILENT_KEEPER_DELAY: Duration = Duration::from_millis(400);

/// Returns the version that began the stream which a request takes up; `None` if it begins a new one.
///
/// # Errors
/// The refusal when the version is not known. Going on at another one would join what does not fit together.
pub(super) async fn find_version(
    context: &RelayContext,
    route: &RelayRoute,
    request: &RelayRequest,
    digest: RequestDigest,
) -> Result<Option<VersionTag>, LocalAnswer> {
    if !route.is_stream || !request.takes_up_stream() {
        return Ok(None);
    }
    let lookup = look_up(context, route, request, digest).await;
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

async fn look_up(
    context: &RelayContext,
    route: &RelayRoute,
    request: &RelayRequest,
    digest: RequestDigest,
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
    if let Some(version) = sole_version(context, route) {
        return found(Some(version), "sole_version");
    }
    let Some(key) = key else {
        context.stream_log.refresh(context).await;
        return look_up_sole(context, route).await;
    };
    let report = ask_origin(context, key, digest).await;
    let told = own.or(report.finding);
    if let OriginFinding::Exact(version) = told {
        return found(Some(version), "other_nodes");
    }
    // All nodes may have ended since the stream began.
    let is_read = context.stream_log.refresh(context).await;
    match told.or(context.streams.find(key, &digest)) {
        OriginFinding::Exact(version) => found(Some(version), "log"),
        OriginFinding::OtherRequest(version) => found(Some(version), "other_request"),
        OriginFinding::Contradictory => found(None, "contradictory"),
        OriginFinding::Unknown => {
            let lookup = look_up_sole(context, route).await;
            VersionLookup {
                is_incomplete: lookup.is_incomplete || report.is_incomplete || !is_read,
                ..lookup
            }
        }
    }
}

/// Returns the only version that may have begun a stream on the route, from what the log says of the time before this
/// node's start.
async fn look_up_sole(context: &RelayContext, route: &RelayRoute) -> VersionLookup {
    let is_joined = context.stream_log.join_history(context).await;
    let version = sole_version(context, route);
    VersionLookup {
        version,
        source: if version.is_some() {
            "versions_in_log"
        } else {
            "unknown"
        },
        is_incomplete: !is_joined,
    }
}

/// Returns the service of a route whose runners have the version.
///
/// # Errors
/// The refusal when the route leads to no such runner any more.
pub(super) fn service_of(
    context: &RelayContext,
    route: &RelayRoute,
    version: VersionTag,
) -> Result<ServiceId, LocalAnswer> {
    let has_version = |service: &ServiceId| {
        let runners = context.fleet.of_service(service);
        runners.iter().any(|runner| runner.version_tag() == version)
    };
    let services = route.targets.iter().map(|target| &target.service);
    let service = services.into_iter().find(|service| has_version(service));
    service.cloned().ok_or(LocalAnswer::Refused {
        cause: RefusalCause::StreamVersionAbsent,
        retry_after: None,
    })
}

/// Returns the version of all runners that may have begun a stream on the route, if there was certainly only one.
fn sole_version(context: &RelayContext, route: &RelayRoute) -> Option<VersionTag> {
    let [target] = route.targets.as_slice() else {
        return None;
    };
    let life = context.routes.current()?.stream_life(&target.service);
    let now = context.leader.lease_time();
    context.streams.sole_version(now, &target.service, life)
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
