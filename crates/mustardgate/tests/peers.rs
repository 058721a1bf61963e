//! Two nodes in this process that call each other over loopback.

mod support;

use std::{net::SocketAddr, sync::Arc};

use mustardgate::{
    context::NodeContext,
    peers::{MetricsMeter, PeerHub, PeerResponder, serve_peers},
};
use mustardgate_core::{
    clock,
    config::ConfigReplica,
    log::Artifact,
    membership::{LeavingMark, NodeHeartbeat, PropagationScope},
    ports::{VmEntry, VmRole, VmState},
    reports::DemandReport,
    routing::Availability,
};
use mustardgate_protocol::peers::PeerKey;
use slog::{Discard, Logger, o};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

const SECRET: &[u8] = b"the key of one deployment";
const OTHER_SECRET: &[u8] = b"the key of another deployment";

fn hub(secret: &[u8]) -> Arc<PeerHub> {
    let key = PeerKey::new(secret).expect("long enough");
    Arc::new(PeerHub::new(key, Arc::new(MetricsMeter), Logger::root(Discard, o!())))
}

async fn serve(context: &Arc<NodeContext>, shutdown: &CancellationToken) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    let responder = Arc::new(PeerResponder::new(Arc::clone(context), hub(SECRET)));
    let logger = context.logger.clone();
    tokio::spawn(serve_peers(listener, hub(SECRET), responder, logger, shutdown.clone()));
    address
}

fn runner(state: VmState) -> VmEntry {
    VmEntry {
        name: "runner-1".into(),
        role: VmRole::Backend,
        state,
        domain: "th-a".into(),
        region: "th-central".into(),
        address: runner_address(),
    }
}

fn runner_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 9))
}

fn heartbeat(leaving: Vec<LeavingMark>) -> NodeHeartbeat {
    NodeHeartbeat {
        node: "entry-b".into(),
        sequence: 1,
        leaving,
    }
}

#[tokio::test]
async fn a_neighbours_heartbeat_takes_a_leaving_server_out_of_service() {
    let context = support::context();
    let runner_name = "runner-1".into();
    assert_eq!(context.vms.availability(&runner_name), Availability::Serving);
    context.vms.list_fetched(&[], clock::now());
    assert_eq!(context.vms.availability(&runner_name), Availability::Serving);
    context.vms.list_fetched(&[runner(VmState::Live)], clock::now());
    assert_eq!(context.vms.availability(&runner_name), Availability::Serving);
    assert_eq!(context.vms.availability(&"runner-2".into()), Availability::Leaving);

    let address = serve(&context, &CancellationToken::new()).await;
    let mark = LeavingMark {
        backend: runner_name.clone(),
        address: runner_address(),
        age_ms: 10,
    };
    let answer = hub(SECRET)
        .call(
            address,
            |peer| async move { peer.heartbeat(heartbeat(vec![mark])).await },
        )
        .await;
    assert_eq!(answer, Some(()));
    assert_eq!(context.vms.availability(&runner_name), Availability::Leaving);
    context.vms.list_fetched(&[runner(VmState::Live)], clock::now());
    assert_eq!(context.vms.availability(&runner_name), Availability::Leaving);
}

#[tokio::test]
async fn a_list_that_shows_a_leaving_server_is_propagated_to_all_domains() {
    let context = support::context();
    assert!(context.vms.list_fetched(&[runner(VmState::Leaving)], clock::now()));
    assert_eq!(context.vms.wait_for_propagation().await, PropagationScope::AllDomains);
    assert!(!context.vms.list_fetched(&[runner(VmState::Leaving)], clock::now()));
}

#[tokio::test]
async fn a_node_returns_its_configuration_to_a_peer() {
    let context = support::context();
    let address = serve(&context, &CancellationToken::new()).await;
    let state = hub(SECRET)
        .call(address, |peer| async move { peer.config_state().await })
        .await;
    let snapshot = state.flatten().expect("the node has a configuration");
    assert_eq!(
        Some(snapshot.as_of),
        context.directory.read(ConfigReplica::applied_offset)
    );
    assert!(snapshot.resources.iter().any(|resource| resource.key.name == "menu"));
}

#[tokio::test]
async fn demand_that_a_neighbour_reports_is_collected_and_not_reported_again() {
    let context = support::context();
    let address = serve(&context, &CancellationToken::new()).await;
    let artifact = Artifact {
        model: "menu".into(),
        adapter: None,
        version: "v1".into(),
    };
    context.demand.record(&artifact);
    let report = DemandReport {
        node: "entry-b".into(),
        counts: vec![(artifact.clone(), 3)],
    };
    let answer = hub(SECRET)
        .call(address, |peer| async move { peer.demand(report).await })
        .await;
    assert_eq!(answer, Some(()));
    assert_eq!(context.demand.take_unreported(), vec![(artifact.clone(), 1)]);
    assert_eq!(context.demand.take_unreported(), vec![]);
    assert_eq!(context.demand.collect(), [(artifact, 4.0)].into());
    assert!(context.demand.collect().is_empty());
}

#[tokio::test]
async fn a_wrong_key_is_refused_and_a_lost_connection_is_reopened() {
    let context = support::context();
    let shutdown = CancellationToken::new();
    let address = serve(&context, &shutdown).await;
    let call = |peer: mustardgate_protocol::peers::PeerClient| async move { peer.heartbeat(heartbeat(vec![])).await };
    assert_eq!(hub(OTHER_SECRET).call(address, call).await, None);

    let hub = hub(SECRET);
    assert_eq!(hub.call(address, call).await, Some(()));
    shutdown.cancel();
    // The listener's task releases the port when it next runs.
    let listener = loop {
        if let Ok(listener) = TcpListener::bind(address).await {
            break listener;
        }
        tokio::task::yield_now().await;
    };
    let responder = Arc::new(PeerResponder::new(Arc::clone(&context), self::hub(SECRET)));
    let logger = context.logger.clone();
    while hub.call(address, call).await.is_some() {}
    tokio::spawn(serve_peers(
        listener,
        self::hub(SECRET),
        responder,
        logger,
        CancellationToken::new(),
    ));
    while hub.call(address, call).await.is_none() {
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
    }
}
