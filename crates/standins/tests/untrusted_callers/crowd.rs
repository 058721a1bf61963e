//! Crowds of callers with the key of a tenant, and what a node does meanwhile.

use std::{convert::Infallible, net::SocketAddr, time::Duration};

use bytes::Bytes;
use futures::{FutureExt, StreamExt, future, stream};
use http_body_util::StreamBody;
use hyper::{
    Method, Request, StatusCode,
    body::Frame,
    client::conn::http2,
    header::{AUTHORIZATION, CONTENT_LENGTH},
};
use hyper_util::rt::{TokioExecutor, TokioIo};
use mustardgate_protocol::callers::SERVICES_PREFIX;
use mustardgate_standins::{
    harness::{MemoryPeak, MemoryWatch},
    http::{call, json_request},
    performance::{DeploymentPlan, MeasuredDeployment, SERVICE},
};
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::{Mutex, oneshot, watch},
    task::JoinSet,
    time,
};

/// Memory of a node whose settings state none, in megabytes.
const DEFAULT_MB: u64 = 512;
/// Time between two callers, so that the system queues the connections of all.
const CONNECT_INTERVAL: Duration = Duration::from_millis(3);
/// Time after which a caller stops to send what the node does not read.
const SEND_TIME: Duration = Duration::from_secs(3);
/// Time for which the node works on what was sent, before the ordinary request.
const SETTLE_TIME: Duration = Duration::from_secs(2);
/// Timeout for the answer to an ordinary request; reached only if it is never answered.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(12);
/// Crowds come one at a time, so that the bounds on a node hold for one of them.
static CROWD_TURN: Mutex<()> = Mutex::const_new(());

/// What a caller sends after the request line and its key, before it waits with an open connection.
#[derive(Clone, Debug)]
pub struct CrowdCall {
    /// Further fields, with the empty line if the head has an end.
    pub framing: String,
    /// Parts of the body, which are written one after the other.
    pub content: Vec<Bytes>,
}

/// What became of a crowd.
#[derive(Debug)]
pub struct CrowdOutcome {
    /// Status of the ordinary request that followed.
    ordinary: Option<StatusCode>,
    is_alive: bool,
    peak: MemoryPeak,
}

/// A caller that tells when it has sent what it sends.
type CallerTask = future::BoxFuture<'static, ()>;

/// Makes calls that stop short of their end, each on a connection of its own, and an ordinary one beside them.
pub async fn play_calls(callers: usize, call: CrowdCall) -> CrowdOutcome {
    let call_of = |target: CallTarget, has_sent| call_badly(target, call.clone(), has_sent).boxed();
    play(callers, call_of).await
}

/// Sends unfinished bodies on many streams of each connection, and an ordinary call beside them.
pub async fn play_streams(callers: usize, streams: usize, sent: Bytes) -> CrowdOutcome {
    let call_of = |target: CallTarget, has_sent| call_on_streams(target, streams, sent.clone(), has_sent).boxed();
    play(callers, call_of).await
}

/// Where a call goes, and with which key.
#[derive(Clone, Debug)]
struct CallTarget {
    address: SocketAddr,
    key: String,
}

impl CallTarget {
    fn path() -> String {
        format!("{SERVICES_PREFIX}{SERVICE}/orders")
    }
}

async fn play(callers: usize, call_of: impl Fn(CallTarget, oneshot::Sender<()>) -> CallerTask) -> CrowdOutcome {
    let _turn = CROWD_TURN.lock().await;
    let deployment = MeasuredDeployment::start(DeploymentPlan::small()).await;
    let mut deployment = deployment.expect("the deployment starts");
    let target = CallTarget {
        address: deployment.callers(),
        key: deployment.tenants().swap_remove(0).key.expect("each tenant has a key"),
    };
    assert_eq!(call_ordinarily(&target).await, Some(StatusCode::OK));
    let node = deployment.cluster.nodes[0].process.id();
    let memory = MemoryWatch::start(node, vec![target.address.port()]);
    let leave = watch::Sender::new(false);
    let (mut calling, mut senders) = (JoinSet::new(), JoinSet::new());
    for _ in 0..callers {
        let (has_sent, sent) = oneshot::channel();
        let caller = call_of(target.clone(), has_sent);
        let mut leaving = leave.subscribe();
        calling.spawn(async move {
            tokio::select! {
                () = caller => {}
                _left = leaving.wait_for(|is_over| *is_over) => {}
            }
        });
        senders.spawn(sent);
        time::sleep(CONNECT_INTERVAL).await;
    }
    senders.join_all().await;
    time::sleep(SETTLE_TIME).await;
    let ordinary = call_ordinarily(&target).await;
    let process = &mut deployment.cluster.nodes[0].process;
    let outcome = CrowdOutcome {
        ordinary,
        is_alive: process.exit_status().expect("the state is known").is_none(),
        peak: memory.finish(),
    };
    leave.send_replace(true);
    calling.join_all().await;
    outcome
}

async fn call_ordinarily(target: &CallTarget) -> Option<StatusCode> {
    let mut request = json_request(Method::POST, &CallTarget::path(), &json!({"lunches": 40}));
    let value = format!("Bearer {}", target.key);
    let value = value.parse().expect("keys are visible ASCII");
    request.headers_mut().insert(AUTHORIZATION, value);
    let answering = time::timeout(ANSWER_TIMEOUT, call(target.address, request));
    Some(answering.await.ok()?.ok()?.status)
}

async fn call_badly(target: CallTarget, call: CrowdCall, has_sent: oneshot::Sender<()>) {
    let Ok(mut stream) = TcpStream::connect(target.address).await else {
        return;
    };
    let head = format!(
        "POST {} HTTP/1.1\r\nHost: node\r\nAuthorization: Bearer {}\r\n{}",
        CallTarget::path(),
        target.key,
        call.framing
    );
    let sending = async {
        stream.write_all(head.as_bytes()).await?;
        for part in &call.content {
            stream.write_all(part).await?;
        }
        std::io::Result::Ok(())
    };
    // The node may close the connection, or read no further.
    drop(time::timeout(SEND_TIME, sending).await);
    has_sent.send(()).expect("the crowd is awaited");
    let mut received = [0; 1024];
    while stream.read(&mut received).await.is_ok_and(|bytes| bytes > 0) {}
}

/// Sends unfinished bodies on streams of one connection, and waits until the node ends them all.
async fn call_on_streams(target: CallTarget, streams: usize, sent: Bytes, has_sent: oneshot::Sender<()>) {
    let Ok(stream) = TcpStream::connect(target.address).await else {
        return;
    };
    let handshake = http2::handshake(TokioExecutor::new(), TokioIo::new(stream)).await;
    let (sender, connection) = handshake.expect("the node speaks HTTP/2");
    let requests = (0..streams).map(|_| {
        let first = stream::iter([Ok::<_, Infallible>(Frame::data(sent.clone()))]);
        let request = Request::post(format!("http://node{}", CallTarget::path()))
            .header(AUTHORIZATION, format!("Bearer {}", target.key))
            .header(CONTENT_LENGTH, sent.len() + 1)
            .body(StreamBody::new(first.chain(stream::pending())));
        let mut sender = sender.clone();
        async move {
            sender
                .send_request(request.expect("the request is valid"))
                .await
                .is_ok()
        }
    });
    let answers = future::join_all(requests);
    let sending = async {
        time::sleep(SEND_TIME).await;
        has_sent.send(()).expect("the crowd is awaited");
        future::pending::<()>().await;
    };
    tokio::select! {
        _ended = connection => {}
        _answers = answers => {}
        () = sending => {}
    }
}

impl CrowdOutcome {
    /// Checks that the node lives, keeps within its memory and serves the ordinary call.
    pub fn assert_contained(&self) {
        println!("{self:?}");
        assert!(self.is_alive, "{self:?}");
        assert_eq!(self.ordinary, Some(StatusCode::OK), "{self:?}");
        assert!(self.peak.counted_mb < DEFAULT_MB, "{self:?}");
    }
}
