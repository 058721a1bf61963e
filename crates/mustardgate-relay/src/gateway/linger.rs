//! Sockets of callers that are read for a while after their last answer.
//!
//! Closing a socket with unread bytes resets its connection, and the reset may overtake the answer.

use std::{
    io::{self, IoSlice},
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll, ready},
    time::Duration,
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::{self, Sleep},
};

use crate::client::LONGEST_SILENCE;

/// Longest time for which a socket is read after its last answer; a sound caller may be silent for as long and then go on.
const LINGER_TIME: Duration = LONGEST_SILENCE;
/// Bytes that are read at most. Callers that read their answer only when they have sent a body of up to this size get it.
const LINGER_BYTES: usize = 1024 * 1024;
/// Bytes that are read at once.
const SCRATCH_BYTES: usize = 4 * 1024;

/// A socket that is read for a while before it is closed, if its owner says so.
#[derive(Debug)]
pub(super) struct LingeringSocket {
    stream: TcpStream,
    lingers: Arc<AtomicBool>,
    rest: Option<LingerRest>,
}

#[derive(Debug)]
struct LingerRest {
    timer: Pin<Box<Sleep>>,
    bytes: usize,
}

impl LingeringSocket {
    pub(super) fn new(stream: TcpStream, lingers: Arc<AtomicBool>) -> Self {
        Self {
            stream,
            lingers,
            rest: None,
        }
    }

    /// Reads and drops bytes until the peer has closed its side, or time or bytes are used up.
    fn poll_rest(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let rest = self.rest.get_or_insert_with(|| LingerRest {
            timer: Box::pin(time::sleep(LINGER_TIME)),
            bytes: LINGER_BYTES,
        });
        if rest.timer.as_mut().poll(cx).is_ready() {
            return Poll::Ready(());
        }
        let mut scratch = [0; SCRATCH_BYTES];
        loop {
            let mut buffer = ReadBuf::new(&mut scratch);
            let read = ready!(Pin::new(&mut self.stream).poll_read(cx, &mut buffer));
            let bytes = buffer.filled().len();
            if read.is_err() || bytes == 0 || bytes >= rest.bytes {
                return Poll::Ready(());
            }
            rest.bytes -= bytes;
        }
    }
}

impl AsyncRead for LingeringSocket {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for LingeringSocket {
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
        if self.rest.is_none() {
            ready!(Pin::new(&mut self.stream).poll_shutdown(cx))?;
            if !self.lingers.load(Ordering::Relaxed) {
                return Poll::Ready(Ok(()));
            }
        }
        ready!(self.poll_rest(cx));
        Poll::Ready(Ok(()))
    }
}
