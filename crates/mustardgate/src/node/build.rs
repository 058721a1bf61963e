//! Builds the node's context with the adapters that talk over the network.

use std::sync::Arc;

use slog::Logger;

use crate::{
    backends::{AddressBook, EngineClient, HttpEngineControl, PlainClient},
    configuration::ConfigDirectory,
    context::{NodeContext, RequestCounter},
    drain::DrainController,
    http::HttpClient,
    platform::{HttpLiveList, HttpPlatformLog},
    runners::RunnerBoard,
    settings::NodeSettings,
};

/// Builds the context of a node; nothing is sent yet.
pub fn build_context(settings: NodeSettings, logger: Logger) -> Arc<NodeContext> {
    let platform = &settings.platform;
    let backends = &settings.backends;
    let pooled = HttpClient::pooled(backends.connect_timeout());
    let unpooled = HttpClient::unpooled(backends.connect_timeout());
    let addresses = AddressBook::default();
    let control = HttpEngineControl::new(pooled.clone(), Arc::clone(&addresses), backends.stall_timeout());
    Arc::new(NodeContext {
        logger,
        log: Arc::new(HttpPlatformLog::new(
            unpooled.clone(),
            platform.address,
            platform.timeout(),
        )),
        list: Arc::new(HttpLiveList::new(pooled.clone(), platform.address, platform.timeout())),
        engines: Arc::new(control),
        engine_client: EngineClient::new(pooled, backends.stall_timeout()),
        plain_client: PlainClient::new(unpooled, backends.max_answer_bytes),
        addresses,
        directory: ConfigDirectory::new(),
        board: RunnerBoard::default(),
        drain: DrainController::default(),
        identifiers: RequestCounter::new(&settings.node.name, rand::random()),
        settings,
    })
}
