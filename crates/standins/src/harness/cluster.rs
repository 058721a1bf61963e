//! A deployment for tests: the platform, failure domains with nodes, and backend servers.

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
    node::{NodeSettings, RunningNode, wait_for_status},
    proxy::FaultProxy,
    scratch::{ScratchDirectory, free_address},
};
use crate::{
    http::{CallAnswer, call, json_request, plain_request},
    platform::{ADDRESSES_ADMIN_PATH, AddressOverride, FAULTS_PATH, PlatformFaults, STATS_PATH, VMS_ADMIN_PATH},
};

/// Time within which a process must answer after its start.
const START_TIMEOUT: Duration = Duration::from_secs(20);
const OPERATOR_KEY_FILE: &str = "operators.key";
const PEER_KEY_FILE: &str = "peers.key";

/// Composition and settings of a deployment.
#[derive(Clone, Debug, Default)]
pub struct ClusterOptions {
    /// Failure domains with their nodes.
    pub domains: Vec<DomainOptions>,
    /// Backend servers.
    pub backends: Vec<BackendOptions>,
    /// Additional arguments of the platform.
    pub platform_arguments: Vec<String>,
    /// Additional keys for the section `platform` of every node's settings file, as TOML text.
    pub platform_settings: String,
    /// Additional sections of every node's settings file, as TOML text.
    pub extra_settings: String,
}

/// Options of one failure domain.
#[derive(Clone, Debug)]
pub struct DomainOptions {
    /// Name of the failure domain.
    pub name: SmolStr,
    /// Region of the failure domain.
    pub region: SmolStr,
    /// Number of nodes, named `{domain}-node-{number}` from 1.
    pub nodes: usize,
}

/// Options of one backend server.
#[derive(Clone, Debug)]
pub struct BackendOptions {
    /// Name of the backend server.
    pub name: SmolStr,
    /// Failure domain of the backend server.
    pub domain: SmolStr,
    /// Which stand-in runs.
    pub kind: BackendKind,
    /// Address to listen on; `None` selects a free one.
    pub address: Option<SocketAddr>,
    /// Additional arguments of the stand-in.
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

/// A running deployment, whose processes end when it is dropped.
///
/// Fields are dropped in order: processes before the proxies between them, and the directory with their files last.
#[derive(Debug)]
pub struct TestCluster {
    /// Nodes of all failure domains.
    pub nodes: Vec<RunningNode>,
    /// Backend servers.
    pub backends: Vec<RunningBackend>,
    /// Process of the platform's stand-in.
    pub platform: ChildProcess,
    /// Address at which the platform is reached without a proxy.
    pub platform_address: SocketAddr,
    /// Proxies between each failure domain and the platform.
    pub platform_proxies: Vec<PlatformProxy>,
    /// Proxies between each failure domain and the nodes of each other one.
    pub peer_proxies: Vec<PeerProxy>,
    /// Bearer key of operators.
    pub operator_key: String,
    scratch: ScratchDirectory,
}

/// The proxy through which a failure domain reaches the platform.
#[derive(Debug)]
pub struct PlatformProxy {
    /// Failure domain.
    pub domain: SmolStr,
    /// The proxy.
    pub proxy: FaultProxy,
}

/// The proxy through which a failure domain reaches one node of another.
#[derive(Debug)]
pub struct PeerProxy {
    /// Failure domain whose nodes connect.
    pub from: SmolStr,
    /// Failure domain of the node to which they connect.
    pub to: SmolStr,
    /// The proxy.
    pub proxy: FaultProxy,
}

impl TestCluster {
    /// Starts the deployment and waits until each process answers.
    ///
    /// # Errors
    /// [`HarnessError`] of the first process that cannot be started or does not answer in time.
    pub async fn start(options: ClusterOptions) -> Result<Self, HarnessError> {
        let binaries = BinarySet::locate()?;
        let scratch = ScratchDirectory::create()?;
        let platform_address = SocketAddr::from(free_address()?);
        let view_addresses: Vec<SocketAddrV4> = options
            .domains
            .iter()
            .map(|_| free_address())
            .collect::<Result<_, _>>()?;
        let mut arguments = vec!["--listen".to_owned(), platform_address.to_string()];
        for (domain, address) in options.domains.iter().zip(&view_addresses) {
            arguments.extend(["--view".to_owned(), format!("{}={address}", domain.name)]);
        }
        arguments.extend(options.platform_arguments.iter().cloned());
        let platform = ChildProcess::start("platform", &binaries.standin("platform")?, &arguments, scratch.path())?;
        wait_for_status("platform", platform_address, STATS_PATH, START_TIMEOUT).await?;
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
        // The key files are written only once, before any node starts: rewriting leaves a file empty for a moment in
        // which a node could read it.
        cluster.scratch.write(OPERATOR_KEY_FILE, &cluster.operator_key)?;
        cluster.scratch.write(PEER_KEY_FILE, "peers of one test")?;
        for (domain, address) in options.domains.iter().zip(view_addresses) {
            cluster
                .start_domain(domain, address.into(), &binaries, &options)
                .await?;
        }
        cluster.start_peer_proxies(&options.domains).await?;
        for backend in &options.backends {
            cluster.start_backend(backend, &options.domains, &binaries).await?;
        }
        for node in &cluster.nodes {
            node.wait_healthy(START_TIMEOUT).await?;
        }
        Ok(cluster)
    }

    /// Returns the directory with the settings, keys and outputs of the processes.
    pub fn scratch(&self) -> &ScratchDirectory {
        &self.scratch
    }

    /// Returns the proxy between a failure domain and the platform.
    pub fn platform_proxy(&self, domain: &str) -> Option<&FaultProxy> {
        let found = self.platform_proxies.iter().find(|proxy| proxy.domain == domain);
        found.map(|found| &found.proxy)
    }

    /// Sets the faults of the platform.
    ///
    /// # Errors
    /// [`HarnessError`] when the platform does not accept them.
    pub async fn set_platform_faults(&self, faults: &PlatformFaults) -> Result<(), HarnessError> {
        post("platform", self.platform_address, FAULTS_PATH, faults).await
    }

    /// Sets the faults of a backend server.
    ///
    /// # Errors
    /// [`HarnessError`] when the backend server does not accept them.
    pub async fn set_backend_faults<T: Serialize>(&self, backend: &str, faults: &T) -> Result<(), HarnessError> {
        let backend = self.backend(backend)?;
        post(&backend.name, backend.address, crate::engine_http::FAULTS_PATH, faults).await
    }

    /// Reads the statistics of a backend server.
    ///
    /// # Errors
    /// [`HarnessError`] when it does not answer, or the answer cannot be parsed.
    pub async fn backend_stats<T: DeserializeOwned>(&self, backend: &str) -> Result<T, HarnessError> {
        let backend = self.backend(backend)?;
        let request = plain_request(Method::GET, crate::engine_http::STATS_PATH);
        let answer = expect_status(&backend.name, call(backend.address, request).await, StatusCode::OK)?;
        answer
            .json()
            .map_err(|error| unexpected_answer(&backend.name, error.to_string()))
    }

    /// Returns the backend server with the given name.
    ///
    /// # Errors
    /// [`HarnessError::UnexpectedAnswer`] when there is none.
    pub fn backend(&self, name: &str) -> Result<&RunningBackend, HarnessError> {
        let found = self.backends.iter().find(|backend| backend.name == name);
        found.ok_or_else(|| unexpected_answer(name, "no backend server of this name was started".to_owned()))
    }

    async fn start_domain(
        &mut self,
        domain: &DomainOptions,
        view_address: SocketAddr,
        binaries: &BinarySet,
        options: &ClusterOptions,
    ) -> Result<(), HarnessError> {
        let proxy = start_proxy(view_address).await?;
        let settings = NodeSettings {
            name: SmolStr::default(),
            domain: domain.name.clone(),
            region: domain.region.clone(),
            platform_address: proxy.address(),
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
            let settings = NodeSettings {
                name,
                ..settings.clone()
            };
            let node = RunningNode::start(&settings, binaries.program("mustardgate")?, &self.scratch)?;
            let address = node.addresses.peers.into();
            self.add_vm(&node.name, VmRole::Entry, domain, address).await?;
            self.nodes.push(node);
        }
        Ok(())
    }

    /// Starts a proxy for each pair of a failure domain and a node of another one, and sets its address as the node's
    /// address in the list of VMs that the platform returns to that failure domain.
    async fn start_peer_proxies(&mut self, domains: &[DomainOptions]) -> Result<(), HarnessError> {
        for domain in domains {
            for node in self.nodes.iter().filter(|node| node.domain != domain.name) {
                let proxy = start_proxy(node.addresses.peers.into()).await?;
                let address_override = AddressOverride {
                    view: domain.name.clone(),
                    vm: node.name.clone(),
                    address: proxy.address(),
                };
                post(
                    "platform",
                    self.platform_address,
                    ADDRESSES_ADMIN_PATH,
                    &address_override,
                )
                .await?;
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
        wait_for_status(&backend.name, address, crate::engine_http::STATS_PATH, START_TIMEOUT).await?;
        if let Some(domain) = domains.iter().find(|domain| domain.name == backend.domain) {
            self.add_vm(&backend.name, VmRole::Backend, domain, address).await?;
        }
        let name = backend.name.clone();
        self.backends.push(RunningBackend { name, address, process });
        Ok(())
    }

    async fn add_vm(
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
    expect_status(name, answer, StatusCode::NO_CONTENT).map(drop)
}

fn expect_status(
    name: &str,
    answer: Result<CallAnswer, crate::http::CallError>,
    expected: StatusCode,
) -> Result<CallAnswer, HarnessError> {
    let answer = answer.map_err(|error| unexpected_answer(name, error.to_string()))?;
    if answer.status == expected {
        Ok(answer)
    } else {
        Err(unexpected_answer(name, format!("status {}", answer.status)))
    }
}

fn unexpected_answer(name: &str, answer: String) -> HarnessError {
    let name = name.to_owned();
    HarnessError::UnexpectedAnswer { name, answer }
}
