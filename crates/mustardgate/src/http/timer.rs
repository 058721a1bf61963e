//! Timers of the connections that callers keep.

use std::{
    fmt::{self, Debug, Formatter},
    pin::Pin,
    task::{Context, Poll},
    time::{Duration, Instant},
};

use hyper::rt::{Sleep, Timer};
use tokio::{task::yield_now, time};

/// Timer of the HTTP library for limits on silence.
///
/// A process that stood still learns that a time is over before it hears of the bytes that came in that time. So the
/// runtime polls the system once more before a time counts as over. See
/// `docs/incidents/2026-12-06-lost-pinto-ruam.md`.
#[derive(Clone, Copy, Debug, Default)]
pub struct SilenceTimer;

impl Timer for SilenceTimer {
    fn sleep(&self, duration: Duration) -> Pin<Box<dyn Sleep>> {
        self.sleep_until(self.now() + duration)
    }

    fn sleep_until(&self, deadline: Instant) -> Pin<Box<dyn Sleep>> {
        let sleeping = async move {
            time::sleep_until(deadline.into()).await;
            yield_now().await;
        };
        Box::pin(SilenceSleep(Box::pin(sleeping)))
    }

    fn now(&self) -> Instant {
        time::Instant::now().into_std()
    }
}

/// A wait of a [`SilenceTimer`].
struct SilenceSleep(Pin<Box<dyn Future<Output = ()> + Send + Sync>>);

impl Debug for SilenceSleep {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.debug_struct("SilenceSleep").finish_non_exhaustive()
    }
}

impl Future for SilenceSleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        self.0.as_mut().poll(cx)
    }
}

impl Sleep for SilenceSleep {}
