//! How the memory of a process is divided among what callers can make it hold.

/// Bytes in a megabyte.
const MEGABYTE: usize = 1024 * 1024;
/// Memory of a process without callers.
const PROCESS_BYTES: usize = 22 * MEGABYTE;
/// Part of the memory that buffered bytes may take.
const BUFFER_DIVISOR: usize = 4;
/// Part of the buffered bytes that requests may hold.
const REQUEST_DIVISOR: usize = 2;
/// Part of the buffered bytes by which one request may exceed what all may hold.
const OVERSIZE_DIVISOR: usize = 8;
/// Part of the memory beside the process's own that callers' connections may take.
const CONNECTION_DIVISOR: usize = 2;
/// Callers' connections that wait to be accepted are at most the places divided by this: they hold received bytes as well.
const CALLER_QUEUE_DIVISOR: usize = 4;
/// The same for connections of other nodes.
const NODE_QUEUE_DIVISOR: usize = 8;
/// The same for connections of readiness checks.
const CHECK_QUEUE_DIVISOR: usize = 16;
/// Bytes of a read buffer. It grows to the largest head of a request, if that is larger.
pub const READ_BYTES: usize = 16 * 1024;
/// Bytes that a connection takes beside its receive buffer: two read buffers, the write buffer of 8 KiB, the request's
/// task, and the first 16 KiB of the body, which need no reservation.
const CONNECTION_BYTES: usize = 64 * 1024;
/// Bytes of a connection that the kernel keeps until they are read. Half of them are offered to the sender as its window,
/// which is enough for 10 Mbit/s at a round trip of 25 ms.
pub const RECEIVE_BYTES: usize = 64 * 1024;
/// Bytes that a connection takes in all, beside the part of a body that is reserved.
pub const PLACE_BYTES: usize = CONNECTION_BYTES + RECEIVE_BYTES;

/// Whose connections a listener accepts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListenerRole {
    /// Callers.
    Callers,
    /// Other nodes.
    Nodes,
    /// Checks whether the node is ready, or operators.
    Checks,
}

/// Limits of [`BufferLedger`](super::BufferLedger).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BufferLimits {
    /// Bytes that all sources but connections may hold together.
    pub total_bytes: usize,
    /// Bytes that callers' connections may hold beside the bodies of their requests.
    pub connection_bytes: usize,
}

impl BufferLimits {
    /// Returns the limits of a process with some memory, so that everything which callers can make it hold fits.
    ///
    /// The sums for machines of all sizes stand in `docs/design/untrusted-callers.md`.
    pub fn within(memory_bytes: usize) -> Self {
        Self {
            total_bytes: memory_bytes / BUFFER_DIVISOR,
            connection_bytes: memory_bytes.saturating_sub(PROCESS_BYTES) / CONNECTION_DIVISOR,
        }
    }

    /// Returns the number of callers' connections that fit.
    pub fn places(&self) -> usize {
        self.places_with_heads(READ_BYTES)
    }

    /// Returns the number of connections that fit when each may send a head of some bytes.
    pub fn places_with_heads(&self, head_bytes: usize) -> usize {
        self.connection_bytes / (PLACE_BYTES + 2 * head_bytes.saturating_sub(READ_BYTES))
    }

    /// Returns the number of connections that may wait to be accepted at a listener.
    pub fn queued_connections(&self, role: ListenerRole) -> usize {
        let divisor = match role {
            ListenerRole::Callers => CALLER_QUEUE_DIVISOR,
            ListenerRole::Nodes => NODE_QUEUE_DIVISOR,
            ListenerRole::Checks => CHECK_QUEUE_DIVISOR,
        };
        (self.places() / divisor).max(1)
    }

    /// Returns the bytes that requests may hold together.
    pub fn request_bytes(&self) -> usize {
        self.total_bytes / REQUEST_DIVISOR
    }

    /// Returns the bytes that a request may hold when no others hold any.
    pub fn largest_body_bytes(&self) -> usize {
        self.request_bytes() + self.total_bytes / OVERSIZE_DIVISOR
    }

    /// Returns the most bytes that a process within the limits holds.
    pub fn largest_bytes(&self) -> usize {
        let roles = [ListenerRole::Callers, ListenerRole::Nodes, ListenerRole::Checks];
        let queued: usize = roles.map(|role| self.queued_connections(role)).into_iter().sum();
        PROCESS_BYTES + self.total_bytes + self.connection_bytes + queued * RECEIVE_BYTES
    }
}
