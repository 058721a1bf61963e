//! What every subcommand needs: its arguments, the server, the key and the output.

use std::{env, fs, net::SocketAddr};

use super::{arguments::ParsedArguments, errors::CommandError};
use crate::{
    client::ApiClient,
    output::{OutputFormat, OutputPrinter},
};

/// What a subcommand needs.
#[derive(Debug)]
pub struct CommandContext {
    /// Values given on the command line.
    pub arguments: ParsedArguments,
    /// Prints results and progress.
    pub printer: OutputPrinter,
}

impl CommandContext {
    /// Creates the context; neither server nor key is needed yet.
    ///
    /// # Errors
    /// [`CommandError::Usage`] when the output format is not known.
    pub fn new(arguments: ParsedArguments) -> Result<Self, CommandError> {
        let format = arguments.parsed("output", OutputFormat::Table)?;
        let printer = OutputPrinter::new(format);
        Ok(Self { arguments, printer })
    }

    /// Returns the servers named on the command line or in the environment.
    ///
    /// # Errors
    /// [`CommandError::Usage`] when there are none or an address cannot be parsed.
    pub fn servers(&self) -> Result<Vec<SocketAddr>, CommandError> {
        let named = self.arguments.value("server").map(str::to_owned);
        let text = named
            .or_else(|| env::var("MUSTARDCTL_SERVER").ok())
            .ok_or_else(|| CommandError::Usage {
                reason: "--server is needed".to_owned(),
            })?;
        let parsed = text.split(',').map(|address| {
            address.trim().parse().map_err(|_error| CommandError::Usage {
                reason: format!("{address} is not an address with a port"),
            })
        });
        parsed.collect()
    }

    /// Returns the first server.
    ///
    /// # Errors
    /// [`CommandError::Usage`] when there is none.
    pub fn server(&self) -> Result<SocketAddr, CommandError> {
        let servers = self.servers()?;
        servers.first().copied().ok_or_else(|| CommandError::Usage {
            reason: "--server is empty".to_owned(),
        })
    }

    /// Returns the bearer key, when one was named.
    ///
    /// # Errors
    /// [`CommandError::Usage`] when its file cannot be read.
    pub fn key(&self) -> Result<Option<String>, CommandError> {
        let named = self.arguments.value("key-file").map(str::to_owned);
        match named.or_else(|| env::var("MUSTARDCTL_KEY_FILE").ok()) {
            Some(path) => read_key(&path).map(Some),
            None => Ok(None),
        }
    }

    /// Returns a client for the first server.
    ///
    /// # Errors
    /// [`CommandError::Usage`] when server or key cannot be had.
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
