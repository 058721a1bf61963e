//! `describe`: shows a resource with its specification and conditions.

use mustardgate_protocol::operators::untagged_spec;

use super::{CommandEntry, key_argument};
use crate::{
    cli::{CommandContext, CommandError, CommandSpec},
    output::TextStyle,
};

pub(super) const ENTRY: CommandEntry = CommandEntry {
    spec: CommandSpec {
        name: "describe",
        summary: "shows a resource with its specification and conditions",
        positionals: "KIND NAME",
        max_positionals: 2,
        options: &[],
    },
    run: |context| Box::pin(run(context)),
};

async fn run(context: &CommandContext) -> Result<(), CommandError> {
    let item = context.client()?.get(&key_argument(context)?).await?;
    let printer = &context.printer;
    if printer.is_json() {
        printer.print_json(&item);
        return Ok(());
    }
    let resource = &item.resource;
    printer.print_line(&format!("{}", resource.key));
    printer.print_line(&format!(
        "  version {}, generation {}",
        resource.version, resource.generation
    ));
    printer.print_line(&format!("  observed generation {}", item.status.observed_generation));
    for condition in &item.status.conditions {
        let style = if condition.holds {
            TextStyle::Success
        } else {
            TextStyle::Failure
        };
        let name = printer.styled(&condition.name, style);
        printer.print_line(&format!("  {name}: {} {}", condition.reason, condition.message));
    }
    let spec = toml::to_string_pretty(&untagged_spec(&resource.spec)).map_err(|error| CommandError::Failed {
        reason: error.to_string(),
    })?;
    printer.print_line(&format!("\n[spec]\n{}", spec.trim_end()));
    Ok(())
}
