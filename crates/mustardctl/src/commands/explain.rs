//! `explain`: shows the path of a request, read from the logs of several nodes.

use std::{fs, future::ready};

use super::CommandEntry;
use crate::{
    cli::{CommandContext, CommandError, CommandSpec},
    output::TextTable,
    trace::{RequestTrace, trace_request},
};

/// Maximum number of log files.
const MAX_FILES: usize = 4_096;

pub(super) const ENTRY: CommandEntry = CommandEntry {
    spec: CommandSpec {
        name: "explain",
        summary: "shows what nodes did for a request, and why, from their logs",
        positionals: "REQUEST-ID FILE...",
        max_positionals: MAX_FILES + 1,
        options: &[],
    },
    run: |context| Box::pin(ready(run(context))),
};

fn run(context: &CommandContext) -> Result<(), CommandError> {
    let Some((request, paths)) = context.arguments.positionals().split_first() else {
        return Err(usage_error("REQUEST-ID is required".to_owned()));
    };
    if paths.is_empty() {
        return Err(usage_error("at least one FILE is required".to_owned()));
    }
    let mut logs = Vec::new();
    for path in paths {
        let bytes = fs::read(path).map_err(|error| usage_error(format!("cannot read {path}: {error}")))?;
        logs.push(String::from_utf8_lossy(&bytes).into_owned());
    }
    let trace = trace_request(request, logs.iter().flat_map(|log| log.lines()));
    if context.printer.is_json() {
        context.printer.print_json(&serde_json::json!(trace));
    } else {
        context.printer.print_line(&render(&trace));
    }
    if trace.steps.is_empty() {
        return Err(CommandError::NotFound {
            resource: format!("a log line for request {request}"),
        });
    }
    Ok(())
}

fn render(trace: &RequestTrace) -> String {
    let mut table = TextTable::new(["time", "node", "kind", "event", "details"]);
    for step in &trace.steps {
        table.push([
            step.time.clone(),
            step.node.clone(),
            step.kind.to_owned(),
            step.message.clone(),
            step.details.clone(),
        ]);
    }
    format!("{}\n{} lines could not be read", table.render(), trace.skipped)
}

fn usage_error(reason: String) -> CommandError {
    CommandError::Usage { reason }
}
