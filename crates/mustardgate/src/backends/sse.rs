//! Splits a stream of server-sent events into their data.

use bytes::{Buf, Bytes, BytesMut};

/// Bytes that one event may take.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Collects bytes until whole events are there.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
}

impl EventSplitter {
    /// Adds received bytes; returns `false` when an event is longer than allowed.
    pub fn push(&mut self, bytes: &Bytes) -> bool {
        self.buffer.extend_from_slice(bytes);
        self.buffer.len() <= MAX_EVENT_BYTES
    }

    /// Returns the data of the next whole event.
    pub fn next_event(&mut self) -> Option<Bytes> {
        loop {
            let end = self.buffer.windows(2).position(|pair| pair == b"\n\n")?;
            let event = self.buffer.split_to(end).freeze();
            self.buffer.advance(2);
            if let Some(data) = event.strip_prefix(b"data: ") {
                return Some(event.slice_ref(data));
            }
        }
    }
}
