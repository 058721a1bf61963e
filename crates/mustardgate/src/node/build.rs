//! Builds the node's context with its network clients.

use std::sync::{Arc, Mutex};

use mustardgate_core::{
    admission::AdmissionLimits,
    buffers::BufferSource,
    retry::{RetryBudget, RetryLimits},
    routing::{Locality, RoutingSettings, RunnerSelector},
};
use slog::Logger;

use crate::{
    backends::{AddressBook, EngineClient, HttpEngineControl, PlainClient},
    buffers::BufferBudget,
    configuration::ConfigDirectory,
    context::{IdGenerator, NodeContext},
    dispatch::AdmissionController,
    drain::DrainController,
    http::HttpClient,
    keys::KeyCoordinator,
    leader::LeadershipStatus,
    platform::{HttpPlatformLog, HttpVmList},
    records::RecordTail,
    runners::{DemandCounter, RunnerReports, RunnerTable},
    settings::NodeSettings,
    vms::VmMembership,
};

/// Builds the context of a node; nothing is sent yet.
pub fn build_context(settings: NodeSettings, logger: Logger) -> Arc<NodeContext> {
    let buffers = Arc::new(BufferBudget::new(settings.node.buffer_limits()));
    let platform = &settings.platform;
    let backends = &settings.backends;
    let pooled = HttpClient::pooled(backends.connect_timeout());
    let unpooled = HttpClient::unpooled(backends.connect_timeout());
    let services = unpooled
        .clone()
        .with_buffers(Arc::clone(&buffers), BufferSource::runner_at);
    let addresses = AddressBook::default();
    let locality = Locality {
        domain: settings.node.domain.clone(),
        region: settings.node.region.clone(),
    };
    let selector = Arc::new(RunnerSelector::new(
        RoutingSettings::default(),
        locality,
        rand::random(),
    ));
    let admission_limits = AdmissionLimits {
        max_requests: settings.callers.max_queued,
        max_bytes: settings.callers.max_queued_bytes,
    };
    let tail = Arc::new(RecordTail::default());
    let keys = KeyCoordinator::new(
        &settings.node.name,
        settings.node.domain.clone(),
        &settings.keys,
        Arc::clone(&tail),
    );
    let retry_limits = RetryLimits {
        retries_per_success: backends.retry_ratio,
        ..RetryLimits::default()
    };
    let engine_control = HttpEngineControl::new(pooled.clone(), Arc::clone(&addresses), backends.stall_timeout());
    Arc::new(NodeContext {
        logger,
        log: Arc::new(HttpPlatformLog::new(
            unpooled.clone(),
            platform.address,
            platform.timeout(),
        )),
        vm_list: Arc::new(HttpVmList::new(pooled.clone(), platform.address, platform.timeout())),
        engines: Arc::new(engine_control),
        engine_client: EngineClient::new(pooled, backends.stall_timeout()),
        plain_client: PlainClient::new(services, backends.max_answer_bytes),
        buffers,
        addresses,
        directory: ConfigDirectory::new(),
        runners: RunnerTable::default(),
        reports: RunnerReports::new(settings.node.name.clone(), settings.node.domain.clone()),
        admission: AdmissionController::new(Arc::clone(&selector), admission_limits, rand::random()),
        selector,
        demand: DemandCounter::default(),
        keys: Arc::new(keys),
        tail,
        vms: VmMembership::new(&settings),
        leadership: LeadershipStatus::default(),
        budget: Mutex::new(RetryBudget::new(retry_limits)),
        drain: DrainController::default(),
        identifiers: IdGenerator::new(&settings.node.name, rand::random()),
        settings,
    })
}
