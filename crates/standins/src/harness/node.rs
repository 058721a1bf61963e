//! A node process with its settings file and addresses.

use std::{
    net::{SocketAddr, SocketAddrV4},
    path::PathBuf,
    time::Duration,
};

use hyper::{Method, StatusCode};
use smol_str::SmolStr;

use super::{
    child::{ChildProcess, HarnessError, TimedOutSnafu},
    scratch::{ScratchDirectory, free_address},
};
use crate::http::{call, plain_request};

/// Time between two checks whether a process answers.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Addresses that a node listens on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeAddresses {
    /// Listener for callers.
    pub callers: SocketAddrV4,
    /// Listener for operators.
    pub operators: SocketAddrV4,
    /// Listener for other nodes.
    pub peers: SocketAddrV4,
}

impl NodeAddresses {
    /// Returns free loopback addresses.
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

/// Values of a node's settings file other than its own addresses.
#[derive(Clone, Debug)]
pub(super) struct NodeSettings {
    pub name: SmolStr,
    pub domain: SmolStr,
    pub region: SmolStr,
    pub platform_address: SocketAddr,
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
    settings_file: PathBuf,
    output_directory: PathBuf,
}

impl RunningNode {
    pub(super) fn start(
        settings: &NodeSettings,
        program: PathBuf,
        scratch: &ScratchDirectory,
    ) -> Result<Self, HarnessError> {
        let addresses = NodeAddresses::pick()?;
        let text = settings_text(settings, addresses);
        let settings_file = scratch.write(&format!("{}.toml", settings.name), &text)?;
        let output_directory = scratch.path().to_owned();
        let arguments = settings_arguments(&settings_file);
        Ok(Self {
            name: settings.name.clone(),
            domain: settings.domain.clone(),
            addresses,
            process: ChildProcess::start(&settings.name, &program, &arguments, &output_directory)?,
            program,
            settings_file,
            output_directory,
        })
    }

    /// Kills the node if it still runs, and starts it again with the same settings file.
    ///
    /// # Errors
    /// [`HarnessError`] when the process cannot be started.
    pub fn restart(&mut self) -> Result<(), HarnessError> {
        self.process.kill()?;
        let arguments = settings_arguments(&self.settings_file);
        self.process = ChildProcess::start(&self.name, &self.program, &arguments, &self.output_directory)?;
        Ok(())
    }

    /// Waits until the node answers its health check on the listener for operators.
    ///
    /// # Errors
    /// [`HarnessError::TimedOut`] when it does not within `limit`.
    pub async fn wait_healthy(&self, limit: Duration) -> Result<(), HarnessError> {
        wait_for_status(&self.name, self.addresses.operators.into(), "/healthz", limit).await
    }

    /// Waits until the node accepts callers' requests, for which it needs a configuration.
    ///
    /// # Errors
    /// [`HarnessError::TimedOut`] when it does not within `limit`.
    pub async fn wait_ready(&self, limit: Duration) -> Result<(), HarnessError> {
        wait_for_status(&self.name, self.addresses.operators.into(), "/readyz", limit).await
    }
}

fn settings_arguments(settings_file: &std::path::Path) -> Vec<String> {
    vec!["--settings".to_owned(), settings_file.display().to_string()]
}

fn settings_text(settings: &NodeSettings, addresses: NodeAddresses) -> String {
    let NodeAddresses {
        callers,
        operators,
        peers,
    } = addresses;
    format!(
        "[node]\nname = \"{}\"\ndomain = \"{}\"\nregion = \"{}\"\n\n[callers]\nlisten = \"{callers}\"\n\n\
         [operators]\nlisten = \"{operators}\"\nkey_file = \"{}\"\n\n[peers]\nlisten = \"{peers}\"\n\
         key_file = \"{}\"\n\n[platform]\naddress = \"{}\"\n{}\n{}",
        settings.name,
        settings.domain,
        settings.region,
        settings.operator_key_file.display(),
        settings.peer_key_file.display(),
        settings.platform_address,
        settings.platform_settings,
        settings.extra_settings,
    )
}

/// Waits until a `GET` request for `path` is answered with status 200.
pub(super) async fn wait_for_status(
    name: &str,
    address: SocketAddr,
    path: &str,
    limit: Duration,
) -> Result<(), HarnessError> {
    let answered = async {
        loop {
            let answer = call(address, plain_request(Method::GET, path)).await;
            if answer.is_ok_and(|answer| answer.status == StatusCode::OK) {
                return;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    let problem = "did not become ready";
    let name = name.to_owned();
    tokio::time::timeout(limit, answered)
        .await
        .map_err(|_elapsed| TimedOutSnafu { name, problem, limit }.build())
}
