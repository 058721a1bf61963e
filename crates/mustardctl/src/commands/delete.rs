//! `delete`: deletes a resource.

use super::{CommandEntry, changes::delete_resource, key_argument};
use crate::cli::{CommandContext, CommandError, CommandSpec, OptionSpec};

const VERSION_OPTION: OptionSpec = OptionSpec {
    name: "version",
    value_name: Some("N"),
    help: "version it must have; the current one by default",
};

pub(super) const ENTRY: CommandEntry = CommandEntry {
    spec: CommandSpec {
        name: "delete",
        summary: "deletes a resource",
        positionals: "KIND NAME",
        max_positionals: 2,
        options: &[VERSION_OPTION],
    },
    run: |context| Box::pin(run(context)),
};

async fn run(context: &CommandContext) -> Result<(), CommandError> {
    let client = context.client()?;
    let key = key_argument(context)?;
    let current = client.get(&key).await?.resource.version;
    let expected = context.arguments.parsed(VERSION_OPTION.name, current)?;
    let version = delete_resource(&client, &key, expected).await?;
    if context.printer.is_json() {
        let deleted = serde_json::json!({"deleted": key.to_string(), "version": version});
        context.printer.print_json(&deleted);
    } else {
        context
            .printer
            .print_line(&format!("deleted {key} at version {version}"));
    }
    Ok(())
}
