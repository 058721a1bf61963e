//! `apply`: makes the configuration equal to the declarations.

use futures::{FutureExt, StreamExt, stream};

use super::{
    CommandEntry,
    changes::{plan_folder, print_plan, send_change},
    validate::FILENAME_OPTION,
};
use crate::{
    cli::{CommandContext, CommandError, CommandSpec, OptionSpec},
    client::ApiClient,
    declarations::PlannedChange,
};

/// Maximum number of changes in flight at once.
const MAX_CHANGES_IN_FLIGHT: usize = 16;

/// Switch that also deletes the resources that are not declared.
pub(super) const PRUNE_OPTION: OptionSpec = OptionSpec {
    name: "prune",
    value_name: None,
    help: "delete resources that no file declares",
};

const DRY_RUN_OPTION: OptionSpec = OptionSpec {
    name: "dry-run",
    value_name: None,
    help: "show what would change without changing it",
};

pub(super) const ENTRY: CommandEntry = CommandEntry {
    spec: CommandSpec {
        name: "apply",
        summary: "makes the configuration equal to the declarations",
        positionals: "",
        max_positionals: 0,
        options: &[FILENAME_OPTION, PRUNE_OPTION, DRY_RUN_OPTION],
    },
    run: |context| Box::pin(run(context)),
};

async fn run(context: &CommandContext) -> Result<(), CommandError> {
    let client = context.client()?;
    let plan = plan_folder(context, &client, context.arguments.has(PRUNE_OPTION.name)).await?;
    print_plan(context, &plan);
    if context.arguments.has(DRY_RUN_OPTION.name) {
        return Ok(());
    }
    for changes in plan.independent_groups() {
        apply_changes(context, &client, changes).await?;
    }
    Ok(())
}

/// Applies changes of one kind concurrently, and returns the first error only after all of them have ended.
async fn apply_changes(
    context: &CommandContext,
    client: &ApiClient,
    changes: &[PlannedChange],
) -> Result<(), CommandError> {
    let sends: Vec<_> = changes
        .iter()
        .map(|change| apply_change(context, client, change).boxed())
        .collect();
    let results: Vec<Result<(), CommandError>> = stream::iter(sends).buffered(MAX_CHANGES_IN_FLIGHT).collect().await;
    results.into_iter().collect()
}

async fn apply_change(
    context: &CommandContext,
    client: &ApiClient,
    change: &PlannedChange,
) -> Result<(), CommandError> {
    let version = send_change(client, change).await?;
    let line = format!("{} {}: version {version}", change.action, change.key);
    context.printer.show_progress(&line);
    Ok(())
}
