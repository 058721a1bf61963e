//! Tests of the list of VMs, which shows a change only after its lag, and of the pacer, which delays surplus appends.

use std::time::{Duration, Instant};

use mustardgate_core::ports::{VmEntry, VmRole, VmState};
use mustardgate_standins::platform::{AppendPacer, LaggingList};

#[test]
fn changes_show_after_the_lag() {
    let lag = Duration::from_secs(5);
    let mut list = LaggingList::new(lag);
    let start = Instant::now();
    let entry = VmEntry {
        name: "n1".into(),
        role: VmRole::Entry,
        domain: "a".into(),
        region: "r".into(),
        address: ([127, 0, 0, 1], 9).into(),
        state: VmState::Live,
    };
    list.upsert(start, entry.clone());
    assert!(list.entries(start + lag.mul_f64(0.99)).is_empty());
    assert_eq!(list.entries(start + lag), vec![entry]);
    list.remove(start + lag, "n1".into());
    assert_eq!(list.entries(start + lag).len(), 1);
    assert!(list.entries(start + lag * 2).is_empty());
}

#[test]
fn surplus_appends_wait_for_their_slot() {
    let mut pacer = AppendPacer::new(10.0);
    let start = Instant::now();
    let waits: Vec<Duration> = (0..3).map(|_| pacer.reserve(start)).collect();
    let expected: Vec<Duration> = [0, 100, 200].map(Duration::from_millis).to_vec();
    assert_eq!(waits, expected);
    assert_eq!(pacer.delayed(), 2);
}
