//! Tests of routing: eligibility, locality, limits, affinity and herding.

use std::{
    collections::BTreeMap,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use mustardgate_core::{
    ids::BackendId,
    log::Artifact,
    routing::{
        AttemptOutcome, Availability, ConcurrencyLimit, LimitSettings, LoadReport, Locality, RouteError, RouteRequest,
        RouteTicket, RoutingSettings, RunnerProfile, RunnerSelector, prefix_digest,
    },
};
use smol_str::format_smolstr;

fn artifact() -> Artifact {
    Artifact {
        model: "menu".into(),
        adapter: None,
        version: "1".into(),
    }
}

fn profile(name: &str, domain: &str, max_concurrency: u32) -> RunnerProfile {
    RunnerProfile {
        backend: name.into(),
        domain: domain.into(),
        region: "th-central".into(),
        max_concurrency,
        ready: vec![artifact()],
    }
}

fn selector(seed: u64) -> RunnerSelector {
    let locality = Locality {
        domain: "a".into(),
        region: "th-central".into(),
    };
    RunnerSelector::new(RoutingSettings::default(), locality, seed)
}

fn route_request(prefix: Option<u64>) -> RouteRequest {
    RouteRequest {
        artifact: artifact(),
        prefix,
        excluded: vec![],
    }
}

fn chosen(selector: &RunnerSelector, now: Instant) -> Result<BackendId, RouteError> {
    selector
        .select(now, &route_request(None))
        .map(|ticket| ticket.backend().clone())
}

#[test]
fn only_serving_runners_that_hold_the_weights_are_chosen() {
    let now = Instant::now();
    let selector = selector(1);
    assert_eq!(chosen(&selector, now), Err(RouteError::NoReplica));
    for name in ["r1", "r2", "r3"] {
        selector.upsert_runner(profile(name, "a", 4));
    }
    selector.set_availability(&"r1".into(), Availability::Leaving);
    selector.set_availability(&"r2".into(), Availability::Suspected);
    assert_eq!(chosen(&selector, now), Ok("r3".into()));
    selector.upsert_runner(RunnerProfile {
        ready: vec![],
        ..profile("r3", "a", 4)
    });
    assert_eq!(chosen(&selector, now), Err(RouteError::NoReplica));
    selector.set_availability(&"r1".into(), Availability::Serving);
    selector.remove_runner(&"r1".into());
    assert_eq!(chosen(&selector, now), Err(RouteError::NoReplica));
}

#[test]
fn own_domain_is_preferred_until_its_limit() {
    let now = Instant::now();
    let selector = selector(1);
    selector.upsert_runner(profile("near", "a", 2));
    selector.upsert_runner(profile("far", "b", 1));
    let tickets: Vec<RouteTicket> = (0..3)
        .filter_map(|_| selector.select(now, &route_request(None)).ok())
        .collect();
    let names: Vec<&str> = tickets.iter().map(|ticket| ticket.backend().as_str()).collect();
    assert_eq!(names, ["near", "near", "far"]);
    assert_eq!(chosen(&selector, now), Err(RouteError::AllBusy));
    drop(tickets);
    assert_eq!(chosen(&selector, now), Ok("near".into()));
}

#[test]
fn excluded_runners_are_not_chosen() {
    let now = Instant::now();
    let selector = selector(1);
    selector.upsert_runner(profile("r1", "a", 2));
    let request = RouteRequest {
        excluded: vec!["r1".into()],
        ..route_request(None)
    };
    assert_eq!(selector.select(now, &request).err(), Some(RouteError::NoReplica));
}

#[test]
fn reports_add_only_requests_of_other_nodes() {
    let start = Instant::now();
    let selector = selector(1);
    selector.upsert_runner(profile("r1", "a", 10));
    let tickets: Vec<RouteTicket> = (0..3)
        .filter_map(|_| selector.select(start, &route_request(None)).ok())
        .collect();
    // When the runner counted, this node had three requests in flight, so four of the seven belong to other nodes.
    let later = start + Duration::from_millis(200);
    let report = LoadReport {
        measured_at: start + Duration::from_millis(10),
        outstanding: 7,
    };
    selector.apply_report(&"r1".into(), report);
    assert_eq!(selector.pool_load(later, &artifact()).outstanding, 7);
    for ticket in tickets {
        let outcome = AttemptOutcome::Answered {
            first_token: Duration::from_millis(50),
        };
        selector.complete(ticket, later, outcome).expect("attempt in flight");
    }
    assert_eq!(selector.pool_load(later, &artifact()).outstanding, 4);
    let much_later = later + Duration::from_secs(10);
    assert_eq!(selector.pool_load(much_later, &artifact()).outstanding, 0);
}

#[test]
fn a_changed_profile_keeps_exact_counts() {
    let now = Instant::now();
    let selector = selector(1);
    selector.upsert_runner(profile("r1", "a", 2));
    let ticket = selector.select(now, &route_request(None)).expect("has room");
    let mut changed = profile("r1", "a", 2);
    changed.ready.push(Artifact {
        model: "order".into(),
        ..artifact()
    });
    selector.upsert_runner(changed);
    assert_eq!(selector.pool_load(now, &artifact()).outstanding, 1);
    selector
        .complete(ticket, now, AttemptOutcome::Failed)
        .expect("attempt in flight");
    assert_eq!(selector.pool_load(now, &artifact()).outstanding, 0);
}

#[test]
fn requests_with_the_same_prefix_share_a_runner_within_the_load_bound() {
    let now = Instant::now();
    let selector = selector(1);
    for index in 0..8 {
        selector.upsert_runner(profile(&format_smolstr!("r{index}"), "a", 100));
    }
    let prefix = prefix_digest(&artifact(), &[7; 2_000]).expect("long enough");
    let first = selector
        .select(now, &route_request(Some(prefix)))
        .expect("has room")
        .backend()
        .clone();
    let again = selector
        .select(now, &route_request(Some(prefix)))
        .expect("has room")
        .backend()
        .clone();
    assert_eq!(first, again);
    let mut loads: BTreeMap<BackendId, u32> = BTreeMap::new();
    let tickets: Vec<RouteTicket> = (0..80)
        .filter_map(|_| selector.select(now, &route_request(Some(prefix))).ok())
        .collect();
    for ticket in &tickets {
        *loads.entry(ticket.backend().clone()).or_default() += 1;
    }
    assert!(loads.values().all(|load| *load <= 13), "{loads:?}");
    drop(tickets);
    let other: BackendId = if first == "r0" { "r1".into() } else { "r0".into() };
    selector.apply_cache_event(prefix, &other, true);
    assert_eq!(
        selector
            .select(now, &route_request(Some(prefix)))
            .expect("has room")
            .backend(),
        &other
    );
    selector.apply_cache_event(prefix, &other, false);
    assert_eq!(
        selector
            .select(now, &route_request(Some(prefix)))
            .expect("has room")
            .backend(),
        &first
    );
}

#[test]
fn nodes_with_the_same_stale_report_do_not_herd() {
    let now = Instant::now();
    let mut loads: BTreeMap<BackendId, u32> = BTreeMap::new();
    for node in 0..30 {
        let selector = selector(node);
        for index in 0..10 {
            let name = format_smolstr!("r{index}");
            selector.upsert_runner(profile(&name, "a", 32));
            let outstanding = if index == 0 { 0 } else { 2 };
            selector.apply_report(
                &name,
                LoadReport {
                    measured_at: now,
                    outstanding,
                },
            );
        }
        *loads.entry(chosen(&selector, now).expect("has room")).or_default() += 1;
    }
    let most = loads.values().max().copied().unwrap_or_default();
    assert!(most < 15, "{loads:?}");
    assert!(loads.len() >= 6, "{loads:?}");
}

#[test]
fn the_limit_adapts_to_latency() {
    let mut limit = ConcurrencyLimit::new(LimitSettings::for_runner(32));
    for _ in 0..50 {
        limit.record_latency(Duration::from_millis(50), 32);
    }
    assert_eq!(limit.current(), 32);
    for _ in 0..50 {
        limit.record_latency(Duration::from_millis(400), 32);
    }
    let lowered = limit.current();
    assert!(lowered < 24, "{lowered}");
    for _ in 0..200 {
        let in_flight = limit.current();
        limit.record_latency(Duration::from_millis(50), in_flight);
    }
    assert_eq!(limit.current(), 32);
    limit.record_overload();
    assert_eq!(limit.current(), 22);
}

#[test]
fn the_limit_does_not_depend_on_the_first_latency() {
    let mut limit = ConcurrencyLimit::new(LimitSettings::for_runner(160));
    limit.record_latency(Duration::from_millis(2), 1);
    // An engine that steps every 20 ms sends the first token 1 to 20 ms after the dispatch at any load.
    for number in 0..2_000 {
        limit.record_latency(Duration::from_millis(1 + number * 7 % 20), 10);
        assert_eq!(limit.current(), 160, "after {number} answers");
    }
}

#[test]
fn limits_hold_for_concurrent_threads() {
    let now = Instant::now();
    let selector = Arc::new(selector(3));
    for index in 0..4 {
        selector.upsert_runner(profile(&format_smolstr!("r{index}"), "a", 5));
    }
    let workers: Vec<thread::JoinHandle<Vec<RouteTicket>>> = (0..4)
        .map(|_| {
            let selector = Arc::clone(&selector);
            thread::spawn(move || {
                (0..50)
                    .filter_map(|_| selector.select(now, &route_request(None)).ok())
                    .collect()
            })
        })
        .collect();
    let held: Vec<RouteTicket> = workers
        .into_iter()
        .flat_map(|worker| worker.join().expect("no worker panics"))
        .collect();
    assert_eq!(held.len(), 20);
}
