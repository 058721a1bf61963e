//! `status`: shows the state of each node.

use mustardgate_protocol::operators::NodeStatus;

use super::CommandEntry;
use crate::{
    cli::{CommandContext, CommandError, CommandSpec},
    client::ApiClient,
    output::{OutputPrinter, TextStyle, TextTable},
};

pub(super) const ENTRY: CommandEntry = CommandEntry {
    spec: CommandSpec {
        name: "status",
        summary: "shows the state of each node in --server",
        positionals: "",
        max_positionals: 0,
        options: &[],
    },
    run: |context| Box::pin(run(context)),
};

async fn run(context: &CommandContext) -> Result<(), CommandError> {
    let key = context.key()?;
    let mut statuses = Vec::new();
    for server in context.servers()? {
        statuses.push(ApiClient::new(server, key.clone()).status().await?);
    }
    let printer = context.printer;
    if printer.is_json() {
        printer.print_json(&statuses);
        return Ok(());
    }
    let mut table = TextTable::new(["node", "domain", "offset", "in flight", "backends", "ready"]);
    for status in &statuses {
        let eligible = status.backends.iter().filter(|backend| backend.is_eligible).count();
        table.push([
            status.node.to_string(),
            status.domain.to_string(),
            status.config_offset.to_string(),
            status.in_flight.to_string(),
            format!("{eligible} of {}", status.backends.len()),
            ready_cell(printer, status),
        ]);
    }
    printer.print_line(&table.render());
    Ok(())
}

fn ready_cell(printer: OutputPrinter, status: &NodeStatus) -> String {
    if status.is_ready {
        return printer.styled("yes", TextStyle::Success);
    }
    let reasons: Vec<&str> = status.not_ready_reasons.iter().map(smol_str::SmolStr::as_str).collect();
    printer.styled(&format!("no: {}", reasons.join(", ")), TextStyle::Failure)
}
