//! Tests of a node of the product with callers that nobody controls. They run apart from other load, one at a time.
//!
//! All of them guard against nodes that are killed for their memory, or have no place left for an ordinary caller.

mod crowd;

use std::fmt::Write as _;

use bytes::Bytes;

use self::crowd::{CrowdCall, play_calls, play_streams};

/// Bytes of a body of legal size, and how many of them are never sent.
const BODY_BYTES: usize = 1024 * 1024;
const WITHHELD_BYTES: usize = 64 * 1024;
/// Callers that send unfinished bodies.
const CALLERS: usize = 800;
/// Callers with HTTP/2, and the requests of each at once.
const STREAM_CALLERS: usize = 8;
const STREAMS: usize = 100;
/// Callers whose heads have no end, and the bytes of such a head.
const HEAD_CALLERS: usize = 1_600;
const HEAD_BYTES: usize = 400 * 1024;
/// Bytes of a field of such a head.
const FIELD_BYTES: usize = 4 * 1024;
/// Bytes of a large chunk.
const CHUNK_BYTES: usize = 64 * 1024;

#[tokio::test]
async fn bodies_that_lack_their_last_bytes_leave_room_at_the_gateway() {
    let call = CrowdCall {
        framing: format!("Content-Length: {BODY_BYTES}\r\n\r\n"),
        content: vec![Bytes::from(vec![b'x'; BODY_BYTES - WITHHELD_BYTES])],
    };
    play_calls(CALLERS, call).await.assert_contained();
}

#[tokio::test]
async fn large_chunks_without_an_end_leave_room_at_the_gateway() {
    let chunk = [
        format!("{CHUNK_BYTES:x}\r\n").as_bytes(),
        &vec![b'x'; CHUNK_BYTES],
        b"\r\n",
    ]
    .concat();
    let call = CrowdCall {
        framing: "Transfer-Encoding: chunked\r\n\r\n".to_owned(),
        content: vec![Bytes::from(chunk); (BODY_BYTES - WITHHELD_BYTES) / CHUNK_BYTES],
    };
    play_calls(CALLERS, call).await.assert_contained();
}

#[tokio::test]
async fn heads_without_an_end_leave_room_at_the_gateway() {
    let mut framing = String::new();
    for number in 0..HEAD_BYTES / FIELD_BYTES {
        write!(framing, "X-Field-{number}: {}\r\n", "x".repeat(FIELD_BYTES)).expect("text is written");
    }
    let call = CrowdCall {
        framing,
        content: Vec::new(),
    };
    play_calls(HEAD_CALLERS, call).await.assert_contained();
}

#[tokio::test]
async fn unfinished_bodies_of_many_streams_leave_room_at_the_gateway() {
    let sent = Bytes::from(vec![b'x'; BODY_BYTES - WITHHELD_BYTES]);
    play_streams(STREAM_CALLERS, STREAMS, sent).await.assert_contained();
}
