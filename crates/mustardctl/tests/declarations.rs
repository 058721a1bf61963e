//! Declarations: the examples are valid, faults are all named, and plans hold what differs in a safe order.

use std::{collections::BTreeMap, path::Path};

use mustardctl::{
    cli::{CommandError, exit_codes},
    declarations::{DeclaredResource, PlannedStep, check_declarations, parse_declarations, plan_changes, read_folder},
};
use mustardgate_core::{log::VersionedResource, resources::ResourceSpec};

fn examples() -> Vec<DeclaredResource> {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples");
    read_folder(Path::new(folder)).expect("the examples are readable")
}

fn in_force(declared: &[DeclaredResource]) -> Vec<VersionedResource> {
    let versioned = (0..).zip(declared).map(|(version, resource)| VersionedResource {
        key: resource.key.clone(),
        version,
        generation: 1,
        spec: resource.spec.clone(),
    });
    versioned.collect()
}

#[test]
fn the_examples_are_valid() {
    let declared = examples();
    assert!(declared.len() > 10);
    check_declarations(&declared, &BTreeMap::new()).expect("valid");
}

#[test]
fn each_fault_of_a_file_is_named() {
    let file = Path::new("faulty.toml");
    for (text, named) in [
        ("kind = \"model\"", "name"),
        ("kind = \"mode\"\nname = \"a\"\n[spec]\n", "there is no such kind"),
        ("kind = \"model\"\nname = \"a\"\n[spec]\nserving = 1\n", "model/a"),
        ("kind = \"policy\"\nname = \"default\"\n[spec]\nprice = 1\n", "price"),
        ("kind = ", "faulty.toml"),
    ] {
        let error = parse_declarations(text, file).expect_err("it must be refused");
        assert_eq!(error.exit_code(), exit_codes::INVALID);
        assert!(error.to_string().contains(named), "{error}");
    }
}

#[test]
fn references_are_checked_against_everything_declared() {
    let text = "kind = \"adapter\"\nname = \"a\"\n[spec]\nmodel = \"absent\"\nversion = \"v1\"\nmemory_mib = 1\n";
    let declared = parse_declarations(text, Path::new("a.toml")).expect("readable");
    let error = check_declarations(&declared, &BTreeMap::new()).expect_err("the model is missing");
    assert!(
        matches!(&error, CommandError::Invalid { errors } if errors[0].contains("absent")),
        "{error}"
    );
}

#[test]
fn a_plan_holds_only_what_differs() {
    let declared = examples();
    let mut current = in_force(&declared);
    assert!(plan_changes(&declared, &current, true).changes.is_empty());

    let removed = current.remove(0);
    let ResourceSpec::Model(model) = &mut current
        .iter_mut()
        .find(|resource| resource.key.name == "driver-notes")
        .expect("declared")
        .spec
    else {
        panic!("driver-notes is a model");
    };
    model.min_replicas = 7;
    let plan = plan_changes(&declared, &current, false);
    let steps: Vec<PlannedStep> = plan.changes.iter().map(|change| change.step).collect();
    assert_eq!(steps, [PlannedStep::Create, PlannedStep::Update]);
    assert_eq!(plan.changes[0].key, removed.key);
    assert_eq!(plan.changes[1].differences(), ["spec.min_replicas: 7 -> 1"]);
}

#[test]
fn pruning_deletes_what_refers_before_what_is_referred_to() {
    let current = in_force(&examples());
    assert!(plan_changes(&[], &current, false).changes.is_empty());
    let plan = plan_changes(&[], &current, true);
    assert_eq!(plan.changes.len(), current.len());
    let kinds: Vec<String> = plan.changes.iter().map(|change| change.key.kind.to_string()).collect();
    assert_eq!(kinds.first().map(String::as_str), Some("tenant"));
    assert_eq!(kinds.last().map(String::as_str), Some("policy"));
    assert!(plan.changes.iter().all(|change| change.expected.is_some()));
}

#[test]
fn a_run_of_changes_holds_one_kind() {
    let plan = plan_changes(&examples(), &[], false);
    let runs: Vec<usize> = plan.independent_runs().map(<[_]>::len).collect();
    assert_eq!(runs, [1, 5, 2, 1, 2, 2]);
}
