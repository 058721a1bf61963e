//! Route matching, traffic split and queue ranks.

use std::{sync::Arc, time::Duration};

use mustardgate_core::relay::{RelayRoute, RelayTenant, RepeatPolicy, RouteTable, WeightedTarget, runner_rank};

fn route(name: &str, host: &str, path_prefix: &str) -> RelayRoute {
    RelayRoute {
        name: name.into(),
        host: host.into(),
        path_prefix: path_prefix.into(),
        repeat: RepeatPolicy::Once,
        is_stream: false,
        timeout: Duration::from_secs(5),
        target_latency: Duration::from_millis(600),
        longest_pause: None,
        abandon_time: Duration::from_secs(2),
        priority: 1,
        targets: vec![WeightedTarget {
            service: "assist".into(),
            weight: 1,
        }],
        max_attempts: 2,
        allow_anonymous: false,
    }
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let routes = [
        route("short", "a.example", "/x/"),
        route("long", "a.example", "/x/y/"),
        route("other", "b.example", "/"),
    ];
    let table = RouteTable::new(&routes.map(Arc::new));
    let found = |host, path| table.find(host, path).map(|route| route.name.as_str());
    assert_eq!(found("a.example", "/x/y/z"), Some("long"));
    assert_eq!(found("A.Example:8080", "/x/z"), Some("short"));
    assert_eq!(found("a.example", "/x"), None);
    assert_eq!(found("b.example", "/anything"), Some("other"));
    assert_eq!(found("c.example", "/x/"), None);
}

#[test]
fn weights_split_the_requests() {
    let split = RelayRoute {
        targets: vec![
            WeightedTarget {
                service: "one".into(),
                weight: 90,
            },
            WeightedTarget {
                service: "two".into(),
                weight: 10,
            },
        ],
        ..route("split", "a.example", "/")
    };
    let to_two = (0..1000).filter(|draw| split.service_for(*draw) == "two").count();
    assert_eq!(to_two, 100);
    let unweighted = RelayRoute {
        targets: vec![WeightedTarget {
            service: "one".into(),
            weight: 0,
        }],
        ..split
    };
    assert_eq!(unweighted.service_for(5), "one");
}

#[test]
fn a_latency_tolerant_route_ranks_after_an_urgent_one_of_its_priority() {
    let urgent = route("urgent", "a.example", "/");
    let tolerant = RelayRoute {
        target_latency: Duration::from_secs(6),
        ..urgent.clone()
    };
    let demoted = RelayRoute {
        priority: 2,
        ..urgent.clone()
    };
    assert!(runner_rank(&urgent, None) < runner_rank(&tolerant, None));
    assert!(runner_rank(&tolerant, None) < runner_rank(&demoted, None));
    let last = RelayRoute {
        priority: 1_000,
        ..tolerant
    };
    assert_eq!(runner_rank(&last, None), 9);
    let tenant = RelayTenant {
        name: "bakery".into(),
        keys: Vec::new(),
        priority: Some(0),
        quota: None,
    };
    assert_eq!(runner_rank(&last, Some(&tenant)), 2);
    assert!(runner_rank(&urgent, Some(&tenant)) < runner_rank(&urgent, None));
}

// Guards against ORDER breaks by a version that is forgotten while callers of its streams still wait.
#[test]
fn a_stream_lives_as_long_as_its_caller_may_wait_for_its_next_event() {
    let drain_time = Duration::from_secs(2);
    let life = |timeout_s, abandon_s| {
        let route = RelayRoute {
            timeout: Duration::from_secs(timeout_s),
            abandon_time: Duration::from_secs(abandon_s),
            ..route("stream", "a.example", "/")
        };
        route.stream_life(drain_time).as_secs()
    };
    assert_eq!(life(2, 6), 10);
    assert_eq!(life(15, 6), 30);
    assert_eq!(life(15, 40), 57);
    let endless = RelayRoute {
        timeout: Duration::MAX,
        abandon_time: Duration::MAX,
        ..route("stream", "a.example", "/")
    };
    assert_eq!(endless.stream_life(drain_time), Duration::MAX);
}
