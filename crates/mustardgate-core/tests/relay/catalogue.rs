//! Runners whose entries vanish: they have stopped, or could not renew their entries during an outage of the list.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use mustardgate_core::relay::{
    CatalogueChange, ListedRunner, RunnerCatalogue, RunnerObservation, RunnerState, SoftwareVersion,
};

const GRACE_PERIOD: Duration = Duration::from_secs(2);

fn runner(id: &str, state: RunnerState) -> ListedRunner {
    ListedRunner {
        id: id.into(),
        service: "assist".into(),
        address: "127.0.0.1:80".parse().unwrap(),
        domain: "east".into(),
        version: SoftwareVersion::Stated("v1".into()),
        slots: 8,
        state,
        models: BTreeMap::new(),
        cached_models: BTreeSet::new(),
        order_count: Some(0),
        started_at_ms: 1,
    }
}

fn catalogue() -> RunnerCatalogue {
    let mut catalogue = RunnerCatalogue::new(GRACE_PERIOD);
    catalogue.put(runner("one", RunnerState::Ready));
    catalogue.put(runner("two", RunnerState::Ready));
    catalogue
}

#[test]
fn a_runner_is_removed_with_its_entry_while_the_list_is_available() {
    let now = Instant::now();
    let mut catalogue = catalogue();
    let change = catalogue.remove(now, &"one".into());
    assert_eq!(change, Some(CatalogueChange::Removed("one".into())));
    assert!(catalogue.get("one").is_none());
}

#[test]
fn runners_whose_entries_expire_in_an_outage_are_kept_for_the_grace_period() {
    let now = Instant::now();
    let mut catalogue = catalogue();
    catalogue.record_outage(now);
    assert_eq!(catalogue.replace(now, Vec::new()), Vec::new());
    catalogue.put(runner("two", RunnerState::Ready));
    assert!(catalogue.expire(now + GRACE_PERIOD / 2).is_empty());
    assert!(catalogue.get("one").is_some());
    let ended = catalogue.expire(now + GRACE_PERIOD);
    assert_eq!(ended, [CatalogueChange::Removed("one".into())]);
    assert!(catalogue.get("two").is_some());
}

#[test]
fn a_continued_outage_extends_the_grace_period() {
    let now = Instant::now();
    let mut catalogue = catalogue();
    catalogue.record_outage(now);
    catalogue.remove(now, &"one".into());
    catalogue.record_outage(now + GRACE_PERIOD / 2);
    assert!(catalogue.expire(now + GRACE_PERIOD).is_empty());
    assert_eq!(catalogue.expire(now + GRACE_PERIOD * 2).len(), 1);
}

#[test]
fn a_draining_runner_is_not_kept_in_an_outage() {
    let now = Instant::now();
    let mut catalogue = catalogue();
    catalogue.put(runner("one", RunnerState::Draining));
    catalogue.record_outage(now);
    assert!(catalogue.remove(now, &"one".into()).is_some());
}

#[test]
fn a_restart_under_the_same_identity_is_distinguished() {
    let mut catalogue = catalogue();
    let restarted = ListedRunner {
        started_at_ms: 2,
        ..runner("one", RunnerState::Ready)
    };
    assert!(matches!(
        catalogue.put(restarted.clone()),
        Some(CatalogueChange::Added(_))
    ));
    assert_eq!(catalogue.put(restarted), None);
    assert_eq!(catalogue.put(runner("one", RunnerState::Draining)), None);
    assert_eq!(catalogue.get("one").unwrap().state, RunnerState::Ready);
}

fn observation(order_count: u64, models: &[&str]) -> RunnerObservation {
    let held = models.iter().map(|model| ((*model).into(), BTreeSet::new()));
    RunnerObservation {
        id: "one".into(),
        started_at_ms: 1,
        models: held.collect(),
        cached_models: BTreeSet::new(),
        order_count,
    }
}

#[test]
fn a_report_shows_a_load_that_ends_while_the_list_cannot_be_read() {
    let now = Instant::now();
    let mut catalogue = catalogue();
    // While the list is available the entry follows soon, and a report may lag behind its runner.
    assert_eq!(catalogue.observe(now, &observation(0, &["menu"])), None);
    catalogue.record_outage(now);
    assert!(catalogue.observe(now, &observation(0, &["menu"])).is_some());
    assert!(catalogue.get("one").unwrap().models.contains_key("menu"));
    assert_eq!(catalogue.observe(now, &observation(0, &["menu"])), None);
    let other_process = RunnerObservation {
        started_at_ms: 2,
        ..observation(5, &[])
    };
    assert_eq!(catalogue.observe(now, &other_process), None);
}

#[test]
fn an_entry_from_before_a_report_does_not_undo_it() {
    let now = Instant::now();
    let mut catalogue = catalogue();
    assert!(catalogue.observe(now, &observation(3, &["menu"])).is_some());
    let older = ListedRunner {
        order_count: Some(2),
        state: RunnerState::Draining,
        ..runner("one", RunnerState::Ready)
    };
    catalogue.put(older);
    let known = catalogue.get("one").unwrap();
    assert!(known.models.contains_key("menu"));
    assert_eq!(known.state, RunnerState::Draining);
    let newer = ListedRunner {
        order_count: Some(3),
        ..runner("one", RunnerState::Ready)
    };
    catalogue.put(newer);
    assert!(catalogue.get("one").unwrap().models.is_empty());
}

#[test]
fn a_process_that_said_it_leaves_stays_so_whatever_its_entry_says() {
    let now = Instant::now();
    let mut catalogue = catalogue();
    assert!(catalogue.record_leaving(&"one".into(), 1).is_some());
    assert_eq!(catalogue.record_leaving(&"one".into(), 1), None);
    catalogue.put(runner("one", RunnerState::Ready));
    assert_eq!(catalogue.get("one").unwrap().state, RunnerState::Draining);
    catalogue.remove(now, &"one".into());
    catalogue.put(runner("one", RunnerState::Ready));
    assert_eq!(catalogue.get("one").unwrap().state, RunnerState::Draining);
    let restarted = ListedRunner {
        started_at_ms: 2,
        ..runner("one", RunnerState::Ready)
    };
    catalogue.put(restarted);
    assert_eq!(catalogue.record_leaving(&"one".into(), 1), None);
    assert_eq!(catalogue.get("one").unwrap().state, RunnerState::Ready);
}

#[test]
fn a_restored_list_brings_no_process_back_whose_entry_ended() {
    let now = Instant::now();
    let mut catalogue = catalogue();
    catalogue.remove(now, &"one".into());
    let copy = vec![runner("one", RunnerState::Ready), runner("two", RunnerState::Ready)];
    assert_eq!(catalogue.restore(now, copy), Vec::new());
    assert!(catalogue.get("one").is_none());
    // An entry that is written again is newer than the copy.
    assert!(catalogue.put(runner("one", RunnerState::Ready)).is_some());
    let later = ListedRunner {
        started_at_ms: 2,
        ..runner("two", RunnerState::Ready)
    };
    catalogue.remove(now + GRACE_PERIOD, &"two".into());
    assert_eq!(catalogue.restore(now + GRACE_PERIOD, vec![later]).len(), 1);
}

#[test]
fn a_runner_that_a_restored_list_lacks_is_kept_until_it_can_write_again() {
    let now = Instant::now();
    let mut catalogue = catalogue();
    assert_eq!(catalogue.restore(now, Vec::new()), Vec::new());
    assert!(catalogue.expire(now + GRACE_PERIOD / 2).is_empty());
    assert_eq!(catalogue.expire(now + GRACE_PERIOD).len(), 2);
}

// Guards against an entry of another writer that shuts a live runner's own entries out for good.
#[test]
fn an_odd_entry_with_a_huge_start_time_does_not_shut_a_runner_out() {
    for odd_start in [2, 1 << 53, u64::MAX] {
        let now = Instant::now();
        let mut catalogue = catalogue();
        let odd = ListedRunner {
            started_at_ms: odd_start,
            address: "127.0.0.1:9".parse().unwrap(),
            ..runner("one", RunnerState::Draining)
        };
        catalogue.put_newest(odd);
        assert_eq!(
            catalogue.put_newest(runner("one", RunnerState::Ready)),
            None,
            "it may be a late one"
        );
        let change = catalogue.put_newest(runner("one", RunnerState::Ready));
        assert!(matches!(change, Some(CatalogueChange::Added(_))), "{odd_start}");
        assert_eq!(
            **catalogue.get("one").unwrap(),
            runner("one", RunnerState::Ready),
            "{odd_start}"
        );
        assert!(catalogue.record_leaving(&"one".into(), 1).is_some());
        catalogue.put_newest(runner("one", RunnerState::Ready));
        assert_eq!(
            catalogue.get("one").unwrap().state,
            RunnerState::Draining,
            "{odd_start}"
        );
        catalogue.replace(now, vec![runner("two", RunnerState::Ready)]);
        assert!(catalogue.get("one").is_none());
    }
}

#[test]
fn an_odd_entry_with_a_huge_count_does_not_freeze_the_models_of_a_runner() {
    for odd_count in [1, 1 << 53, u64::MAX] {
        let mut catalogue = catalogue();
        let odd = ListedRunner {
            order_count: Some(odd_count),
            ..runner("one", RunnerState::Ready)
        };
        catalogue.put_newest(odd);
        let held = [("menu".into(), BTreeSet::new())];
        let newest = ListedRunner {
            models: held.into_iter().collect(),
            ..runner("one", RunnerState::Ready)
        };
        catalogue.put_newest(newest.clone());
        catalogue.put_newest(newest.clone());
        assert_eq!(**catalogue.get("one").unwrap(), newest, "{odd_count}");
        assert!(
            catalogue
                .observe(Instant::now(), &observation(1, &["menu", "rare"]))
                .is_some()
        );
        assert_eq!(catalogue.put_newest(newest), None, "the report is newer");
    }
}

#[test]
fn an_older_copy_of_the_list_does_not_undo_what_a_later_entry_stated() {
    let now = Instant::now();
    let mut catalogue = catalogue();
    let held = [("menu".into(), BTreeSet::new())];
    let later = ListedRunner {
        order_count: Some(3),
        models: held.into_iter().collect(),
        ..runner("one", RunnerState::Ready)
    };
    let restarted = ListedRunner {
        started_at_ms: 2,
        ..runner("two", RunnerState::Ready)
    };
    catalogue.put_newest(later.clone());
    catalogue.put_newest(restarted.clone());
    let copy = vec![runner("one", RunnerState::Ready), runner("two", RunnerState::Ready)];
    assert_eq!(catalogue.restore(now, copy), Vec::new());
    assert_eq!(**catalogue.get("one").unwrap(), later);
    assert_eq!(**catalogue.get("two").unwrap(), restarted);
}

// Guards against a stream that goes on at another software version, because a late entry of the process before was believed.
#[test]
fn a_late_entry_of_the_process_before_does_not_replace_a_runner() {
    let mut catalogue = catalogue();
    let held = [("menu".into(), BTreeSet::new())];
    let restarted = ListedRunner {
        started_at_ms: 2,
        order_count: Some(1),
        models: held.into_iter().collect(),
        ..runner("one", RunnerState::Ready)
    };
    let earlier = ListedRunner {
        order_count: Some(0),
        models: BTreeMap::default(),
        ..restarted.clone()
    };
    catalogue.put_newest(restarted.clone());
    for late in [runner("one", RunnerState::Ready), earlier] {
        assert_eq!(catalogue.put_newest(late), None);
        assert_eq!(**catalogue.get("one").unwrap(), restarted);
        assert_eq!(catalogue.put_newest(restarted.clone()), None);
    }
    let nameless = ListedRunner {
        started_at_ms: 0,
        ..restarted.clone()
    };
    assert!(matches!(
        catalogue.put_newest(nameless),
        Some(CatalogueChange::Removed(_))
    ));
    assert!(matches!(
        catalogue.put_newest(restarted),
        Some(CatalogueChange::Added(_))
    ));
}

// Guards against a runner that is used for the models of one entry at the address or service of another.
#[test]
fn the_models_of_a_runner_come_from_the_entry_of_its_service_and_address() {
    let held = [("menu".into(), BTreeSet::new())];
    let known = ListedRunner {
        models: held.into_iter().collect(),
        order_count: Some(5),
        ..runner("one", RunnerState::Ready)
    };
    let moved = ListedRunner {
        address: "127.0.0.1:81".parse().unwrap(),
        ..runner("one", RunnerState::Ready)
    };
    let renamed = ListedRunner {
        service: "orders".into(),
        ..runner("one", RunnerState::Ready)
    };
    for later in [moved, renamed] {
        for put in [RunnerCatalogue::put, RunnerCatalogue::put_newest] {
            let mut catalogue = catalogue();
            catalogue.put(known.clone());
            put(&mut catalogue, later.clone());
            assert_eq!(**catalogue.get("one").unwrap(), later);
        }
    }
    let mut catalogue = catalogue();
    catalogue.put(runner("one", RunnerState::Ready));
    catalogue.observe(Instant::now(), &observation(3, &["menu"]));
    let moved = ListedRunner {
        address: "127.0.0.1:81".parse().unwrap(),
        ..runner("one", RunnerState::Ready)
    };
    catalogue.put_newest(moved.clone());
    assert_eq!(**catalogue.get("one").unwrap(), moved);
    assert!(
        catalogue.observe(Instant::now(), &observation(1, &["menu"])).is_some(),
        "reports of the process at the address before say nothing of this one"
    );
}
