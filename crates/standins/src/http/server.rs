//! Accepts connections and passes each request with its whole body to a handler.

use std::{io, net::SocketAddr, process::ExitCode, sync::Arc};

use async_trait::async_trait;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{Request, body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::{
    net::{TcpListener, TcpStream},
    signal::unix::{SignalKind, signal},
};

use super::reply::{BrokenStream, HttpReply};

/// Answers the requests of one stand-in.
#[async_trait]
pub trait HttpHandler: Send + Sync + 'static {
    /// Answers one request; `None` closes the connection without an answer.
    async fn handle(&self, request: Request<Bytes>) -> HttpReply;
}

/// Listens on every address given.
///
/// # Errors
/// The error of the first address that cannot be bound.
pub async fn bind_all(addresses: &[SocketAddr]) -> io::Result<Vec<TcpListener>> {
    let mut listeners = Vec::new();
    for address in addresses {
        listeners.push(TcpListener::bind(address).await?);
    }
    Ok(listeners)
}

/// Serves the connections of one listener until the task is dropped.
pub async fn serve_forever(listener: TcpListener, handler: Arc<dyn HttpHandler>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::task::yield_now().await;
            continue;
        };
        drop(stream.set_nodelay(true));
        tokio::spawn(serve_connection(stream, Arc::clone(&handler)));
    }
}

async fn serve_connection(stream: TcpStream, handler: Arc<dyn HttpHandler>) {
    let service = service_fn(|request| handle_request(request, Arc::clone(&handler)));
    // An error means that the client disconnected or that a fault was injected.
    drop(
        http1::Builder::new()
            .serve_connection(TokioIo::new(stream), service)
            .await,
    );
}

async fn handle_request(
    request: Request<Incoming>,
    handler: Arc<dyn HttpHandler>,
) -> Result<hyper::Response<super::ReplyBody>, BrokenStream> {
    let (parts, body) = request.into_parts();
    let body = body.collect().await.map_err(|_error| BrokenStream)?.to_bytes();
    let request = Request::from_parts(parts, body);
    handler.handle(request).await.ok_or(BrokenStream)
}

/// Serves every address until SIGTERM or SIGINT arrives and returns the exit code; messages begin with `name`.
pub async fn serve_process(name: &str, addresses: &[SocketAddr], handler: Arc<dyn HttpHandler>) -> ExitCode {
    match serve_until_stopped(name, addresses, handler).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{name}: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn serve_until_stopped(name: &str, addresses: &[SocketAddr], handler: Arc<dyn HttpHandler>) -> io::Result<()> {
    for listener in bind_all(addresses).await? {
        println!("{name} listens on {}", listener.local_addr()?);
        tokio::spawn(serve_forever(listener, Arc::clone(&handler)));
    }
    wait_for_stop().await
}

/// Waits until SIGTERM or SIGINT arrives.
///
/// # Errors
/// The error with which a signal handler could not be installed.
pub async fn wait_for_stop() -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
