//! A whole deployment: platform, failure domains with nodes, and backend servers.

use std::{
    net::{SocketAddr, SocketAddrV4},
    time::Duration,
};

use hyper::{Method, StatusCode};
use mustardgate_core::ports::{VmEntry, VmRole, VmState};
use serde::{Serialize, de::DeserializeOwned};
use smol_str::{SmolStr, format_smolstr};
use snafu::ResultExt;

use super::{
    binaries::BinarySet,
    child::{ChildProcess, HarnessError, ProcessSnafu},
    node::{NodePlan, RunningNode, wait_for_status},
    proxy::FaultProxy,
    scratch::{ScratchFolder, free_address},
};
use crate::{
    http::{CallAnswer, call, json_request, plain_request},
    platform::{ADDRESSES_ADMIN_PATH, AddressOverride, FAULTS_PATH, PlatformFaults, STATS_PATH, VMS_ADMIN_PATH},
};

/// Time within which a process must answer after its start.
const START_LIMIT: Duration = Duration::from_secs(20);
const OPERATOR_KEY_FILE: &str = "operators.key";
const PEER_KEY_FILE: &str = "peers.key";

/// What to start.
#[derive(Clone, Debug, Default)]
pub struct ClusterOptions {
    /// Failure domains, each with nodes of its own.
    pub domains: Vec<DomainOptions>,
    /// Backend servers.
    pub backends: Vec<BackendOptions>,
    /// Further arguments of the platform.
    pub platform_arguments: Vec<String>,
    /// Further keys of the section `platform` of every node's settings file.
    pub platform_settings: String,
    /// Further sections of every node's settings file.
    pub extra_settings: String,
}

/// One failure domain.
#[derive(Clone, Debug)]
pub struct DomainOptions {
    /// Name of the failure domain.
    pub name: SmolStr,
    /// Region it belongs to.
    pub region: SmolStr,
    /// Number of nodes, named `{domain}-node-{number}` from 1.
    pub nodes: usize,
}

/// One backend server.
#[derive(Clone, Debug)]
pub struct BackendOptions {
    /// Name of the backend server.
    pub name: SmolStr,
    /// Failure domain it stands in.
    pub domain: SmolStr,
    /// Which stand-in runs.
    pub kind: BackendKind,
    /// Address to listen on; a free one if `None`.
    pub address: Option<SocketAddr>,
    /// Further arguments.
    pub arguments: Vec<String>,
}

/// Which stand-in a backend server runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendKind {
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
}

/// A running backend server.
#[derive(Debug)]
pub struct RunningBackend {
    /// Name of the backend server.
    pub name: SmolStr,
    /// Address of its listener.
    pub address: SocketAddr,
    /// The process.
    pub process: ChildProcess,
}

/// A running deployment; everything ends with it.
///
/// Fields are dropped in order: processes before the relays between them, and the folder with their files last.
#[derive(Debug)]
pub struct TestCluster {
    /// Nodes.
    pub nodes: Vec<RunningNode>,
    /// Backend servers.
    pub backends: Vec<RunningBackend>,
    /// The platform.
    pub platform: ChildProcess,
    /// Address of the platform that no relay stands before.
    pub platform_address: SocketAddr,
    /// Relays between each failure domain and the platform.
    pub platform_proxies: Vec<PlatformProxy>,
    /// Relays between each failure domain and the nodes of each other one.
    pub peer_proxies: Vec<PeerProxy>,
    /// Bearer key of operators.
    pub operator_key: String,
    scratch: ScratchFolder,
}

/// The relay between a failure domain and the platform.
#[derive(Debug)]
pub struct PlatformProxy {
    /// Failure domain.
    pub domain: SmolStr,
    /// The relay.
    pub proxy: FaultProxy,
}

/// The relay through which a failure domain reaches one node of another.
#[derive(Debug)]
pub struct PeerProxy {
    /// Failure domain that connects.
    pub from: SmolStr,
    /// Failure domain of the node.
    pub to: SmolStr,
    /// The relay.
    pub proxy: FaultProxy,
}

impl TestCluster {
    /// Starts everything and waits until each process answers.
    ///
    /// # Errors
    /// [`HarnessError`] of the first process that cannot be started.
    pub async fn start(options: ClusterOptions) -> Result<Self, HarnessError> {
        let binaries = BinarySet::locate()?;
        let scratch = ScratchFolder::create()?;
        let platform_address = SocketAddr::from(free_address()?);
        let views: Vec<SocketAddrV4> = options
            .domains
            .iter()
            .map(|_| free_address())
            .collect::<Result<_, _>>()?;
        let mut arguments = vec!["--listen".to_owned(), platform_address.to_string()];
        for (domain, view) in options.domains.iter().zip(&views) {
            arguments.extend(["--view".to_owned(), format!("{}={view}", domain.name)]);
        }
        arguments.extend(options.platform_arguments.iter().cloned());
        let platform = ChildProcess::start("platform", &binaries.standin("platform")?, &arguments, scratch.path())?;
        wait_for_status("platform", platform_address, STATS_PATH, START_LIMIT).await?;
        let mut cluster = Self {
            nodes: Vec::new(),
            backends: Vec::new(),
            platform,
            platform_address,
            platform_proxies: Vec::new(),
            peer_proxies: Vec::new(),
            operator_key: format!("operators-{}", std::process::id()),
            scratch,
        };
        // Once, before any node: a file that is written again is empty for a moment, in which a node may read it.
        cluster.scratch.write(OPERATOR_KEY_FILE, &cluster.operator_key)?;
        cluster.scratch.write(PEER_KEY_FILE, "peers of one test")?;
        for (domain, view) in options.domains.iter().zip(views) {
            cluster.start_domain(domain, view.into(), &binaries, &options).await?;
        }
        cluster.start_peer_proxies(&options.domains).await?;
        for backend in &options.backends {
            cluster.start_backend(backend, &options.domains, &binaries).await?;
        }
        for node in &cluster.nodes {
            node.wait_healthy(START_LIMIT).await?;
        }
        Ok(cluster)
    }

    /// Returns the folder with settings, keys and outputs.
    pub fn scratch(&self) -> &ScratchFolder {
        &self.scratch
    }

    /// Returns the relay between a failure domain and the platform.
    pub fn platform_proxy(&self, domain: &str) -> Option<&FaultProxy> {
        let found = self.platform_proxies.iter().find(|proxy| proxy.domain == domain);
        found.map(|found| &found.proxy)
    }

    /// Puts faults of the platform in force.
    ///
    /// # Errors
    /// [`HarnessError`] when the platform does not take them.
    pub async fn set_platform_faults(&self, faults: &PlatformFaults) -> Result<(), HarnessError> {
        post("platform", self.platform_address, FAULTS_PATH, faults).await
    }

    /// Puts faults of a backend server in force.
    ///
    /// # Errors
    /// [`HarnessError`] when the backend server does not take them.
    pub async fn set_backend_faults<T: Serialize>(&self, backend: &str, faults: &T) -> Result<(), HarnessError> {
        let backend = self.backend(backend)?;
        post(&backend.name, backend.address, crate::engine_http::FAULTS_PATH, faults).await
    }

    /// Reads what a backend server really did.
    ///
    /// # Errors
    /// [`HarnessError`] when it does not answer.
    pub async fn backend_stats<T: DeserializeOwned>(&self, backend: &str) -> Result<T, HarnessError> {
        let backend = self.backend(backend)?;
        let request = plain_request(Method::GET, crate::engine_http::STATS_PATH);
        let answer = checked(&backend.name, call(backend.address, request).await, StatusCode::OK)?;
        answer
            .json()
            .map_err(|error| unexpected(&backend.name, error.to_string()))
    }

    /// Returns a backend server.
    ///
    /// # Errors
    /// [`HarnessError::UnexpectedAnswer`] when there is none of that name.
    pub fn backend(&self, name: &str) -> Result<&RunningBackend, HarnessError> {
        let found = self.backends.iter().find(|backend| backend.name == name);
        found.ok_or_else(|| unexpected(name, "nothing: it was never started".to_owned()))
    }

    async fn start_domain(
        &mut self,
        domain: &DomainOptions,
        view: SocketAddr,
        binaries: &BinarySet,
        options: &ClusterOptions,
    ) -> Result<(), HarnessError> {
        let proxy = start_proxy(view).await?;
        let plan = NodePlan {
            name: SmolStr::default(),
            domain: domain.name.clone(),
            region: domain.region.clone(),
            platform: proxy.address(),
            operator_key_file: self.scratch.path().join(OPERATOR_KEY_FILE),
            peer_key_file: self.scratch.path().join(PEER_KEY_FILE),
            platform_settings: options.platform_settings.clone(),
            extra_settings: options.extra_settings.clone(),
        };
        let domain_name = domain.name.clone();
        self.platform_proxies.push(PlatformProxy {
            domain: domain_name,
            proxy,
        });
        for number in 1..=domain.nodes {
            let name = format_smolstr!("{}-node-{number}", domain.name);
            let plan = NodePlan { name, ..plan.clone() };
            let node = RunningNode::start(&plan, binaries.program("mustardgate")?, &self.scratch)?;
            let address = node.addresses.peers.into();
            self.list_vm(&node.name, VmRole::Entry, domain, address).await?;
            self.nodes.push(node);
        }
        Ok(())
    }

    /// Makes every failure domain see the nodes of the others behind relays of its own.
    async fn start_peer_proxies(&mut self, domains: &[DomainOptions]) -> Result<(), HarnessError> {
        for domain in domains {
            for node in self.nodes.iter().filter(|node| node.domain != domain.name) {
                let proxy = start_proxy(node.addresses.peers.into()).await?;
                let shown = AddressOverride {
                    view: domain.name.clone(),
                    vm: node.name.clone(),
                    address: proxy.address(),
                };
                post("platform", self.platform_address, ADDRESSES_ADMIN_PATH, &shown).await?;
                self.peer_proxies.push(PeerProxy {
                    from: domain.name.clone(),
                    to: node.domain.clone(),
                    proxy,
                });
            }
        }
        Ok(())
    }

    async fn start_backend(
        &mut self,
        backend: &BackendOptions,
        domains: &[DomainOptions],
        binaries: &BinarySet,
    ) -> Result<(), HarnessError> {
        let address = match backend.address {
            Some(address) => address,
            None => free_address()?.into(),
        };
        let program = match backend.kind {
            BackendKind::Engine => binaries.standin("engine")?,
            BackendKind::Service => binaries.standin("service")?,
        };
        let mut arguments = vec!["--listen".to_owned(), address.to_string()];
        arguments.extend(["--name".to_owned(), backend.name.to_string()]);
        arguments.extend(backend.arguments.iter().cloned());
        let process = ChildProcess::start(&backend.name, &program, &arguments, self.scratch.path())?;
        wait_for_status(&backend.name, address, crate::engine_http::STATS_PATH, START_LIMIT).await?;
        if let Some(domain) = domains.iter().find(|domain| domain.name == backend.domain) {
            self.list_vm(&backend.name, VmRole::Backend, domain, address).await?;
        }
        let name = backend.name.clone();
        self.backends.push(RunningBackend { name, address, process });
        Ok(())
    }

    async fn list_vm(
        &self,
        name: &SmolStr,
        role: VmRole,
        domain: &DomainOptions,
        address: SocketAddr,
    ) -> Result<(), HarnessError> {
        let entry = VmEntry {
            name: name.clone(),
            role,
            domain: domain.name.clone(),
            region: domain.region.clone(),
            address,
            state: VmState::Live,
        };
        post("platform", self.platform_address, VMS_ADMIN_PATH, &entry).await
    }
}

async fn start_proxy(target: SocketAddr) -> Result<FaultProxy, HarnessError> {
    FaultProxy::start(target).await.context(ProcessSnafu { name: "proxy" })
}

async fn post<T: Serialize>(name: &str, address: SocketAddr, path: &str, value: &T) -> Result<(), HarnessError> {
    let answer = call(address, json_request(Method::POST, path, value)).await;
    checked(name, answer, StatusCode::NO_CONTENT).map(drop)
}

fn checked(
    name: &str,
    answer: Result<CallAnswer, crate::http::CallError>,
    expected: StatusCode,
) -> Result<CallAnswer, HarnessError> {
    let answer = answer.map_err(|error| unexpected(name, error.to_string()))?;
    if answer.status == expected {
        Ok(answer)
    } else {
        Err(unexpected(name, format!("status {}", answer.status)))
    }
}

fn unexpected(name: &str, answer: String) -> HarnessError {
    let name = name.to_owned();
    HarnessError::UnexpectedAnswer { name, answer }
}
