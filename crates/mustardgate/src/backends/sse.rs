//! Splitting of a server-sent event stream into the data of its events.

use bytes::{Buf, Bytes, BytesMut};

/// Maximum number of buffered bytes, and so of one event.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Buffers bytes and returns the data of complete events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
}

impl EventSplitter {
    /// Adds received bytes; returns `false` if more bytes are buffered than an event may have.
    pub fn push(&mut self, bytes: &Bytes) -> bool {
        self.buffer.extend_from_slice(bytes);
        self.buffer.len() <= MAX_EVENT_BYTES
    }

    /// Returns the data of the next complete event; events that do not begin with `data: ` are skipped.
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
