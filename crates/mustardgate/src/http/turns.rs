//! Connections of the client that give way to other tasks after a number of bytes.
//!
//! The HTTP library reads interim answers in a loop that ends only when the socket has no bytes, so a server that always has
//! bytes ready would keep the thread.

use std::{
    io::{self, IoSlice},
    pin::Pin,
    task::{Context, Poll},
};

use futures::{FutureExt, TryFutureExt, future::BoxFuture};
use hyper::Uri;
use hyper_util::{
    client::legacy::connect::{Connected, Connection, HttpConnector},
    rt::TokioIo,
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};
use tower_service::Service;

/// Bytes that are read in a row before other tasks have their turn.
const TURN_BYTES: usize = 128 * 1024;

/// Makes connections that give way.
#[derive(Clone, Debug)]
pub(super) struct TurnConnector(pub(super) HttpConnector);

impl Service<Uri> for TurnConnector {
    type Response = TokioIo<TurnSocket>;
    type Error = <HttpConnector as Service<Uri>>::Error;
    type Future = BoxFuture<'static, Result<Self::Response, Self::Error>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.0.poll_ready(cx)
    }

    fn call(&mut self, req: Uri) -> Self::Future {
        let connecting = self.0.call(req);
        connecting
            .map_ok(|stream| TokioIo::new(TurnSocket::new(stream.into_inner())))
            .boxed()
    }
}

/// A connection that gives way.
#[derive(Debug)]
pub(super) struct TurnSocket {
    stream: TcpStream,
    /// Bytes read since it last gave way or had none.
    read_bytes: usize,
}

impl TurnSocket {
    fn new(stream: TcpStream) -> Self {
        Self { stream, read_bytes: 0 }
    }
}

impl Connection for TurnSocket {
    fn connected(&self) -> Connected {
        self.stream.connected()
    }
}

impl AsyncRead for TurnSocket {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        if self.read_bytes >= TURN_BYTES {
            self.read_bytes = 0;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        if polled.is_pending() {
            self.read_bytes = 0;
        } else {
            self.read_bytes += buf.filled().len() - before;
        }
        polled
    }
}

impl AsyncWrite for TurnSocket {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
