//! The board of runners: its index of ready weights follows every report.

use mustardgate::runners::RunnerBoard;
use mustardgate_core::{clock, ids::BackendId, log::Artifact, reports::RunnerState};

fn artifact(model: &str) -> Artifact {
    Artifact {
        model: model.into(),
        adapter: None,
        version: "v1".into(),
    }
}

fn holding(models: &[&str]) -> RunnerState {
    RunnerState {
        ready: models.iter().map(|model| artifact(model)).collect(),
        outstanding: 0,
    }
}

#[test]
fn index_follows_reports_and_declarations() {
    let board = RunnerBoard::default();
    let (first, second) = (BackendId::from("r1"), BackendId::from("r2"));
    board.update(&first, holding(&["menu", "notes"]), clock::now());
    board.update(&second, holding(&["menu"]), clock::now());
    assert_eq!(board.ready(&artifact("menu")), [first.clone(), second.clone()]);

    board.update(&first, holding(&["notes"]), clock::now());
    assert_eq!(board.ready(&artifact("menu")), std::slice::from_ref(&second));
    assert_eq!(board.ready(&artifact("notes")), std::slice::from_ref(&first));

    board.retain(|backend| *backend == first);
    assert!(board.ready(&artifact("menu")).is_empty());
    assert!(board.entry(&second).is_none());
    assert_eq!(board.ready(&artifact("notes")), [first]);
}
