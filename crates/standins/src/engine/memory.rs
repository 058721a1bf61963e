//! Memory, orders, fencing number and reports of an engine, as a plain value.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::{Duration, Instant},
};

use mustardgate_core::{
    ids::{AcceleratorIndex, FencingNumber, MemoryMib, OrderId},
    log::{Artifact, OrderAction},
    ports::{EngineOrder, EngineReport, OrderError, ResidentArtifact},
    resources::FencingSupport,
};

/// Largest number of settled orders in a report.
const MAX_SETTLED_ORDERS: usize = 16;

/// Behaviour of an engine.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Whether the engine refuses orders that carry an old fencing number.
    pub fencing: FencingSupport,
    /// Memory of each accelerator.
    pub accelerators: Vec<MemoryMib>,
    /// Time that a load takes.
    pub load_time: Duration,
    /// Time that an unload takes.
    pub unload_time: Duration,
}

/// Weights that take more memory than their accelerator has. The engine executes the order that leads to this, so that
/// a test can detect the overcommitment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryOvercommit {
    /// Accelerator that is overcommitted.
    pub accelerator: AcceleratorIndex,
    /// Memory that its weights take.
    pub taken_mib: MemoryMib,
    /// Memory that it has.
    pub capacity_mib: MemoryMib,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum WeightState {
    Loading { until: Instant, order: OrderId },
    Ready,
    Unloading { until: Instant, order: OrderId },
}

#[derive(Clone, Debug)]
struct ResidentWeights {
    memory_mib: MemoryMib,
    state: WeightState,
}

/// The state of one engine.
#[derive(Clone, Debug)]
pub struct EngineState {
    settings: EngineSettings,
    fencing: FencingNumber,
    resident: BTreeMap<(AcceleratorIndex, Artifact), ResidentWeights>,
    received: BTreeSet<OrderId>,
    settled: VecDeque<OrderId>,
    sequence: u64,
    overcommit: Option<MemoryOvercommit>,
}

impl EngineState {
    /// Creates an engine with empty memory.
    pub fn new(settings: EngineSettings) -> Self {
        Self {
            settings,
            fencing: FencingNumber::default(),
            resident: BTreeMap::new(),
            received: BTreeSet::new(),
            settled: VecDeque::new(),
            sequence: 0,
            overcommit: None,
        }
    }

    /// Numbers the reports from `sequence + 1`, so that they follow those sent before a restart of the process.
    #[must_use]
    pub fn with_report_sequence(mut self, sequence: u64) -> Self {
        self.sequence = sequence;
        self
    }

    /// Raises the fencing number and returns a report.
    ///
    /// # Errors
    /// [`OrderError::Fenced`] when the engine refuses old fencing numbers and has already seen an equal or larger one.
    pub fn raise_fencing(&mut self, now: Instant, fencing: FencingNumber) -> Result<EngineReport, OrderError> {
        if fencing <= self.fencing && self.refuses_stale_orders() {
            return Err(OrderError::Fenced { newest: self.fencing });
        }
        self.fencing = self.fencing.max(fencing);
        Ok(self.report(now))
    }

    /// Accepts an order. One that was received before is not executed again; if it has settled, reports list it again
    /// as the newest.
    ///
    /// # Errors
    /// [`OrderError`] when the order is refused.
    pub fn accept_order(&mut self, now: Instant, order: &EngineOrder) -> Result<(), OrderError> {
        self.accept_order_with_load_time(now, order, self.settings.load_time)
    }

    /// Accepts an order like [`EngineState::accept_order`], but uses `load_time` for the load that it may begin.
    ///
    /// # Errors
    /// [`OrderError`] when the order is refused.
    pub fn accept_order_with_load_time(
        &mut self,
        now: Instant,
        order: &EngineOrder,
        load_time: Duration,
    ) -> Result<(), OrderError> {
        self.advance(now);
        if order.fencing < self.fencing && self.refuses_stale_orders() {
            return Err(OrderError::Fenced { newest: self.fencing });
        }
        self.fencing = self.fencing.max(order.fencing);
        if !self.received.insert(order.order.clone()) {
            if !self.is_in_progress(&order.order) {
                self.settle(order.order.clone());
            }
            return Ok(());
        }
        let has_begun = match &order.action {
            OrderAction::Load { artifact, memory_mib } => {
                self.begin_load(order, artifact, *memory_mib, now + load_time)
            }
            OrderAction::Unload { artifact } => self.begin_unload(now, order, artifact),
        };
        if has_begun {
            return Ok(());
        }
        self.settle(order.order.clone());
        Err(OrderError::Refused)
    }

    /// Places weights in memory without an order, like an engine that starts with weights loaded.
    pub fn preload(&mut self, accelerator: AcceleratorIndex, artifact: Artifact, memory_mib: MemoryMib) {
        let weights = ResidentWeights {
            memory_mib,
            state: WeightState::Ready,
        };
        self.resident.insert((accelerator, artifact), weights);
    }

    /// Returns a report of the resident weights and the settled orders.
    pub fn report(&mut self, now: Instant) -> EngineReport {
        self.advance(now);
        self.sequence += 1;
        let resident =
            |((accelerator, artifact), weights): (&(AcceleratorIndex, Artifact), &ResidentWeights)| ResidentArtifact {
                accelerator: *accelerator,
                artifact: artifact.clone(),
                memory_mib: weights.memory_mib,
                is_ready: weights.state == WeightState::Ready,
            };
        EngineReport {
            fencing: self.fencing,
            sequence: self.sequence,
            resident: self.resident.iter().map(resident).collect(),
            settled: self.settled.iter().cloned().collect(),
            ..EngineReport::default()
        }
    }

    /// Completes the loads and unloads that are due.
    pub fn advance(&mut self, now: Instant) {
        let mut finished = Vec::new();
        for (key, weights) in &mut self.resident {
            match &weights.state {
                WeightState::Loading { until, order } if now >= *until => {
                    finished.push((None, order.clone()));
                    weights.state = WeightState::Ready;
                }
                WeightState::Unloading { until, order } if now >= *until => {
                    finished.push((Some(key.clone()), order.clone()));
                }
                _ => {}
            }
        }
        for (unloaded, order) in finished {
            if let Some(key) = unloaded {
                self.resident.remove(&key);
            }
            self.settle(order);
        }
    }

    /// Restarts the engine: its memory and the orders in progress are lost, and such an order is executed if it is
    /// received again; its fencing number, report sequence and settled orders are kept.
    pub fn restart(&mut self, now: Instant) {
        self.advance(now);
        for (_, weights) in std::mem::take(&mut self.resident) {
            if let WeightState::Loading { order, .. } | WeightState::Unloading { order, .. } = weights.state {
                self.received.remove(&order);
            }
        }
    }

    /// Returns the artifacts that can serve requests.
    pub fn ready_artifacts(&self) -> impl Iterator<Item = &Artifact> {
        self.ready_placements().map(|(_, artifact)| artifact)
    }

    /// Returns the artifacts that can serve requests, each with its accelerator.
    pub fn ready_placements(&self) -> impl Iterator<Item = (AcceleratorIndex, &Artifact)> {
        let ready = self
            .resident
            .iter()
            .filter(|(_, weights)| weights.state == WeightState::Ready);
        ready.map(|((accelerator, artifact), _)| (*accelerator, artifact))
    }

    /// Returns the largest fencing number seen.
    pub fn fencing(&self) -> FencingNumber {
        self.fencing
    }

    /// Returns the first overcommitment of memory, if any occurred.
    pub fn overcommit(&self) -> Option<MemoryOvercommit> {
        self.overcommit
    }

    fn refuses_stale_orders(&self) -> bool {
        self.settings.fencing == FencingSupport::Refuses
    }

    fn begin_load(&mut self, order: &EngineOrder, artifact: &Artifact, memory_mib: MemoryMib, until: Instant) -> bool {
        let key = (order.accelerator, artifact.clone());
        if self.resident.contains_key(&key) {
            return false;
        }
        let state = WeightState::Loading {
            until,
            order: order.order.clone(),
        };
        self.resident.insert(key, ResidentWeights { memory_mib, state });
        self.note_overcommit(order.accelerator);
        true
    }

    fn begin_unload(&mut self, now: Instant, order: &EngineOrder, artifact: &Artifact) -> bool {
        let Some(weights) = self.resident.get_mut(&(order.accelerator, artifact.clone())) else {
            return false;
        };
        if weights.state != WeightState::Ready {
            return false;
        }
        weights.state = WeightState::Unloading {
            until: now + self.settings.unload_time,
            order: order.order.clone(),
        };
        true
    }

    fn is_in_progress(&self, order: &OrderId) -> bool {
        self.resident.values().any(|weights| match &weights.state {
            WeightState::Loading { order: other, .. } | WeightState::Unloading { order: other, .. } => other == order,
            WeightState::Ready => false,
        })
    }

    fn settle(&mut self, order: OrderId) {
        self.settled.retain(|other| *other != order);
        self.settled.push_back(order);
        if self.settled.len() > MAX_SETTLED_ORDERS {
            self.settled.pop_front();
        }
    }

    fn note_overcommit(&mut self, accelerator: AcceleratorIndex) {
        let resident = self.resident.iter().filter(|((index, _), _)| *index == accelerator);
        let taken_mib = resident.map(|(_, weights)| weights.memory_mib).sum();
        let capacity_mib = self
            .settings
            .accelerators
            .get(usize::from(accelerator))
            .copied()
            .unwrap_or_default();
        if taken_mib > capacity_mib && self.overcommit.is_none() {
            self.overcommit = Some(MemoryOvercommit {
                accelerator,
                taken_mib,
                capacity_mib,
            });
        }
    }
}
