//! Tests properties of the configuration replica against a model of the rules.

mod config_support;

use std::collections::BTreeMap;

use mustardgate_core::{
    config::{
        ConfigReplica, InstallOutcome, LoadState, NotLoadedReason, RECENT_CHANGES_KEPT, ReplicaError, SnapshotSource,
        WatchError,
    },
    ids::Offset,
    log::{LogRecord, SnapshotRecord},
    ports::LogEntry,
};
use proptest::prelude::{Strategy, any, prop, prop_assert, prop_assert_eq, proptest};

use crate::config_support::{adapter_spec, change, entry, loaded_replica, model_key, span};

/// One generated change.
#[derive(Clone, Copy, Debug)]
struct Step {
    id: u8,
    resource: usize,
    /// Whether the expected version is the current one.
    is_matching: bool,
    is_deletion: bool,
}

/// State that the rules require, computed without the replica.
#[derive(Clone, Debug, Default, PartialEq)]
struct Expectation {
    versions: BTreeMap<usize, Offset>,
    decided: BTreeMap<u8, (Offset, bool)>,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = (
        any::<u8>(),
        0..3usize,
        prop::bool::weighted(0.7),
        prop::bool::weighted(0.3),
    );
    let step = step.prop_map(|(id, resource, is_matching, is_deletion)| Step {
        id: id % 40,
        resource,
        is_matching,
        is_deletion,
    });
    prop::collection::vec(step, 1..80)
}

/// Returns the log entries of the steps, and the expected state after each of them.
fn expected_states(steps: &[Step]) -> (Vec<LogEntry>, Vec<Expectation>) {
    let mut state = Expectation::default();
    let mut entries = Vec::new();
    let mut states = Vec::new();
    for (offset, step) in (0..).zip(steps) {
        let current = state.versions.get(&step.resource).copied();
        let expected = if step.is_matching { current } else { Some(offset / 2) };
        let memory = (!step.is_deletion).then_some(offset + 1);
        entries.push(entry(
            offset,
            change(&step.id.to_string(), step.resource, expected, memory),
        ));
        let is_new = !state.decided.contains_key(&step.id);
        let is_effective = is_new && expected == current && !(step.is_deletion && current.is_none());
        state.decided.entry(step.id).or_insert((offset, is_effective));
        if is_effective {
            state.versions.remove(&step.resource);
        }
        if is_effective && !step.is_deletion {
            state.versions.insert(step.resource, offset);
        }
        states.push(state.clone());
    }
    (entries, states)
}

fn actual_state(replica: &ConfigReplica) -> Expectation {
    let view = replica.view();
    let versions = (0..3).filter_map(|index| Some((index, view.version_of(&model_key(index))?)));
    let decided = (0..40u8).filter_map(|id| {
        let outcome = replica.outcome_of(&id.to_string())?;
        Some((id, (outcome.offset, outcome.accepted)))
    });
    Expectation {
        versions: versions.collect(),
        decided: decided.collect(),
    }
}

proptest! {
    #[test]
    fn replay_follows_the_rules_at_every_offset(steps in steps()) {
        let (entries, states) = expected_states(&steps);
        let mut replica = loaded_replica(&[]);
        for (entry, state) in entries.iter().zip(&states) {
            replica.apply(&span(std::slice::from_ref(entry))).expect("no gap");
            prop_assert_eq!(&actual_state(&replica), state);
        }
    }

    #[test]
    fn overlapping_and_repeated_spans_change_nothing(
        steps in steps(), cuts in prop::collection::vec((0..80usize, 0..80usize), 1..20),
    ) {
        let (entries, states) = expected_states(&steps);
        let mut replica = loaded_replica(&[]);
        for (from, length) in cuts {
            let from = from.min(entries.len() - 1);
            let until = (from + length).min(entries.len());
            let before = replica.next_offset();
            let result = replica.apply(&span(&entries[from..until]));
            let is_gap = matches!(result, Err(ReplicaError::Gap { .. }));
            prop_assert_eq!(is_gap, from as u64 > before && from < until);
            prop_assert!(replica.next_offset() >= before);
            let expected = replica
                .applied_offset()
                .map_or_else(Expectation::default, |offset| states[offset as usize].clone());
            prop_assert_eq!(actual_state(&replica), expected);
        }
    }

    #[test]
    fn snapshot_and_later_records_give_the_same_state_as_the_complete_log(steps in steps(), cut in 1..80usize) {
        let (entries, _) = expected_states(&steps);
        let cut = cut.min(entries.len());
        let replayed = loaded_replica(&entries);
        let snapshot = loaded_replica(&entries[..cut]).to_snapshot("node-1".into()).expect("loaded");
        let mut replica = ConfigReplica::new();
        prop_assert_eq!(replica.install(&snapshot, SnapshotSource::Neighbour), Ok(InstallOutcome::Installed));
        replica.apply(&span(&entries[cut..])).expect("the entries follow the snapshot");
        prop_assert_eq!(replica.to_snapshot("x".into()), replayed.to_snapshot("x".into()));
        prop_assert_eq!(replayed.clone().install(&snapshot, SnapshotSource::Log), Ok(InstallOutcome::Confirmed));
    }

    #[test]
    fn altered_snapshot_is_refused(steps in steps(), cut in 1..80usize, alteration in 0..4u8) {
        let (entries, _) = expected_states(&steps);
        let cut = cut.min(entries.len());
        let mut snapshot = loaded_replica(&entries[..cut]).to_snapshot("node-1".into()).expect("loaded");
        let is_altered = alter(&mut snapshot, alteration);
        let mut replica = loaded_replica(&entries);
        let before = replica.to_snapshot("x".into());
        let outcome = replica.install(&snapshot, SnapshotSource::Log);
        prop_assert_eq!(outcome.is_err(), is_altered);
        prop_assert_eq!(replica.refused_snapshots(), u64::from(is_altered));
        prop_assert_eq!(replica.to_snapshot("x".into()), before);
    }
}

/// Alters a snapshot and returns whether there was something to alter.
fn alter(snapshot: &mut SnapshotRecord, alteration: u8) -> bool {
    match alteration {
        0 => snapshot.resources.pop().is_some(),
        1 => snapshot.recent_changes.pop().is_some(),
        2 => snapshot
            .resources
            .first_mut()
            .map(|resource| resource.generation += 1)
            .is_some(),
        _ => false,
    }
}

#[test]
fn replica_without_base_state_is_not_loaded_and_applies_nothing() {
    let mut replica = ConfigReplica::new();
    assert_eq!(replica.load_state(), LoadState::NotLoaded(NotLoadedReason::Starting));
    assert_eq!(replica.apply(&span(&[])), Err(ReplicaError::NoBase));
    assert_eq!(replica.to_snapshot("node-1".into()), None);
    replica.set_not_loaded_reason(NotLoadedReason::LogUnavailable);
    assert_eq!(
        replica.load_state(),
        LoadState::NotLoaded(NotLoadedReason::LogUnavailable)
    );
}

#[test]
fn replica_is_loaded_only_after_reaching_the_required_offset() {
    let entries = [
        entry(0, change("a", 0, None, Some(1))),
        entry(1, change("b", 1, None, Some(1))),
    ];
    let mut replica = ConfigReplica::new();
    replica.require_offset(2);
    replica.begin_at_origin();
    replica.apply(&span(&entries[..1])).expect("no gap");
    assert_eq!(
        replica.load_state(),
        LoadState::NotLoaded(NotLoadedReason::Replaying { end: 2 })
    );
    replica.apply(&span(&entries[1..])).expect("no gap");
    assert_eq!(replica.load_state(), LoadState::Loaded);
}

#[test]
fn snapshot_that_reverts_a_resource_to_an_older_version_is_refused() {
    let first = loaded_replica(&[entry(0, change("a", 0, None, Some(1)))]);
    let mut snapshot = first.to_snapshot("node-1".into()).expect("loaded");
    snapshot.as_of = 9;
    let mut replica = loaded_replica(&[
        entry(0, change("a", 0, None, Some(1))),
        entry(1, change("b", 0, Some(0), Some(2))),
    ]);
    let outcome = replica.install(&snapshot, SnapshotSource::Neighbour);
    assert!(matches!(outcome, Err(ReplicaError::InvalidSnapshot { as_of: 9, .. })));
    assert_eq!(replica.applied_offset(), Some(1));
}

#[test]
fn mismatching_snapshot_in_the_log_is_reported_and_skipped() {
    let mut replica = loaded_replica(&[entry(0, change("a", 0, None, Some(1)))]);
    let mut snapshot = replica.to_snapshot("node-2".into()).expect("loaded");
    snapshot.resources.clear();
    let entry = LogEntry {
        offset: 1,
        record: LogRecord::Snapshot(Box::new(snapshot)),
    };
    let refused = replica.apply(&span(&[entry])).expect("no gap");
    assert!(matches!(refused[..], [ReplicaError::SnapshotMismatch { as_of: 0, .. }]));
    assert_eq!((replica.next_offset(), replica.view().len()), (2, 1));
}

#[test]
fn change_with_a_mismatching_kind_or_without_effect_is_rejected() {
    let mut mixed = change("a", 0, None, None);
    mixed.spec = Some(adapter_spec("model-0"));
    let replica = loaded_replica(&[entry(0, mixed), entry(1, change("b", 0, None, None))]);
    assert!(replica.view().is_empty());
    assert!(!replica.outcome_of("a").expect("decided").accepted);
    assert!(!replica.outcome_of("b").expect("decided").accepted);
}

#[test]
fn number_of_kept_changes_and_events_is_bounded() {
    let count = RECENT_CHANGES_KEPT as u64 + 10;
    let mut replica = loaded_replica(&[]);
    for offset in 0..count {
        let record = change(&offset.to_string(), 0, offset.checked_sub(1), Some(offset + 1));
        replica.apply(&span(&[entry(offset, record)])).expect("no gap");
    }
    assert!(replica.outcome_of("9").is_none() && replica.outcome_of("10").is_some());
    assert_eq!(replica.events_from(0), Err(WatchError::TooOld { earliest: 10 }));
    assert_eq!(replica.events_from(count - 2).expect("kept").len(), 2);
    let snapshot = replica.to_snapshot("node-1".into()).expect("loaded");
    assert_eq!(
        replica.install(&snapshot, SnapshotSource::Log),
        Ok(InstallOutcome::Confirmed)
    );
}

#[test]
fn view_is_not_affected_by_later_changes() {
    let mut replica = loaded_replica(&[entry(0, change("a", 0, None, Some(1)))]);
    let view = replica.view();
    replica
        .apply(&span(&[entry(1, change("b", 0, Some(0), None))]))
        .expect("no gap");
    assert_eq!((view.len(), replica.view().len()), (1, 0));
}
