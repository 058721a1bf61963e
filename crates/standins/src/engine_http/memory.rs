//! Weights in an engine's memory, the orders that change them, and the fencing number.

use std::{
    collections::{BTreeSet, VecDeque},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use mustardgate_core::{
    ids::{AcceleratorIndex, FencingNumber, MemoryMib, OrderId},
    log::{Artifact, OrderAction},
    ports::{EngineOrder, EngineReport, ResidentArtifact},
    resources::FencingSupport,
};

/// Settled orders named in a report.
const MAX_SETTLED: usize = 1_024;

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

/// Why an order was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderRefusal {
    /// A larger fencing number has been seen.
    Fenced(FencingNumber),
    /// The accelerator does not exist, its memory does not suffice, or the weights are not there.
    Impossible,
}

/// Counts of what happened to orders.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OrderCounts {
    /// Loads finished.
    pub loads: u64,
    /// Unloads finished.
    pub unloads: u64,
    /// Loads refused for lack of memory.
    pub overcommitted: u64,
    /// Orders refused by fencing number.
    pub fenced: u64,
    /// Orders obeyed under an old fencing number.
    pub stale_obeyed: u64,
}

/// Weights in memory.
#[derive(Debug)]
pub struct EngineMemory {
    options: MemoryOptions,
    fencing: FencingNumber,
    weights: Vec<HeldWeights>,
    seen: BTreeSet<OrderId>,
    settled: VecDeque<OrderId>,
    /// Number of the last report.
    sequence: u64,
    store_free_at: Option<Instant>,
    counts: OrderCounts,
}

#[derive(Debug)]
struct HeldWeights {
    accelerator: AcceleratorIndex,
    artifact: Artifact,
    memory_mib: MemoryMib,
    phase: WeightPhase,
}

#[derive(Debug)]
enum WeightPhase {
    Loading { ready_at: Instant, order: OrderId },
    Ready,
    Unloading { gone_at: Instant, order: OrderId },
}

impl EngineMemory {
    /// Creates an empty memory.
    pub fn new(options: MemoryOptions) -> Self {
        Self {
            options,
            fencing: FencingNumber::default(),
            weights: Vec::new(),
            seen: BTreeSet::new(),
            settled: VecDeque::new(),
            sequence: first_sequence(),
            store_free_at: None,
            counts: OrderCounts::default(),
        }
    }

    /// Puts weights into memory at once, on the first accelerator that has room; returns whether there was one.
    pub fn preload(&mut self, artifact: Artifact, memory_mib: MemoryMib) -> bool {
        let indices = 0..self.options.accelerators.len() as AcceleratorIndex;
        let Some(accelerator) = indices.into_iter().find(|index| self.free_mib(*index) >= memory_mib) else {
            return false;
        };
        let phase = WeightPhase::Ready;
        self.weights.push(HeldWeights {
            accelerator,
            artifact,
            memory_mib,
            phase,
        });
        true
    }

    /// Raises the fencing number.
    ///
    /// # Errors
    /// The largest number seen, when that is not smaller and the engine refuses old ones.
    pub fn raise(&mut self, fencing: FencingNumber) -> Result<(), FencingNumber> {
        if self.options.fencing == FencingSupport::Refuses && fencing <= self.fencing {
            return Err(self.fencing);
        }
        self.fencing = self.fencing.max(fencing);
        Ok(())
    }

    /// Takes an order; success means taken, not finished.
    ///
    /// # Errors
    /// [`OrderRefusal`] when nothing was done.
    pub fn take_order(&mut self, now: Instant, order: &EngineOrder) -> Result<(), OrderRefusal> {
        self.advance(now);
        if order.fencing < self.fencing {
            if self.options.fencing == FencingSupport::Refuses {
                self.counts.fenced += 1;
                return Err(OrderRefusal::Fenced(self.fencing));
            }
            self.counts.stale_obeyed += 1;
        }
        self.fencing = self.fencing.max(order.fencing);
        if !self.seen.insert(order.order.clone()) {
            self.settle_again(&order.order);
            return Ok(());
        }
        match order.action.clone() {
            OrderAction::Load { artifact, memory_mib } => self.load(now, order, artifact, memory_mib),
            OrderAction::Unload { artifact } => self.unload(now, order, &artifact),
        }
    }

    /// Finishes the loads and unloads that are due.
    pub fn advance(&mut self, now: Instant) {
        let mut settled = Vec::new();
        let counts = &mut self.counts;
        self.weights.retain_mut(|held| match &held.phase {
            WeightPhase::Loading { ready_at, order } if *ready_at <= now => {
                settled.push(order.clone());
                counts.loads += 1;
                held.phase = WeightPhase::Ready;
                true
            }
            WeightPhase::Unloading { gone_at, order } if *gone_at <= now => {
                settled.push(order.clone());
                counts.unloads += 1;
                false
            }
            _ => true,
        });
        for order in settled {
            self.settle(order);
        }
    }

    /// Returns whether weights can answer; an adapter needs its model on the same accelerator.
    pub fn is_ready(&self, artifact: &Artifact) -> bool {
        let is_base = |accelerator| {
            self.ready().any(|held| {
                held.accelerator == accelerator
                    && held.artifact.adapter.is_none()
                    && held.artifact.model == artifact.model
            })
        };
        self.ready()
            .any(|held| held.artifact == *artifact && (artifact.adapter.is_none() || is_base(held.accelerator)))
    }

    /// Returns the report without its load figures.
    pub fn report(&mut self, now: Instant) -> EngineReport {
        self.advance(now);
        self.sequence += 1;
        let resident = self.weights.iter().map(|held| ResidentArtifact {
            accelerator: held.accelerator,
            artifact: held.artifact.clone(),
            memory_mib: held.memory_mib,
            is_ready: matches!(held.phase, WeightPhase::Ready),
        });
        EngineReport {
            fencing: self.fencing,
            sequence: self.sequence,
            resident: resident.collect(),
            settled: self.settled.iter().cloned().collect(),
            ..EngineReport::default()
        }
    }

    /// Returns the counts.
    pub fn counts(&self) -> OrderCounts {
        self.counts
    }

    fn ready(&self) -> impl Iterator<Item = &HeldWeights> {
        self.weights
            .iter()
            .filter(|held| matches!(held.phase, WeightPhase::Ready))
    }

    fn load(
        &mut self,
        now: Instant,
        order: &EngineOrder,
        artifact: Artifact,
        memory_mib: MemoryMib,
    ) -> Result<(), OrderRefusal> {
        let is_held = |held: &HeldWeights| held.accelerator == order.accelerator && held.artifact == artifact;
        if self.weights.iter().any(is_held) {
            self.settle(order.order.clone());
            return Ok(());
        }
        if memory_mib > self.free_mib(order.accelerator) {
            self.counts.overcommitted += 1;
            self.settle(order.order.clone());
            return Err(OrderRefusal::Impossible);
        }
        let ready_at = self.load_end(now, &artifact);
        self.weights.push(HeldWeights {
            accelerator: order.accelerator,
            artifact,
            memory_mib,
            phase: WeightPhase::Loading {
                ready_at,
                order: order.order.clone(),
            },
        });
        Ok(())
    }

    fn unload(&mut self, now: Instant, order: &EngineOrder, artifact: &Artifact) -> Result<(), OrderRefusal> {
        let gone_at = now + self.options.unload;
        let held = self
            .weights
            .iter_mut()
            .find(|held| held.accelerator == order.accelerator && held.artifact == *artifact);
        let Some(held) = held else {
            self.settle(order.order.clone());
            return Err(OrderRefusal::Impossible);
        };
        let phase = WeightPhase::Unloading {
            gone_at,
            order: order.order.clone(),
        };
        let previous = std::mem::replace(&mut held.phase, phase);
        // The order that this one overtakes is over, too.
        if let WeightPhase::Loading { order, .. } | WeightPhase::Unloading { order, .. } = previous {
            self.settle(order);
        }
        Ok(())
    }

    /// Returns when a load that begins now ends: models wait for the weight store, adapters do not.
    fn load_end(&mut self, now: Instant, artifact: &Artifact) -> Instant {
        if artifact.adapter.is_some() {
            return now + self.options.adapter_load;
        }
        let interval = Duration::from_secs_f64(1.0 / self.options.store_loads_per_second.max(0.001));
        let start = self.store_free_at.map_or(now, |free_at| free_at.max(now));
        self.store_free_at = Some(start + interval);
        start + self.options.model_load
    }

    fn free_mib(&self, accelerator: AcceleratorIndex) -> MemoryMib {
        let capacity = self
            .options
            .accelerators
            .get(usize::from(accelerator))
            .copied()
            .unwrap_or(0);
        let held = self.weights.iter().filter(|held| held.accelerator == accelerator);
        capacity.saturating_sub(held.map(|held| held.memory_mib).sum())
    }

    /// Lists an order received again among the newest settled ones, unless it is still under way.
    fn settle_again(&mut self, order: &OrderId) {
        let is_under_way = self.weights.iter().any(|held| match &held.phase {
            WeightPhase::Loading { order: other, .. } | WeightPhase::Unloading { order: other, .. } => other == order,
            WeightPhase::Ready => false,
        });
        if !is_under_way {
            self.settled.retain(|other| other != order);
            self.settle(order.clone());
        }
    }

    fn settle(&mut self, order: OrderId) {
        self.settled.push_back(order);
        if self.settled.len() > MAX_SETTLED {
            self.settled.pop_front();
        }
    }
}

/// Returns a number above those of all reports before a restart, given less than one report a millisecond.
fn first_sequence() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since_epoch.as_millis() as u64
}
