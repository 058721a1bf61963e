//! Tests of the membership view: outdated lists, empty lists, successors of servers, marks of peers, and speakers.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use mustardgate_core::{
    clock,
    membership::{
        LeavingMark, MemberStatus, MembershipSettings, MembershipView, NodeHeartbeat, PropagationScope,
        default_suspicion,
    },
    ports::{VmEntry, VmRole, VmState},
};

fn vm(name: &str, role: VmRole, domain: &str, port: u16, state: VmState) -> VmEntry {
    VmEntry {
        name: name.into(),
        role,
        domain: domain.into(),
        region: "r1".into(),
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        state,
    }
}

fn list(state: VmState, port: u16) -> Vec<VmEntry> {
    vec![
        vm("b1", VmRole::Backend, "d1", port, state),
        vm("n1", VmRole::Entry, "d1", 1, VmState::Live),
        vm("n2", VmRole::Entry, "d1", 2, VmState::Live),
        vm("n3", VmRole::Entry, "d2", 3, VmState::Live),
    ]
}

fn view(now: Instant) -> MembershipView {
    let mut view = MembershipView::new(
        "n1".into(),
        "d1".into(),
        MembershipSettings::default(),
        default_suspicion(),
    );
    view.list_fetched(&list(VmState::Live, 80), now);
    view
}

fn heartbeat(node: &str, leaving: Vec<LeavingMark>) -> NodeHeartbeat {
    NodeHeartbeat {
        node: node.into(),
        sequence: 1,
        leaving,
    }
}

#[test]
fn leaving_backend_stays_leaving_after_an_outdated_list_but_its_successor_is_live() {
    let now = clock::now();
    let mut view = view(now);
    assert!(view.takes_new_work(&"b1".into()));
    view.list_fetched(&list(VmState::Leaving, 80), now);
    assert_eq!(view.take_propagation(), PropagationScope::AllDomains);
    view.list_fetched(&list(VmState::Live, 80), now);
    assert!(!view.takes_new_work(&"b1".into()));
    assert_eq!(view.counters().regressed_lists, 1);
    view.list_fetched(&list(VmState::Live, 81), now);
    assert!(view.takes_new_work(&"b1".into()));
}

#[test]
fn mark_of_a_peer_takes_effect_and_expires_without_being_renewed() {
    let now = clock::now();
    let mut view = view(now);
    let retention = MembershipSettings::default().leaving_retention;
    let mark = LeavingMark {
        backend: "b1".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 80)),
        age_ms: retention.as_millis() as u64 - 1_000,
    };
    view.heartbeat_received(&heartbeat("n2", vec![mark]), now);
    assert_eq!(view.status(&"b1".into(), now), Some(MemberStatus::Leaving));
    let later = now + Duration::from_secs(2);
    view.heartbeat_received(&heartbeat("n2", view.digest(later).leaving), later);
    view.tick(later);
    assert!(view.takes_new_work(&"b1".into()));
}

#[test]
fn empty_list_is_ignored_and_a_missing_vm_is_removed_after_two_lists() {
    let now = clock::now();
    let mut view = view(now);
    view.list_fetched(&[], now);
    assert!(view.takes_new_work(&"b1".into()));
    let shorter = &list(VmState::Live, 80)[1..];
    view.list_fetched(shorter, now);
    assert!(view.takes_new_work(&"b1".into()));
    view.list_fetched(shorter, now);
    assert_eq!(view.status(&"b1".into(), now), None);
}

#[test]
fn suspected_node_is_not_the_speaker_and_is_live_after_a_heartbeat() {
    let now = clock::now();
    let mut view = view(now);
    view.heartbeat_received(&heartbeat("n2", vec![]), now);
    let later = now + Duration::from_secs(60);
    assert_eq!(view.status(&"n2".into(), later), Some(MemberStatus::Suspected));
    assert!(view.is_speaker(later));
    assert_eq!(view.digest_targets(later).len(), 1);
    view.heartbeat_received(&heartbeat("n2", vec![]), later);
    assert_eq!(view.status(&"n2".into(), later), Some(MemberStatus::Live));
}

#[test]
fn heartbeats_of_a_domain_grow_linearly_with_its_nodes() {
    let now = clock::now();
    let names: Vec<String> = (0..16).map(|index| format!("n{index}")).collect();
    let nodes = names.iter().map(|name| vm(name, VmRole::Entry, "d1", 1, VmState::Live));
    let nodes: Vec<VmEntry> = nodes.collect();
    let targets = names.iter().map(|name| {
        let settings = MembershipSettings::default();
        let mut view = MembershipView::new(name.into(), "d1".into(), settings, default_suspicion());
        view.list_fetched(&nodes, now);
        view.heartbeat_targets(now).len()
    });
    assert_eq!(targets.sum::<usize>(), 2 * 15 + 14 * 2);
}
