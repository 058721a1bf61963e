//! What a runner's report says of its places.

use std::collections::{BTreeMap, BTreeSet};

use mustardgate_core::relay::ModelName;
use mustardgate_relay::ports::RunnerReport;

/// On the grown deployment a runner was once ordered to load an adapter beyond its places, because one that was still on
/// its way did not count.
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
