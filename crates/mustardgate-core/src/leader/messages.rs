//! Input events and output actions of a domain leader.

use snafu::Snafu;

use super::settings::DomainConfig;
use crate::{
    ids::{BackendId, FencingNumber, Offset, OrderId},
    ledger::LedgerViolation,
    log::LogRecord,
    placement::PlannedMove,
    ports::{AppendError, EngineOrder, EngineReport, LogEntry, OrderError},
};

/// Input event of a domain leader.
#[derive(Clone, Debug, PartialEq)]
pub enum LeaderEvent {
    /// Reading of the log starts at this offset: initially, and again after records were trimmed before they were read.
    LogStarted(Offset),
    /// The next entries of the log in offset order, possibly none; the log is available.
    LogRead(Vec<LogEntry>),
    /// A read or an append failed because the log is unavailable.
    LogUnavailable,
    /// An append completed.
    AppendAnswered {
        /// Number of the append.
        append: u64,
        /// Result of the append.
        outcome: Result<Offset, AppendError>,
    },
    /// The configuration of the failure domain, the VM list or the demand may have changed.
    DomainChanged(DomainConfig),
    /// Whether this node, in its own view of the membership, is the one that takes over while the log is unavailable.
    SuccessorChanged(bool),
    /// A raise of an engine's fencing number completed.
    RaiseAnswered {
        /// Runner that was called.
        backend: BackendId,
        /// Number to raise the engine to.
        fencing: FencingNumber,
        /// Result of the raise.
        outcome: Result<EngineReport, OrderError>,
    },
    /// A read of an engine's report completed.
    ReportAnswered {
        /// Runner that was called.
        backend: BackendId,
        /// Number of the read.
        read: u64,
        /// Result of the read.
        outcome: Result<EngineReport, OrderError>,
    },
    /// A call that sent an order completed.
    OrderAnswered {
        /// Runner that was called.
        backend: BackendId,
        /// The order.
        order: OrderId,
        /// Result of the call.
        outcome: Result<(), OrderError>,
    },
    /// The placement policy proposes moves, the most valuable first.
    MovesPlanned(Vec<PlannedMove>),
    /// The node is about to stop: the lease is released and no new move is started.
    Draining,
    /// Time has passed.
    Tick,
}

/// Action that a domain leader requests.
#[derive(Clone, Debug, PartialEq)]
pub enum LeaderAction {
    /// Append a record, and report the result under the same number.
    Append {
        /// Number of the append.
        append: u64,
        /// The record.
        record: Box<LogRecord>,
    },
    /// Raise the fencing number of an engine.
    RaiseFencing {
        /// Runner whose engine is raised.
        backend: BackendId,
        /// Number to raise it to.
        fencing: FencingNumber,
    },
    /// Read the report of an engine.
    ReadReport {
        /// Runner whose report is read.
        backend: BackendId,
        /// Number of the read.
        read: u64,
    },
    /// Send an order.
    SendOrder {
        /// Runner that receives the order.
        backend: BackendId,
        /// The order.
        order: EngineOrder,
    },
    /// Report that a planned move was not started.
    RefuseMove {
        /// The move.
        planned: PlannedMove,
        /// Why not.
        refusal: MoveRefusal,
    },
    /// Count and log that the open orders and reported weights of a runner exceed its memory; nothing is loaded there
    /// until they fit.
    ///
    /// This also happens to a leader that does not know yet that it was replaced, when its successor uses the memory.
    ReportViolation {
        /// Runner concerned.
        backend: BackendId,
        /// How the memory is exceeded.
        violation: LedgerViolation,
    },
}

/// Why a planned move was not started.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum MoveRefusal {
    /// This node does not lead, or is draining.
    #[snafu(display("this node does not lead the failure domain"))]
    NotLeading,
    /// The runner is not declared, its state has not been read in this tenure, or its last report is too old.
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
    /// The move needs the log, which is unavailable.
    #[snafu(display("the log is unavailable"))]
    LogUnavailable,
    /// The domain's share of the weight store's rate or concurrency, or its limit on adapter loads, is used up.
    #[snafu(display("the domain's share of the weight store is used up"))]
    StoreBusy,
    /// No other replica of a declared artifact is known to be ready.
    #[snafu(display("no other replica is known to be ready"))]
    LastReplica,
    /// The memory ledger refused the order.
    #[snafu(display("the memory ledger refused the order: {violation}"))]
    Ledger {
        /// Why.
        violation: LedgerViolation,
    },
}
