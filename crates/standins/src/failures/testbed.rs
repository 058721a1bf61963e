//! A running deployment for fault injection: finds leaders, injects faults, and collects measurements.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use hyper::{Method, StatusCode};
use mustardctl::client::ApiClient;
use mustardgate_core::{
    ids::{DomainId, NodeId},
    ports::{VmEntry, VmRole, VmState},
    resources::ResourceKind,
};
use mustardgate_protocol::operators::NodeStatus;
use tokio::time::Instant;

use super::{
    declarations::{cluster_options, declare_all},
    error::{FailureError, UnmetSnafu},
};
use crate::{
    harness::{ProxyMode, TestCluster},
    http::{call, json_request},
    platform::{PlatformFaults, VMS_ADMIN_PATH},
};

/// Time within which a new deployment must serve every model on every node.
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// Timeout of one request for the status of a node.
const STATUS_TIMEOUT: Duration = Duration::from_millis(500);
/// Time between two checks of an awaited condition.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A node of the deployment, with its address and client.
#[derive(Clone, Debug)]
pub struct NodeTarget {
    /// Name of the node.
    pub name: NodeId,
    /// Failure domain of the node.
    pub domain: DomainId,
    /// Address of the node's listener for callers.
    pub callers_address: SocketAddr,
    /// Client for the node's operator API.
    pub api: ApiClient,
}

impl NodeTarget {
    /// Reads the status of the node, or returns `None` when that fails or exceeds [`STATUS_TIMEOUT`].
    pub async fn status(&self) -> Option<NodeStatus> {
        tokio::time::timeout(STATUS_TIMEOUT, self.api.status()).await.ok()?.ok()
    }

    async fn serves_all_models(&self) -> bool {
        let Ok(Ok(models)) = tokio::time::timeout(STATUS_TIMEOUT, self.api.list(ResourceKind::Model)).await else {
            return false;
        };
        let mut conditions = models.items.iter().flat_map(|model| &model.status.conditions);
        !models.items.is_empty() && conditions.all(|condition| condition.holds)
    }
}

/// A running deployment into which faults are injected.
#[derive(Debug)]
pub struct FaultTestbed {
    /// The processes of the deployment.
    pub cluster: TestCluster,
    /// Nodes, in the order of `cluster.nodes`.
    pub targets: Arc<Vec<NodeTarget>>,
    /// Seed of the traffic.
    pub seed: u64,
    /// Nodes that were killed or frozen, whose connections are expected to break.
    pub impaired: BTreeSet<usize>,
    /// Nodes whose process was killed or told to stop.
    pub ended: BTreeSet<usize>,
    /// Nodes that a fault cut off from the platform for some time.
    pub cut_off: BTreeSet<usize>,
    /// Measured values by name; each name ends with the unit.
    pub figures: BTreeMap<String, f64>,
    /// Violated guarantees that were found while the fault was being injected.
    pub violations: Vec<String>,
}

impl FaultTestbed {
    /// Starts the deployment and waits until every node serves every model.
    ///
    /// # Errors
    /// [`FailureError`] when it does not start, or does not serve every model in time.
    pub async fn start(seed: u64) -> Result<Self, FailureError> {
        let cluster = TestCluster::start(cluster_options(seed)).await?;
        let key = cluster.operator_key.clone();
        let targets: Vec<NodeTarget> = cluster
            .nodes
            .iter()
            .map(|node| NodeTarget {
                name: node.name.clone(),
                domain: node.domain.clone(),
                callers_address: node.addresses.callers.into(),
                api: ApiClient::new(node.addresses.operators.into(), Some(key.clone())),
            })
            .collect();
        declare_all(&targets[0].api, &cluster).await?;
        for node in &cluster.nodes {
            node.wait_ready(START_TIMEOUT).await?;
        }
        let testbed = Self {
            cluster,
            targets: Arc::new(targets),
            seed,
            impaired: BTreeSet::new(),
            ended: BTreeSet::new(),
            cut_off: BTreeSet::new(),
            figures: BTreeMap::new(),
            violations: Vec::new(),
        };
        for target in testbed.targets.iter() {
            wait_for("every model at every node", START_TIMEOUT, || {
                target.serves_all_models()
            })
            .await?;
        }
        Ok(testbed)
    }

    /// Returns the nodes of a failure domain.
    pub fn nodes_of(&self, domain: &str) -> Vec<usize> {
        let nodes = (0..self.targets.len()).filter(|node| self.targets[*node].domain == domain);
        nodes.collect()
    }

    /// Waits until a node of a failure domain, other than `except`, is its leader, and returns that node.
    ///
    /// # Errors
    /// [`FailureError::Unmet`] when there is none within `limit`.
    pub async fn wait_leader(
        &self,
        domain: &str,
        except: Option<usize>,
        limit: Duration,
    ) -> Result<usize, FailureError> {
        let deadline = Instant::now() + limit;
        let nodes = self.nodes_of(domain);
        while Instant::now() < deadline {
            for node in nodes.iter().copied().filter(|node| Some(*node) != except) {
                if self.is_leader(node).await {
                    return Ok(node);
                }
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        let limit_s = limit.as_secs_f64();
        UnmetSnafu {
            what: format!("a leader of {domain}"),
            limit_s,
        }
        .fail()
    }

    async fn is_leader(&self, node: usize) -> bool {
        let target = &self.targets[node];
        let status = target.status().await;
        status.is_some_and(|status| {
            let mut leaders = status.domains.iter().filter_map(|domain| domain.leader.as_ref());
            leaders.any(|leader| *leader == target.name)
        })
    }

    /// Kills a node (SIGKILL).
    ///
    /// # Errors
    /// [`FailureError::Harness`] when the signal cannot be sent.
    pub fn kill(&mut self, node: usize) -> Result<(), FailureError> {
        self.impaired.insert(node);
        self.ended.insert(node);
        Ok(self.cluster.nodes[node].process.kill()?)
    }

    /// Freezes a node (SIGSTOP).
    ///
    /// # Errors
    /// [`FailureError::Harness`] when the signal cannot be sent.
    pub fn freeze(&mut self, node: usize) -> Result<(), FailureError> {
        self.impaired.insert(node);
        Ok(self.cluster.nodes[node].process.freeze()?)
    }

    /// Resumes a frozen node (SIGCONT).
    ///
    /// # Errors
    /// [`FailureError::Harness`] when the signal cannot be sent.
    pub fn resume(&mut self, node: usize) -> Result<(), FailureError> {
        Ok(self.cluster.nodes[node].process.resume()?)
    }

    /// Cuts a failure domain off from the platform and from the nodes of other failure domains, in the directions that
    /// `mode` blocks.
    pub fn cut_domain(&mut self, domain: &str, mode: ProxyMode) {
        let nodes = self.nodes_of(domain);
        self.cut_off.extend(nodes);
        self.set_domain_mode(domain, mode);
    }

    /// Restores the connections of a failure domain.
    pub fn heal_domain(&mut self, domain: &str) {
        self.set_domain_mode(domain, ProxyMode::Open);
    }

    fn set_domain_mode(&self, domain: &str, mode: ProxyMode) {
        if let Some(proxy) = self.cluster.platform_proxy(domain) {
            proxy.set_mode(mode);
        }
        for peer in &self.cluster.peer_proxies {
            if peer.from == domain || peer.to == domain {
                peer.proxy.set_mode(mode);
            }
        }
    }

    /// Sets the faults of the platform; the default ones clear them.
    ///
    /// # Errors
    /// [`FailureError::Harness`] when the platform does not accept them.
    pub async fn set_platform_faults(&self, faults: &PlatformFaults) -> Result<(), FailureError> {
        Ok(self.cluster.set_platform_faults(faults).await?)
    }

    /// Marks a backend server as leaving in the platform's list.
    ///
    /// # Errors
    /// [`FailureError`] when the platform does not accept the change.
    pub async fn mark_leaving(&self, backend: &str) -> Result<(), FailureError> {
        let running = self.cluster.backend(backend)?;
        let domain = DomainId::from(backend.split('-').next().unwrap_or_default());
        let entry = VmEntry {
            name: running.name.clone(),
            role: VmRole::Backend,
            domain,
            region: "north".into(),
            address: running.address,
            state: VmState::Leaving,
        };
        let request = json_request(Method::POST, VMS_ADMIN_PATH, &entry);
        let answer = call(self.cluster.platform_address, request).await?;
        if answer.status == StatusCode::NO_CONTENT {
            return Ok(());
        }
        let what = format!("{backend} marked as leaving (status {})", answer.status);
        UnmetSnafu { what, limit_s: 0.0 }.fail()
    }

    /// Records a measured value.
    pub fn record_figure(&mut self, name: &str, value: f64) {
        self.figures.insert(name.to_owned(), value);
    }
}

/// Waits until a condition holds.
///
/// # Errors
/// [`FailureError::Unmet`] when it does not hold within `limit`.
pub(super) async fn wait_for<F, R>(what: &str, limit: Duration, holds: F) -> Result<(), FailureError>
where
    F: Fn() -> R,
    R: Future<Output = bool>,
{
    let deadline = Instant::now() + limit;
    while !holds().await {
        if Instant::now() >= deadline {
            let limit_s = limit.as_secs_f64();
            return UnmetSnafu { what, limit_s }.fail();
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Ok(())
}
