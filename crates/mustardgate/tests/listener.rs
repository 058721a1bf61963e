//! Connections at a listener that closes.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use hyper::{Request, StatusCode, body::Incoming};
use mustardgate::http::{ConnectionLimits, catch_panic, serve_connections, text_answer};
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

#[tokio::test]
async fn a_part_of_a_connection_that_panics_has_no_output() {
    let logger = Logger::root(Discard, o!());
    let caught = catch_panic(async { panic!("an odd request") }, "handler", &logger).await;
    assert_eq!(caught, None::<()>);
    assert_eq!(catch_panic(async { 1 }, "handler", &logger).await, Some(1));
}
