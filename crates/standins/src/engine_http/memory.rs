//! Weights in an engine's memory: the engine's state with times for models and adapters, and counts of orders.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use mustardgate_core::{
    ids::{AcceleratorIndex, FencingNumber, MemoryMib, OrderId},
    log::{Artifact, OrderAction},
    ports::{EngineOrder, EngineReport, OrderError},
    resources::FencingSupport,
};

use crate::engine::{EngineSettings, EngineState};

/// Behaviour of the memory.
#[derive(Clone, Debug)]
pub struct MemoryOptions {
    /// Memory of each accelerator.
    pub accelerators: Vec<MemoryMib>,
    /// Whether old fencing numbers are refused.
    pub fencing: FencingSupport,
    /// Time to load a model.
    pub model_load: Duration,
    /// Time to load an adapter.
    pub adapter_load: Duration,
    /// Time to unload anything.
    pub unload: Duration,
    /// Model loads a second that the weight store gives this engine.
    pub store_loads_per_second: f64,
}

/// Counts of what happened to orders.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OrderCounts {
    /// Loads begun.
    pub loads: u64,
    /// Unloads begun.
    pub unloads: u64,
    /// Orders refused by fencing number.
    pub fenced: u64,
    /// Orders obeyed under an old fencing number.
    pub stale_obeyed: u64,
}

/// Weights in memory.
#[derive(Debug)]
pub struct EngineMemory {
    options: MemoryOptions,
    state: EngineState,
    begun: BTreeSet<OrderId>,
    store_free_at: Option<Instant>,
    counts: OrderCounts,
}

impl EngineMemory {
    /// Creates an empty memory.
    pub fn new(options: MemoryOptions) -> Self {
        let state = EngineState::new(EngineSettings {
            fencing: options.fencing,
            accelerators: options.accelerators.clone(),
            load_time: options.model_load,
            unload_time: options.unload,
        })
        .with_report_sequence(sequence_at_start());
        Self {
            options,
            state,
            begun: BTreeSet::new(),
            store_free_at: None,
            counts: OrderCounts::default(),
        }
    }

    /// Puts weights into memory at once, on the first accelerator that has room; returns whether there was one.
    pub fn preload(&mut self, now: Instant, artifact: Artifact, memory_mib: MemoryMib) -> bool {
        let indices = 0..self.options.accelerators.len() as AcceleratorIndex;
        let Some(accelerator) = indices
            .into_iter()
            .find(|index| self.free_mib(now, *index) >= memory_mib)
        else {
            return false;
        };
        self.state.preload(accelerator, artifact, memory_mib);
        true
    }

    /// Raises the fencing number.
    ///
    /// # Errors
    /// [`OrderError::Fenced`] when a number that is not smaller was seen and the engine refuses old ones.
    pub fn raise(&mut self, now: Instant, fencing: FencingNumber) -> Result<(), OrderError> {
        self.state.raise_fencing(now, fencing).map(drop)
    }

    /// Takes an order; success means taken, not finished.
    ///
    /// # Errors
    /// [`OrderError`] when nothing was done.
    pub fn take_order(&mut self, now: Instant, order: &EngineOrder) -> Result<(), OrderError> {
        let is_stale = order.fencing < self.state.fencing();
        let load_time = match &order.action {
            OrderAction::Load { artifact, .. } => self.load_time(now, artifact),
            OrderAction::Unload { .. } => Duration::ZERO,
        };
        let taken = self.state.accept_order_with_load_time(now, order, load_time);
        match taken {
            Ok(()) if self.begun.insert(order.order.clone()) => self.count(now, order, is_stale),
            Err(OrderError::Fenced { .. }) => self.counts.fenced += 1,
            Ok(()) | Err(OrderError::Refused | OrderError::Unknown) => {}
        }
        taken
    }

    /// Finishes the loads and unloads that are due.
    pub fn advance(&mut self, now: Instant) {
        self.state.advance(now);
    }

    /// Returns whether weights can answer; an adapter needs its model on the same accelerator.
    pub fn is_ready(&self, artifact: &Artifact) -> bool {
        let has_base = |place: AcceleratorIndex| {
            self.state.ready_placements().any(|(accelerator, base)| {
                accelerator == place && base.adapter.is_none() && base.model == artifact.model
            })
        };
        self.state
            .ready_placements()
            .any(|(place, ready)| ready == artifact && (artifact.adapter.is_none() || has_base(place)))
    }

    /// Returns the report without its load figures.
    pub fn report(&mut self, now: Instant) -> EngineReport {
        self.state.report(now)
    }

    /// Returns whether an accelerator ever held more than its memory.
    pub fn has_overcommitted(&self) -> bool {
        self.state.overcommit().is_some()
    }

    /// Returns the counts.
    pub fn counts(&self) -> OrderCounts {
        self.counts
    }

    /// Counts an order that was taken for the first time.
    fn count(&mut self, now: Instant, order: &EngineOrder, is_stale: bool) {
        self.counts.stale_obeyed += u64::from(is_stale);
        match &order.action {
            OrderAction::Load { artifact, .. } => {
                self.counts.loads += 1;
                self.occupy_store(now, artifact);
            }
            OrderAction::Unload { .. } => self.counts.unloads += 1,
        }
    }

    /// Returns how long a load that begins now takes: models wait for the weight store, adapters do not.
    fn load_time(&self, now: Instant, artifact: &Artifact) -> Duration {
        if artifact.adapter.is_some() {
            return self.options.adapter_load;
        }
        let wait = self.store_free_at.map(|free_at| free_at.saturating_duration_since(now));
        wait.unwrap_or_default() + self.options.model_load
    }

    fn occupy_store(&mut self, now: Instant, artifact: &Artifact) {
        if artifact.adapter.is_none() {
            let interval = Duration::from_secs_f64(1.0 / self.options.store_loads_per_second.max(0.001));
            let start = self.store_free_at.map_or(now, |free_at| free_at.max(now));
            self.store_free_at = Some(start + interval);
        }
    }

    fn free_mib(&mut self, now: Instant, accelerator: AcceleratorIndex) -> MemoryMib {
        let capacity = self.options.accelerators.get(usize::from(accelerator)).copied();
        let report = self.state.report(now);
        let held = report.resident.iter().filter(|held| held.accelerator == accelerator);
        capacity
            .unwrap_or(0)
            .saturating_sub(held.map(|held| held.memory_mib).sum())
    }
}

/// Returns a number above those of all reports before a restart, given less than one report a millisecond.
fn sequence_at_start() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since_epoch.as_millis() as u64
}
