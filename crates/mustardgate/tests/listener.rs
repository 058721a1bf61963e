//! Connections at a listener that closes.

use std::{
    convert::Infallible,
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use hyper::{Request, StatusCode, body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use mustardgate::http::{ConnectionLimits, catch_panic, drive_connection, serve_connections, text_answer};
use slog::{Discard, Logger, o};
use tokio::{net::TcpListener, task::yield_now, time};
use tokio_util::sync::CancellationToken;

/// Connections that wait as the listener closes.
const WAITING_COUNT: usize = 8;

// Guards against connections that are reset in the accept queue, because the runtime has not yet heard of them.
#[tokio::test]
async fn requests_in_the_accept_queue_are_answered_when_the_listener_closes_at_once() {
    let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await;
    let listener = listener.expect("an address is free");
    let address = listener.local_addr().expect("the address is known");
    let limits = ConnectionLimits {
        max_connections: 64,
        head_timeout: Duration::from_secs(5),
        max_head_bytes: 16 * 1024,
        max_streams: Some(16),
        buffers: None,
    };
    let shutdown = CancellationToken::new();
    let handler = async |_request: Request<Incoming>| text_answer(StatusCode::OK, "whole".to_owned());
    let logger = Logger::root(Discard, o!());
    let serving = serve_connections(listener, handler, limits, shutdown.clone(), logger);
    let serving = tokio::spawn(serving);
    time::sleep(Duration::from_millis(20)).await;
    // The runtime has one thread, which does not look at the system until this task waits.
    let connect = || {
        let mut stream = TcpStream::connect(address).expect("the system accepts");
        let request = "GET / HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n";
        stream.write_all(request.as_bytes()).expect("the request is sent");
        stream
    };
    let streams: Vec<TcpStream> = (0..WAITING_COUNT).map(|_| connect()).collect();
    shutdown.cancel();
    yield_now().await;
    serving.await.expect("the listener ends");
    for mut stream in streams {
        let mut answer = String::new();
        let read = stream.read_to_string(&mut answer);
        assert!(read.is_ok() && answer.ends_with("whole"), "{read:?}: {answer}");
    }
}

// Guards against requests that have arrived on a kept connection and are lost with it, because the runtime has not yet
// heard of them.
#[tokio::test]
async fn a_request_that_has_arrived_is_answered_before_its_connection_closes() {
    let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await;
    let listener = listener.expect("an address is free");
    let mut client = TcpStream::connect(listener.local_addr().expect("the address is known")).expect("a connection");
    let (stream, _) = listener.accept().await.expect("a connection");
    let service = service_fn(async |_request| Ok::<_, Infallible>(text_answer(StatusCode::OK, "whole".to_owned())));
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    let closing = CancellationToken::new();
    let driving = tokio::spawn(drive_connection(connection, closing.clone()));
    let request = "GET / HTTP/1.1\r\nHost: node\r\n\r\n";
    client.write_all(request.as_bytes()).expect("the request is sent");
    time::sleep(Duration::from_millis(20)).await;
    // The runtime has one thread, which does not look at the system until this task waits.
    client.write_all(request.as_bytes()).expect("the request is sent");
    closing.cancel();
    let ended = driving.await.expect("the connection does not panic");
    let mut answers = String::new();
    let read = client.read_to_string(&mut answers);
    assert_eq!(answers.matches("whole").count(), 2, "{ended:?}, {read:?}: {answers}");
}

#[tokio::test]
async fn a_part_of_a_connection_that_panics_has_no_output() {
    let logger = Logger::root(Discard, o!());
    let caught = catch_panic(async { panic!("an odd request") }, "handler", &logger).await;
    assert_eq!(caught, None::<()>);
    assert_eq!(catch_panic(async { 1 }, "handler", &logger).await, Some(1));
}
