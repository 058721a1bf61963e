//! Memory of an engine: its state with separate load times for models and adapters, and counts of orders.

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

/// Size and timing of the memory.
#[derive(Clone, Debug)]
pub struct MemoryOptions {
    /// Memory of each accelerator.
    pub accelerators: Vec<MemoryMib>,
    /// Whether orders with an old fencing number are refused.
    pub fencing: FencingSupport,
    /// Time to load a model.
    pub model_load: Duration,
    /// Time to load an adapter.
    pub adapter_load: Duration,
    /// Time to unload anything.
    pub unload: Duration,
    /// Model loads per second that the weight store allows this engine.
    pub store_loads_per_second: f64,
}

/// Counts of orders by what became of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OrderCounts {
    /// Loads begun.
    pub loads: u64,
    /// Unloads begun.
    pub unloads: u64,
    /// Orders refused because of their fencing number.
    pub fenced: u64,
    /// Orders executed although their fencing number was old.
    pub stale_obeyed: u64,
}

/// Memory of an engine, with the weights that it holds.
#[derive(Debug)]
pub struct EngineMemory {
    options: MemoryOptions,
    state: EngineState,
    counted: BTreeSet<OrderId>,
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
        .with_report_sequence(initial_sequence());
        Self {
            options,
            state,
            counted: BTreeSet::new(),
            store_free_at: None,
            counts: OrderCounts::default(),
        }
    }

    /// Places weights on the first accelerator with room, without an order; returns whether there was one.
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
    /// [`OrderError::Fenced`] when the engine refuses old fencing numbers and has already seen an equal or larger one.
    pub fn raise_fencing(&mut self, now: Instant, fencing: FencingNumber) -> Result<(), OrderError> {
        self.state.raise_fencing(now, fencing).map(drop)
    }

    /// Accepts an order; success does not mean that it has finished.
    ///
    /// # Errors
    /// [`OrderError`] when the order was refused and not executed.
    pub fn accept_order(&mut self, now: Instant, order: &EngineOrder) -> Result<(), OrderError> {
        let is_stale = order.fencing < self.state.fencing();
        let load_time = match &order.action {
            OrderAction::Load { artifact, .. } => self.load_time(now, artifact),
            OrderAction::Unload { .. } => Duration::ZERO,
        };
        let outcome = self.state.accept_order_with_load_time(now, order, load_time);
        match outcome {
            Ok(()) if self.counted.insert(order.order.clone()) => self.count_order(now, order, is_stale),
            Err(OrderError::Fenced { .. }) => self.counts.fenced += 1,
            Ok(()) | Err(OrderError::Refused | OrderError::Unknown) => {}
        }
        outcome
    }

    /// Completes the loads and unloads that are due.
    pub fn advance(&mut self, now: Instant) {
        self.state.advance(now);
    }

    /// Returns whether an artifact can serve requests; an adapter needs its model on the same accelerator.
    pub fn is_ready(&self, artifact: &Artifact) -> bool {
        let has_model = |index: AcceleratorIndex| {
            self.state.ready_placements().any(|(accelerator, ready)| {
                accelerator == index && ready.adapter.is_none() && ready.model == artifact.model
            })
        };
        self.state
            .ready_placements()
            .any(|(accelerator, ready)| ready == artifact && (artifact.adapter.is_none() || has_model(accelerator)))
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

    /// Counts an order that was accepted for the first time.
    fn count_order(&mut self, now: Instant, order: &EngineOrder, is_stale: bool) {
        self.counts.stale_obeyed += u64::from(is_stale);
        match &order.action {
            OrderAction::Load { artifact, .. } => {
                self.counts.loads += 1;
                self.reserve_store(now, artifact);
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

    /// Reserves the weight store for a model load; adapter loads do not count against its rate.
    fn reserve_store(&mut self, now: Instant, artifact: &Artifact) {
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

/// Returns a sequence number above those of all reports before a restart, given less than one report a millisecond.
fn initial_sequence() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since_epoch.as_millis() as u64
}
