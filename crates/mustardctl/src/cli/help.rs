//! Help texts, generated from the tables of subcommands and options.

use std::fmt::Write;

use super::arguments::{COMMON_OPTIONS, CommandSpec, OptionSpec};
use crate::commands::entries;

const EXIT_CODE_HELP: &str = "\
Exit codes: 0 success; 1 failure; 2 invalid command line; 3 version conflict; 4 outcome unknown; 5 no answer;
6 invalid declaration; 7 differences found; 8 no such resource. See docs/MUSTARDCTL.md.
";

/// Returns the help text of the program.
pub fn program_help() -> String {
    let mut text =
        "mustardctl: operates a deployment of mustardgate\n\nUsage: mustardctl COMMAND [ARGUMENTS]\n\n".to_owned();
    for entry in entries() {
        push_line(&mut text, entry.spec.name, entry.spec.summary);
    }
    text.push_str("\nmustardctl COMMAND --help shows the arguments of a command.\n");
    text + EXIT_CODE_HELP
}

/// Returns the help text of a subcommand.
pub fn command_help(spec: &CommandSpec) -> String {
    let positionals = if spec.positionals.is_empty() {
        String::new()
    } else {
        format!(" {}", spec.positionals)
    };
    let mut text = format!(
        "mustardctl {}: {}\n\nUsage: mustardctl {}{positionals} [OPTIONS]\n\n",
        spec.name, spec.summary, spec.name
    );
    for option in spec.options.iter().chain(COMMON_OPTIONS) {
        push_line(&mut text, &option_label(option), option.help);
    }
    text.push('\n');
    text + EXIT_CODE_HELP
}

fn option_label(option: &OptionSpec) -> String {
    match option.value_name {
        Some(value_name) => format!("--{} {value_name}", option.name),
        None => format!("--{}", option.name),
    }
}

fn push_line(text: &mut String, label: &str, help: &str) {
    writeln!(text, "  {label:<28} {help}").expect("writing to a string cannot fail");
}
