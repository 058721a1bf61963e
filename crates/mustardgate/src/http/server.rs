//! Accepts connections and serves them until the shutdown.

use std::{convert::Infallible, error::Error, sync::Arc, time::Duration};

use bytes::Bytes;
use hyper::{
    Request, Response,
    body::{Body, Incoming},
    service::service_fn,
};
use hyper_util::{
    rt::{TokioExecutor, TokioIo},
    server::conn::auto::Builder,
};
use slog::{Logger, o};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{OwnedSemaphorePermit, Semaphore},
    time,
};
use tokio_util::{
    sync::CancellationToken,
    task::{AbortOnDropHandle, TaskTracker},
};

use super::{SilenceTimer, catch_panic, close_listener, drive_connection};
use crate::{
    buffers::BufferBudget,
    callers::{CallerSlot, CallerSlots, EndedRequests, SharedRoom},
    events,
};

/// Pause after a failed accept, which is usually caused by a lack of file descriptors.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);
/// Time after the listener has closed in which requests that were sent before are still read from idle connections.
const LAST_READ_TIME: Duration = Duration::from_millis(50);
/// Maximum number of header fields that the parser accepts; the callers' handler has a lower limit, beyond which it
/// answers with a typed error.
const PARSER_MAX_HEADERS: usize = 512;
/// Bytes that HTTP/2 holds of a connection's requests until they are read, and of a request's answer until it is sent.
const STREAM_BUFFER_BYTES: usize = 64 * 1024;

/// Limits of the connections of one listener.
#[derive(Clone, Debug)]
pub struct ConnectionLimits {
    /// Maximum number of connections open at once.
    pub max_connections: usize,
    /// Time within which the head of a request must arrive.
    pub head_timeout: Duration,
    /// Maximum size of the head of a request, in bytes.
    pub max_head_bytes: usize,
    /// Requests that one connection may have open at once with HTTP/2; without it, only HTTP/1.1 is spoken.
    pub max_streams: Option<u32>,
    /// Budget of the requests' bodies. While it or the places are short, unfinished requests that make no progress are
    /// ended; without it they are not.
    pub buffers: Option<Arc<BufferBudget>>,
}

/// Serves connections until `shutdown` is cancelled, then those that wait in the accept queue; finishes the requests in
/// flight and returns.
pub async fn serve_connections<H, F, B>(
    listener: TcpListener,
    handler: H,
    limits: ConnectionLimits,
    shutdown: CancellationToken,
    logger: Logger,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
    B: Body<Data = Bytes> + Send + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let closing = CancellationToken::new();
    let connections = TaskTracker::new();
    let slots = Arc::new(Semaphore::new(limits.max_connections));
    let caller_slots = Arc::<CallerSlots>::default();
    let keeping = limits.buffers.as_ref().map(|buffers| {
        let room = SharedRoom {
            buffers: Arc::clone(buffers),
            places: Arc::clone(&slots),
            total: limits.max_connections,
        };
        let logger = logger.clone();
        let log_ended = move |ended: EndedRequests| {
            let values = o!("cause" => ended.cause, "requests" => ended.count);
            events::UNFINISHED_ENDED.write(&logger, values);
        };
        Arc::clone(&caller_slots).evict_stalled(room, log_ended)
    });
    let _keeper = keeping.map(|keeping| AbortOnDropHandle::new(tokio::spawn(keeping)));
    let serve = |stream| {
        let caller_slot = caller_slots.take();
        let handler = handler.clone();
        let handler = move |mut request: Request<Incoming>| {
            request.extensions_mut().insert::<CallerSlot>(caller_slot.clone());
            handler(request)
        };
        serve_connection(stream, handler, limits.clone(), closing.clone(), logger.clone())
    };
    loop {
        let accepted = tokio::select! {
            () = shutdown.cancelled() => break,
            accepted = accept(&listener, &slots) => accepted,
        };
        match accepted {
            Ok((stream, slot)) => {
                let connection = serve(stream);
                connections.spawn(async move {
                    connection.await;
                    drop(slot);
                });
            }
            Err(error) => {
                events::ACCEPT_FAILED.write(&logger, o!("error" => error.to_string()));
                time::sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
    // Connections of the queue wait for places as well: requests that are unfinished or answered leave theirs.
    for stream in close_listener(listener) {
        // Without the option answers are slower, but whole.
        drop(stream.set_nodelay(true));
        let connection = serve(stream);
        let slots = Arc::clone(&slots);
        connections.spawn(async move {
            let slot = slots.acquire_owned().await;
            connection.await;
            drop(slot);
        });
    }
    time::sleep(LAST_READ_TIME).await;
    closing.cancel();
    connections.close();
    connections.wait().await;
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

async fn serve_connection<H, F, B>(
    stream: TcpStream,
    handler: H,
    limits: ConnectionLimits,
    closing: CancellationToken,
    logger: Logger,
) where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
    B: Body<Data = Bytes> + Send + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let service = service_fn(move |request| {
        let answering = handler(request);
        async move { Ok::<_, Infallible>(answering.await) }
    });
    let mut builder = Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(SilenceTimer::default())
        .header_read_timeout(limits.head_timeout)
        .max_buf_size(limits.max_head_bytes)
        .max_headers(PARSER_MAX_HEADERS);
    builder
        .http2()
        .timer(SilenceTimer::default())
        .max_concurrent_streams(limits.max_streams)
        .initial_stream_window_size(STREAM_BUFFER_BYTES as u32)
        .initial_connection_window_size(STREAM_BUFFER_BYTES as u32)
        .max_header_list_size(limits.max_head_bytes as u32)
        .max_send_buf_size(STREAM_BUFFER_BYTES);
    if limits.max_streams.is_none() {
        builder = builder.http1_only();
    }
    // The places are bounded so that it fits; those of the last connections of a stopping node are few.
    let _room = limits.buffers.as_ref().map(BufferBudget::connection);
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    // A client that closes the connection is no failure of the node, and the request's own task notices it.
    drop(catch_panic(drive_connection(connection, closing), "connection", &logger).await);
}
