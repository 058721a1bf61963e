//! `diff`: shows what `apply` would change.

use super::{
    CommandEntry,
    apply::PRUNE_OPTION,
    changes::{plan_folder, print_plan},
    validate::FILENAME_OPTION,
};
use crate::cli::{CommandContext, CommandError, CommandSpec};

pub(super) const ENTRY: CommandEntry = CommandEntry {
    spec: CommandSpec {
        name: "diff",
        summary: "shows what apply would change; exits with 7 if anything differs",
        positionals: "",
        max_positionals: 0,
        options: &[FILENAME_OPTION, PRUNE_OPTION],
    },
    run: |context| Box::pin(run(context)),
};

async fn run(context: &CommandContext) -> Result<(), CommandError> {
    let client = context.client()?;
    let plan = plan_folder(context, &client, context.arguments.has(PRUNE_OPTION.name)).await?;
    print_plan(context, &plan);
    match plan.changes.len() {
        0 => Ok(()),
        count => Err(CommandError::Different { count }),
    }
}
