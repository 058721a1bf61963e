//! The HTTP client for control traffic.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use mustardgate::http::{BodyPace, CallError, CallLimits, HttpClient};
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

/// Parts of a body, the time between two of them, and the time by which the last one has arrived.
const PART_COUNT: u32 = 10;
const PART_INTERVAL: Duration = Duration::from_millis(300);
const STEADY_TIME: Duration = Duration::from_secs(3);
const STALL_TIMEOUT: Duration = Duration::from_millis(400);

/// Starts a server that sends the parts of a body one after another, up to `sent` of them.
async fn start_steady_server(sent: u32) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("an address is free");
    let address = listener.local_addr().expect("the address is known");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a client connects");
        let mut request = [0; 1024];
        let _bytes = stream.read(&mut request).await.expect("a request is sent");
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {PART_COUNT}\r\n\r\n");
        stream.write_all(head.as_bytes()).await.expect("the client reads");
        for _ in 0..sent {
            time::sleep(PART_INTERVAL).await;
            stream.write_all(b"x").await.expect("the client reads");
        }
        std::future::pending::<()>().await;
    });
    address
}

async fn call_steadily(address: SocketAddr, total: Duration) -> Result<usize, CallError> {
    let limits = CallLimits {
        timeout: CALL_TIMEOUT,
        max_bytes: MAX_BYTES,
        pace: Some(BodyPace {
            stall: STALL_TIMEOUT,
            total,
        }),
    };
    let request = Request::new(Full::new(Bytes::new()));
    let client = HttpClient::pooled(CALL_TIMEOUT);
    let reply = client.call_counted("test", address, request, limits).await?;
    Ok(reply.body.len())
}

// Guards against CONFIG breaks by a read that was given up while its page was arriving, and began anew.
#[tokio::test(start_paused = true)]
async fn a_body_that_keeps_arriving_is_received_after_the_timeout() {
    let address = start_steady_server(PART_COUNT).await;
    let outcome = call_steadily(address, STEADY_TIME + TIMER_SLACK).await;
    assert_eq!(outcome, Ok(PART_COUNT as usize));
}

// Guards against a node that waits for the rest of a page that does not come.
#[tokio::test(start_paused = true)]
async fn a_body_that_stalls_is_given_up_soon_after_the_timeout() {
    let address = start_steady_server(PART_COUNT / 2).await;
    let started_at = Instant::now();
    let outcome = call_steadily(address, STEADY_TIME).await;
    assert_eq!(outcome, Err(CallError::BrokenAnswer { address }));
    let limit = PART_INTERVAL * (PART_COUNT / 2) + STALL_TIMEOUT + TIMER_SLACK;
    assert!(started_at.elapsed() <= limit, "{:?}", started_at.elapsed());
}

// Guards against a page that trickles in for longer than a change may take.
#[tokio::test(start_paused = true)]
async fn a_body_that_keeps_arriving_is_given_up_after_its_total_time() {
    let address = start_steady_server(PART_COUNT).await;
    let started_at = Instant::now();
    let outcome = call_steadily(address, STEADY_TIME / 2).await;
    assert_eq!(outcome, Err(CallError::BrokenAnswer { address }));
    assert!(
        started_at.elapsed() <= STEADY_TIME / 2 + TIMER_SLACK,
        "{:?}",
        started_at.elapsed()
    );
}

// Guards against a link that is filled with the rest of an answer whose begin says that it is of no use.
#[tokio::test(start_paused = true)]
async fn a_body_is_received_for_as_long_as_it_is_wanted() {
    let address = start_steady_server(PART_COUNT).await;
    let limits = CallLimits {
        timeout: CALL_TIMEOUT,
        max_bytes: MAX_BYTES,
        pace: Some(BodyPace {
            stall: STALL_TIMEOUT,
            total: STEADY_TIME,
        }),
    };
    let request = Request::new(Full::new(Bytes::new()));
    let client = HttpClient::pooled(CALL_TIMEOUT);
    let calling = client.call_while("test", address, request, limits, |content| content.len() < 2);
    let reply = calling.await.expect("the server answers");
    assert_eq!(reply.body.len(), 2);
}
