//! `watch`: shows changes to resources of a kind as they happen.

use mustardgate_protocol::operators::WatchEvent;

use super::{CommandEntry, kind_argument};
use crate::{
    cli::{CommandContext, CommandError, CommandSpec, OptionSpec},
    client::EventReader,
};

const FROM_OPTION: OptionSpec = OptionSpec {
    name: "from",
    value_name: Some("OFFSET"),
    help: "offset to start from; the current one by default",
};

const COUNT_OPTION: OptionSpec = OptionSpec {
    name: "count",
    value_name: Some("N"),
    help: "number of changes after which to stop",
};

pub(super) const ENTRY: CommandEntry = CommandEntry {
    spec: CommandSpec {
        name: "watch",
        summary: "shows changes to resources of a kind as they happen",
        positionals: "KIND",
        max_positionals: 1,
        options: &[FROM_OPTION, COUNT_OPTION],
    },
    run: |context| Box::pin(run(context)),
};

async fn run(context: &CommandContext) -> Result<(), CommandError> {
    let client = context.client()?;
    let kind = kind_argument(context)?;
    let current = client.list(kind).await?.offset;
    let from = context.arguments.parsed(FROM_OPTION.name, current)?;
    let mut remaining = context.arguments.parsed(COUNT_OPTION.name, u64::MAX)?;
    let mut reader = EventReader::new(client.watch(kind, from).await?.into_body());
    while remaining > 0 {
        let line = reader.next_line().await.map_err(|error| CommandError::Unreachable {
            server: "the node".to_owned(),
            reason: error.to_string(),
        })?;
        let Some(line) = line else {
            return Err(CommandError::Unreachable {
                server: "the node".to_owned(),
                reason: "the watch was closed".to_owned(),
            });
        };
        remaining -= u64::from(show_line(context, &line)?);
    }
    Ok(())
}

/// Shows one line of a watch, and returns whether it is a change rather than a bookmark.
fn show_line(context: &CommandContext, line: &str) -> Result<bool, CommandError> {
    let event: WatchEvent = serde_json::from_str(line).map_err(|error| CommandError::Failed {
        reason: format!("cannot parse {line} from the watch: {error}"),
    })?;
    let text = match &event {
        WatchEvent::Bookmark { .. } => return Ok(false),
        WatchEvent::Changed { offset, resource } => {
            let resource = &resource.resource;
            format!("{offset} changed {} generation {}", resource.key, resource.generation)
        }
        WatchEvent::Deleted { offset, key } => format!("{offset} deleted {key}"),
    };
    let shown = if context.printer.is_json() { line } else { &text };
    context.printer.print_line(shown);
    Ok(true)
}
