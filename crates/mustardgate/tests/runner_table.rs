//! The index of the runner table stays consistent with the latest report of each runner.

use mustardgate::runners::RunnerTable;
use mustardgate_core::{clock, ids::BackendId, log::Artifact, reports::RunnerState};

fn artifact(model: &str) -> Artifact {
    Artifact {
        model: model.into(),
        adapter: None,
        version: "v1".into(),
    }
}

fn serving(models: &[&str]) -> RunnerState {
    RunnerState {
        ready: models.iter().map(|model| artifact(model)).collect(),
        outstanding: 0,
    }
}

#[test]
fn index_follows_reports_and_declarations() {
    let table = RunnerTable::default();
    let (first, second) = (BackendId::from("r1"), BackendId::from("r2"));
    table.update(&first, serving(&["menu", "notes"]), clock::now());
    table.update(&second, serving(&["menu"]), clock::now());
    assert_eq!(table.ready(&artifact("menu")), [first.clone(), second.clone()]);

    table.update(&first, serving(&["notes"]), clock::now());
    assert_eq!(table.ready(&artifact("menu")), std::slice::from_ref(&second));
    assert_eq!(table.ready(&artifact("notes")), std::slice::from_ref(&first));

    table.retain(|backend| *backend == first);
    assert!(table.ready(&artifact("menu")).is_empty());
    assert!(table.entry(&second).is_none());
    assert_eq!(table.ready(&artifact("notes")), [first]);
}
