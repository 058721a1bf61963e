//! Connections to runners that are used again.

use std::{
    io::{Read, Write},
    net::TcpListener,
    time::Duration,
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use mustardgate_relay::client::{ConnectionPool, MAX_BYTES_BEFORE_HEAD, PoolSettings, SendFailure};
use tokio::task;

const TIMEOUT: Duration = Duration::from_secs(5);
const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

// Guards against requests sent on a connection with bytes that the runtime has not noticed: they would be read as the
// answer, and the request may run all the same.
#[tokio::test]
async fn a_connection_with_unread_bytes_carries_no_request() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("an address is free");
    let address = listener.local_addr().expect("the address is known");
    let pool = ConnectionPool::new(PoolSettings::default(), address);
    let answering = task::spawn_blocking(move || {
        let (mut runner, _) = listener.accept().expect("accepted");
        let _length = runner.read(&mut [0; 1024]).expect("a request");
        runner.write_all(ANSWER).expect("written");
        (listener, runner)
    });
    let mut taken = pool.take(TIMEOUT).await.expect("connected");
    let request = Request::new(Full::new(Bytes::new()));
    let answer = taken.connection.send(request, TIMEOUT).await.expect("answered");
    answer.into_body().collect().await.expect("a body");
    let (_listener, mut runner) = answering.await.expect("the runner has answered");
    assert!(taken.connection.is_ready());
    pool.give_back(taken.connection, None);
    // No task runs between the write and the take.
    runner.write_all(ANSWER).expect("written");
    let second = pool.take(TIMEOUT).await.expect("connected");
    assert!(second.is_new, "the connection has unread bytes");
}

// Guards against requests that are not served, because one connection with interim answers always ready keeps the thread.
#[tokio::test]
async fn interim_answers_are_skipped_up_to_a_limit() {
    const INTERIM: &[u8] = b"HTTP/1.1 103 Early Hints\r\n\r\n";
    for (interim_bytes, expected) in [
        (MAX_BYTES_BEFORE_HEAD / 2, Ok(())),
        (MAX_BYTES_BEFORE_HEAD * 2, Err(SendFailure::Oversized)),
    ] {
        let listener = TcpListener::bind("127.0.0.1:0").expect("an address is free");
        let address = listener.local_addr().expect("the address is known");
        let pool = ConnectionPool::new(PoolSettings::default(), address);
        let answering = task::spawn_blocking(move || {
            let (mut runner, _) = listener.accept().expect("accepted");
            let _length = runner.read(&mut [0; 1024]).expect("a request");
            let interim = INTERIM.repeat(interim_bytes / INTERIM.len());
            // The node may close the connection before all is written.
            drop(runner.write_all(&interim).and_then(|()| runner.write_all(ANSWER)));
            runner
        });
        let mut taken = pool.take(TIMEOUT).await.expect("connected");
        let request = Request::new(Full::new(Bytes::new()));
        let answer = taken.connection.send(request, TIMEOUT).await;
        assert_eq!(answer.map(|_| ()), expected);
        drop(taken);
        answering.await.expect("the runner has answered");
    }
}
