//! Context of a subcommand: its arguments, the printer, and access to servers and the bearer key.

use std::{env, fs, net::SocketAddr};

use super::{arguments::ParsedArguments, errors::CommandError};
use crate::{
    client::ApiClient,
    output::{OutputFormat, OutputPrinter},
};

/// Context of a subcommand.
#[derive(Debug)]
pub struct CommandContext {
    /// Arguments given on the command line.
    pub arguments: ParsedArguments,
    /// Prints results and progress.
    pub printer: OutputPrinter,
}

impl CommandContext {
    /// Creates the context; server and key are looked up only when a subcommand asks for them.
    ///
    /// # Errors
    /// [`CommandError::Usage`] when the output format is unknown.
    pub fn new(arguments: ParsedArguments) -> Result<Self, CommandError> {
        let format = arguments.parsed("output", OutputFormat::Table)?;
        let printer = OutputPrinter::new(format);
        Ok(Self { arguments, printer })
    }

    /// Returns the servers given by `--server` or `MUSTARDCTL_SERVER`.
    ///
    /// # Errors
    /// [`CommandError::Usage`] when none is given or an address cannot be parsed.
    pub fn servers(&self) -> Result<Vec<SocketAddr>, CommandError> {
        let given = self.arguments.value("server").map(str::to_owned);
        let text = given
            .or_else(|| env::var("MUSTARDCTL_SERVER").ok())
            .ok_or_else(|| CommandError::Usage {
                reason: "--server is required".to_owned(),
            })?;
        let addresses = text.split(',').map(|address| {
            address.trim().parse().map_err(|_error| CommandError::Usage {
                reason: format!("server address {address} is not an IP address with a port"),
            })
        });
        addresses.collect()
    }

    /// Returns the first server.
    ///
    /// # Errors
    /// [`CommandError::Usage`] when none is given or an address cannot be parsed.
    pub fn server(&self) -> Result<SocketAddr, CommandError> {
        let servers = self.servers()?;
        servers.first().copied().ok_or_else(|| CommandError::Usage {
            reason: "--server is empty".to_owned(),
        })
    }

    /// Returns the bearer key from the file given by `--key-file` or `MUSTARDCTL_KEY_FILE`, if any.
    ///
    /// # Errors
    /// [`CommandError::Usage`] when the file cannot be read.
    pub fn key(&self) -> Result<Option<String>, CommandError> {
        let given = self.arguments.value("key-file").map(str::to_owned);
        match given.or_else(|| env::var("MUSTARDCTL_KEY_FILE").ok()) {
            Some(path) => read_key(&path).map(Some),
            None => Ok(None),
        }
    }

    /// Returns a client for the first server.
    ///
    /// # Errors
    /// [`CommandError::Usage`] when the server is missing or invalid or the key file cannot be read.
    pub fn client(&self) -> Result<ApiClient, CommandError> {
        Ok(ApiClient::new(self.server()?, self.key()?))
    }
}

/// Reads a bearer key from a file.
///
/// # Errors
/// [`CommandError::Usage`] when the file cannot be read.
pub fn read_key(path: &str) -> Result<String, CommandError> {
    let text = fs::read_to_string(path).map_err(|error| CommandError::Usage {
        reason: format!("cannot read {path}: {error}"),
    })?;
    Ok(text.trim().to_owned())
}
