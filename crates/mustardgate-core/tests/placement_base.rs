//! Base placement: memory limits, availability, failure domains, determinism and stability.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use mustardgate_core::{
    ids::{BackendId, MemoryMib},
    log::Artifact,
    placement::base::{AbsenceTracker, BaseInput, BasePlacement, DeclaredArtifact, DeclaredRunner},
};
use proptest::prelude::*;
use smol_str::format_smolstr;

fn model(index: usize, memory_mib: MemoryMib) -> DeclaredArtifact {
    DeclaredArtifact {
        artifact: Artifact {
            model: format_smolstr!("m{index}"),
            adapter: None,
            version: "1".into(),
        },
        memory_mib,
        min_replicas: 1,
    }
}

fn adapter(index: usize, model_index: usize, memory_mib: MemoryMib) -> DeclaredArtifact {
    let mut declared = model(model_index, memory_mib);
    declared.artifact.adapter = Some(format_smolstr!("a{index}"));
    declared
}

fn runner(index: usize, domains: usize, memory_mib: MemoryMib) -> DeclaredRunner {
    DeclaredRunner {
        backend: format_smolstr!("r{index}"),
        domain: format_smolstr!("d{}", index % domains),
        region: "th-central".into(),
        accelerators: vec![memory_mib],
    }
}

fn used_memory(input: &BaseInput, placement: &BasePlacement) -> BTreeMap<(BackendId, u16), MemoryMib> {
    let mut used = BTreeMap::new();
    for declared in &input.artifacts {
        for replica in placement.replicas.get(&declared.artifact).into_iter().flatten() {
            let place = (replica.place.backend.clone(), replica.place.accelerator);
            *used.entry(place).or_default() += declared.memory_mib;
        }
    }
    used
}

fn pinto_sized_input() -> BaseInput {
    BaseInput {
        artifacts: (0..26)
            .map(|index| model(index, 8_000 + 800 * index as u64))
            .chain((0..95).map(|index| adapter(index, index % 26, 200)))
            .collect(),
        runners: (0..18).map(|index| runner(index, 3, 81_920)).collect(),
        absent: Vec::new(),
    }
}

#[test]
fn every_artifact_has_replicas_in_two_domains_where_memory_allows() {
    let input = pinto_sized_input();
    let placement = BasePlacement::compute(&input);
    assert!(placement.unplaced.is_empty());
    for replicas in placement.replicas.values() {
        let domains: BTreeSet<_> = replicas.iter().map(|replica| &replica.domain).collect();
        assert_eq!((replicas.len(), domains.len()), (2, 2));
    }
}

#[test]
fn losing_a_runner_moves_few_other_replicas() {
    let input = pinto_sized_input();
    let before = BasePlacement::compute(&input);
    let mut smaller = input.clone();
    smaller.runners.remove(4);
    let after = BasePlacement::compute(&smaller);
    let places = |placement: &BasePlacement| -> BTreeSet<(Artifact, BackendId)> {
        placement
            .replicas
            .iter()
            .flat_map(|(artifact, replicas)| {
                replicas
                    .iter()
                    .map(|replica| (artifact.clone(), replica.place.backend.clone()))
            })
            .collect()
    };
    let moved = places(&after).difference(&places(&before)).count();
    let lost = places(&before).iter().filter(|(_, backend)| backend == "r4").count();
    assert!(moved <= lost * 3, "{moved} replicas moved where {lost} were lost");
}

#[test]
fn an_absent_domain_that_is_expected_back_leaves_other_replicas_in_place() {
    let input = pinto_sized_input();
    let before = BasePlacement::compute(&input);
    let (absent, runners): (Vec<_>, Vec<_>) = input.runners.iter().cloned().partition(|runner| runner.domain == "d1");
    let smaller = BaseInput {
        runners,
        absent,
        ..input
    };
    let after = BasePlacement::compute(&smaller);
    assert_eq!(after.unplaced, []);
    assert_eq!(after.replicas.len(), before.replicas.len());
    for (artifact, replicas) in &before.replicas {
        let mut left = replicas.clone();
        left.retain(|replica| replica.domain != "d1");
        assert!(!left.is_empty(), "{artifact:?} has a replica in another domain");
        assert_eq!(after.replicas[artifact], left);
    }
}

#[test]
fn artifacts_without_a_live_replica_are_placed_on_live_runners() {
    let input = BaseInput {
        artifacts: vec![model(0, 60), model(1, 60), model(2, 60)],
        runners: (0..3).map(|index| runner(index, 3, 100)).collect(),
        absent: Vec::new(),
    };
    let before = BasePlacement::compute(&input);
    let lost = before.replicas[&model(1, 60).artifact][0].place.backend.clone();
    let (absent, runners): (Vec<_>, Vec<_>) = input.runners.iter().cloned().partition(|runner| runner.backend == lost);
    let crowded = BaseInput {
        runners,
        absent,
        ..input.clone()
    };
    assert_eq!(BasePlacement::compute(&crowded).unplaced.len(), 1);
    let mut roomy = crowded;
    roomy.runners[0].accelerators = vec![160];
    let placement = BasePlacement::compute(&roomy);
    assert_eq!(placement.unplaced, []);
    assert!(
        placement
            .replicas
            .values()
            .flatten()
            .all(|replica| replica.place.backend != lost)
    );
}

#[test]
fn best_fit_is_used_when_ranking_leaves_artifacts_unplaced() {
    let input = BaseInput {
        artifacts: [60, 40, 50, 50, 30, 30, 40]
            .iter()
            .enumerate()
            .map(|(index, size)| model(index, *size))
            .collect(),
        runners: (0..3).map(|index| runner(index, 3, 100)).collect(),
        absent: Vec::new(),
    };
    assert!(BasePlacement::compute(&input).unplaced.is_empty());
}

#[test]
fn models_leave_room_for_their_adapters() {
    let models = (0..26).map(|index| model(index, 1_024 * (10 + 2 * (index as u64 * 5 % 9))));
    let adapters = (0..95).map(|index| adapter(index, index % 26, 200));
    let input = BaseInput {
        artifacts: models.chain(adapters).collect(),
        runners: (0..18).map(|index| runner(index, 3, 81_920)).collect(),
        absent: Vec::new(),
    };
    assert_eq!(BasePlacement::compute(&input).unplaced, []);
}

#[test]
fn artifacts_without_room_are_reported() {
    let input = BaseInput {
        artifacts: vec![model(0, 200)],
        runners: vec![runner(0, 1, 100)],
        absent: Vec::new(),
    };
    let placement = BasePlacement::compute(&input);
    assert_eq!(placement.unplaced.len(), 1);
    assert!(placement.replicas.is_empty());
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    #[test]
    fn memory_is_never_exceeded_and_input_order_does_not_matter(
        sizes in prop::collection::vec(1_u64..90, 1..30),
        adapters in prop::collection::vec((0_usize..30, 1_u64..9), 0..40),
        runners in 1_usize..9,
        domains in 1_usize..4,
    ) {
        let models = sizes.iter().enumerate().map(|(index, size)| model(index, *size));
        let adapters = adapters
            .iter()
            .enumerate()
            .map(|(index, (model_index, size))| adapter(index, *model_index, *size));
        let input = BaseInput {
            artifacts: models.chain(adapters).collect(),
            runners: (0..runners).map(|index| runner(index, domains, 100)).collect(),
            absent: Vec::new(),
        };
        let placement = BasePlacement::compute(&input);
        prop_assert!(used_memory(&input, &placement).values().all(|used| *used <= 100));
        let mut reversed = input.clone();
        reversed.artifacts.reverse();
        reversed.runners.reverse();
        prop_assert_eq!(&placement, &BasePlacement::compute(&reversed));
        for (artifact, replicas) in &placement.replicas {
            for replica in replicas.iter().filter(|_| artifact.adapter.is_some()) {
                let model = Artifact { adapter: None, ..artifact.clone() };
                prop_assert!(placement.replicas[&model].iter().any(|held| held.place == replica.place));
            }
        }
        let placed = placement.replicas.len() + placement.unplaced.len();
        prop_assert_eq!(placed, input.artifacts.len());
    }
}

#[test]
fn an_absent_runner_is_expected_back_only_for_the_grace_period() {
    let start = Instant::now();
    let mut absences = AbsenceTracker::new(Duration::from_secs(600));
    let at = |seconds| start + Duration::from_secs(seconds);
    absences.observe(at(0), [BackendId::from("r0")]);
    absences.observe(at(500), [BackendId::from("r0"), BackendId::from("r1")]);
    assert!(absences.is_expected_back(at(599), &"r0".into()));
    assert!(!absences.is_expected_back(at(600), &"r0".into()));
    assert!(absences.is_expected_back(at(600), &"r1".into()));
    assert!(!absences.is_expected_back(at(600), &"r2".into()));
    absences.observe(at(700), [BackendId::from("r1")]);
    absences.observe(at(800), [BackendId::from("r0")]);
    assert!(absences.is_expected_back(at(801), &"r0".into()));
}
