//! Timers of the connections that callers keep.

use std::{
    fmt::{self, Debug, Formatter},
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
    time::{Duration, Instant},
};

use hyper::rt::{Sleep, Timer};
use tokio::{task::yield_now, time};

/// A limit on silence that may change while a peer is silent.
pub trait SilenceLimit: Debug + Send + Sync {
    /// Returns how long a peer may be silent by now.
    fn current(&self) -> Duration;
}

/// Timer of the HTTP library for limits on silence.
///
/// A process that stood still learns that a time is over before it hears of the bytes that came in that time. So the
/// runtime polls the system once more before a time counts as over. See
/// `docs/incidents/2026-12-06-lost-pinto-ruam.md`.
#[derive(Clone, Debug, Default)]
pub struct SilenceTimer {
    /// Lengthens the times that the library asks for, if it is longer.
    limit: Option<Arc<dyn SilenceLimit>>,
}

impl SilenceTimer {
    /// Creates a timer whose times last at least as long as a limit says when they end.
    pub fn with_limit(limit: Arc<dyn SilenceLimit>) -> Self {
        Self { limit: Some(limit) }
    }
}

impl Timer for SilenceTimer {
    fn sleep(&self, duration: Duration) -> Pin<Box<dyn Sleep>> {
        self.sleep_until(self.now() + duration)
    }

    fn sleep_until(&self, deadline: Instant) -> Pin<Box<dyn Sleep>> {
        let (limit, begun_at) = (self.limit.clone(), self.now());
        let end = move || {
            limit
                .as_ref()
                .map_or(deadline, |limit| deadline.max(begun_at + limit.current()))
        };
        let sleeping = async move {
            let mut ends_at = deadline;
            loop {
                time::sleep_until(ends_at.into()).await;
                let current = end();
                if current <= ends_at {
                    break;
                }
                ends_at = current;
            }
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
