//! Builds the context of a node.

use std::{sync::Arc, time::Duration};

use mustardgate::{buffers::BufferBudget, drain::DrainController, logging::build_logger};
use mustardgate_core::{
    ids::DomainId,
    lease::{LeaseSettings, LeaseTracker},
    relay::{AdmissionGate, CrashSettings, NodeMember, PlannerSettings, RetryAdvisor},
};
use rand::Rng;

use crate::{
    client::PoolSettings,
    context::{
        AdmissionBook, BrittleGuard, CrashGuard, DemandCounter, KeyWatch, LimitGuard, LoadExchange, ObservationBuffer,
        PlatformPorts, QuotaGuard, RecordCache, RelayContext, RetryLoans, RouteHolder, RunnerLink, ServiceBudgets,
        StopGuard, StreamGuard,
    },
    fleet::RunnerFleet,
    follow::ListRefresher,
    leader::{BootClock, SharedLeadership},
    link::HelperBook,
    peers::{
        ControlLoad, FeedLimiter, KnowledgeLimiter, NeighbourLog, PeerClient, PeerDirectory, SharedReads,
        StreamLogReader,
    },
    request_log::{RefusalLog, RequestLog},
    settings::{RelaySettings, link_bytes_per_s},
};

/// Name of the lease, which covers the whole deployment. One leader orders all runners, because all failure domains
/// share the models and the weight store has one rate for all of them.
const LEASE_NAME: &str = "deployment";
/// The holder stops acting before the end of the term by the term divided by this.
const MARGIN_DIVISOR: u32 = 4;

/// Builds the context of a node.
pub fn build_context(
    settings: RelaySettings,
    mut ports: PlatformPorts,
    buffers: Arc<BufferBudget>,
) -> Arc<RelayContext> {
    let logger = build_logger(&settings.logging.logger(), &settings.node.name);
    let directory = Arc::new(PeerDirectory::new(own_member(&settings)));
    let page_time = settings.bounds.shortest_bound();
    let load = Arc::new(ControlLoad::new(
        link_bytes_per_s(settings.node.link_mbps),
        logger.clone(),
    ));
    let knowledge = settings.feed.knowledge_limits(settings.node.link_mbps);
    let peers = PeerClient::new(Arc::clone(&buffers))
        .with_page_time(page_time)
        .with_load(Arc::clone(&load));
    let direct_log = Arc::clone(&ports.topics);
    let own = settings.listen.peers;
    let seeds = settings.listen.seeds.iter().copied().filter(|seed| Some(*seed) != own);
    ports.topics = Arc::new(NeighbourLog::new(
        Arc::clone(&direct_log),
        peers.clone(),
        Arc::clone(&directory),
        seeds.collect(),
        settings.bounds.shortest_bound(),
        logger.clone(),
    ));
    let term = settings.bounds.lease_term();
    let claim_delay = settings.feed.claim_delay(settings.node.link_mbps, term);
    let lease = LeaseTracker::new(LeaseSettings {
        domain: DomainId::from(LEASE_NAME),
        node: settings.node.name.clone(),
        session: rand::rng().random(),
        term,
        margin: term / MARGIN_DIVISOR,
    })
    .with_claim_delay(claim_delay);
    let planner = PlannerSettings {
        load_window: Duration::from_secs_f64(settings.bounds.load_window_s),
        load_overage: settings.bounds.load_overage,
        load_extra: settings.bounds.load_extra,
        ..PlannerSettings::default()
    };
    let feed = settings
        .feed
        .limits(settings.node.link_mbps, settings.bounds.shortest_bound());
    let pool = PoolSettings {
        source: settings.node.source_ip,
        ..PoolSettings::default()
    };
    Arc::new(RelayContext {
        buffers,
        feed: FeedLimiter::new(feed),
        knowledge: KnowledgeLimiter::new(knowledge),
        shared_reads: SharedReads::default(),
        load,
        link: RunnerLink::new(logger.clone()),
        helpers: HelperBook::default(),
        forwarded: Arc::default(),
        brittle: BrittleGuard::new(logger.clone()),
        limits: LimitGuard::new(logger.clone()),
        loads: LoadExchange::new(logger.clone()),
        crashes: CrashGuard::new(CrashSettings::default(), logger.clone()),
        log: RequestLog::new(logger.clone(), settings.logging.clone()),
        routes: RouteHolder::new(settings.bounds.config_apply(), settings.bounds.drain_time()),
        keys: KeyWatch::default(),
        quotas: QuotaGuard::new(settings.bounds.quota_bounds(), logger.clone()),
        fleet: RunnerFleet::new(
            settings.node.domain.clone(),
            pool,
            settings.paced.domain_spillover,
            logger,
        ),
        records: RecordCache::default(),
        refusals: RefusalLog::default(),
        observations: ObservationBuffer::default(),
        budgets: ServiceBudgets::new(&settings.bounds),
        retry_loans: RetryLoans::new(&settings.bounds),
        streams: StreamGuard::new(settings.node.first_start),
        list: ListRefresher::default(),
        stream_log: StreamLogReader::default(),
        demand: DemandCounter::default(),
        leader: SharedLeadership::new(lease, planner, Arc::new(BootClock::start())),
        peers,
        directory,
        direct_log,
        gate: AdmissionGate::default(),
        admission: AdmissionBook::default(),
        advisor: RetryAdvisor::default(),
        drain: DrainController::default(),
        stop: StopGuard::default(),
        ports,
        settings,
    })
}

/// Returns this node as others list it, if it has a listener for them.
fn own_member(settings: &RelaySettings) -> Option<NodeMember> {
    Some(NodeMember {
        address: settings.listen.peers?,
        domain: settings.node.domain.clone(),
    })
}
