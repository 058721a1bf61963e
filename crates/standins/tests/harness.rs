//! The harness starts real processes, injects faults into them, and removes everything afterwards.

use std::time::Duration;

use hyper::{Method, StatusCode};
use mustardgate_standins::{
    engine_http::EngineStats,
    harness::{
        BackendKind, BackendOptions, ClusterOptions, DomainOptions, FaultProxy, ProcessUsage, ProxyMode, TestCluster,
    },
    http::{CallError, call, plain_request},
    platform::{LogFaults, PlatformFaults},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

const TIMEOUT: Duration = Duration::from_secs(10);

fn options() -> ClusterOptions {
    let domain = |name: &str| DomainOptions {
        name: name.into(),
        region: "north".into(),
        nodes: 1,
    };
    let backend = |name: &str, kind| BackendOptions {
        name: name.into(),
        domain: "a".into(),
        kind,
        address: None,
        arguments: Vec::new(),
    };
    ClusterOptions {
        domains: vec![domain("a"), domain("b")],
        backends: vec![
            backend("runner-1", BackendKind::Engine),
            backend("orders-1", BackendKind::Service),
        ],
        platform_arguments: vec!["--list-lag-ms".to_owned(), "0".to_owned()],
        platform_settings: String::new(),
        extra_settings: "[drain]\ngrace_ms = 0\n".to_owned(),
    }
}

#[tokio::test]
async fn processes_start_obey_signals_and_are_cleaned_up() {
    let mut cluster = TestCluster::start(options()).await.expect("the deployment starts");
    let stats: EngineStats = cluster.backend_stats("runner-1").await.expect("answered");
    assert_eq!(stats, EngineStats::default());

    let node = &mut cluster.nodes[0];
    let operators = node.addresses.operators.into();
    node.process.freeze().expect("signalled");
    let health = call(operators, plain_request(Method::GET, "/healthz"));
    let frozen = tokio::time::timeout(Duration::from_millis(100), health).await;
    frozen.expect_err("a frozen node does not answer");
    node.process.resume().expect("signalled");
    node.wait_healthy(TIMEOUT).await.expect("the node answers again");
    assert!(node.process.usage().is_some_and(|usage| usage.resident_bytes > 0));

    node.process.kill().expect("signalled");
    let answer = call(operators, plain_request(Method::GET, "/healthz")).await;
    assert!(matches!(answer, Err(CallError::Connect { .. })), "{answer:?}");
    node.restart().expect("started");
    node.wait_healthy(TIMEOUT).await.expect("the node answers again");

    let stopping = &mut cluster.nodes[1].process;
    stopping.terminate().expect("signalled");
    assert!(stopping.wait(TIMEOUT).await.expect("it ends").success());

    let ids: Vec<u32> = cluster.backends.iter().map(|backend| backend.process.id()).collect();
    let directory = cluster.scratch().path().to_owned();
    drop(cluster);
    assert!(ids.iter().all(|id| ProcessUsage::read(*id).is_none()));
    assert!(!directory.exists());
}

#[tokio::test]
async fn platform_faults_reach_the_platform() {
    let cluster = TestCluster::start(options()).await.expect("the deployment starts");
    let log = LogFaults {
        is_down: true,
        ..LogFaults::default()
    };
    let faults = PlatformFaults {
        log,
        ..PlatformFaults::default()
    };
    cluster.set_platform_faults(&faults).await.expect("accepted");
    let proxy = cluster.platform_proxy("a").expect("each domain has a proxy");
    let read = plain_request(Method::GET, "/log/records?from=0");
    let answer = call(proxy.address(), read).await.expect("answered");
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
}

async fn echo_connection(listener: TcpListener) {
    let (mut stream, _) = listener.accept().await.expect("a connection");
    let mut byte = [0];
    while stream.read_exact(&mut byte).await.is_ok() {
        stream.write_all(&byte).await.expect("written");
    }
}

#[tokio::test]
async fn a_proxy_blocks_the_given_direction_until_it_is_opened() {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("bound");
    let target = listener.local_addr().expect("bound");
    tokio::spawn(echo_connection(listener));
    let proxy = FaultProxy::start(target).await.expect("started");
    let mut stream = TcpStream::connect(proxy.address()).await.expect("connected");
    let mut byte = [0];
    for mode in [ProxyMode::Cut, ProxyMode::TowardsTarget, ProxyMode::FromTarget] {
        proxy.set_mode(mode);
        stream.write_all(b"x").await.expect("buffered");
        let blocked = tokio::time::timeout(Duration::from_millis(50), stream.read_exact(&mut byte)).await;
        blocked.expect_err("no echo arrives through a blocked direction");
        proxy.set_mode(ProxyMode::Open);
        stream
            .read_exact(&mut byte)
            .await
            .expect("the echo arrives once the proxy is open");
    }
}
