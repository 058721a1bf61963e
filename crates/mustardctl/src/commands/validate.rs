//! `validate`: checks declarations without contacting a server.

use std::{collections::BTreeMap, future::ready, path::Path};

use super::CommandEntry;
use crate::{
    cli::{CommandContext, CommandError, CommandSpec, OptionSpec},
    declarations::{check_declarations, read_folder},
};

/// Option for the folder with declarations.
pub(super) const FILENAME_OPTION: OptionSpec = OptionSpec {
    name: "filename",
    value_name: Some("DIR"),
    help: "folder with TOML declarations; short form -f",
};

pub(super) const ENTRY: CommandEntry = CommandEntry {
    spec: CommandSpec {
        name: "validate",
        summary: "checks declarations without contacting a server",
        positionals: "",
        max_positionals: 0,
        options: &[FILENAME_OPTION],
    },
    run: |context| Box::pin(ready(run(context))),
};

fn run(context: &CommandContext) -> Result<(), CommandError> {
    let declared = read_folder(Path::new(context.arguments.required("filename")?))?;
    check_declarations(&declared, &BTreeMap::new())?;
    if context.printer.is_json() {
        context
            .printer
            .print_json(&serde_json::json!({"valid": declared.len()}));
    } else {
        context
            .printer
            .print_line(&format!("{} declarations are valid", declared.len()));
    }
    Ok(())
}
