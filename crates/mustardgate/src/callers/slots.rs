//! Connections of callers, as far as their requests are unfinished.

use std::{
    collections::HashMap,
    pin::Pin,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use metrics::counter;
use mustardgate_core::{
    buffers::{BodyId, UnfinishedBodies},
    clock,
};
use tokio::{
    sync::{Notify, Semaphore},
    time,
};

use crate::buffers::BufferBudget;

/// Interval between two checks whether unfinished requests have to be evicted.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two checks that shows that the process stood still.
const STANDSTILL_TIME: Duration = Duration::from_millis(500);
/// Bodies that are evicted at once for lack of room; what they free shows before the next check.
const BATCH: usize = 16;
/// Places are short when fewer than this part of them are free.
const FREE_DIVISOR: usize = 8;

/// The connections of one listener.
#[derive(Debug, Default)]
pub struct CallerSlots {
    state: Mutex<SlotState>,
    /// Whether few places are free.
    is_crowded: AtomicBool,
}

#[derive(Debug, Default)]
struct SlotState {
    bodies: UnfinishedBodies,
    signals: HashMap<BodyId, Arc<Notify>>,
    next: BodyId,
}

/// What the unfinished requests of a listener compete for.
#[derive(Clone, Debug)]
pub struct SharedRoom {
    /// Budget of their bodies.
    pub buffers: Arc<BufferBudget>,
    /// Free places for connections.
    pub places: Arc<Semaphore>,
    /// All places for connections.
    pub total: usize,
}

/// Unfinished requests that were ended together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndedRequests {
    /// What was short.
    pub cause: &'static str,
    /// How many were ended.
    pub count: usize,
}

/// One connection, as an extension of its requests.
#[derive(Clone, Debug, Default)]
pub struct CallerSlot {
    caller_slots: Arc<CallerSlots>,
    /// Whether the rest of a refused request is read after its answer.
    lingers: Arc<AtomicBool>,
}

impl CallerSlots {
    /// Returns a slot for a new connection.
    pub fn take(self: &Arc<Self>) -> CallerSlot {
        CallerSlot {
            caller_slots: Arc::clone(self),
            lingers: Arc::default(),
        }
    }

    /// Ends unfinished requests without progress whenever places or room for bodies are short, and reports them.
    pub async fn evict_stalled(self: Arc<Self>, room: SharedRoom, report: impl Fn(EndedRequests)) {
        let wanted = (room.total / FREE_DIVISOR).max(1);
        loop {
            let slept_at = clock::now();
            time::sleep(CHECK_INTERVAL).await;
            // After a standstill of the process, bytes that arrived meanwhile are read first.
            if clock::now().saturating_duration_since(slept_at) > STANDSTILL_TIME {
                continue;
            }
            let missing = wanted.saturating_sub(room.places.available_permits());
            self.is_crowded.store(missing > 0, Ordering::Relaxed);
            let (most, cause) = if room.buffers.is_short_for_requests() {
                (BATCH, "bytes")
            } else {
                (missing, "places")
            };
            let count = self.evict(most);
            if count > 0 {
                counter!("mustardgate_unfinished_requests_ended_total", "cause" => cause).increment(count as u64);
                report(EndedRequests { cause, count });
            }
        }
    }

    fn evict(&self, count: usize) -> usize {
        if count == 0 {
            return 0;
        }
        let mut state = self.lock();
        let ended = state.bodies.evict(count, clock::now());
        for id in &ended {
            if let Some(signal) = state.signals.remove(id) {
                signal.notify_one();
            }
        }
        ended.len()
    }

    fn lock(&self) -> MutexGuard<'_, SlotState> {
        self.state.lock().expect("no holder of the lock panics")
    }
}

impl CallerSlot {
    /// Returns whether the connection shall be read for a while after its last answer, shared with its socket.
    pub fn lingers(&self) -> Arc<AtomicBool> {
        Arc::clone(&self.lingers)
    }

    /// Has the rest of a refused request read after its answer.
    pub fn linger(&self) {
        self.lingers.store(true, Ordering::Relaxed);
    }

    /// Returns whether few places are free, so that connections shall end with their answers: those without a request keep
    /// their places from callers that have one.
    pub fn is_crowded(&self) -> bool {
        self.caller_slots.is_crowded.load(Ordering::Relaxed)
    }

    /// Begins to receive a body.
    pub fn receive<'a>(&self, body: &'a mut Incoming) -> ReceivedBody<'a> {
        let signal = Arc::<Notify>::default();
        let mut state = self.caller_slots.lock();
        state.next += 1;
        let id = state.next;
        state.bodies.begin(id, clock::now());
        state.signals.insert(id, Arc::clone(&signal));
        drop(state);
        ReceivedBody {
            body,
            caller_slots: Arc::clone(&self.caller_slots),
            id,
            signal,
        }
    }
}

/// The body of a request that is being received, and may have to give way.
#[derive(Debug)]
pub struct ReceivedBody<'a> {
    body: &'a mut Incoming,
    caller_slots: Arc<CallerSlots>,
    id: BodyId,
    signal: Arc<Notify>,
}

impl ReceivedBody<'_> {
    /// Returns what is notified when the request has to give way.
    pub fn signal(&self) -> Arc<Notify> {
        Arc::clone(&self.signal)
    }
}

impl Body for ReceivedBody<'_> {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<hyper::Result<Frame<Bytes>>>> {
        let frame = ready!(Pin::new(&mut *self.body).poll_frame(cx));
        if let Some(data) = frame.as_ref().and_then(|frame| frame.as_ref().ok()?.data_ref()) {
            let mut state = self.caller_slots.lock();
            state.bodies.record_bytes(self.id, data.len(), clock::now());
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for ReceivedBody<'_> {
    fn drop(&mut self) {
        let mut state = self.caller_slots.lock();
        state.bodies.end(self.id);
        state.signals.remove(&self.id);
    }
}
