//! Runs the randomised proofs: `proof [--seed N] [--count N] [--scenario NAME] [--without-guard] [--list]`.
//!
//! Exits with 1 when a guarantee was violated, after printing the scenario and the seed that violates it.

use std::process::ExitCode;

use lexopt::prelude::{Long, ValueExt};
use mustardgate_standins::proof::{GuardMode, ProofOptions, ProofScenario, ProofSummary, run_seeds, scenarios};

#[derive(Debug)]
struct Arguments {
    options: ProofOptions,
    scenario: Option<String>,
    is_listing: bool,
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
        is_listing: false,
    };
    let mut parser = lexopt::Parser::from_env();
    while let Some(argument) = parser.next()? {
        match argument {
            Long("seed") => arguments.options.first_seed = parser.value()?.parse()?,
            Long("count") => arguments.options.count = parser.value()?.parse()?,
            Long("scenario") => arguments.scenario = Some(parser.value()?.parse()?),
            Long("without-guard") => arguments.options.guard = GuardMode::Removed,
            Long("list") => arguments.is_listing = true,
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
        println!("{}: seed {} breaks {}", scenario.name(), first.seed, first.violation);
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
    let mut is_broken = false;
    for scenario in scenarios() {
        if arguments.scenario.as_ref().is_some_and(|name| name != scenario.name()) {
            continue;
        }
        if arguments.is_listing {
            println!("{}", scenario.name());
            continue;
        }
        let summary = run_seeds(scenario.as_ref(), arguments.options);
        print_summary(scenario.as_ref(), &summary);
        is_broken |= summary.violations > 0;
    }
    if is_broken {
        ExitCode::FAILURE
    } else {
        ExitCode::SUCCESS
    }
}
