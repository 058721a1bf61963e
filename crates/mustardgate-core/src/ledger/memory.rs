//! Memory commitments of one accelerator.

use std::collections::BTreeMap;

use snafu::{Snafu, ensure};

use crate::{
    ids::{MemoryMib, OrderId},
    log::{Artifact, OrderAction},
    placement::{Holding, HoldingState},
    ports::ResidentArtifact,
};

/// How an order or a report conflicts with the ledger.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum LedgerViolation {
    /// More memory would be committed than the accelerator has.
    #[snafu(display("committed memory of {committed_mib} MiB exceeds the capacity of {capacity_mib} MiB"))]
    OverCapacity {
        /// Memory that would be committed.
        committed_mib: MemoryMib,
        /// Memory of the accelerator.
        capacity_mib: MemoryMib,
    },
    /// Another order for the same weights has not settled, and the two could take effect in either order.
    #[snafu(display("order {order} for the same weights has not settled"))]
    OrderOpen {
        /// The order that is open.
        order: OrderId,
    },
    /// The weights to load are already resident, or the weights to unload are not resident.
    #[snafu(display("the order would have no effect"))]
    NoEffect,
}

/// Memory of one accelerator by state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LedgerTotals {
    /// Memory that an open load may take.
    pub reserved_mib: MemoryMib,
    /// Memory of weights in place.
    pub resident_mib: MemoryMib,
    /// Memory of weights in place that an open unload may free, or that are not ready while no order for them is open.
    pub unloading_mib: MemoryMib,
}

impl LedgerTotals {
    /// Returns the memory that is committed in any state.
    pub fn committed_mib(&self) -> MemoryMib {
        self.reserved_mib + self.resident_mib + self.unloading_mib
    }
}

/// An order whose outcome the engine has not reported.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OpenOrder {
    /// Identifier of the order.
    pub order: OrderId,
    /// What it loads or unloads.
    pub action: OrderAction,
}

/// The weights and open orders that take the memory of one accelerator.
#[derive(Clone, Debug, Default)]
pub struct MemoryLedger {
    capacity_mib: MemoryMib,
    resident: BTreeMap<Artifact, ResidentArtifact>,
    open: BTreeMap<Artifact, Vec<OpenOrder>>,
}

impl OrderAction {
    /// Returns the weights that the order loads or unloads.
    pub fn artifact(&self) -> &Artifact {
        match self {
            Self::Load { artifact, .. } | Self::Unload { artifact } => artifact,
        }
    }
}

impl MemoryLedger {
    /// Creates the ledger of an accelerator whose memory is not known to be in use.
    pub fn new(capacity_mib: MemoryMib) -> Self {
        Self {
            capacity_mib,
            ..Self::default()
        }
    }

    /// Changes the capacity; commitments stay, and no load is accepted until they fit.
    pub fn set_capacity(&mut self, capacity_mib: MemoryMib) {
        self.capacity_mib = capacity_mib;
    }

    /// Commits memory to a new order.
    ///
    /// # Errors
    /// [`LedgerViolation`] when the order is refused; the ledger is then unchanged.
    pub fn propose(&mut self, order: OpenOrder) -> Result<(), LedgerViolation> {
        let artifact = order.action.artifact().clone();
        if let Some(other) = self.open.get(&artifact).and_then(|orders| orders.first()) {
            return OrderOpenSnafu {
                order: other.order.clone(),
            }
            .fail();
        }
        let is_load = matches!(order.action, OrderAction::Load { .. });
        ensure!(is_load != self.resident.contains_key(&artifact), NoEffectSnafu);
        self.open.entry(artifact.clone()).or_default().push(order);
        let outcome = if is_load { self.check() } else { Ok(()) };
        if outcome.is_err() {
            self.open.remove(&artifact);
        }
        outcome
    }

    /// Takes over an order that an earlier leader may have sent; its memory counts even if it does not fit.
    pub fn inherit(&mut self, order: OpenOrder) {
        let orders = self.open.entry(order.action.artifact().clone()).or_default();
        if orders.iter().all(|other| other.order != order.order) {
            orders.push(order);
        }
    }

    /// Applies the weights and the settled orders of one report, which the caller knows to be the newest.
    ///
    /// Both must come from the same report, so that `resident` shows the effect of every order in `settled`.
    ///
    /// # Errors
    /// [`LedgerViolation::OverCapacity`] when more memory is committed than there is; the report is applied anyway.
    pub fn apply_report(
        &mut self,
        resident: impl Iterator<Item = ResidentArtifact>,
        settled: &[OrderId],
    ) -> Result<(), LedgerViolation> {
        self.resident = resident.map(|held| (held.artifact.clone(), held)).collect();
        for orders in self.open.values_mut() {
            orders.retain(|order| !settled.contains(&order.order));
        }
        self.open.retain(|_, orders| !orders.is_empty());
        self.check()
    }

    /// Checks that the committed memory fits the capacity.
    ///
    /// # Errors
    /// [`LedgerViolation::OverCapacity`] with the figures.
    pub fn check(&self) -> Result<(), LedgerViolation> {
        let committed_mib = self.totals().committed_mib();
        ensure!(
            committed_mib <= self.capacity_mib,
            OverCapacitySnafu {
                committed_mib,
                capacity_mib: self.capacity_mib
            }
        );
        Ok(())
    }

    /// Returns the memory by state.
    pub fn totals(&self) -> LedgerTotals {
        let mut totals = LedgerTotals::default();
        for holding in self.holdings() {
            match holding.state {
                HoldingState::Reserved => totals.reserved_mib += holding.memory_mib,
                HoldingState::Resident => totals.resident_mib += holding.memory_mib,
                HoldingState::Unloading => totals.unloading_mib += holding.memory_mib,
            }
        }
        totals
    }

    /// Returns the orders that have not settled, sorted by weights.
    pub fn open_orders(&self) -> impl Iterator<Item = &OpenOrder> {
        self.open.values().flatten()
    }

    /// Returns whether the weights were ready in the newest report and no order for them is open.
    pub fn is_available(&self, artifact: &Artifact) -> bool {
        self.resident.get(artifact).is_some_and(|held| held.is_ready) && !self.open.contains_key(artifact)
    }

    /// Returns all weights that take memory or may take it, each once.
    pub fn holdings(&self) -> Vec<Holding> {
        let mut memory: BTreeMap<&Artifact, MemoryMib> = BTreeMap::new();
        for held in self.resident.values() {
            memory.insert(&held.artifact, held.memory_mib);
        }
        for order in self.open_orders() {
            if let OrderAction::Load { artifact, memory_mib } = &order.action {
                let taken = memory.entry(artifact).or_default();
                *taken = (*taken).max(*memory_mib);
            }
        }
        let holding = |(artifact, memory_mib): (&Artifact, MemoryMib)| Holding {
            artifact: artifact.clone(),
            memory_mib,
            state: self.state(artifact),
        };
        memory.into_iter().map(holding).collect()
    }

    fn state(&self, artifact: &Artifact) -> HoldingState {
        let orders = self.open.get(artifact).map_or(&[][..], Vec::as_slice);
        let is_unload = |order: &OpenOrder| matches!(order.action, OrderAction::Unload { .. });
        match self.resident.get(artifact) {
            Some(_) if orders.iter().any(is_unload) => HoldingState::Unloading,
            Some(held) if held.is_ready => HoldingState::Resident,
            Some(_) if orders.is_empty() => HoldingState::Unloading,
            None | Some(_) => HoldingState::Reserved,
        }
    }
}
