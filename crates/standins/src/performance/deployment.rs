//! The measured deployment: one node, its engines and one plain service.

use std::{net::SocketAddr, path::Path, time::Duration};

use futures::future;
use mustardctl::{
    client::ApiClient,
    declarations::{PlannedChange, parse_declarations, plan_changes},
    load::TenantLoad,
};
use mustardgate::gateway::key_digest;
use smol_str::format_smolstr;
use snafu::ResultExt;

use super::{CommandSnafu, FailedSnafu, HarnessSnafu, PerformanceError};
use crate::harness::{
    BackendKind, BackendOptions, ClusterOptions, DomainOptions, ProcessUsage, RunningBackend, RunningNode, TestCluster,
};

/// Model that every engine serves.
pub const MODEL: &str = "menu";
/// Version of the model.
pub(super) const VERSION: &str = "v1";
/// Name of the plain service.
pub const SERVICE: &str = "orders";
const DOMAIN: &str = "a";
const REGION: &str = "north";
/// Name of the plain service's only instance.
pub const SERVICE_INSTANCE: &str = "orders-1";
const TENANTS: [&str; 3] = ["island-kitchen", "harbour-kitchen", "hill-kitchen"];
const READY_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Size of a deployment.
#[derive(Clone, Copy, Debug)]
pub struct DeploymentPlan {
    /// Number of engines, each with the model.
    pub engines: usize,
    /// Requests that one engine runs concurrently.
    pub batch: u32,
}

impl DeploymentPlan {
    /// A deployment that runs more than 500 concurrent streams.
    pub fn large() -> Self {
        Self { engines: 4, batch: 160 }
    }

    /// A deployment that is easily overloaded.
    pub fn small() -> Self {
        Self { engines: 1, batch: 8 }
    }
}

/// A running deployment whose engines all hold the model.
#[derive(Debug)]
pub struct MeasuredDeployment {
    /// The processes.
    pub cluster: TestCluster,
    plan: DeploymentPlan,
}

impl MeasuredDeployment {
    /// Starts the processes, declares the resources, and waits until every engine holds the model.
    ///
    /// # Errors
    /// [`PerformanceError`] of the first step that fails.
    pub async fn start(plan: DeploymentPlan) -> Result<Self, PerformanceError> {
        Self::start_with_settings(plan, "[drain]\ngrace_ms = 0\n").await
    }

    /// Starts a deployment like [`MeasuredDeployment::start`] with additional sections of the node's settings file.
    ///
    /// # Errors
    /// [`PerformanceError`] of the first step that fails.
    pub async fn start_with_settings(plan: DeploymentPlan, settings: &str) -> Result<Self, PerformanceError> {
        let options = cluster_options(plan, settings);
        let cluster = TestCluster::start(options).await.context(HarnessSnafu)?;
        let deployment = Self { cluster, plan };
        // A node accepts no changes until it has read the log to its end.
        deployment
            .node()
            .wait_ready(READY_TIMEOUT)
            .await
            .context(HarnessSnafu)?;
        deployment.declare().await?;
        deployment.await_model().await?;
        Ok(deployment)
    }

    /// Returns the node's address for callers.
    pub fn callers(&self) -> SocketAddr {
        self.node().addresses.callers.into()
    }

    /// Returns the addresses of the engines.
    pub fn engines(&self) -> Vec<SocketAddr> {
        let backends = &self.cluster.backends[..self.plan.engines];
        backends.iter().map(|backend| backend.address).collect()
    }

    /// Returns the address of the plain service.
    ///
    /// # Errors
    /// [`PerformanceError::Harness`] when it was not started.
    pub fn service(&self) -> Result<SocketAddr, PerformanceError> {
        let backend = self.cluster.backend(SERVICE_INSTANCE).context(HarnessSnafu)?;
        Ok(backend.address)
    }

    /// Returns the memory that the node's process uses and the processor time since its start.
    ///
    /// # Errors
    /// [`PerformanceError::Failed`] when the node has ended.
    pub fn usage(&self) -> Result<ProcessUsage, PerformanceError> {
        let usage = self.node().process.usage();
        usage.ok_or_else(|| {
            FailedSnafu {
                reason: "the node has ended",
            }
            .build()
        })
    }

    /// Returns the tenants with their keys, each with an equal share of the load.
    pub fn tenants(&self) -> Vec<TenantLoad> {
        let tenant = |name: &&str| TenantLoad {
            name: (*name).into(),
            key: Some(tenant_key(name)),
            weight: 1.0,
        };
        TENANTS.iter().map(tenant).collect()
    }

    fn node(&self) -> &RunningNode {
        &self.cluster.nodes[0]
    }

    fn api(&self) -> ApiClient {
        let address = self.node().addresses.operators.into();
        ApiClient::new(address, Some(self.cluster.operator_key.clone()))
    }

    async fn declare(&self) -> Result<(), PerformanceError> {
        let declared = parse_declarations(&self.declarations(), Path::new("performance")).context(CommandSnafu)?;
        let client = self.api();
        for changes in plan_changes(&declared, &[], false).independent_groups() {
            let results = changes.iter().map(|change| declare_resource(&client, change));
            future::try_join_all(results).await?;
        }
        Ok(())
    }

    fn declarations(&self) -> String {
        let backends = self.cluster.backends.iter().map(|backend| self.backend_text(backend));
        let tenants = TENANTS.iter().map(|name| tenant_text(name));
        let parts: Vec<String> = backends.chain([self.service_text()]).chain(tenants).collect();
        parts.concat()
    }

    fn backend_text(&self, backend: &RunningBackend) -> String {
        let role = if backend.name == SERVICE_INSTANCE {
            format!("role = {{ plain = \"{SERVICE}\" }}")
        } else {
            "role = \"engine\"\naccelerators = [{ memory_mib = 24576 }]\nfencing = \"refuses\"".to_owned()
        };
        let (name, address, batch) = (&backend.name, backend.address, self.plan.batch);
        format!(
            "[[resource]]\nkind = \"backend\"\nname = \"{name}\"\n[resource.spec]\ndomain = \"{DOMAIN}\"\n\
             region = \"{REGION}\"\naddress = \"{address}\"\nmax_concurrency = {batch}\n{role}\n"
        )
    }

    fn service_text(&self) -> String {
        let engines = self.plan.engines;
        format!(
            "[[resource]]\nkind = \"model\"\nname = \"{MODEL}\"\n[resource.spec]\nserving = \"{VERSION}\"\n\
             versions = [{{ name = \"{VERSION}\", memory_mib = 14336 }}]\nmin_replicas = {engines}\n\
             [[resource]]\nkind = \"service\"\nname = \"menus\"\n[resource.spec]\npriority = \"interactive\"\n\
             share = 1\nmodels = [\"{MODEL}\"]\ntarget_ms = 580\n\
             [[resource]]\nkind = \"service\"\nname = \"{SERVICE}\"\n[resource.spec]\npriority = \"interactive\"\n\
             share = 1\ntarget_ms = 400\n"
        )
    }

    async fn await_model(&self) -> Result<(), PerformanceError> {
        let waiting = async {
            while !self.is_model_ready().await {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        let result = tokio::time::timeout(READY_TIMEOUT, waiting).await;
        result.map_err(|_elapsed| {
            FailedSnafu {
                reason: "the model is not ready on every engine",
            }
            .build()
        })
    }

    /// Returns whether the node sees the model ready on every engine.
    async fn is_model_ready(&self) -> bool {
        let Ok(status) = self.api().status().await else {
            return false;
        };
        let ready = status.backends.iter().filter(|backend| !backend.resident.is_empty());
        ready.count() >= self.plan.engines
    }
}

async fn declare_resource(client: &ApiClient, change: &PlannedChange) -> Result<(), PerformanceError> {
    let Some(spec) = &change.after else {
        return Ok(());
    };
    let identifier = format_smolstr!("{}", change.key);
    let result = client.put(&change.key, spec, change.expected, &identifier).await;
    result.map(drop).context(CommandSnafu)
}

fn tenant_text(name: &str) -> String {
    let digest = key_digest(&tenant_key(name));
    format!("[[resource]]\nkind = \"tenant\"\nname = \"{name}\"\n[resource.spec]\nkey_digests = [\"{digest}\"]\n")
}

fn tenant_key(tenant: &str) -> String {
    format!("{tenant}-performance-key")
}

fn cluster_options(plan: DeploymentPlan, settings: &str) -> ClusterOptions {
    let batch = plan.batch.to_string();
    // At steps of 20 ms, a rate of 50 tokens per second for each slot gives every stream one token per step.
    let tokens_per_second = (plan.batch * 50).to_string();
    let arguments: Vec<String> = [
        "--load-ms",
        "100",
        "--store-loads-per-second",
        "10",
        "--step-ms",
        "20",
        "--fencing",
        "refuses",
        "--accelerators",
        "24576",
        "--batch",
        &batch,
        "--tokens-per-second",
        &tokens_per_second,
    ]
    .map(str::to_owned)
    .to_vec();
    let backend = |name, kind, arguments| BackendOptions {
        name,
        domain: DOMAIN.into(),
        kind,
        address: None,
        arguments,
    };
    let mut backends: Vec<BackendOptions> = (1..=plan.engines)
        .map(|number| {
            backend(
                format_smolstr!("runner-{number}"),
                BackendKind::Engine,
                arguments.clone(),
            )
        })
        .collect();
    backends.push(backend(SERVICE_INSTANCE.into(), BackendKind::Service, Vec::new()));
    ClusterOptions {
        domains: vec![DomainOptions {
            name: DOMAIN.into(),
            region: REGION.into(),
            nodes: 1,
        }],
        backends,
        platform_arguments: Vec::new(),
        platform_settings: String::new(),
        extra_settings: settings.to_owned(),
    }
}
