//! The command line: valid and invalid arguments, help texts, and the exit code of each error.

use mustardctl::cli::{CommandError, Invocation, exit_codes, parse_invocation};

fn parse_words(words: &[&str]) -> Result<Invocation, CommandError> {
    parse_invocation(lexopt::Parser::from_args(words))
}

#[test]
fn the_help_of_every_command_lists_its_options() {
    for entry in mustardctl::commands::entries() {
        let name = entry.spec.name;
        let Ok(Invocation::Print(text)) = parse_words(&[name, "--help"]) else {
            panic!("{name} --help prints nothing");
        };
        assert!(text.contains(entry.spec.summary), "{text}");
        for option in entry.spec.options {
            assert!(text.contains(&format!("--{}", option.name)), "{name}: {}", option.name);
        }
        let Ok(Invocation::Print(program)) = parse_words(&["--help"]) else {
            panic!("--help prints nothing");
        };
        assert!(program.contains(name));
    }
}

#[test]
fn options_and_positionals_reach_the_command() {
    let invocation = parse_words(&["apply", "-f", "examples", "--prune", "--output=json"]);
    let Ok(Invocation::Run(entry, arguments)) = invocation else {
        panic!("{invocation:?}");
    };
    assert_eq!(entry.spec.name, "apply");
    assert_eq!(arguments.value("filename"), Some("examples"));
    assert_eq!(arguments.value("output"), Some("json"));
    assert!(arguments.has("prune") && !arguments.has("dry-run"));
}

#[test]
fn an_invalid_command_line_is_a_usage_error() {
    for words in [
        &["frobnicate"][..],
        &["--frobnicate"],
        &["apply", "--frobnicate"],
        &["apply", "--filename"],
        &["apply", "surplus"],
        &["get", "model", "menu", "surplus"],
    ] {
        let error = parse_words(words).expect_err("the command line is invalid");
        assert_eq!(error.exit_code(), exit_codes::USAGE, "{words:?}: {error}");
    }
}

#[test]
fn every_error_has_the_documented_exit_code() {
    let resource = || "model/menu".to_owned();
    let reason = String::new;
    let cases = [
        (CommandError::Failed { reason: reason() }, 1),
        (CommandError::Usage { reason: reason() }, 2),
        (
            CommandError::Conflict {
                resource: resource(),
                current: Some(4),
            },
            3,
        ),
        (
            CommandError::OutcomeUnknown {
                resource: resource(),
                change: "c".into(),
            },
            4,
        ),
        (
            CommandError::Unreachable {
                server: reason(),
                reason: reason(),
            },
            5,
        ),
        (CommandError::Invalid { errors: Vec::new() }, 6),
        (CommandError::Different { count: 1 }, 7),
        (CommandError::NotFound { resource: resource() }, 8),
    ];
    let page = std::fs::read_to_string(concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/MUSTARDCTL.md"));
    let page = page.expect("the page exists");
    for (error, code) in cases {
        assert_eq!(error.exit_code(), code, "{error}");
        assert!(
            page.contains(&format!("| {code} |")),
            "exit code {code} is not on the page"
        );
    }
}
