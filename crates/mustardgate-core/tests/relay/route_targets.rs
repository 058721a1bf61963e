//! Services that may have begun a stream of a route, while configurations move routes.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::{Duration, Instant},
};

use mustardgate_core::{
    ids::ServiceId,
    relay::{RelayConfig, RelayRoute, RepeatPolicy, StreamVersions, WeightedTarget},
};

const LIFE: Duration = Duration::from_secs(20);
const MESSAGE_TIME: Duration = Duration::from_secs(1);

fn route(path_prefix: &str, service: &str) -> Arc<RelayRoute> {
    Arc::new(RelayRoute {
        name: path_prefix.into(),
        host: "kitchen.example".into(),
        path_prefix: path_prefix.into(),
        repeat: RepeatPolicy::Resumable,
        is_stream: true,
        timeout: Duration::from_secs(2),
        target_latency: Duration::from_secs(1),
        longest_pause: None,
        abandon_time: Duration::from_secs(2),
        priority: 1,
        targets: vec![WeightedTarget {
            service: service.into(),
            weight: 1,
        }],
        max_attempts: 3,
        allow_anonymous: false,
    })
}

fn config(version: u64, routes: &[(&str, &str)]) -> RelayConfig {
    RelayConfig {
        version,
        routes: routes.iter().map(|(prefix, service)| route(prefix, service)).collect(),
        services: BTreeMap::new(),
        ..RelayConfig::default()
    }
}

/// Returns the services of a route, joined by commas.
fn services(versions: &StreamVersions, now: Instant, path_prefix: &str, service: &str) -> Option<String> {
    let services: Option<BTreeSet<ServiceId>> = versions.services(now, &route(path_prefix, service), LIFE);
    services.map(|services| services.into_iter().collect::<Vec<_>>().join(","))
}

fn started(now: Instant, first: &RelayConfig) -> StreamVersions {
    let mut versions = StreamVersions::default();
    versions.record_config(now, first, true, true);
    versions
}

#[test]
fn former_services_of_a_route_count_for_the_life_of_a_stream() {
    let start = Instant::now();
    let mut versions = started(start, &config(1, &[("/drafts/", "one"), ("/notes/", "other")]));
    let moved = config(2, &[("/drafts/", "two"), ("/notes/", "other")]);
    versions.record_config(start + LIFE, &moved, false, true);
    let at = |now| services(&versions, now, "/drafts/", "two");
    assert_eq!(at(start + LIFE * 2), Some("one,two".to_owned()));
    assert_eq!(at(start + LIFE * 2 + Duration::from_millis(1)), Some("two".to_owned()));
    assert_eq!(
        services(&versions, start + LIFE, "/notes/", "other"),
        Some("other".to_owned())
    );
}

#[test]
fn routes_that_are_split_or_joined_keep_the_services_of_the_routes_around_them() {
    let start = Instant::now();
    let split = config(2, &[("/", "one"), ("/drafts/", "two")]);
    let mut versions = started(start, &config(1, &[("/", "one")]));
    versions.record_config(start, &split, false, true);
    let at = |versions: &StreamVersions, prefix, service| services(versions, start, prefix, service).unwrap();
    assert_eq!(at(&versions, "/drafts/", "two"), "one,two");
    versions.record_config(start, &config(3, &[("/", "one")]), false, true);
    assert_eq!(at(&versions, "/", "one"), "one,two");
}

// Guards against ORDER breaks at a node that started after a route was moved.
#[test]
fn a_node_that_started_later_knows_former_services_only_from_others() {
    let start = Instant::now();
    let moved_at = start + LIFE;
    let mut elder = started(start, &config(1, &[("/drafts/", "one")]));
    let moved = config(2, &[("/drafts/", "two")]);
    let mut outdated = elder.digest(moved_at);
    elder.record_config(moved_at, &moved, false, true);
    let mut later = StreamVersions::default();
    later.record_config(moved_at, &moved, true, false);
    let at = |later: &StreamVersions, now| services(later, now, "/drafts/", "two");
    assert_eq!(at(&later, moved_at), None);
    later.merge(moved_at, &outdated, MESSAGE_TIME);
    assert_eq!(at(&later, moved_at), None, "the other node knew nothing of the move");
    outdated.targets.covers = None;
    later.merge(moved_at, &outdated, MESSAGE_TIME);
    assert_eq!(at(&later, moved_at), None, "an earlier build tells no targets");
    let mut joined = StreamVersions::default();
    joined.record_config(moved_at, &moved, true, false);
    joined.merge(moved_at, &elder.digest(moved_at), MESSAGE_TIME);
    assert_eq!(at(&joined, moved_at), Some("one,two".to_owned()));
    assert_eq!(
        at(&later, moved_at + LIFE),
        Some("two".to_owned()),
        "no stream of before is left"
    );
}

#[test]
fn versions_that_were_skipped_end_what_is_known() {
    let start = Instant::now();
    let mut versions = started(start, &config(1, &[("/drafts/", "one")]));
    versions.record_config(start + LIFE, &config(5, &[("/drafts/", "two")]), true, true);
    assert_eq!(services(&versions, start + LIFE, "/drafts/", "two"), None);
    let known = services(&versions, start + LIFE * 2, "/drafts/", "two");
    assert_eq!(known, Some("one,two".to_owned()));
}

// Guards against a node that grows with the number of moves, or takes a version for certain after it forgot some.
#[test]
fn many_moves_are_bounded_and_the_forgotten_ones_are_not_certain() {
    let start = Instant::now();
    let mut versions = started(start, &config(1, &[("/drafts/", "service-0")]));
    for move_number in 1..=2_000_u64 {
        let service = format!("service-{move_number}");
        let moved = config(move_number + 1, &[("/drafts/", &service)]);
        versions.record_config(start + Duration::from_millis(move_number), &moved, false, true);
    }
    let now = start + Duration::from_secs(3);
    assert_eq!(services(&versions, now, "/drafts/", "service-2000"), None);
    let told = versions.digest(now).targets;
    assert!(told.covers.is_none() && told.former.is_empty());
    let later = now + LIFE;
    assert_eq!(
        services(&versions, later, "/drafts/", "service-2000"),
        Some("service-2000".to_owned())
    );
}

#[test]
fn no_version_is_certain_where_streams_outlast_what_is_remembered() {
    let start = Instant::now();
    let versions = started(start, &config(1, &[("/drafts/", "one")]));
    let route = route("/drafts/", "one");
    assert!(versions.services(start, &route, Duration::from_secs(300)).is_some());
    assert!(versions.services(start, &route, Duration::from_secs(301)).is_none());
}
