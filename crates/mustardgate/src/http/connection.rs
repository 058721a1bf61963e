//! Serves one connection until its peer or the node closes it.

use std::{panic::AssertUnwindSafe, pin::pin};

use futures::FutureExt;
use hyper_util::server::graceful::GracefulConnection;
use metrics::counter;
use slog::{Logger, o};
use tokio::task::yield_now;
use tokio_util::sync::CancellationToken;

use crate::events;

/// Serves a connection until it ends, or until `closing` is cancelled and the request in flight, if there is one, is
/// answered.
///
/// # Errors
/// The error that ended the connection.
pub async fn drive_connection<C: GracefulConnection>(
    connection: C,
    closing: CancellationToken,
) -> Result<(), C::Error> {
    let mut connection = pin!(connection);
    let idle = async {
        closing.cancelled().await;
        // A process that stood still may hear of the time to close before it hears of requests that came meanwhile. The
        // runtime polls the system before this task goes on.
        yield_now().await;
    };
    // The connection is polled first, since a request that has arrived must be read before the connection counts as idle.
    tokio::select! {
        biased;
        ended = connection.as_mut() => return ended,
        () = idle => connection.as_mut().graceful_shutdown(),
    }
    connection.await
}

/// Completes with the output of a part of serving a connection; `None` if it panics, which would otherwise end the
/// connection without a trace.
pub async fn catch_panic<F: Future>(part: F, name: &'static str, logger: &Logger) -> Option<F::Output> {
    let caught = AssertUnwindSafe(part).catch_unwind().await;
    if caught.is_err() {
        counter!("mustardgate_connections_panicked_total", "part" => name).increment(1);
        events::CONNECTION_PANICKED.write(logger, o!("part" => name));
    }
    caught.ok()
}
