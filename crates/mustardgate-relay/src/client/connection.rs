//! One connection to a runner.

use std::{
    io::{self, ErrorKind},
    net::{IpAddr, SocketAddr},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use mustardgate_core::verdict::RunVerdict;
use snafu::Snafu;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpSocket, TcpStream};
use tokio_util::task::AbortOnDropHandle;

use super::{
    last_read::LastRead,
    socket::{HeadAllowance, SocketWatch, WatchedSocket},
    target::{PeerKind, TargetField, is_no_runner_answer},
};

/// Time for which a sound peer may be silent and then go on.
pub const LONGEST_SILENCE: Duration = Duration::from_secs(2);
/// Idle time before the first keep-alive probe, and between probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Time after which unacknowledged data or keep-alive probes close a connection, because no reset arrives during a network
/// partition. A silence that begins just before a probe, or before a retransmission that comes a second late, must end
/// before it.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_millis(3_500);
const _: () = assert!(UNACKNOWLEDGED_LIMIT.as_millis() > LONGEST_SILENCE.as_millis() + PROBE_INTERVAL.as_millis());
/// Largest accepted head of an answer.
const MAX_HEAD_BYTES: usize = 32 * 1024;

/// Why no head of an answer was received.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum SendFailure {
    /// No connection could be established.
    #[snafu(display("not_connected"))]
    NotConnected,
    /// The runner stopped accepting requests before this one was sent.
    #[snafu(display("runner_left"))]
    Withheld,
    /// The runner's rate limit leaves no room for the request now, so it was not sent.
    #[snafu(display("rate_limited"))]
    Limited,
    /// The connection closed before any byte of the request was written.
    #[snafu(display("not_sent"))]
    NotSent,
    /// The connection broke, or a malformed answer was received, after the request may have been written.
    #[snafu(display("broken"))]
    Broken,
    /// The runner wrote too much before or in the head of an answer.
    #[snafu(display("oversized_head"))]
    Oversized,
    /// No answer was received in time.
    #[snafu(display("timed_out"))]
    TimedOut,
    /// Another node answers at the address and said that no runner does; nothing ran.
    #[snafu(display("no_runner"))]
    NoRunner,
    /// The link to the runners is cut, and no other node can pass the request on.
    #[snafu(display("no_path"))]
    NoPath,
    /// Another node passed the request on, and its connection to the runner broke.
    #[snafu(display("broken_beyond_node"))]
    BrokenBeyondNode,
    /// Another node passed the request on, and the runner crashed.
    #[snafu(display("crashed_beyond_node"))]
    CrashedBeyondNode,
}

impl SendFailure {
    /// Returns whether the request may have run.
    pub fn verdict(self) -> RunVerdict {
        match self {
            Self::NotConnected | Self::Withheld | Self::Limited | Self::NotSent | Self::NoRunner | Self::NoPath => {
                RunVerdict::NotRun
            }
            Self::Broken | Self::Oversized | Self::TimedOut | Self::BrokenBeyondNode | Self::CrashedBeyondNode => {
                RunVerdict::MayHaveRun
            }
        }
    }
}

/// Whether a connection is still open at both ends, as its owner and its pool see it.
#[derive(Debug, Default)]
pub(super) struct ConnectionLife {
    is_closed: AtomicBool,
}

impl ConnectionLife {
    /// Returns whether the peer has not closed the connection.
    pub(super) fn is_open(&self) -> bool {
        !self.is_closed.load(Ordering::Relaxed)
    }
}

/// A connection that carries one request at a time; dropping it closes the socket at once, which stops the runner's
/// work.
#[derive(Debug)]
pub struct RunnerConnection {
    sender: http1::SendRequest<Full<Bytes>>,
    /// Answers whose heads were received.
    answer_count: u64,
    /// Address that requests name as a runner's; none if the connection leads to another node as such.
    target: Option<TargetField>,
    watch: SocketWatch,
    allowance: Arc<HeadAllowance>,
    life: Arc<ConnectionLife>,
    /// Whether it certainly leads to the listed process, which holds as long as the connection lasts.
    is_confirmed: bool,
    _driver: AbortOnDropHandle<()>,
}

impl RunnerConnection {
    /// Returns whether a request can be sent on the connection now. Bytes that arrived since the last answer would be read
    /// as the next one.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready() && self.watch.is_silent()
    }

    /// Returns whether the last answer was the connection's first one, so that it cannot be a copy of an earlier one.
    pub fn is_first_answer(&self) -> bool {
        self.answer_count <= 1
    }

    /// Returns whether the connection certainly leads to the listed process.
    pub fn is_confirmed(&self) -> bool {
        self.is_confirmed
    }

    /// Records that the connection leads to the listed process.
    pub(super) fn confirm(&mut self) -> &Arc<ConnectionLife> {
        self.is_confirmed = true;
        &self.life
    }

    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    /// [`SendFailure`], whose verdict says whether the request may have run.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<Response<Incoming>, SendFailure> {
        let answer = self.ask(request, timeout).await?;
        self.answer_count += 1;
        Ok(answer)
    }

    /// Sends a question about the runner itself, whose answer cannot be taken for that of a request.
    ///
    /// # Errors
    /// [`SendFailure`] when no head of an answer is received.
    pub async fn ask(
        &mut self,
        mut request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<Response<Incoming>, SendFailure> {
        TargetField::write(self.target.as_ref(), request.headers_mut());
        self.allowance.begin();
        let answer = LastRead::default()
            .within(timeout, self.sender.try_send_request(request))
            .await;
        let is_oversized = self.allowance.is_used_up();
        self.allowance.end();
        match answer {
            Ok(Ok(answer)) if is_no_runner_answer(&answer, self.target.as_ref()) => Err(SendFailure::NoRunner),
            Ok(Ok(answer)) => Ok(answer),
            // The library returns the request only if none of its bytes was written.
            Ok(Err(mut error)) => Err(match error.take_message() {
                Some(_) => SendFailure::NotSent,
                None if is_oversized || error.error().is_parse_too_large() => SendFailure::Oversized,
                None => SendFailure::Broken,
            }),
            Err(_) => Err(SendFailure::TimedOut),
        }
    }
}

/// Where a connection leads, and from which address of this machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionRoute {
    /// Address of the peer.
    pub address: SocketAddr,
    /// Address of this machine; the operating system's choice without one.
    pub source: Option<IpAddr>,
    /// What listens at the address.
    pub peer: PeerKind,
}

impl ConnectionRoute {
    async fn connect(self) -> io::Result<TcpStream> {
        let socket = match self.address {
            SocketAddr::V4(_) => TcpSocket::new_v4()?,
            SocketAddr::V6(_) => TcpSocket::new_v6()?,
        };
        if let Some(source) = self.source {
            socket.bind(SocketAddr::new(source, 0))?;
        }
        socket.connect(self.address).await
    }
}

/// Connects to a runner.
///
/// # Errors
/// [`SendFailure::NotConnected`] when no connection is established in time.
pub async fn connect_runner(route: ConnectionRoute, timeout: Duration) -> Result<RunnerConnection, SendFailure> {
    let connected = probe_runner(route, timeout).await;
    connected.map_err(|_failure| SendFailure::NotConnected)
}

/// Why a connection was not established.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ProbeFailure {
    /// Nothing listens at the address.
    Refused,
    /// Any other reason, such as a timeout.
    Other,
}

/// Connects to a runner; the failure says whether nothing listens at its address.
pub(super) async fn probe_runner(route: ConnectionRoute, timeout: Duration) -> Result<RunnerConnection, ProbeFailure> {
    let connecting = async {
        let stream = route.connect().await.map_err(|error| match error.kind() {
            ErrorKind::ConnectionRefused => ProbeFailure::Refused,
            _ => ProbeFailure::Other,
        })?;
        tune_socket(&stream);
        let mut builder = http1::Builder::new();
        builder.max_buf_size(MAX_HEAD_BYTES);
        let socket = WatchedSocket::new(stream);
        let (watch, allowance) = (socket.watch(), socket.allowance());
        let handshake = builder.handshake(TokioIo::new(socket)).await;
        let (sender, connection) = handshake.map_err(|_error| ProbeFailure::Other)?;
        Ok((sender, connection, watch, allowance))
    };
    let connected = LastRead::default().within(timeout, connecting).await;
    let (sender, connection, watch, allowance) = connected.unwrap_or(Err(ProbeFailure::Other))?;
    let life = Arc::<ConnectionLife>::default();
    let ending = Arc::clone(&life);
    let driver = tokio::spawn(async move {
        // The caller that waits for an answer on the connection receives its error.
        drop(connection.await);
        ending.is_closed.store(true, Ordering::Relaxed);
    });
    Ok(RunnerConnection {
        sender,
        answer_count: 0,
        target: (route.peer == PeerKind::Runner).then(|| TargetField::new(route.address)),
        watch,
        allowance,
        life,
        is_confirmed: false,
        _driver: AbortOnDropHandle::new(driver),
    })
}

/// Disables Nagle's algorithm and sets the options that detect an unresponsive peer; a socket without them still works
/// but fails later.
pub fn tune_socket(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL);
    for outcome in [
        socket.set_tcp_nodelay(true),
        socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_LIMIT)),
        socket.set_tcp_keepalive(&probes),
    ] {
        if outcome.is_err() {
            metrics::counter!("mustardgate_socket_options_failed_total").increment(1);
        }
    }
}
