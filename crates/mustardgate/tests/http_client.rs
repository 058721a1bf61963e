//! The HTTP client for control traffic.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use mustardgate::http::{CallError, HttpClient};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    time::{self, Instant},
};

const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest answer accepted, in bytes.
const MAX_BYTES: usize = 1_000;
/// Tolerance for the steps in which the runtime's timers fire.
const TIMER_SLACK: Duration = Duration::from_millis(10);

/// Starts a server that sends the head of an answer shortly before the timeout, and its body never.
async fn start_stalling_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("an address is free");
    let address = listener.local_addr().expect("the address is known");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a client connects");
        let mut request = [0; 1024];
        let _bytes = stream.read(&mut request).await.expect("a request is sent");
        time::sleep(CALL_TIMEOUT.mul_f64(0.9)).await;
        let head = b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n";
        stream.write_all(head).await.expect("the client reads");
        std::future::pending::<()>().await;
    });
    address
}

// Guards against CONFIG breaks by a node that waited for the leader's head and then as long again for its body.
#[tokio::test(start_paused = true)]
async fn one_timeout_covers_the_head_and_the_body_of_an_answer() {
    let address = start_stalling_server().await;
    let client = HttpClient::pooled(CALL_TIMEOUT);
    let started_at = Instant::now();
    let request = Request::new(Full::new(Bytes::new()));
    let outcome = client.call(address, request, CALL_TIMEOUT, MAX_BYTES).await;
    assert_eq!(outcome.err(), Some(CallError::BrokenAnswer { address }));
    assert!(
        started_at.elapsed() <= CALL_TIMEOUT + TIMER_SLACK,
        "{:?}",
        started_at.elapsed()
    );
}
