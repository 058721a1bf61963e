//! A small deployment: the store, runners of two services, and a configuration with a route of each kind.

use std::{fs, net::SocketAddr, path::PathBuf, process, sync::Arc, time::Duration};

use crate::{
    node::{Node, NodeAddresses, NodeSettings},
    record::{Record, cannot_run},
    runner::{Runner, RunnerOptions},
    store::Store,
    wire::keyed_topic,
};

/// Host name that callers use.
pub const HOST: &str = "kitchen.example";
/// Path of requests that may be repeated.
pub const SAFE_PATH: &str = "/checks/1";
/// Path of requests that must run at most once.
pub const ONCE_PATH: &str = "/orders/1";
/// Path of streams that may be resumed.
pub const STREAM_PATH: &str = "/notes/1";
/// Model that every runner of streams holds.
pub const MODEL: &str = "model-1";
/// Service without models.
const PLAIN_SERVICE: &str = "plain";
/// Service with models.
const MODEL_SERVICE: &str = "engines";

/// What a case varies of the deployment.
#[derive(Clone, Copy, Debug, Default)]
pub struct DeploymentShape {
    /// Runners without models that write some of their answers again, of four.
    pub repeating: usize,
    /// Events of a stream, and the bytes of each one's data.
    pub events: u32,
    /// Bytes of the data of an event.
    pub bytes: usize,
    /// Time until a stream begins.
    pub first_event: Duration,
    /// Time between two events.
    pub pace: Duration,
}

/// The store and the runners, in the process of the case.
#[derive(Debug)]
pub struct Deployment {
    /// Folder for settings and logs, removed at the end.
    folder: PathBuf,
    /// The store.
    pub store: Arc<Store>,
    store_address: SocketAddr,
    /// Runners of the service without models.
    pub plain: Vec<Arc<Runner>>,
    /// Runners of the service with models.
    pub engines: Vec<Arc<Runner>>,
    record: Arc<Record>,
}

/// Time that a request takes at a runner without models.
const WORK_TIME: Duration = Duration::from_millis(15);

impl Deployment {
    /// Starts the store and the runners.
    pub fn start(record: &Arc<Record>, shape: &DeploymentShape) -> Self {
        let folder = std::env::temp_dir().join(format!("review-3-{}", process::id()));
        fs::create_dir_all(&folder).unwrap_or_else(|error| cannot_run(&error.to_string()));
        let (store, store_address) = Store::start().unwrap_or_else(|error| cannot_run(&error.to_string()));
        store.put(&keyed_topic("op"), "config", &configuration());
        let start =
            |options| Runner::start(options, &store, record).unwrap_or_else(|error| cannot_run(&error.to_string()));
        let plain = |index: usize| {
            start(RunnerOptions {
                id: format!("i-plain-{index}"),
                service: PLAIN_SERVICE.to_owned(),
                slots: 64,
                models: Vec::new(),
                pace: WORK_TIME,
                first_event: Duration::ZERO,
                repeats_answers: index <= shape.repeating,
                events: 0,
                bytes: 800,
            })
        };
        let engine = |index: usize| {
            start(RunnerOptions {
                id: format!("i-engine-{index}"),
                service: MODEL_SERVICE.to_owned(),
                slots: 64,
                models: vec![MODEL.to_owned()],
                pace: shape.pace,
                first_event: shape.first_event,
                repeats_answers: false,
                events: shape.events,
                bytes: shape.bytes,
            })
        };
        Self {
            plain: (1..=4).map(plain).collect(),
            engines: (1..=2).map(engine).collect(),
            folder,
            store,
            store_address,
            record: Arc::clone(record),
        }
    }

    /// Starts a node and waits until it is ready.
    pub fn start_node(&self, name: &str, memory_mb: u32, max_descriptors: u32) -> Node {
        let settings = NodeSettings {
            memory_mb,
            max_descriptors,
            ..self.node_settings(name, &[])
        };
        let node = self.launch(&settings, NodeAddresses::choose());
        node.await_ready(&self.record);
        node
    }

    /// Returns the settings of a node on a machine of the small deployments.
    pub fn node_settings(&self, name: &str, seeds: &[SocketAddr]) -> NodeSettings {
        NodeSettings {
            name: name.to_owned(),
            zone: "zone-1".to_owned(),
            memory_mb: 260,
            max_descriptors: 4_100,
            store: self.store_address,
            is_first_start: true,
            seeds: seeds.to_vec(),
        }
    }

    /// Starts a node, or starts it again, at its addresses.
    pub fn launch(&self, settings: &NodeSettings, addresses: NodeAddresses) -> Node {
        Node::start(&self.folder, settings, addresses)
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        // What is left of a temporary folder harms nobody.
        let _removed = fs::remove_dir_all(&self.folder);
    }
}

/// Returns the configuration, with the limits and times of the users' sheets.
fn configuration() -> String {
    let route = |name: &str, path: &str, kind: &str, service: &str, (timeout_ms, target_ms): (u32, u32)| {
        let is_stream = kind == "streaming";
        let attempts = if kind == "unsafe" { 1 } else { 2 };
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"path_prefix\":\"{path}\",\"kind\":\"{kind}\",\
             \"timeout_ms\":{timeout_ms},\"target_latency_ms\":{target_ms},\"priority\":1,\"service\":\"{service}\",\
             \"max_attempts\":{attempts},\"session_affinity\":{is_stream},\"resumable\":{is_stream},\"target_gap_ms\":400}}"
        )
    };
    let routes = [
        route("safe", "/checks/", "safe", PLAIN_SERVICE, (800, 300)),
        route("once", "/orders/", "unsafe", PLAIN_SERVICE, (800, 300)),
        route("notes", "/notes/", "streaming", MODEL_SERVICE, (20_000, 8_000)),
    ];
    format!(
        "{{\"version\":1,\"routes\":[{}],\"services\":[{{\"name\":\"{PLAIN_SERVICE}\",\"health_path\":\"/healthz\",\
         \"max_connections\":110,\"protocol\":\"h1\",\"tls\":false}},{{\"name\":\"{MODEL_SERVICE}\",\
         \"health_path\":\"/healthz\",\"max_connections\":370,\"protocol\":\"h1\",\"tls\":false,\"engine\":{{\
         \"slots\":64,\"kv_capacity_tokens\":151714,\"weights_mb\":200000.0,\"adapter_slots\":5,\"loads_per_s\":2.6,\
         \"models\":[{{\"name\":\"{MODEL}\",\"weights_mb\":65500.0,\"load_time_s\":5.8,\"adapters\":0,\
         \"adapter_mb\":40.0,\"disk_load_s\":1.2}}]}}}}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        routes.join(",")
    )
}
