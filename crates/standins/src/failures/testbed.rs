//! A running deployment with what a fault needs: who leads, what to break, and what was measured.

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
    harness::{RelayMode, TestCluster},
    http::{call, json_request},
    platform::{PlatformFaults, VMS_ADMIN_PATH},
};

/// Time within which a new deployment must serve every model on every node.
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// Time for one look at a node's status.
const STATUS_TIMEOUT: Duration = Duration::from_millis(500);
/// Time between two looks at something that has to come about.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Where to reach a node.
#[derive(Clone, Debug)]
pub struct NodeTarget {
    /// Name of the node.
    pub name: NodeId,
    /// Failure domain of the node.
    pub domain: DomainId,
    /// Callers' listener.
    pub callers: SocketAddr,
    /// Client of its operators' listener.
    pub api: ApiClient,
}

impl NodeTarget {
    /// Reads the status of the node, or returns `None` when it does not answer soon.
    pub async fn status(&self) -> Option<NodeStatus> {
        tokio::time::timeout(STATUS_TIMEOUT, self.api.status()).await.ok()?.ok()
    }

    async fn serves_everything(&self) -> bool {
        let Ok(Ok(models)) = tokio::time::timeout(STATUS_TIMEOUT, self.api.list(ResourceKind::Model)).await else {
            return false;
        };
        let mut conditions = models.items.iter().flat_map(|model| &model.status.conditions);
        !models.items.is_empty() && conditions.all(|condition| condition.holds)
    }
}

/// A running deployment in which faults are brought about.
#[derive(Debug)]
pub struct FaultTestbed {
    /// The processes.
    pub cluster: TestCluster,
    /// Nodes, in the order of `cluster.nodes`.
    pub targets: Arc<Vec<NodeTarget>>,
    /// Seed of the traffic.
    pub seed: u64,
    /// Nodes that were killed or frozen, whose connections cannot but break.
    pub impaired: BTreeSet<usize>,
    /// Nodes whose process has ended.
    pub ended: BTreeSet<usize>,
    /// Nodes that could not reach the platform for a while.
    pub cut_off: BTreeSet<usize>,
    /// What was measured, in the unit that the name ends with.
    pub figures: BTreeMap<String, f64>,
    /// Promises broken that the fault itself saw.
    pub violations: Vec<String>,
}

impl FaultTestbed {
    /// Starts the deployment and waits until every node serves every model.
    ///
    /// # Errors
    /// [`FailureError`] when it does not get there.
    pub async fn start(seed: u64) -> Result<Self, FailureError> {
        let cluster = TestCluster::start(cluster_options(seed)).await?;
        let key = cluster.operator_key.clone();
        let targets: Vec<NodeTarget> = cluster
            .nodes
            .iter()
            .map(|node| NodeTarget {
                name: node.name.clone(),
                domain: node.domain.clone(),
                callers: node.addresses.callers.into(),
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
                target.serves_everything()
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

    /// Waits until some node of a failure domain leads it, other than `except`, and returns that node.
    ///
    /// # Errors
    /// [`FailureError::Unmet`] when none does.
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
                if self.leads(node).await {
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

    async fn leads(&self, node: usize) -> bool {
        let target = &self.targets[node];
        let status = target.status().await;
        status.is_some_and(|status| {
            let mut leaders = status.domains.iter().filter_map(|domain| domain.leader.as_ref());
            leaders.any(|leader| *leader == target.name)
        })
    }

    /// Ends a node at once.
    ///
    /// # Errors
    /// [`FailureError::Harness`] when the signal cannot be sent.
    pub fn kill(&mut self, node: usize) -> Result<(), FailureError> {
        self.impaired.insert(node);
        self.ended.insert(node);
        Ok(self.cluster.nodes[node].process.kill()?)
    }

    /// Freezes a node.
    ///
    /// # Errors
    /// [`FailureError::Harness`] when the signal cannot be sent.
    pub fn freeze(&mut self, node: usize) -> Result<(), FailureError> {
        self.impaired.insert(node);
        Ok(self.cluster.nodes[node].process.freeze()?)
    }

    /// Continues a frozen node.
    ///
    /// # Errors
    /// [`FailureError::Harness`] when the signal cannot be sent.
    pub fn resume(&mut self, node: usize) -> Result<(), FailureError> {
        Ok(self.cluster.nodes[node].process.resume()?)
    }

    /// Cuts a failure domain off from the platform and from the nodes of other failure domains.
    pub fn cut_domain(&mut self, domain: &str, mode: RelayMode) {
        let nodes = self.nodes_of(domain);
        self.cut_off.extend(nodes);
        self.set_domain_mode(domain, mode);
    }

    /// Ends a cut.
    pub fn heal_domain(&mut self, domain: &str) {
        self.set_domain_mode(domain, RelayMode::Open);
    }

    fn set_domain_mode(&self, domain: &str, mode: RelayMode) {
        if let Some(relay) = self.cluster.platform_relay(domain) {
            relay.set_mode(mode);
        }
        for peer in &self.cluster.peer_relays {
            if peer.from == domain || peer.to == domain {
                peer.relay.set_mode(mode);
            }
        }
    }

    /// Puts faults of the platform in force.
    ///
    /// # Errors
    /// [`FailureError::Harness`] when the platform does not take them.
    pub async fn set_platform(&self, faults: &PlatformFaults) -> Result<(), FailureError> {
        Ok(self.cluster.set_platform_faults(faults).await?)
    }

    /// Marks a backend server as leaving in the platform's list.
    ///
    /// # Errors
    /// [`FailureError`] when the platform does not take it.
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

    /// Notes a measured value.
    pub fn record_figure(&mut self, figure: &str, value: f64) {
        self.figures.insert(figure.to_owned(), value);
    }
}

/// Waits until a condition holds.
///
/// # Errors
/// [`FailureError::Unmet`] when it does not within `limit`.
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
