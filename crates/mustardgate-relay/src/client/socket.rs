//! The socket of a connection, which can be looked at without reading from it.

use std::{
    io::{self, ErrorKind, IoSlice},
    mem::MaybeUninit,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, Weak},
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

/// A connected socket. It closes when this is dropped, whether or not it is still watched.
#[derive(Debug)]
pub(super) struct WatchedSocket {
    reader: Arc<Mutex<OwnedReadHalf>>,
    writer: OwnedWriteHalf,
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
        }
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
        Pin::new(&mut *lock(&self.reader)).poll_read(cx, buf)
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
