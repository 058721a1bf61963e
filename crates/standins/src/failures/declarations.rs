//! The deployment under test and the resources declared in it.

use std::{net::SocketAddr, time::Duration};

use futures::{future::try_join_all, try_join};
use mustardctl::client::{ApiClient, SendOutcome};
use mustardgate_core::resources::{ResourceKey, ResourceKind};
use mustardgate_protocol::operators::parse_spec;
use serde_json::{Value, json};
use smol_str::{SmolStr, format_smolstr};

use super::error::{FailureError, UnmetSnafu};
use crate::harness::{BackendKind, BackendOptions, ClusterOptions, DomainOptions, TestCluster};

/// Failure domains, each with its number of nodes.
const DOMAINS: [(&str, usize); 3] = [("pier", 3), ("market", 2), ("harbour", 2)];
const REGION: &str = "north";
const ACCELERATOR_MIB: u64 = 24_576;
/// API key of the callers' tenant.
pub(super) const TENANT_KEY: &str = "island-kitchen-demo-key";
const TENANT_DIGEST: &str = "224040cfbf0954f8109eb01c2b7482bdf03b793d22f3c99b9f320fa5a8e70f4b";
/// Models that callers send requests to.
pub(super) const MODELS: [&str; 2] = ["menu-assistant", "driver-notes"];
/// Model whose serving version the operator changes during a fault.
pub(super) const CHANGED_MODEL: &str = "driver-notes";
/// Service whose share the operator changes during a fault.
pub(super) const CHANGED_SERVICE: &str = "menus";
/// Time within which the declaration of a resource must be accepted.
const PUT_TIMEOUT: Duration = Duration::from_secs(10);

/// Returns the deployment to start.
pub(super) fn cluster_options(seed: u64) -> ClusterOptions {
    let domains = DOMAINS.map(|(name, nodes)| DomainOptions {
        name: name.into(),
        region: REGION.into(),
        nodes,
    });
    let arguments = ["--list-lag-ms", "500", "--seed", &seed.to_string()];
    ClusterOptions {
        domains: domains.to_vec(),
        backends: DOMAINS
            .iter()
            .flat_map(|(domain, _)| domain_backends(domain, seed))
            .collect(),
        platform_arguments: arguments.map(str::to_owned).to_vec(),
        platform_settings: "lease_ms = 2000\nlist_ms = 500\ntimeout_ms = 1000\n".to_owned(),
        extra_settings: "[drain]\ngrace_ms = 300\nlimit_ms = 10000\n".to_owned(),
    }
}

fn domain_backends(domain: &str, seed: u64) -> Vec<BackendOptions> {
    let engine = |number: u32, fencing: &str| {
        let memory = ACCELERATOR_MIB.to_string();
        let fixed_arguments = [
            "--accelerators",
            &memory,
            "--fencing",
            fencing,
            "--load-ms",
            "300",
            "--seed",
        ];
        let mut arguments = fixed_arguments.map(str::to_owned).to_vec();
        arguments.push(seed.to_string());
        backend(
            domain,
            &format_smolstr!("{domain}-runner-{number}"),
            BackendKind::Engine,
            arguments,
        )
    };
    let orders = format_smolstr!("{domain}-orders-1");
    vec![
        engine(1, "refuses"),
        engine(2, "ignores"),
        backend(domain, &orders, BackendKind::Service, Vec::new()),
    ]
}

fn backend(domain: &str, name: &SmolStr, kind: BackendKind, arguments: Vec<String>) -> BackendOptions {
    BackendOptions {
        name: name.clone(),
        domain: domain.into(),
        kind,
        address: None,
        arguments,
    }
}

/// Returns the specification of [`CHANGED_SERVICE`] with the given share.
pub(super) fn service_spec(share: u32) -> Value {
    json!({"priority": "interactive", "share": share, "models": MODELS, "target_ms": 580})
}

/// Returns the specification of [`CHANGED_MODEL`] with the given serving version.
pub(super) fn model_spec(serving: &str) -> Value {
    let version = |name: &str| json!({"name": name, "memory_mib": 8192});
    json!({"versions": [version("v1"), version("v2")], "serving": serving, "min_replicas": 2})
}

/// Declares every resource through one node: first the policy, models and backend servers, all concurrently, then the
/// services and the tenant.
pub(super) async fn declare_all(api: &ApiClient, cluster: &TestCluster) -> Result<(), FailureError> {
    let policy = json!({"store_loads_per_second": 20.0, "store_concurrent_loads": 20});
    let assistant = json!({"versions": [{"name": "v1", "memory_mib": 14_336}], "serving": "v1", "min_replicas": 3});
    let backends = cluster.backends.iter().map(|running| {
        let spec = backend_spec(&running.name, running.address);
        declare(api, ResourceKind::Backend, &running.name, spec)
    });
    try_join!(
        declare(api, ResourceKind::Policy, "default", policy),
        declare(api, ResourceKind::Model, MODELS[0], assistant),
        declare(api, ResourceKind::Model, CHANGED_MODEL, model_spec("v1")),
        try_join_all(backends),
    )?;
    let orders = json!({"priority": "interactive", "share": 1, "target_ms": 400});
    let tenant = json!({"key_digests": [TENANT_DIGEST], "weight": 1});
    try_join!(
        declare(api, ResourceKind::Service, CHANGED_SERVICE, service_spec(1)),
        declare(api, ResourceKind::Service, "orders", orders),
        declare(api, ResourceKind::Tenant, "island-kitchen", tenant),
    )?;
    Ok(())
}

fn backend_spec(name: &str, address: SocketAddr) -> Value {
    let domain = name.split('-').next().unwrap_or_default();
    let mut spec = json!({"domain": domain, "region": REGION, "address": address, "max_concurrency": 64});
    if name.contains("-orders-") {
        spec["role"] = json!({"plain": "orders"});
        return spec;
    }
    spec["role"] = json!("engine");
    spec["accelerators"] = json!([{ "memory_mib": ACCELERATOR_MIB }]);
    spec["fencing"] = json!(if name.ends_with('1') { "refuses" } else { "ignores" });
    spec
}

async fn declare(api: &ApiClient, kind: ResourceKind, name: &str, spec: Value) -> Result<(), FailureError> {
    let key = ResourceKey {
        kind,
        name: name.into(),
    };
    let spec = parse_spec(kind, &spec).expect("every specification declared here matches its kind");
    let change = format_smolstr!("declare-{kind}-{name}");
    let put = api.put(&key, &spec, None, &change);
    let limited = tokio::time::timeout(PUT_TIMEOUT, put).await;
    if let SendOutcome::Accepted(_) = limited.unwrap_or(Ok(SendOutcome::Unknown))? {
        return Ok(());
    }
    let limit_s = PUT_TIMEOUT.as_secs_f64();
    UnmetSnafu {
        what: format!("acceptance of {key}"),
        limit_s,
    }
    .fail()
}
