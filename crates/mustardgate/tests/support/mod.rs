//! A node in the test process, with a fixed configuration.

use std::{net::SocketAddr, path::Path, sync::Arc};

use mustardgate::{
    context::NodeContext,
    gateway::{answer_caller, key_digest},
    http::{ConnectionLimits, serve_connections},
    node::build_context,
    settings::NodeSettings,
};
use mustardgate_core::{
    config::ConfigSpan,
    log::{ChangeRecord, LogRecord},
    ports::LogEntry,
    resources::{ModelSpec, PriorityClass, ResourceKey, ResourceSpec, ServiceSpec, TenantSpec, VersionSpec},
};
use slog::{Discard, Logger, o};
use tokio::net::TcpListener;

/// Bearer key of the tenant that may call every service.
pub const KITCHEN_KEY: &str = "kitchen-key";
/// Bearer key of the tenant that may call no service with models.
pub const COURIER_KEY: &str = "courier-key";

const SETTINGS: &str = r#"
[node]
name = "entry-a"
domain = "th-a"
region = "th-central"

[callers]
listen = "127.0.0.1:1"
max_headers = 10
max_body_bytes = 2048
receive_timeout_ms = 300

[operators]
listen = "127.0.0.1:1"
key_file = "unused"

[peers]
listen = "127.0.0.1:1"
key_file = "unused"

[platform]
address = "127.0.0.1:1"
"#;

fn service(models: &[&str]) -> ResourceSpec {
    ResourceSpec::Service(ServiceSpec {
        priority: PriorityClass::Interactive,
        share: 1,
        models: models.iter().map(|model| (*model).into()).collect(),
        idempotent_calls: Vec::new(),
        target_ms: 500,
    })
}

fn tenant(key: &str, services: &[&str]) -> ResourceSpec {
    ResourceSpec::Tenant(TenantSpec {
        key_digests: vec![key_digest(key)],
        services: services.iter().map(|service| (*service).into()).collect(),
        weight: 1,
    })
}

fn declarations() -> Vec<(&'static str, ResourceSpec)> {
    let version = |name: &str| VersionSpec {
        name: name.into(),
        memory_mib: 8_000,
    };
    let model = ModelSpec {
        versions: vec![version("v1"), version("v2")],
        serving: "v2".into(),
        min_replicas: 1,
    };
    vec![
        ("menu", ResourceSpec::Model(model)),
        ("assistant", service(&["menu"])),
        ("orders", service(&[])),
        ("kitchen", tenant(KITCHEN_KEY, &[])),
        ("courier", tenant(COURIER_KEY, &["orders"])),
    ]
}

/// Builds the context of a node with the configuration in [`declarations`] and no backend server.
pub fn context() -> Arc<NodeContext> {
    let settings = NodeSettings::parse(SETTINGS, Path::new("test.toml")).expect("the settings are valid");
    let context = build_context(settings, Logger::root(Discard, o!()));
    let entries: Vec<LogEntry> = (0..)
        .zip(declarations())
        .map(|(offset, (name, spec))| {
            let resource = ResourceKey {
                kind: spec.kind(),
                name: name.into(),
            };
            let change = ChangeRecord {
                change: name.into(),
                resource,
                expected: None,
                spec: Some(spec),
            };
            LogEntry {
                offset,
                record: LogRecord::Change(change),
            }
        })
        .collect();
    let span = ConfigSpan {
        from: 0,
        until: entries.len() as u64,
        entries,
    };
    context.directory.update(|replica| {
        replica.begin_at_origin();
        replica.require_offset(span.until);
        replica.apply(&span).expect("the span begins at the origin");
    });
    context
}

#[allow(dead_code, reason = "not every test that shares this module has callers")]
/// Serves callers on a free loopback port and returns its address.
pub async fn serve(context: Arc<NodeContext>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("loopback has a free port");
    let address = listener.local_addr().expect("the listener is bound");
    let limits = ConnectionLimits {
        max_connections: 16,
        head_timeout: context.settings.callers.receive_timeout(),
        max_head_bytes: 16 * 1024,
        max_streams: Some(16),
        buffers: None,
    };
    let closing = context.drain.closing();
    let logger = context.logger.clone();
    let handler = move |request| answer_caller(Arc::clone(&context), request);
    tokio::spawn(serve_connections(listener, handler, limits, closing, logger));
    address
}
