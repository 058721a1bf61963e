//! Settings of the operators' listener.

use std::{net::SocketAddr, path::PathBuf};

use serde::Deserialize;

/// The operators' listener, with health, readiness, metrics and the resource API.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorSettings {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// File with the operators' bearer key.
    pub key_file: PathBuf,
}
