//! Services whose runners fall over when they turn too many requests away.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use mustardgate::events;
use mustardgate_core::{
    clock,
    ids::{BackendId, ServiceId},
    relay::{BrittleLedger, BrittleService, BrittleStatement, ListedRunner, RunnerState, deal_places},
};
use slog::{Logger, o};
use tokio::sync::Notify;

use crate::{
    fleet::RunnerFleet,
    peers::{MAX_MESSAGE_TIME, PeerDirectory},
};

/// Holds which services are brittle, and the runners that turned a request away.
#[derive(Debug)]
pub struct BrittleGuard {
    ledger: Mutex<BrittleLedger>,
    /// Runner processes that turned a request of this node away, for the task that tells other nodes.
    rejections: Mutex<BTreeSet<(BackendId, u64)>>,
    rejected: Notify,
    /// Places at the runners of each service, and when they were dealt.
    dealt: Mutex<BTreeMap<ServiceId, (Instant, Arc<PlaceMap>)>>,
    logger: Logger,
}

/// Number of requests that this node may have at each runner at once.
pub type PlaceMap = BTreeMap<BackendId, u32>;

/// Time for which places that were dealt are used again.
const DEAL_VALIDITY: Duration = Duration::from_millis(200);

impl BrittleGuard {
    /// Creates a guard that knows of no brittle service.
    pub fn new(logger: Logger) -> Self {
        Self {
            ledger: Mutex::default(),
            rejections: Mutex::default(),
            rejected: Notify::new(),
            dealt: Mutex::default(),
            logger,
        }
    }

    /// Records what an answer of a runner says, whose request was sent at `sent_at`.
    pub fn observe(&self, runner: &ListedRunner, statement: BrittleStatement, sent_at: Instant) {
        let mut ledger = self.lock();
        if !ledger.observe(&runner.service, statement, sent_at) {
            return;
        }
        let is_brittle = ledger.is_brittle(clock::now(), &runner.service);
        events::RELAY_SERVICE_BRITTLE.write(
            &self.logger,
            o!(
                "is_brittle" => is_brittle,
                "backend" => runner.id.to_string(),
                "service" => runner.service.to_string(),
            ),
        );
    }

    /// Returns whether the runners of a service are brittle.
    pub fn is_brittle(&self, service: &ServiceId) -> bool {
        self.lock().is_brittle(clock::now(), service)
    }

    /// Returns the requests that this node may have at each runner of a service at once, if its runners are brittle.
    pub fn places(&self, fleet: &RunnerFleet, directory: &PeerDirectory, service: &ServiceId) -> Option<Arc<PlaceMap>> {
        if !self.is_brittle(service) {
            return None;
        }
        let now = clock::now();
        let mut dealt = self.dealt.lock().expect("no holder of the lock panics");
        if let Some((at, places)) = dealt.get(service)
            && now.saturating_duration_since(*at) < DEAL_VALIDITY
        {
            return Some(Arc::clone(places));
        }
        let places = Arc::new(deal(fleet, directory, service));
        dealt.insert(service.clone(), (now, Arc::clone(&places)));
        Some(places)
    }

    /// Returns the services that are brittle, for other nodes.
    pub fn services(&self) -> Vec<BrittleService> {
        self.lock().services(clock::now())
    }

    /// Takes over what another node knows.
    pub fn merge(&self, services: &[BrittleService]) {
        if !services.is_empty() {
            self.lock().merge(clock::now(), services, MAX_MESSAGE_TIME);
        }
    }

    /// Records that a brittle runner turned a request of this node away.
    pub fn record_rejection(&self, runner: &ListedRunner) {
        let mut rejections = self.rejections.lock().expect("no holder of the lock panics");
        rejections.insert((runner.id.clone(), runner.started_at_ms));
        self.rejected.notify_one();
    }

    /// Returns the runner processes that turned requests away since the last call, after waiting for one.
    pub async fn next_rejections(&self) -> Vec<(BackendId, u64)> {
        self.rejected.notified().await;
        let mut rejections = self.rejections.lock().expect("no holder of the lock panics");
        std::mem::take(&mut *rejections).into_iter().collect()
    }

    fn lock(&self) -> MutexGuard<'_, BrittleLedger> {
        self.ledger.lock().expect("no holder of the lock panics")
    }
}

fn deal(fleet: &RunnerFleet, directory: &PeerDirectory, service: &ServiceId) -> PlaceMap {
    let cells = fleet.of_service(service);
    let listed = cells.iter().map(|cell| cell.listed());
    let ready = listed.filter(|runner| runner.state == RunnerState::Ready);
    let runners: PlaceMap = ready.map(|runner| (runner.id.clone(), runner.slots)).collect();
    let Some(own) = directory.own_address() else {
        return runners;
    };
    let others = directory.members().into_iter().map(|member| member.address);
    deal_places(&runners, &others.chain([own]).collect(), own)
}
