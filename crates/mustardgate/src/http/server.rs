//! Accepts connections and serves them until a shutdown is asked for.

use std::{convert::Infallible, sync::Arc, time::Duration};

use hyper::{Request, Response, body::Incoming, service::service_fn};
use hyper_util::{
    rt::{TokioExecutor, TokioIo, TokioTimer},
    server::{conn::auto::Builder, graceful::GracefulShutdown},
};
use slog::{Logger, o};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{OwnedSemaphorePermit, Semaphore},
    time,
};
use tokio_util::sync::CancellationToken;

use super::answer::AnswerBody;
use crate::events;

/// Pause after a failed accept, which is most often a lack of file descriptors.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);
/// Headers that the parser takes; the handlers answer with a typed error before that number.
const PARSER_MAX_HEADERS: usize = 512;

/// Limits of the connections of one listener.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionLimits {
    /// Connections open at once.
    pub max_connections: usize,
    /// Time for the head of a request to arrive.
    pub head_timeout: Duration,
}

/// Serves connections until `shutdown` is cancelled, then finishes the requests in flight and returns.
pub async fn serve_connections<H, F>(
    listener: TcpListener,
    handler: H,
    limits: ConnectionLimits,
    shutdown: CancellationToken,
    logger: Logger,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<AnswerBody>> + Send + 'static,
{
    let graceful = GracefulShutdown::new();
    let slots = Arc::new(Semaphore::new(limits.max_connections));
    loop {
        let accepted = tokio::select! {
            () = shutdown.cancelled() => break,
            accepted = accept(&listener, &slots) => accepted,
        };
        match accepted {
            Ok((stream, slot)) => spawn_connection(stream, slot, handler.clone(), limits, &graceful),
            Err(error) => {
                events::ACCEPT_FAILED.write(&logger, o!("error" => error.to_string()));
                time::sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
    drop(listener);
    graceful.shutdown().await;
}

async fn accept(listener: &TcpListener, slots: &Arc<Semaphore>) -> std::io::Result<(TcpStream, OwnedSemaphorePermit)> {
    let slot = Arc::clone(slots)
        .acquire_owned()
        .await
        .expect("the semaphore is never closed");
    let (stream, _) = listener.accept().await?;
    stream.set_nodelay(true)?;
    Ok((stream, slot))
}

fn spawn_connection<H, F>(
    stream: TcpStream,
    slot: OwnedSemaphorePermit,
    handler: H,
    limits: ConnectionLimits,
    graceful: &GracefulShutdown,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<AnswerBody>> + Send + 'static,
{
    let service = service_fn(move |request| {
        let answering = handler(request);
        async move { Ok::<_, Infallible>(answering.await) }
    });
    let mut builder = Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_timeout)
        .max_headers(PARSER_MAX_HEADERS);
    builder.http2().timer(TokioTimer::new());
    let watcher = graceful.watcher();
    tokio::spawn(async move {
        let connection = builder.serve_connection(TokioIo::new(stream), service);
        // A caller that hangs up is no fault of ours, and the request's own task has seen it.
        drop(watcher.watch(connection).await);
        drop(slot);
    });
}
