//! `apply`: makes the configuration equal to the declarations.

use futures::{FutureExt, StreamExt, stream};

use super::{
    CommandEntry,
    changes::{make_change, plan_folder, print_plan},
    validate::FILENAME_OPTION,
};
use crate::{
    cli::{CommandContext, CommandError, CommandSpec, OptionSpec},
    client::ApiClient,
    declarations::PlannedChange,
};

/// Changes sent at once.
const MAX_CHANGES_IN_FLIGHT: usize = 16;

/// Switch that deletes what is not declared.
pub(super) const PRUNE_OPTION: OptionSpec = OptionSpec {
    name: "prune",
    value_name: None,
    help: "delete resources that no file declares",
};

const DRY_RUN_OPTION: OptionSpec = OptionSpec {
    name: "dry-run",
    value_name: None,
    help: "only show what would change",
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
    for changes in plan.independent_runs() {
        make_changes(context, &client, changes).await?;
    }
    Ok(())
}

/// Makes changes of one kind together and waits for all of them before the first failure counts.
async fn make_changes(
    context: &CommandContext,
    client: &ApiClient,
    changes: &[PlannedChange],
) -> Result<(), CommandError> {
    let sent: Vec<_> = changes
        .iter()
        .map(|change| show_change(context, client, change).boxed())
        .collect();
    let outcomes: Vec<Result<(), CommandError>> = stream::iter(sent).buffered(MAX_CHANGES_IN_FLIGHT).collect().await;
    outcomes.into_iter().collect()
}

async fn show_change(context: &CommandContext, client: &ApiClient, change: &PlannedChange) -> Result<(), CommandError> {
    let version = make_change(client, change).await?;
    let line = format!("{} {}: version {version}", change.step, change.key);
    context.printer.show_progress(&line);
    Ok(())
}
