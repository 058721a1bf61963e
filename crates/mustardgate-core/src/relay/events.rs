//! Splitting of a stream into whole events.

/// Longest unfinished event that is kept, in bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// One whole event, with its terminating blank line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamEvent {
    /// Bytes as the runner sent them.
    pub bytes: Vec<u8>,
    /// Value of its `id` field.
    pub id: Option<String>,
}

/// Collects bytes and hands out whole events, so that an unfinished one is never passed on.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    pending: Vec<u8>,
    scanned: usize,
}

impl EventSplitter {
    /// Takes bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.pending.extend_from_slice(bytes);
    }

    /// Returns the next whole event.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        let end = self.find_end()?;
        let bytes: Vec<u8> = self.pending.drain(..end).collect();
        self.scanned = 0;
        let id = field_id(&bytes);
        Some(StreamEvent { bytes, id })
    }

    /// Returns the bytes of an unfinished event.
    pub fn remainder(&self) -> &[u8] {
        &self.pending
    }

    /// Returns whether the unfinished event is longer than any proper one.
    pub fn is_overlong(&self) -> bool {
        self.pending.len() > MAX_EVENT_BYTES
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
        None
    }
}

fn field_id(event: &[u8]) -> Option<String> {
    event.split(|byte| *byte == b'\n').find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        Some(String::from_utf8_lossy(value).trim().to_owned())
    })
}
