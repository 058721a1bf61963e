//! Runs the randomised proofs: `proof [--seed N] [--count N] [--scenario NAME] [--without-guard] [--list]`.
//!
//! Exits with 1 when a guarantee was violated, after printing the scenario, the first violating seed and the violation.

use std::process::ExitCode;

use lexopt::prelude::{Long, ValueExt};
use mustardgate_standins::proof::{GuardMode, ProofOptions, ProofScenario, ProofSummary, run_seeds, scenarios};

#[derive(Debug)]
struct Arguments {
    options: ProofOptions,
    scenario: Option<String>,
    lists_only: bool,
}

fn parse_arguments() -> Result<Arguments, lexopt::Error> {
    let options = ProofOptions {
        first_seed: 1,
        count: 20,
        guard: GuardMode::Enforced,
    };
    let mut arguments = Arguments {
        options,
        scenario: None,
        lists_only: false,
    };
    let mut parser = lexopt::Parser::from_env();
    while let Some(argument) = parser.next()? {
        match argument {
            Long("seed") => arguments.options.first_seed = parser.value()?.parse()?,
            Long("count") => arguments.options.count = parser.value()?.parse()?,
            Long("scenario") => arguments.scenario = Some(parser.value()?.parse()?),
            Long("without-guard") => arguments.options.guard = GuardMode::Removed,
            Long("list") => arguments.lists_only = true,
            other => return Err(other.unexpected()),
        }
    }
    Ok(arguments)
}

fn print_summary(scenario: &dyn ProofScenario, summary: &ProofSummary) {
    let counts: Vec<String> = summary
        .counts
        .iter()
        .map(|(name, value)| format!("{name}={value}"))
        .collect();
    println!(
        "{}: {} seeds, {} violations; {}",
        scenario.name(),
        summary.seeds,
        summary.violations,
        counts.join(" ")
    );
    if let Some(first) = &summary.first_violation {
        println!(
            "{}: violation on seed {}: {}",
            scenario.name(),
            first.seed,
            first.violation
        );
    }
}

fn main() -> ExitCode {
    let arguments = match parse_arguments() {
        Ok(arguments) => arguments,
        Err(error) => {
            eprintln!("proof: {error}");
            return ExitCode::from(2);
        }
    };
    let mut has_violation = false;
    for scenario in scenarios() {
        if arguments.scenario.as_ref().is_some_and(|name| name != scenario.name()) {
            continue;
        }
        if arguments.lists_only {
            println!("{}", scenario.name());
            continue;
        }
        let summary = run_seeds(scenario.as_ref(), arguments.options);
        print_summary(scenario.as_ref(), &summary);
        has_violation |= summary.violations > 0;
    }
    if has_violation {
        ExitCode::FAILURE
    } else {
        ExitCode::SUCCESS
    }
}
