//! The socket of a connection, which can be looked at without reading from it.

use std::{
    io::{self, ErrorKind, IoSlice},
    mem::MaybeUninit,
    pin::Pin,
    sync::{
        Arc, Mutex, MutexGuard, Weak,
        atomic::{AtomicUsize, Ordering},
    },
    task::{Context, Poll},
};

use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::{
        TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
};

/// Largest number of bytes that a peer may write before the head of an answer is complete: that head, what the connection
/// reads ahead of its end, and interim answers.
pub const MAX_BYTES_BEFORE_HEAD: usize = 128 * 1024;
/// No limit is in force.
const UNLIMITED: usize = usize::MAX;

/// Limits the bytes that are read before the head of an answer. Interim answers have no end of their own, and a peer that
/// always has another one ready would keep the thread.
#[derive(Debug)]
pub(super) struct HeadAllowance {
    left: AtomicUsize,
}

impl Default for HeadAllowance {
    fn default() -> Self {
        Self {
            left: AtomicUsize::new(UNLIMITED),
        }
    }
}

impl HeadAllowance {
    /// Records that a head is awaited from now on.
    pub(super) fn begin(&self) {
        self.left.store(MAX_BYTES_BEFORE_HEAD, Ordering::Relaxed);
    }

    /// Records that the head has arrived.
    pub(super) fn end(&self) {
        self.left.store(UNLIMITED, Ordering::Relaxed);
    }

    /// Returns whether the peer wrote more than it may.
    pub(super) fn is_used_up(&self) -> bool {
        self.left.load(Ordering::Relaxed) == 0
    }

    fn spend(&self, bytes: usize) {
        let left = self.left.load(Ordering::Relaxed);
        if left != UNLIMITED {
            self.left.store(left.saturating_sub(bytes), Ordering::Relaxed);
        }
    }
}

/// A connected socket. It closes when this is dropped, whether or not it is still watched.
#[derive(Debug)]
pub(super) struct WatchedSocket {
    reader: Arc<Mutex<OwnedReadHalf>>,
    writer: OwnedWriteHalf,
    allowance: Arc<HeadAllowance>,
}

/// Looks at a socket that a task reads from.
#[derive(Debug)]
pub(super) struct SocketWatch(Weak<Mutex<OwnedReadHalf>>);

impl WatchedSocket {
    /// Takes over a connected socket.
    pub(super) fn new(stream: TcpStream) -> Self {
        let (reader, writer) = stream.into_split();
        Self {
            reader: Arc::new(Mutex::new(reader)),
            writer,
            allowance: Arc::default(),
        }
    }

    /// Returns the limit on bytes before a head.
    pub(super) fn allowance(&self) -> Arc<HeadAllowance> {
        Arc::clone(&self.allowance)
    }

    /// Returns a watch on the socket.
    pub(super) fn watch(&self) -> SocketWatch {
        SocketWatch(Arc::downgrade(&self.reader))
    }
}

impl SocketWatch {
    /// Returns whether the socket is open and nothing has arrived that was not read. The runtime's own knowledge may be
    /// older: it learns of bytes only when it polls the operating system.
    pub(super) fn is_silent(&self) -> bool {
        let Some(reader) = self.0.upgrade() else { return false };
        let reader = lock(&reader);
        let mut byte = [MaybeUninit::uninit()];
        let peeked = SockRef::from(reader.as_ref()).peek(&mut byte);
        peeked.is_err_and(|error| error.kind() == ErrorKind::WouldBlock)
    }
}

impl AsyncRead for WatchedSocket {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        if self.allowance.is_used_up() {
            return Poll::Ready(Err(ErrorKind::InvalidData.into()));
        }
        let before = buf.filled().len();
        let polled = Pin::new(&mut *lock(&self.reader)).poll_read(cx, buf);
        self.allowance.spend(buf.filled().len() - before);
        polled
    }
}

impl AsyncWrite for WatchedSocket {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.writer).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.writer).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.writer.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.writer).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.writer).poll_shutdown(cx)
    }
}

fn lock(reader: &Mutex<OwnedReadHalf>) -> MutexGuard<'_, OwnedReadHalf> {
    reader.lock().expect("no holder of the lock panics")
}
