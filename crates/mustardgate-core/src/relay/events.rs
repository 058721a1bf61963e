//! Splitting of a server-sent event stream into complete events.

/// Largest incomplete event that is accepted, in bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Largest buffer that is kept empty, in bytes.
const KEPT_BYTES: usize = 16 * 1024;

/// One complete event, with its terminating blank line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamEvent {
    /// Bytes of the event, as the runner sent them.
    pub bytes: Vec<u8>,
    /// Value of the event's `id` field, if it has one.
    pub id: Option<String>,
}

impl StreamEvent {
    /// Returns whether it consists of comments, which keep a connection alive and say nothing.
    pub fn is_comment(&self) -> bool {
        is_comment(&self.bytes)
    }
}

/// Buffers bytes and returns complete events, so that an incomplete one is never passed on to the caller.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    pending: Vec<u8>,
    /// Number of pending bytes already searched for the end of an event.
    scanned: usize,
}

impl EventSplitter {
    /// Adds received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.pending.extend_from_slice(bytes);
    }

    /// Returns the next complete event, if there is one.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        let end = self.find_end()?;
        let bytes: Vec<u8> = self.pending.drain(..end).collect();
        self.scanned = 0;
        let id = field_id(&bytes);
        Some(StreamEvent { bytes, id })
    }

    /// Returns the bytes of the incomplete event after the last complete one.
    pub fn remainder(&self) -> &[u8] {
        &self.pending
    }

    /// Returns whether the bytes after the last complete event begin another one, and not only a comment.
    pub fn has_begun_event(&self) -> bool {
        !is_comment(&self.pending)
    }

    /// Returns whether the incomplete event exceeds the largest accepted size.
    pub fn is_overlong(&self) -> bool {
        self.pending.len() > MAX_EVENT_BYTES
    }

    /// Returns the size of the buffer.
    pub fn buffered_bytes(&self) -> usize {
        self.pending.capacity()
    }

    fn find_end(&mut self) -> Option<usize> {
        let start = self.scanned.saturating_sub(3);
        for at in start..self.pending.len() {
            let rest = &self.pending[at..];
            if rest.starts_with(b"\n\n") {
                return Some(at + 2);
            }
            if rest.starts_with(b"\n\r\n") {
                return Some(at + 3);
            }
        }
        self.scanned = self.pending.len();
        if self.pending.is_empty() && self.pending.capacity() > KEPT_BYTES {
            self.pending = Vec::new();
        }
        None
    }
}

fn is_comment(bytes: &[u8]) -> bool {
    let mut lines = bytes.split(|byte| *byte == b'\n');
    lines.all(|line| matches!(line, [] | [b'\r'] | [b':', ..]))
}

fn field_id(event: &[u8]) -> Option<String> {
    event.split(|byte| *byte == b'\n').find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        Some(String::from_utf8_lossy(value).trim().to_owned())
    })
}
