//! Accepts callers' connections.

use std::{convert::Infallible, sync::Arc, time::Duration};

use hyper::{Request, Response, body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::{
    rt::{TokioIo, TokioTimer},
    server::graceful::GracefulShutdown,
};
use mustardgate::events;
use slog::o;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Semaphore,
    time,
};

use super::RelayBody;
use crate::{client::tune_socket, context::RelayContext};

/// Pause after a failed accept, which is most often a lack of file descriptors.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);
/// Part of the descriptors that callers' connections may take.
const CALLER_SHARE: u64 = 2;
/// Least buffer that the HTTP library accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8 * 1024;
/// Fields that a head may have.
const MAX_FIELDS: usize = 200;

/// A listener with the handler of its requests.
#[derive(Debug)]
pub struct CallerListener<H> {
    /// Socket.
    pub listener: TcpListener,
    /// Handler of one request.
    pub handler: H,
}

/// Serves connections until the node closes its listeners, then finishes the requests in flight and returns.
pub async fn serve_callers<H, F>(context: Arc<RelayContext>, port: CallerListener<H>)
where
    H: Fn(Arc<RelayContext>, Request<Incoming>) -> F + Copy + Send + Sync + 'static,
    F: Future<Output = Response<RelayBody>> + Send + 'static,
{
    let CallerListener { listener, handler } = port;
    let graceful = GracefulShutdown::new();
    let slots = Arc::new(Semaphore::new(
        (context.settings.node.max_descriptors / CALLER_SHARE) as usize,
    ));
    let closing = context.drain.closing();
    loop {
        let slot = Arc::clone(&slots)
            .acquire_owned()
            .await
            .expect("the semaphore is never closed");
        let accepted = tokio::select! {
            () = closing.cancelled() => break,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => {
                let connection = serve_connection(Arc::clone(&context), stream, handler, &graceful);
                tokio::spawn(async move {
                    connection.await;
                    drop(slot);
                });
            }
            Err(error) => {
                events::ACCEPT_FAILED.write(context.log.logger(), o!("error" => error.to_string()));
                time::sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
    drop(listener);
    graceful.shutdown().await;
}

fn serve_connection<H, F>(
    context: Arc<RelayContext>,
    stream: TcpStream,
    handler: H,
    graceful: &GracefulShutdown,
) -> impl Future<Output = ()> + use<H, F>
where
    H: Fn(Arc<RelayContext>, Request<Incoming>) -> F + Copy + Send + Sync + 'static,
    F: Future<Output = Response<RelayBody>> + Send + 'static,
{
    tune_socket(&stream);
    let limits = context
        .routes
        .current()
        .map(|active| active.config.limits)
        .unwrap_or_default();
    let service = service_fn(move |request| {
        let answering = handler(Arc::clone(&context), request);
        async move { Ok::<_, Infallible>(answering.await) }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        // The library counts idle time between requests as time for the next head.
        .header_read_timeout(limits.idle_timeout.max(limits.header_timeout))
        .max_buf_size(limits.max_header_bytes.max(MIN_BUFFER_BYTES))
        .max_headers(MAX_FIELDS);
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    let watched = graceful.watch(connection);
    async move {
        // A caller that hangs up is no fault of ours; its request was dropped with the connection.
        drop(watched.await);
    }
}
