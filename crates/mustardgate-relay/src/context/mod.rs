//! Shared state of a relay node, gathered in one place so that tests can build it with fakes.

mod admission;
mod brittle;
mod budgets;
mod crashes;
mod demand;
mod keys;
mod limits;
mod link;
mod loads;
mod observations;
mod quotas;
mod records;
mod retry_loans;
mod routes;
mod stamp;
mod stop;
mod streams;
mod waiting;

use std::{
    sync::{Arc, atomic::AtomicUsize},
    time::{Duration, Instant},
};

use hyper::StatusCode;
use metrics::counter;
use mustardgate::{buffers::BufferBudget, drain::DrainController, events};
use mustardgate_core::{
    clock,
    ids::{BackendId, RequestId},
    ports::TopicLog,
    relay::{AdmissionGate, BrittleStatement, LimitStatement, ListedRunner, RetryAdvisor},
};
use slog::o;

pub use self::{
    admission::{AdmissionBook, WorkKey},
    brittle::{BrittleGuard, PlaceMap},
    budgets::ServiceBudgets,
    crashes::CrashGuard,
    demand::{AdapterUseGuard, DemandCounter, DemandDigest},
    keys::KeyWatch,
    limits::LimitGuard,
    link::{AwaitedAnswer, RunnerLink},
    loads::LoadExchange,
    observations::ObservationBuffer,
    quotas::QuotaGuard,
    records::RecordCache,
    retry_loans::RetryLoans,
    routes::{ActiveRoutes, ConfigReads, RouteHolder},
    stamp::ConfigStamp,
    stop::StopGuard,
    streams::{StreamGuard, StreamNotice},
    waiting::{AdmissionQueues, WaitingTurn},
};
use crate::{
    fleet::{RunnerCell, RunnerFleet},
    follow::ListRefresher,
    leader::SharedLeadership,
    link::HelperBook,
    peers::{ControlLoad, FeedLimiter, KnowledgeLimiter, PeerClient, PeerDirectory, SharedReads, StreamLogReader},
    ports::{AnswerKind, AnswerMetadata, CallDialect, RecordDecoder, RequestName, RunnerControl},
    request_log::{RefusalLog, RequestLog},
    settings::RelaySettings,
};

/// Implementations of the ports to the platform.
#[derive(Clone, Debug)]
pub struct PlatformPorts {
    /// Header fields of requests and answers.
    pub dialect: Arc<dyn CallDialect>,
    /// Decoder of the log's records.
    pub decoder: Arc<dyn RecordDecoder>,
    /// The log. In a node's context, neighbours forward the calls while the node itself cannot reach the log.
    pub topics: Arc<dyn TopicLog>,
    /// Reports of runners and orders to them.
    pub control: Arc<dyn RunnerControl>,
}

/// Shared state of a relay node.
#[derive(Debug)]
pub struct RelayContext {
    /// Settings of the node.
    pub settings: RelaySettings,
    /// Ports to the platform.
    pub ports: PlatformPorts,
    /// Logger of the node.
    pub log: RequestLog,
    /// The budget of buffered bytes of the process.
    pub buffers: Arc<BufferBudget>,
    /// The configuration in force.
    pub routes: RouteHolder,
    /// Whether callers' keys are refused because of the configuration's age.
    pub keys: KeyWatch,
    /// The known runners.
    pub fleet: RunnerFleet,
    /// The newest records read from the log, for neighbours that read them here or start while the log is unavailable.
    pub records: RecordCache,
    /// Limit on the log lines about records that cannot be used.
    pub refusals: RefusalLog,
    /// What the leader observed of runners while their entries could not be read.
    pub observations: ObservationBuffer,
    /// Loads of runners that all nodes see together.
    pub loads: LoadExchange,
    /// Retry budget shares by service.
    pub budgets: ServiceBudgets,
    /// The part of the fixed retries that this process was lent, and the loans that it gives while it leads.
    pub retry_loans: RetryLoans,
    /// Quotas of tenants.
    pub quotas: QuotaGuard,
    /// Limits that runners state on the rate of requests.
    pub limits: LimitGuard,
    /// Services whose runners fall over when they turn too many requests away.
    pub brittle: BrittleGuard,
    /// Inputs under which runners crash.
    pub crashes: CrashGuard,
    /// Software versions at which streams began.
    pub streams: StreamGuard,
    /// Reads of the list of runners for decisions that must not rest on an older one.
    pub list: ListRefresher,
    /// Origins of streams that the log keeps.
    pub stream_log: StreamLogReader,
    /// Whether this node reaches the runners itself.
    pub link: RunnerLink,
    /// Other nodes through which requests reach runners while the link is cut.
    pub helpers: HelperBook,
    /// Number of requests that this node passes on for others.
    pub forwarded: Arc<AtomicUsize>,
    /// Demand by model.
    pub demand: DemandCounter,
    /// What this node knows about the current leader, and the state of runners that it keeps while it leads.
    pub leader: SharedLeadership,
    /// Client for calls to other nodes.
    pub peers: PeerClient,
    /// Limit on the bytes of records of the log that this node sends to other nodes.
    pub feed: FeedLimiter,
    /// Limit on what else this node tells other nodes.
    pub knowledge: KnowledgeLimiter,
    /// Reads of the log for other nodes.
    pub shared_reads: SharedReads,
    /// Bytes and plans that this node spends on control.
    pub load: Arc<ControlLoad>,
    /// Addresses of other nodes.
    pub directory: Arc<PeerDirectory>,
    /// The log, always called by this node itself.
    pub direct_log: Arc<dyn TopicLog>,
    /// Refusal of requests under load.
    pub gate: AdmissionGate,
    /// What this node has measured of paced services, for admission by forecasts.
    pub admission: AdmissionBook,
    /// Delays after which refused callers should retry.
    pub advisor: RetryAdvisor,
    /// Requests in flight and the progress of a planned stop.
    pub drain: DrainController,
    /// Which requests a planned stop still admits.
    pub stop: StopGuard,
}

impl RelayContext {
    /// Returns whether the node is ready for new connections.
    pub fn is_ready(&self) -> bool {
        let has_state = self.routes.current().is_some() && self.fleet.has_runner() && self.crashes.is_loaded();
        has_state && !self.drain.is_draining()
    }

    /// Records what a runner states about itself in an answer to a request sent at `sent_at`, whatever it answers.
    pub fn record_statements(&self, listed: &ListedRunner, metadata: &AnswerMetadata, sent_at: Instant) {
        if metadata.is_leaving {
            self.fleet.record_leaving(listed);
        }
        // An answer to another request may be an old one, from before the runner had a limit.
        if metadata.kind != AnswerKind::OtherRequest || metadata.limit != LimitStatement::Unlimited {
            self.limits.observe(listed, metadata.limit, sent_at);
        }
        if metadata.kind != AnswerKind::OtherRequest || metadata.brittle != BrittleStatement::Sturdy {
            self.brittle.observe(listed, metadata.brittle, sent_at);
        }
    }

    /// Sends no request to a runner for a time that it asked for in a refusal.
    pub fn record_hold(&self, cell: &RunnerCell, delay: Duration) {
        let now = clock::now();
        if cell.hold_left(now).is_none() {
            let listed = cell.listed();
            let values = o!(
                "hold_ms" => delay.as_millis() as u64,
                "start_ms" => listed.started_at_ms,
                "backend" => listed.id.to_string(),
            );
            events::RELAY_RUNNER_HELD.write(self.log.logger(), values);
        }
        cell.hold(now + delay);
    }

    /// Records an answer that nothing binds to the request after which it arrived.
    pub fn record_dropped_answer(
        &self,
        backend: &BackendId,
        request: &RequestId,
        status: StatusCode,
        name: RequestName,
    ) {
        let reason = match name {
            RequestName::Present => "other_request",
            RequestName::Absent => "no_request",
        };
        counter!("mustardgate_runner_answers_dropped_total", "reason" => reason).increment(1);
        let values = o!(
            "reason" => reason,
            "status" => status.as_u16(),
            "backend" => backend.to_string(),
        );
        self.log.write(events::RELAY_ANSWER_DROPPED, request, values);
    }
}
