//! Events into a domain leader and actions out of it.

use snafu::Snafu;

use super::settings::DomainConfig;
use crate::{
    ids::{BackendId, FencingNumber, Offset, OrderId},
    ledger::LedgerViolation,
    log::LogRecord,
    placement::PlannedMove,
    ports::{AppendError, EngineOrder, EngineReport, LogEntry, OrderError},
};

/// What a domain leader learns.
#[derive(Clone, Debug, PartialEq)]
pub enum LeaderEvent {
    /// Following the log starts at this offset: at first, and again after records were trimmed unread.
    LogStarted(Offset),
    /// The next entries of the log in offset order, possibly none; the log is available.
    LogRead(Vec<LogEntry>),
    /// A read or an append failed because the log is away.
    LogUnavailable,
    /// An append was answered.
    AppendAnswered {
        /// Number of the append.
        append: u64,
        /// What the log answered.
        outcome: Result<Offset, AppendError>,
    },
    /// Declarations or the live list changed.
    DomainChanged(DomainConfig),
    /// Whether this node is, by its own view of the members, the one to succeed a leader without the log.
    SuccessorChanged(bool),
    /// A raise of the fencing number was answered.
    RaiseAnswered {
        /// Runner that answered.
        backend: BackendId,
        /// Number that was to be raised to.
        fencing: FencingNumber,
        /// What it answered.
        outcome: Result<EngineReport, OrderError>,
    },
    /// A read of a report was answered.
    ReportAnswered {
        /// Runner that answered.
        backend: BackendId,
        /// Number of the read.
        read: u64,
        /// What it answered.
        outcome: Result<EngineReport, OrderError>,
    },
    /// An order was answered.
    OrderAnswered {
        /// Runner that answered.
        backend: BackendId,
        /// The order.
        order: OrderId,
        /// What it answered.
        outcome: Result<(), OrderError>,
    },
    /// The placement policy proposes moves, the most valuable first.
    MovesPlanned(Vec<PlannedMove>),
    /// The node is about to stop: the lease is released and nothing new begins.
    Draining,
    /// Time has passed.
    Tick,
}

/// What a domain leader wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum LeaderAction {
    /// Append a record and answer with the same number.
    Append {
        /// Number of the append.
        append: u64,
        /// The record.
        record: Box<LogRecord>,
    },
    /// Raise the fencing number of an engine.
    RaiseFencing {
        /// Runner to raise it at.
        backend: BackendId,
        /// Number to raise it to.
        fencing: FencingNumber,
    },
    /// Read the report of an engine.
    ReadReport {
        /// Runner to read it from.
        backend: BackendId,
        /// Number of the read.
        read: u64,
    },
    /// Send an order.
    SendOrder {
        /// Runner that gets it.
        backend: BackendId,
        /// The order.
        order: EngineOrder,
    },
    /// Tell the placement policy that a move was not begun.
    RefuseMove {
        /// The move.
        planned: PlannedMove,
        /// Why not.
        refusal: MoveRefusal,
    },
    /// Count and log that open orders and a runner's report exceed its memory; nothing is loaded there until they fit.
    ///
    /// A leader that was replaced without noticing sees this too, when its successor used the memory.
    ReportViolation {
        /// Runner concerned.
        backend: BackendId,
        /// What is wrong.
        violation: LedgerViolation,
    },
}

/// Why a planned move was not begun.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum MoveRefusal {
    /// This node does not lead, or is draining.
    #[snafu(display("this node does not lead the failure domain"))]
    NotLeading,
    /// The runner is not known, its state has not been read under this leader, or its last report is old.
    #[snafu(display("the state of runner {backend} is not known"))]
    UnknownState {
        /// The runner.
        backend: BackendId,
    },
    /// The runner is leaving and takes no new weights.
    #[snafu(display("runner {backend} is leaving"))]
    RunnerLeaving {
        /// The runner.
        backend: BackendId,
    },
    /// The log is needed for this step and is away.
    #[snafu(display("the log is away"))]
    LogAway,
    /// The store's rate or concurrency, or the adapters' limit, is used up.
    #[snafu(display("the domain's share of the weight store is used up"))]
    StoreBusy,
    /// No other replica of a declared artifact is known to answer.
    #[snafu(display("no other replica is known to answer"))]
    LastReplica,
    /// The memory ledger refused the step.
    #[snafu(display("the ledger refused: {violation}"))]
    Ledger {
        /// Why.
        violation: LedgerViolation,
    },
}
