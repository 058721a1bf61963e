//! One node with its settings file and addresses.

use std::{
    net::{SocketAddr, SocketAddrV4},
    path::PathBuf,
    time::Duration,
};

use hyper::{Method, StatusCode};
use smol_str::SmolStr;

use super::{
    child::{ChildProcess, HarnessError, TooLateSnafu},
    scratch::{ScratchFolder, free_address},
};
use crate::http::{call, plain_request};

/// Time between two looks at whether a process answers.
const POLL_STEP: Duration = Duration::from_millis(20);

/// Addresses that a node listens on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeAddresses {
    /// Callers' listener.
    pub callers: SocketAddrV4,
    /// Operators' listener.
    pub operators: SocketAddrV4,
    /// Listener for other nodes.
    pub peers: SocketAddrV4,
}

impl NodeAddresses {
    /// Picks free loopback addresses.
    ///
    /// # Errors
    /// [`HarnessError::Process`] when no port is free.
    pub fn pick() -> Result<Self, HarnessError> {
        Ok(Self {
            callers: free_address()?,
            operators: free_address()?,
            peers: free_address()?,
        })
    }
}

/// What a node's settings file says beside its addresses.
#[derive(Clone, Debug)]
pub(super) struct NodePlan {
    pub name: SmolStr,
    pub domain: SmolStr,
    pub region: SmolStr,
    pub platform: SocketAddr,
    pub operator_key_file: PathBuf,
    pub peer_key_file: PathBuf,
    pub platform_settings: String,
    pub extra_settings: String,
}

/// A running node.
#[derive(Debug)]
pub struct RunningNode {
    /// Name of the node.
    pub name: SmolStr,
    /// Failure domain of the node.
    pub domain: SmolStr,
    /// Addresses of its listeners.
    pub addresses: NodeAddresses,
    /// The process.
    pub process: ChildProcess,
    program: PathBuf,
    settings: PathBuf,
    folder: PathBuf,
}

impl RunningNode {
    pub(super) fn start(plan: &NodePlan, program: PathBuf, scratch: &ScratchFolder) -> Result<Self, HarnessError> {
        let addresses = NodeAddresses::pick()?;
        let text = settings_text(plan, addresses);
        let settings = scratch.write(&format!("{}.toml", plan.name), &text)?;
        let folder = scratch.path().to_owned();
        let arguments = settings_arguments(&settings);
        Ok(Self {
            name: plan.name.clone(),
            domain: plan.domain.clone(),
            addresses,
            process: ChildProcess::start(&plan.name, &program, &arguments, &folder)?,
            program,
            settings,
            folder,
        })
    }

    /// Starts the node again after it has ended, with the same settings and an empty memory.
    ///
    /// # Errors
    /// [`HarnessError`] when the process cannot be started.
    pub fn restart(&mut self) -> Result<(), HarnessError> {
        self.process.kill()?;
        let arguments = settings_arguments(&self.settings);
        self.process = ChildProcess::start(&self.name, &self.program, &arguments, &self.folder)?;
        Ok(())
    }

    /// Waits until the process answers on its operators' listener.
    ///
    /// # Errors
    /// [`HarnessError::TooLate`] when it does not.
    pub async fn wait_healthy(&self, limit: Duration) -> Result<(), HarnessError> {
        wait_for_status(&self.name, self.addresses.operators.into(), "/healthz", limit).await
    }

    /// Waits until the node takes callers' requests, for which it needs a configuration.
    ///
    /// # Errors
    /// [`HarnessError::TooLate`] when it does not.
    pub async fn wait_ready(&self, limit: Duration) -> Result<(), HarnessError> {
        wait_for_status(&self.name, self.addresses.operators.into(), "/readyz", limit).await
    }
}

fn settings_arguments(settings: &std::path::Path) -> Vec<String> {
    vec!["--settings".to_owned(), settings.display().to_string()]
}

fn settings_text(plan: &NodePlan, addresses: NodeAddresses) -> String {
    let NodeAddresses {
        callers,
        operators,
        peers,
    } = addresses;
    format!(
        "[node]\nname = \"{}\"\ndomain = \"{}\"\nregion = \"{}\"\n\n[callers]\nlisten = \"{callers}\"\n\n\
         [operators]\nlisten = \"{operators}\"\nkey_file = \"{}\"\n\n[peers]\nlisten = \"{peers}\"\n\
         key_file = \"{}\"\n\n[platform]\naddress = \"{}\"\n{}\n{}",
        plan.name,
        plan.domain,
        plan.region,
        plan.operator_key_file.display(),
        plan.peer_key_file.display(),
        plan.platform,
        plan.platform_settings,
        plan.extra_settings,
    )
}

/// Waits until `path` answers with status 200.
pub(super) async fn wait_for_status(
    name: &str,
    address: SocketAddr,
    path: &str,
    limit: Duration,
) -> Result<(), HarnessError> {
    let is_answered = async {
        loop {
            let answer = call(address, plain_request(Method::GET, path)).await;
            if answer.is_ok_and(|answer| answer.status == StatusCode::OK) {
                return;
            }
            tokio::time::sleep(POLL_STEP).await;
        }
    };
    let problem = "did not become ready";
    let name = name.to_owned();
    tokio::time::timeout(limit, is_answered)
        .await
        .map_err(|_elapsed| TooLateSnafu { name, problem, limit }.build())
}
