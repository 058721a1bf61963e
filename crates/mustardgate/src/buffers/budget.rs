//! Reservations that are released when their holder is dropped.

use std::{
    collections::{BTreeMap, HashMap},
    future,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, Ordering},
    },
};

use bytes::Bytes;
use metrics::gauge;
use mustardgate_core::buffers::{BufferLedger, BufferLimits, BufferSource, HolderId, PLACE_BYTES};
use slog::{Logger, o};
use snafu::Snafu;
use tokio::sync::Notify;

use crate::events;

/// Bytes that a holder may have without a reservation. They are bounded by the number of connections.
const FREE_BYTES: usize = 16 * 1024;
/// Reservations are multiples of this, so that most bytes need none.
const STEP_BYTES: usize = 64 * 1024;

/// The budget has no room for the bytes, or others took it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("no room for more bytes"))]
pub struct NoRoom;

/// The budget of buffered bytes.
#[derive(Debug)]
pub struct BufferBudget {
    limits: BufferLimits,
    state: Mutex<BudgetState>,
}

#[derive(Debug)]
struct BudgetState {
    ledger: BufferLedger,
    signals: HashMap<HolderId, Arc<EndSignal>>,
    next: HolderId,
    /// Kinds of sources whose bytes were published.
    published: BTreeMap<String, usize>,
}

/// Tells a holder that its bytes were taken.
#[derive(Debug, Default)]
struct EndSignal {
    is_ended: AtomicBool,
    notify: Notify,
}

impl BufferBudget {
    /// Creates a budget of which nothing is used.
    pub fn new(limits: BufferLimits) -> Self {
        Self {
            limits,
            state: Mutex::new(BudgetState {
                ledger: BufferLedger::new(limits),
                signals: HashMap::new(),
                next: 0,
                published: BTreeMap::new(),
            }),
        }
    }

    /// Tells operators whether the largest body that is allowed can be received at all.
    pub fn check_body_limit(&self, max_body_bytes: usize, logger: &Logger) {
        let largest_bytes = self.limits.largest_body_bytes();
        let is_unreachable = max_body_bytes > largest_bytes;
        gauge!("mustardgate_body_limit_unreachable").set(f64::from(u8::from(is_unreachable)));
        if is_unreachable {
            let values = o!("largest_bytes" => largest_bytes, "allowed_bytes" => max_body_bytes);
            events::BODY_LIMIT_UNREACHABLE.write(logger, values);
        }
    }

    /// Returns a guard for the bytes of one request or answer, which holds none yet.
    pub fn guard(self: &Arc<Self>, source: BufferSource) -> BufferGuard {
        BufferGuard {
            budget: Arc::clone(self),
            source,
            left: usize::MAX,
            reservation: None,
        }
    }

    /// Publishes how many bytes are reserved by kind of source.
    pub fn publish(&self) {
        let mut state = self.lock();
        for bytes in state.published.values_mut() {
            *bytes = 0;
        }
        let held: Vec<(String, usize)> = state
            .ledger
            .sources()
            .map(|(source, bytes)| (source.to_string(), bytes))
            .collect();
        for (kind, bytes) in held {
            *state.published.entry(kind).or_default() += bytes;
        }
        for (kind, bytes) in &state.published {
            gauge!("mustardgate_buffered_bytes", "kind" => kind.clone()).set(*bytes as f64);
        }
    }

    /// Returns whether requests hold so much that unfinished ones shall give way.
    pub fn is_short_for_requests(&self) -> bool {
        self.lock().ledger.is_short_for_requests()
    }

    /// Returns the limits of the budget.
    pub fn limits(&self) -> BufferLimits {
        self.limits
    }

    /// Returns a guard for what a connection of a caller takes beside the body of its request.
    ///
    /// # Errors
    /// [`NoRoom`] when there are as many connections as fit.
    pub fn connection(self: &Arc<Self>) -> Result<BufferGuard, NoRoom> {
        let mut guard = self.guard(BufferSource::Connections);
        guard.cover(FREE_BYTES + PLACE_BYTES)?;
        Ok(guard)
    }

    /// Returns a guard for what a request takes beside its body, where the connection's guard does not cover it.
    ///
    /// # Errors
    /// [`NoRoom`] when there are as many connections and requests as fit.
    pub fn stream(self: &Arc<Self>) -> Result<BufferGuard, NoRoom> {
        let mut guard = self.guard(BufferSource::Connections);
        guard.cover(FREE_BYTES + STEP_BYTES)?;
        Ok(guard)
    }

    fn lock(&self) -> MutexGuard<'_, BudgetState> {
        self.state.lock().expect("no holder of the lock panics")
    }
}

#[derive(Debug)]
struct Reservation {
    id: HolderId,
    bytes: usize,
    signal: Arc<EndSignal>,
}

/// Holds bytes of the budget until it is dropped.
#[derive(Debug)]
pub struct BufferGuard {
    budget: Arc<BufferBudget>,
    source: BufferSource,
    /// Bytes that are still to come, as far as that is known.
    left: usize,
    reservation: Option<Reservation>,
}

impl BufferGuard {
    /// Makes sure that the guard covers as many bytes, and gives back what exceeds them by more than a step.
    ///
    /// # Errors
    /// [`NoRoom`] when the bytes do not fit, or when others took the room that was held.
    pub fn cover(&mut self, bytes: usize) -> Result<(), NoRoom> {
        let covered = FREE_BYTES + self.reserved_bytes();
        if self.is_ended() {
            return Err(NoRoom);
        }
        if bytes <= covered {
            self.give_back(covered - bytes);
            return Ok(());
        }
        let further = (bytes - covered).next_multiple_of(STEP_BYTES);
        let budget = Arc::clone(&self.budget);
        let mut state = budget.lock();
        let reservation = self.reservation.get_or_insert_with(|| {
            state.next += 1;
            Reservation {
                id: state.next,
                bytes: 0,
                signal: Arc::default(),
            }
        });
        let ended = state
            .ledger
            .reserve_towards(reservation.id, &self.source, further, self.left)
            .ok_or(NoRoom)?;
        reservation.bytes += further;
        state.signals.insert(reservation.id, Arc::clone(&reservation.signal));
        for id in ended {
            if let Some(signal) = state.signals.remove(&id) {
                signal.is_ended.store(true, Ordering::Relaxed);
                signal.notify.notify_one();
            }
        }
        Ok(())
    }

    /// Records how many bytes are still to come: holders with fewer of them keep their room first.
    pub fn record_left(&mut self, left: usize) {
        self.left = left;
        if let Some(reservation) = &self.reservation {
            self.budget.lock().ledger.record_left(reservation.id, left);
        }
    }

    fn give_back(&mut self, unneeded: usize) {
        let Some(reservation) = &mut self.reservation else {
            return;
        };
        let excess = unneeded.min(reservation.bytes);
        // One step is kept, so that events of ordinary size do not take turns at the budget.
        let freed = excess.saturating_sub(STEP_BYTES) / STEP_BYTES * STEP_BYTES;
        if freed > 0 {
            reservation.bytes -= freed;
            self.budget.lock().ledger.shrink(reservation.id, freed);
        }
    }

    /// Returns the bytes that are reserved.
    pub fn reserved_bytes(&self) -> usize {
        self.reservation.as_ref().map_or(0, |reservation| reservation.bytes)
    }

    /// Waits until others take the room that is held.
    pub async fn ended(&self) {
        match &self.reservation {
            Some(reservation) => reservation.signal.notify.notified().await,
            None => future::pending().await,
        }
    }

    /// Releases all bytes; the guard can be used again.
    pub fn release(&mut self) {
        if let Some(reservation) = self.reservation.take() {
            let mut state = self.budget.lock();
            state.ledger.release(reservation.id);
            state.signals.remove(&reservation.id);
        }
    }

    /// Returns the bytes with the guard, which releases its reservation with the last reference to them. They can't be
    /// taken by others any more.
    pub fn into_bytes<C>(self, content: C) -> Bytes
    where
        C: AsRef<[u8]> + Into<Bytes> + Send + 'static,
    {
        let Some(reservation) = &self.reservation else {
            return content.into();
        };
        self.budget.lock().ledger.settle(reservation.id);
        Bytes::from_owner(GuardedBytes { content, _guard: self })
    }

    fn is_ended(&self) -> bool {
        let signal = self.reservation.as_ref().map(|reservation| &reservation.signal);
        signal.is_some_and(|signal| signal.is_ended.load(Ordering::Relaxed))
    }
}

impl Drop for BufferGuard {
    fn drop(&mut self) {
        self.release();
    }
}

struct GuardedBytes<C> {
    content: C,
    _guard: BufferGuard,
}

impl<C: AsRef<[u8]>> AsRef<[u8]> for GuardedBytes<C> {
    fn as_ref(&self) -> &[u8] {
        self.content.as_ref()
    }
}
