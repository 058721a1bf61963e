//! Builds the context of a node.

use std::{sync::Arc, time::Duration};

use mustardgate::{drain::DrainController, logging::build_logger};
use mustardgate_core::{
    ids::DomainId,
    lease::LeaseSettings,
    relay::{AdmissionGate, PlannerSettings, RetryAdvisor},
};
use rand::Rng;

use crate::{
    client::PoolSettings,
    context::{BudgetBoard, DemandBoard, ObservationBoard, PlatformPorts, RecordShelf, RelayContext, RouteBoard},
    decision_log::DecisionLog,
    fleet::RunnerFleet,
    leader::{BootClock, SharedLeadership},
    peers::{NeighbourLog, PeerClient, PeerDirectory},
    settings::RelaySettings,
};

/// Name under which the lease of the whole deployment stands; one leader orders all runners, because models are shared
/// by all failure domains and the weight store has one rate.
const LEASE_NAME: &str = "deployment";
/// Part of the term at whose end the holder no longer acts.
const MARGIN_SHARE: u32 = 4;

/// Builds the context of a node.
pub fn build_context(settings: RelaySettings, mut ports: PlatformPorts) -> Arc<RelayContext> {
    let directory = Arc::new(PeerDirectory::default());
    let peers = PeerClient::default();
    let direct_log = Arc::clone(&ports.topics);
    let own = settings.listen.peers;
    let seeds = settings.listen.seeds.iter().copied().filter(|seed| Some(*seed) != own);
    ports.topics = Arc::new(NeighbourLog::new(
        Arc::clone(&direct_log),
        peers.clone(),
        Arc::clone(&directory),
        seeds.collect(),
        settings.bounds.shortest_bound(),
    ));
    let logger = build_logger(&settings.logging.logger(), &settings.node.name);
    let term = settings.bounds.lease_term();
    let lease = LeaseSettings {
        domain: DomainId::from(LEASE_NAME),
        node: settings.node.name.clone(),
        session: rand::rng().random(),
        term,
        margin: term / MARGIN_SHARE,
    };
    let planner = PlannerSettings {
        load_window: Duration::from_secs_f64(settings.bounds.load_window_s),
        load_overage: settings.bounds.load_overage,
        load_extra: settings.bounds.load_extra,
        ..PlannerSettings::default()
    };
    Arc::new(RelayContext {
        log: DecisionLog::new(logger.clone(), settings.logging.clone()),
        routes: RouteBoard::default(),
        fleet: RunnerFleet::new(settings.node.domain.clone(), PoolSettings::default(), logger),
        records: RecordShelf::default(),
        observations: ObservationBoard::default(),
        budgets: BudgetBoard::new(&settings.bounds),
        demand: DemandBoard::default(),
        leader: SharedLeadership::new(lease, planner, Arc::new(BootClock::start())),
        peers,
        directory,
        direct_log,
        gate: AdmissionGate::default(),
        advisor: RetryAdvisor::default(),
        drain: DrainController::default(),
        ports,
        settings,
    })
}
