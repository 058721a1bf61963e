//! Accepts callers' connections.

use std::{
    convert::Infallible,
    net::IpAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use hyper::{Request, Response, body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use mustardgate::{
    callers::{CallerSlot, CallerSlots, EndedRequests, SharedRoom},
    events,
    http::{SilenceLimit, SilenceTimer, catch_panic, close_listener, drive_connection},
};
use mustardgate_core::{ids::RequestId, relay::CallerLimits};
use slog::o;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Semaphore,
    time,
};
use tokio_util::{
    sync::CancellationToken,
    task::{AbortOnDropHandle, TaskTracker},
};

use super::{
    RelayBody, answer::LocalAnswer, body::caller_limits, connection::ConnectionEnd, linger::LingeringSocket,
    misdirected::refuse_misdirected,
};
use crate::{
    client::{names_target, tune_socket},
    context::RelayContext,
};

/// Delay after a failed accept, most often caused by a lack of file descriptors.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);
/// Time between closing the listener and closing the connections without a request.
const LAST_READ_TIME: Duration = Duration::from_millis(50);
/// Smallest read buffer that the HTTP library accepts.
const MIN_BUFFER_BYTES: usize = 8 * 1024;
/// Largest number of header fields of a request.
const MAX_HEADERS: usize = 200;

/// Network address of the caller, as an extension of its requests.
#[derive(Clone, Copy, Debug)]
pub struct CallerAddress(pub IpAddr);

/// A listening socket with the handler of its requests.
#[derive(Debug)]
pub struct CallerListener<H> {
    /// Listening socket.
    pub listener: TcpListener,
    /// Handler of one request.
    pub handler: H,
    /// Connections that may be open at once.
    pub places: usize,
}

/// An accepted connection.
#[derive(Debug)]
struct CallerConnection {
    stream: TcpStream,
    address: CallerAddress,
    caller_slot: CallerSlot,
}

/// Longest silence of a caller between two requests and within a head, by the configuration in force.
#[derive(Debug)]
struct IdleLimit(Arc<RelayContext>);

impl SilenceLimit for IdleLimit {
    fn current(&self) -> Duration {
        longest_silence(&caller_limits(&self.0))
    }
}

/// Returns the longest silence of a caller; the HTTP library has one limit for idle time and heads.
fn longest_silence(limits: &CallerLimits) -> Duration {
    limits.idle_timeout.max(limits.header_timeout)
}

/// Serves connections until the node closes its listeners, then finishes the requests in flight and returns.
pub async fn serve_callers<H, F>(context: Arc<RelayContext>, listener: CallerListener<H>)
where
    H: Fn(Arc<RelayContext>, Request<Incoming>) -> F + Copy + Send + Sync + 'static,
    F: Future<Output = Response<RelayBody>> + Send + 'static,
{
    let CallerListener {
        listener,
        handler,
        places,
    } = listener;
    let connections = TaskTracker::new();
    let last_read = CancellationToken::new();
    let slots = Arc::new(Semaphore::new(places));
    let caller_slots = Arc::<CallerSlots>::default();
    let room = SharedRoom {
        buffers: Arc::clone(&context.buffers),
        places: Arc::clone(&slots),
        total: places,
    };
    let keeping = Arc::clone(&caller_slots).evict_stalled(room, log_ended(Arc::clone(&context)));
    let _keeper = AbortOnDropHandle::new(tokio::spawn(keeping));
    let closing = context.drain.closing();
    let serve = |stream, address| {
        let caller = CallerConnection {
            stream,
            address,
            caller_slot: caller_slots.take(),
        };
        serve_connection(Arc::clone(&context), caller, handler, last_read.clone())
    };
    loop {
        let slot = tokio::select! {
            slot = Arc::clone(&slots).acquire_owned() => slot.expect("the semaphore is never closed"),
            () = closing.cancelled() => break,
        };
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            () = closing.cancelled() => break,
        };
        match accepted {
            Ok((stream, address)) => {
                let connection = serve(stream, CallerAddress(address.ip()));
                connections.spawn(async move {
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
    // Connections of the queue wait for places as well: requests that are unfinished or answered leave theirs.
    for stream in close_listener(listener) {
        // A caller that has left already has no address.
        if let Ok(address) = stream.peer_addr() {
            let connection = serve(stream, CallerAddress(address.ip()));
            let slots = Arc::clone(&slots);
            connections.spawn(async move {
                let slot = slots.acquire_owned().await;
                connection.await;
                drop(slot);
            });
        }
    }
    // Requests that have arrived on connections accepted last are still read; closing those connections would reset them.
    time::sleep(LAST_READ_TIME).await;
    last_read.cancel();
    connections.close();
    connections.wait().await;
}

/// Returns what logs unfinished requests that were ended.
fn log_ended(context: Arc<RelayContext>) -> impl Fn(EndedRequests) {
    move |ended| {
        let values = o!("cause" => ended.cause, "requests" => ended.count);
        context
            .log
            .write(events::UNFINISHED_ENDED, &RequestId::default(), values);
    }
}

fn serve_connection<H, F>(
    context: Arc<RelayContext>,
    caller: CallerConnection,
    handler: H,
    closing: CancellationToken,
) -> impl Future<Output = ()> + use<H, F>
where
    H: Fn(Arc<RelayContext>, Request<Incoming>) -> F + Copy + Send + Sync + 'static,
    F: Future<Output = Response<RelayBody>> + Send + 'static,
{
    let CallerConnection {
        stream,
        address,
        caller_slot,
    } = caller;
    tune_socket(&stream);
    // The places are bounded so that it fits; those of the last connections of a stopping node are few.
    let buffers = context.buffers.connection();
    let lingers = caller_slot.lingers();
    let own_address = stream.local_addr().ok();
    let limits = caller_limits(&context);
    let idle_limit = Arc::new(IdleLimit(Arc::clone(&context)));
    let end = ConnectionEnd::new(Arc::clone(&context));
    let served = end.served();
    let service = service_fn(move |mut request: Request<Incoming>| {
        request.extensions_mut().insert(address);
        request.extensions_mut().insert(caller_slot.clone());
        let context = Arc::clone(&context);
        served.fetch_add(1, Ordering::Relaxed);
        async move {
            let misdirected_to = own_address.filter(|own| names_target(request.headers(), *own));
            if let Some(address) = misdirected_to {
                return Ok(refuse_misdirected(&context, request, address).await);
            }
            let answering = handler(Arc::clone(&context), request);
            let answer = catch_panic(answering, "handler", context.log.logger()).await;
            // The request may have run, whatever failed.
            Ok::<_, Infallible>(answer.unwrap_or_else(|| LocalAnswer::Uncertain { is_timeout: false }.into_response()))
        }
    });
    let mut builder = http1::Builder::new();
    builder
        // Callers keep idle connections by the last limit that they know, which may be longer than that of the beginning.
        .timer(SilenceTimer::with_limit(idle_limit))
        .header_read_timeout(longest_silence(&limits))
        .max_buf_size(limits.max_header_bytes.max(MIN_BUFFER_BYTES))
        .max_headers(MAX_HEADERS);
    let connection = builder.serve_connection(TokioIo::new(LingeringSocket::new(stream, lingers)), service);
    async move {
        let driving = drive_connection(connection, closing);
        if let Some(ended) = catch_panic(driving, "connection", end.logger()).await {
            end.record(&ended);
        }
        drop(buffers);
    }
}
