//! Adapter slots in a runner's report.

use std::collections::{BTreeMap, BTreeSet};

use mustardgate_core::relay::ModelName;
use mustardgate_relay::ports::RunnerReport;

/// An adapter that is still being loaded occupies a slot. When it was not counted, a leader ordered a runner to load
/// more adapters than it has slots for.
#[test]
fn adapters_on_their_way_take_a_place() {
    let report = RunnerReport {
        models: BTreeMap::from([("menu".into(), BTreeSet::from(["a1".into()]))]),
        pending_adapters: BTreeSet::from([ModelName::parse("menu/a2"), ModelName::parse("rare/a1")]),
        ..RunnerReport::default()
    };
    let held = report.held_adapters();
    assert_eq!(held["menu"], BTreeSet::from(["a1".into(), "a2".into()]));
    assert_eq!(held["rare"], BTreeSet::from(["a1".into()]));
}
