//! The subcommands, each in its own module and registered in [`entries`].

mod apply;
mod call;
mod changes;
mod delete;
mod describe;
mod diff;
mod explain;
mod get;
mod load;
mod status;
mod validate;
mod watch;

use futures::future::BoxFuture;
use mustardgate_core::resources::{ResourceKey, ResourceKind};

use crate::cli::{CommandContext, CommandError, CommandSpec};

/// Function that runs a subcommand.
pub type CommandRun = for<'a> fn(&'a CommandContext) -> BoxFuture<'a, Result<(), CommandError>>;

/// A subcommand.
#[derive(Debug)]
pub struct CommandEntry {
    /// Name, arguments and options.
    pub spec: CommandSpec,
    /// Runs it.
    pub run: CommandRun,
}

/// Returns every subcommand.
pub fn entries() -> &'static [CommandEntry] {
    &[
        validate::ENTRY,
        diff::ENTRY,
        apply::ENTRY,
        get::ENTRY,
        describe::ENTRY,
        delete::ENTRY,
        watch::ENTRY,
        status::ENTRY,
        call::ENTRY,
        load::ENTRY,
        explain::ENTRY,
    ]
}

/// Parses the kind from the first positional argument.
fn kind_argument(context: &CommandContext) -> Result<ResourceKind, CommandError> {
    let name = context.arguments.positional(0).ok_or_else(|| CommandError::Usage {
        reason: "KIND is required".to_owned(),
    })?;
    ResourceKind::parse(name).ok_or_else(|| CommandError::Usage {
        reason: format!("unknown kind {name}"),
    })
}

/// Parses the kind and the name from the first two positional arguments.
fn key_argument(context: &CommandContext) -> Result<ResourceKey, CommandError> {
    let kind = kind_argument(context)?;
    let name = context.arguments.positional(1).ok_or_else(|| CommandError::Usage {
        reason: "NAME is required".to_owned(),
    })?;
    let name = name.into();
    Ok(ResourceKey { kind, name })
}
