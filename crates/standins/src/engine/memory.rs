//! Memory, orders, fencing numbers and reports of an engine, as a plain value.

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

/// Settled orders that a report lists at most.
const SETTLED_LIMIT: usize = 16;

/// What kind of engine it is.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Whether it refuses orders under an old fencing number.
    pub fencing: FencingSupport,
    /// Memory of each accelerator.
    pub accelerators: Vec<MemoryMib>,
    /// Time that a load takes.
    pub load_time: Duration,
    /// Time that an unload takes.
    pub unload_time: Duration,
}

/// More memory taken than an accelerator has. The engine obeys such an order, so that a test can see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryOvercommit {
    /// Accelerator concerned.
    pub accelerator: AcceleratorIndex,
    /// Memory taken.
    pub taken_mib: MemoryMib,
    /// Memory there is.
    pub capacity_mib: MemoryMib,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum WeightState {
    Loading { until: Instant, order: OrderId },
    Ready,
    Unloading { until: Instant, order: OrderId },
}

#[derive(Clone, Debug)]
struct HeldWeights {
    memory_mib: MemoryMib,
    state: WeightState,
}

/// The state of one engine.
#[derive(Clone, Debug)]
pub struct EngineState {
    settings: EngineSettings,
    fencing: FencingNumber,
    held: BTreeMap<(AcceleratorIndex, Artifact), HeldWeights>,
    seen: BTreeSet<OrderId>,
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
            held: BTreeMap::new(),
            seen: BTreeSet::new(),
            settled: VecDeque::new(),
            sequence: 0,
            overcommit: None,
        }
    }

    /// Numbers reports from `sequence` on, above those that the process gave before a restart.
    #[must_use]
    pub fn number_reports_after(mut self, sequence: u64) -> Self {
        self.sequence = sequence;
        self
    }

    /// Raises the fencing number and reports.
    ///
    /// # Errors
    /// [`OrderError::Fenced`] when the engine refuses old numbers and has seen one that is not smaller.
    pub fn raise_fencing(&mut self, now: Instant, fencing: FencingNumber) -> Result<EngineReport, OrderError> {
        if fencing <= self.fencing && self.refuses_old() {
            return Err(OrderError::Fenced { newest: self.fencing });
        }
        self.fencing = self.fencing.max(fencing);
        Ok(self.report(now))
    }

    /// Takes an order; one seen before only makes its outcome appear in the reports again.
    ///
    /// # Errors
    /// [`OrderError`] when the order is refused.
    pub fn order(&mut self, now: Instant, order: &EngineOrder) -> Result<(), OrderError> {
        self.order_taking(now, order, self.settings.load_time)
    }

    /// Takes an order like [`EngineState::order`], with a time of its own for the load that it may begin.
    ///
    /// # Errors
    /// [`OrderError`] when the order is refused.
    pub fn order_taking(&mut self, now: Instant, order: &EngineOrder, load_time: Duration) -> Result<(), OrderError> {
        self.advance(now);
        if order.fencing < self.fencing && self.refuses_old() {
            return Err(OrderError::Fenced { newest: self.fencing });
        }
        self.fencing = self.fencing.max(order.fencing);
        if !self.seen.insert(order.order.clone()) {
            if !self.is_under_way(&order.order) {
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

    /// Puts weights into memory without an order, as an engine that starts with weights does.
    pub fn preload(&mut self, accelerator: AcceleratorIndex, artifact: Artifact, memory_mib: MemoryMib) {
        let held = HeldWeights {
            memory_mib,
            state: WeightState::Ready,
        };
        self.held.insert((accelerator, artifact), held);
    }

    /// Reports what is in memory and which orders settled.
    pub fn report(&mut self, now: Instant) -> EngineReport {
        self.advance(now);
        self.sequence += 1;
        let resident =
            |((accelerator, artifact), held): (&(AcceleratorIndex, Artifact), &HeldWeights)| ResidentArtifact {
                accelerator: *accelerator,
                artifact: artifact.clone(),
                memory_mib: held.memory_mib,
                is_ready: held.state == WeightState::Ready,
            };
        EngineReport {
            fencing: self.fencing,
            sequence: self.sequence,
            resident: self.held.iter().map(resident).collect(),
            settled: self.settled.iter().cloned().collect(),
            ..EngineReport::default()
        }
    }

    /// Finishes the loads and unloads whose time has come.
    pub fn advance(&mut self, now: Instant) {
        let mut finished = Vec::new();
        for (key, held) in &mut self.held {
            match &held.state {
                WeightState::Loading { until, order } if now >= *until => {
                    finished.push((None, order.clone()));
                    held.state = WeightState::Ready;
                }
                WeightState::Unloading { until, order } if now >= *until => {
                    finished.push((Some(key.clone()), order.clone()));
                }
                _ => {}
            }
        }
        for (gone, order) in finished {
            if let Some(key) = gone {
                self.held.remove(&key);
            }
            self.settle(order);
        }
    }

    /// Restarts the engine: memory and orders under way are gone; its number, report numbers and settled orders stay.
    pub fn restart(&mut self, now: Instant) {
        self.advance(now);
        for (_, held) in std::mem::take(&mut self.held) {
            if let WeightState::Loading { order, .. } | WeightState::Unloading { order, .. } = held.state {
                self.seen.remove(&order);
            }
        }
    }

    /// Returns the weights that answer requests.
    pub fn ready(&self) -> impl Iterator<Item = &Artifact> {
        self.ready_places().map(|(_, artifact)| artifact)
    }

    /// Returns the weights that answer requests, each with its accelerator.
    pub fn ready_places(&self) -> impl Iterator<Item = (AcceleratorIndex, &Artifact)> {
        let ready = self.held.iter().filter(|(_, held)| held.state == WeightState::Ready);
        ready.map(|((accelerator, artifact), _)| (*accelerator, artifact))
    }

    /// Returns the largest fencing number seen.
    pub fn fencing(&self) -> FencingNumber {
        self.fencing
    }

    /// Returns the first overcommitment of memory that ever occurred.
    pub fn overcommit(&self) -> Option<MemoryOvercommit> {
        self.overcommit
    }

    fn refuses_old(&self) -> bool {
        self.settings.fencing == FencingSupport::Refuses
    }

    fn begin_load(&mut self, order: &EngineOrder, artifact: &Artifact, memory_mib: MemoryMib, until: Instant) -> bool {
        let key = (order.accelerator, artifact.clone());
        if self.held.contains_key(&key) {
            return false;
        }
        let state = WeightState::Loading {
            until,
            order: order.order.clone(),
        };
        self.held.insert(key, HeldWeights { memory_mib, state });
        self.note_overcommit(order.accelerator);
        true
    }

    fn begin_unload(&mut self, now: Instant, order: &EngineOrder, artifact: &Artifact) -> bool {
        let Some(held) = self.held.get_mut(&(order.accelerator, artifact.clone())) else {
            return false;
        };
        if held.state != WeightState::Ready {
            return false;
        }
        held.state = WeightState::Unloading {
            until: now + self.settings.unload_time,
            order: order.order.clone(),
        };
        true
    }

    fn is_under_way(&self, order: &OrderId) -> bool {
        self.held.values().any(|held| match &held.state {
            WeightState::Loading { order: other, .. } | WeightState::Unloading { order: other, .. } => other == order,
            WeightState::Ready => false,
        })
    }

    fn settle(&mut self, order: OrderId) {
        self.settled.retain(|other| *other != order);
        self.settled.push_back(order);
        if self.settled.len() > SETTLED_LIMIT {
            self.settled.pop_front();
        }
    }

    fn note_overcommit(&mut self, accelerator: AcceleratorIndex) {
        let here = self.held.iter().filter(|((index, _), _)| *index == accelerator);
        let taken_mib = here.map(|(_, held)| held.memory_mib).sum();
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
