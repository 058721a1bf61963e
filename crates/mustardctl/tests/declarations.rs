//! Declarations: the examples are valid, errors name what is wrong, and plans have only what differs, in a safe order.

use std::{collections::BTreeMap, path::Path};

use mustardctl::{
    cli::{CommandError, exit_codes},
    declarations::{
        DeclaredResource, PlannedAction, check_declarations, parse_declarations, plan_changes, read_folder,
    },
};
use mustardgate_core::{log::VersionedResource, resources::ResourceSpec};

fn examples() -> Vec<DeclaredResource> {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples");
    read_folder(Path::new(folder)).expect("the examples are readable")
}

fn versioned(declared: &[DeclaredResource]) -> Vec<VersionedResource> {
    let resources = (0..).zip(declared).map(|(version, resource)| VersionedResource {
        key: resource.key.clone(),
        version,
        generation: 1,
        spec: resource.spec.clone(),
    });
    resources.collect()
}

#[test]
fn the_examples_are_valid() {
    let declared = examples();
    assert!(declared.len() > 10);
    check_declarations(&declared, &BTreeMap::new()).expect("valid");
}

#[test]
fn an_error_names_what_is_wrong_in_a_file() {
    let file = Path::new("faulty.toml");
    for (text, expected) in [
        ("kind = \"model\"", "name"),
        ("kind = \"mode\"\nname = \"a\"\n[spec]\n", "unknown kind"),
        ("kind = \"model\"\nname = \"a\"\n[spec]\nserving = 1\n", "model/a"),
        ("kind = \"policy\"\nname = \"default\"\n[spec]\nprice = 1\n", "price"),
        ("kind = ", "faulty.toml"),
    ] {
        let error = parse_declarations(text, file).expect_err("the file is invalid");
        assert_eq!(error.exit_code(), exit_codes::INVALID);
        assert!(error.to_string().contains(expected), "{error}");
    }
}

#[test]
fn a_reference_to_a_missing_resource_is_an_error() {
    let text = "kind = \"adapter\"\nname = \"a\"\n[spec]\nmodel = \"absent\"\nversion = \"v1\"\nmemory_mib = 1\n";
    let declared = parse_declarations(text, Path::new("a.toml")).expect("readable");
    let error = check_declarations(&declared, &BTreeMap::new()).expect_err("the model is missing");
    assert!(
        matches!(&error, CommandError::Invalid { errors } if errors[0].contains("absent")),
        "{error}"
    );
}

#[test]
fn a_plan_has_only_what_differs() {
    let declared = examples();
    let mut current = versioned(&declared);
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
    let actions: Vec<PlannedAction> = plan.changes.iter().map(|change| change.action).collect();
    assert_eq!(actions, [PlannedAction::Create, PlannedAction::Update]);
    assert_eq!(plan.changes[0].key, removed.key);
    assert_eq!(plan.changes[1].differences(), ["spec.min_replicas: 7 -> 1"]);
}

#[test]
fn pruning_deletes_a_resource_before_those_it_refers_to() {
    let current = versioned(&examples());
    assert!(plan_changes(&[], &current, false).changes.is_empty());
    let plan = plan_changes(&[], &current, true);
    assert_eq!(plan.changes.len(), current.len());
    let kinds: Vec<String> = plan.changes.iter().map(|change| change.key.kind.to_string()).collect();
    assert_eq!(kinds.first().map(String::as_str), Some("tenant"));
    assert_eq!(kinds.last().map(String::as_str), Some("policy"));
    assert!(plan.changes.iter().all(|change| change.expected.is_some()));
}

#[test]
fn a_group_of_changes_has_one_kind() {
    let plan = plan_changes(&examples(), &[], false);
    let sizes: Vec<usize> = plan.independent_groups().map(<[_]>::len).collect();
    assert_eq!(sizes, [1, 5, 2, 1, 2, 2]);
}
