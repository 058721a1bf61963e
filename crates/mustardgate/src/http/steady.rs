//! Bodies that may take longer than their call, for as long as bytes keep arriving.

use std::{
    pin::Pin,
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use snafu::Snafu;
use tokio::time::{self, Instant, Sleep};

/// Time that a body may take beyond the timeout of its call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyPace {
    /// Longest time without a byte after the timeout.
    pub stall: Duration,
    /// Longest time for the whole body.
    pub total: Duration,
}

/// The connection broke, or the body did not arrive in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("the body broke off or is too slow"))]
pub(super) struct UnsteadyBody;

/// A body that ends with an error once it is too slow.
///
/// With a pace, it has as long as bytes keep arriving after the timeout of its call: the time that a large body takes says
/// nothing about the sender's health.
#[derive(Debug)]
pub(super) struct SteadyBody<B> {
    body: B,
    /// Timeout of the call.
    timeout_at: Instant,
    pace: Option<BodyPace>,
    /// End of the whole body's time.
    ends_at: Instant,
    stall: Pin<Box<Sleep>>,
}

impl<B> SteadyBody<B> {
    /// Wraps a body whose head has just arrived.
    pub(super) fn new(body: B, timeout_at: Instant, pace: Option<BodyPace>) -> Self {
        let total = pace.map_or(Duration::ZERO, |pace| pace.total);
        let ends_at = timeout_at.max(Instant::now() + total);
        let mut steady = Self {
            body,
            timeout_at,
            pace,
            ends_at,
            stall: Box::pin(time::sleep_until(timeout_at)),
        };
        steady.restart();
        steady
    }

    /// Allows the longest silence from now on.
    fn restart(&mut self) {
        let Some(pace) = self.pace else { return };
        let stalls_at = self.timeout_at.max(Instant::now() + pace.stall).min(self.ends_at);
        self.stall.as_mut().reset(stalls_at);
    }
}

impl<B: Body<Data = Bytes> + Unpin> Body for SteadyBody<B> {
    type Data = Bytes;
    type Error = UnsteadyBody;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, UnsteadyBody>>> {
        if let Poll::Ready(frame) = Pin::new(&mut self.body).poll_frame(cx) {
            self.restart();
            return Poll::Ready(frame.map(|frame| frame.map_err(|_error| UnsteadyBody)));
        }
        ready!(self.stall.as_mut().poll(cx));
        Poll::Ready(Some(Err(UnsteadyBody)))
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
