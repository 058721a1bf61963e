//! One connection to a runner.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use mustardgate_core::verdict::RunVerdict;
use snafu::Snafu;
use socket2::{SockRef, TcpKeepalive};
use tokio::{net::TcpStream, time};
use tokio_util::task::AbortOnDropHandle;

/// Time after which unacknowledged bytes end a connection, since a partition sends no reset.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_millis(2_500);
/// Idle time before the first keep-alive probe, and between probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(2);
/// Longest head of an answer that is parsed, in bytes.
const MAX_HEAD_BYTES: usize = 32 * 1024;

/// Why an attempt brought no head of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum SendFailure {
    /// No connection could be made.
    #[snafu(display("not_connected"))]
    NotConnected,
    /// The connection had ended before the request was handed to it.
    #[snafu(display("not_sent"))]
    NotSent,
    /// The connection broke, or brought no proper answer, after the request was handed to it.
    #[snafu(display("broken"))]
    Broken,
    /// No answer came in time.
    #[snafu(display("timed_out"))]
    TimedOut,
}

impl SendFailure {
    /// Returns whether the request may have run.
    pub fn verdict(self) -> RunVerdict {
        match self {
            Self::NotConnected | Self::NotSent => RunVerdict::NotRun,
            Self::Broken | Self::TimedOut => RunVerdict::MayHaveRun,
        }
    }
}

/// A connection that carries one request at a time; dropping it closes the socket at once, which ends the runner's work.
#[derive(Debug)]
pub struct RunnerConnection {
    sender: http1::SendRequest<Full<Bytes>>,
    _driver: AbortOnDropHandle<()>,
}

impl RunnerConnection {
    /// Returns whether the connection can take a request now.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
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
        match time::timeout(timeout, self.sender.try_send_request(request)).await {
            Ok(Ok(answer)) => Ok(answer),
            // The request comes back only if none of its bytes was written.
            Ok(Err(mut error)) => Err(match error.take_message() {
                Some(_) => SendFailure::NotSent,
                None => SendFailure::Broken,
            }),
            Err(_) => Err(SendFailure::TimedOut),
        }
    }
}

/// Connects to a runner.
///
/// # Errors
/// [`SendFailure::NotConnected`] when no connection is made in time.
pub async fn connect_runner(address: SocketAddr, timeout: Duration) -> Result<RunnerConnection, SendFailure> {
    let connecting = async {
        let stream = TcpStream::connect(address).await.ok()?;
        tune_socket(&stream);
        let mut builder = http1::Builder::new();
        builder.max_buf_size(MAX_HEAD_BYTES);
        builder.handshake(TokioIo::new(stream)).await.ok()
    };
    let made = time::timeout(timeout, connecting).await.ok().flatten();
    let (sender, connection) = made.ok_or(SendFailure::NotConnected)?;
    let driver = tokio::spawn(async move {
        // The failure of a connection is told to whoever waits for an answer on it.
        drop(connection.await);
    });
    Ok(RunnerConnection {
        sender,
        _driver: AbortOnDropHandle::new(driver),
    })
}

/// Sets the options that let a silent peer be noticed; a socket without them still works, only slower to fail.
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
