//! `get`: lists resources.

use mustardgate_core::resources::ResourceKind;
use mustardgate_protocol::operators::ResourceView;

use super::{CommandEntry, key_argument, kind_argument};
use crate::{
    cli::{CommandContext, CommandError, CommandSpec},
    client::ApiClient,
    output::{OutputPrinter, TextStyle, TextTable},
};

pub(super) const ENTRY: CommandEntry = CommandEntry {
    spec: CommandSpec {
        name: "get",
        summary: "lists all resources or those of a kind, or shows one",
        positionals: "[KIND [NAME]]",
        max_positionals: 2,
        options: &[],
    },
    run: |context| Box::pin(run(context)),
};

async fn run(context: &CommandContext) -> Result<(), CommandError> {
    let client = context.client()?;
    let items = match (context.arguments.positional(0), context.arguments.positional(1)) {
        (None, _) => list_kinds(&client, &ResourceKind::ALL).await?,
        (Some(_), None) => list_kinds(&client, &[kind_argument(context)?]).await?,
        (Some(_), Some(_)) => vec![client.get(&key_argument(context)?).await?],
    };
    let printer = context.printer;
    if printer.is_json() {
        printer.print_json(&items);
        return Ok(());
    }
    let mut table = TextTable::new(["kind", "name", "version", "generation", "ready"]);
    for item in &items {
        let resource = &item.resource;
        table.push([
            resource.key.kind.to_string(),
            resource.key.name.to_string(),
            resource.version.to_string(),
            resource.generation.to_string(),
            ready_cell(printer, item),
        ]);
    }
    printer.print_line(&table.render());
    Ok(())
}

async fn list_kinds(client: &ApiClient, kinds: &[ResourceKind]) -> Result<Vec<ResourceView>, CommandError> {
    let mut items = Vec::new();
    for kind in kinds {
        items.extend(client.list(*kind).await?.items);
    }
    Ok(items)
}

/// Returns the cell of the column `ready`: whether every condition holds, and the reason if one does not.
fn ready_cell(printer: OutputPrinter, item: &ResourceView) -> String {
    let failing = item.status.conditions.iter().find(|condition| !condition.holds);
    match failing {
        None => printer.styled("yes", TextStyle::Success),
        Some(condition) => printer.styled(&format!("no: {}", condition.reason), TextStyle::Failure),
    }
}
