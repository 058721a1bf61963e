//! Tests of the frames about runners: what is sent, and that a receiver detects a frame that it missed.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use mustardgate_core::{
    ids::BackendId,
    log::Artifact,
    reports::{FrameOutcome, ReportAudience, ReportFollower, ReportFrame, ReportPublisher, RunnerState},
};
use proptest::prelude::{any, prop_assert_eq, proptest};
use smol_str::format_smolstr;

fn artifact(number: u8) -> Artifact {
    Artifact {
        model: format_smolstr!("model-{number}"),
        adapter: None,
        version: "v1".into(),
    }
}

fn state(ready: &[u8], outstanding: u32) -> RunnerState {
    RunnerState {
        ready: ready.iter().copied().map(artifact).collect(),
        outstanding,
    }
}

fn publisher() -> ReportPublisher {
    ReportPublisher::new("a".into(), "node-1".into(), 7)
}

fn frames_for(publisher: &mut ReportPublisher, audience: ReportAudience, now: Instant) -> Vec<ReportFrame> {
    let frames = publisher.take_frames(now).into_iter();
    frames
        .filter(|(target, _)| *target == audience)
        .map(|(_, frame)| frame)
        .collect()
}

#[test]
fn readiness_is_sent_at_once_and_load_when_it_changed_by_a_quarter() {
    let mut publisher = publisher();
    let start = Instant::now();
    publisher.observe(&"r1".into(), state(&[1], 8));
    let both = publisher.take_frames(start);
    assert_eq!(both.len(), 2);
    assert_eq!((both[0].1.changes.len(), both[0].1.loads.clone()), (1, vec![(0, 8)]));

    let soon = start + Duration::from_millis(100);
    publisher.observe(&"r1".into(), state(&[1], 30));
    assert_eq!(publisher.take_frames(soon), []);
    publisher.observe(&"r1".into(), state(&[1, 2], 9));
    let changed = publisher.take_frames(soon);
    assert!(
        changed
            .iter()
            .all(|(_, frame)| frame.loads.is_empty() && frame.changes.len() == 1)
    );
    assert_eq!(changed.len(), 2);

    let later = start + Duration::from_secs(2);
    let small = frames_for(&mut publisher, ReportAudience::Neighbours, later);
    assert_eq!(small[0].loads, []);
    publisher.observe(&"r1".into(), state(&[1, 2], 10));
    let large = publisher.take_frames(later + Duration::from_secs(2));
    assert_eq!(large.len(), 1);
    assert_eq!(large[0].1.loads, vec![(0, 10)]);
    assert_eq!(
        frames_for(&mut publisher, ReportAudience::Relays, start + Duration::from_secs(10))[0].loads,
        vec![(0, 10)]
    );
}

#[test]
fn receiver_requests_a_missed_catalogue_once_a_second() {
    let mut publisher = publisher();
    let mut follower = ReportFollower::default();
    let now = Instant::now();
    publisher.observe(&"r1".into(), state(&[1], 0));
    let first = frames_for(&mut publisher, ReportAudience::Neighbours, now);
    assert_eq!(follower.on_frame(&first[0], now), FrameOutcome::CatalogueNeeded);
    assert_eq!(follower.on_frame(&first[0], now), FrameOutcome::Applied(vec![]));
    let catalogue = publisher.catalogue().expect("all changes are sent").clone();
    assert_eq!(
        follower.on_catalogue(catalogue.clone()),
        vec![("r1".into(), state(&[1], 0))]
    );
    assert_eq!(follower.on_catalogue(catalogue), vec![]);
    assert_eq!(follower.on_frame(&first[0], now), FrameOutcome::Applied(vec![]));

    publisher.observe(&"r1".into(), state(&[2], 0));
    assert_eq!(publisher.catalogue(), None);
    let lost = frames_for(&mut publisher, ReportAudience::Neighbours, now);
    assert_eq!(lost.len(), 1);
    let next = frames_for(&mut publisher, ReportAudience::Neighbours, now + Duration::from_secs(2));
    assert_eq!(
        follower.on_frame(&next[0], now + Duration::from_secs(2)),
        FrameOutcome::CatalogueNeeded
    );
}

proptest! {
    #[test]
    fn receiver_reaches_the_leaders_state_whichever_frames_are_lost(
        steps in proptest::collection::vec(
            (0_u8..4, proptest::collection::btree_set(0_u8..5, 0..4), any::<bool>()), 1..40),
    ) {
        let mut publisher = publisher();
        let mut follower = ReportFollower::default();
        let mut expected: BTreeMap<BackendId, RunnerState> = BTreeMap::new();
        let mut received: BTreeMap<BackendId, RunnerState> = BTreeMap::new();
        let mut now = Instant::now();
        for (runner, ready, is_lost) in steps.into_iter().chain([(0, [].into(), false)]) {
            now += Duration::from_secs(2);
            let backend: BackendId = format_smolstr!("r{runner}");
            let ready: Vec<u8> = ready.into_iter().collect();
            expected.insert(backend.clone(), state(&ready, 0));
            publisher.observe(&backend, state(&ready, 0));
            for frame in frames_for(&mut publisher, ReportAudience::Neighbours, now) {
                if is_lost {
                    continue;
                }
                let updates = match follower.on_frame(&frame, now) {
                    FrameOutcome::Applied(updates) => updates,
                    FrameOutcome::CatalogueNeeded => {
                        follower.on_catalogue(publisher.catalogue().expect("all changes are sent").clone())
                    }
                };
                received.extend(updates);
            }
        }
        prop_assert_eq!(received, expected);
    }
}
