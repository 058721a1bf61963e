//! Runs the experiment: `attainment [--deployment pinto|chaji|both] [--scenario NAME]... [--seeds N] [--json PATH]
//! [--svg PATH]`.
//!
//! Prints the targets that are missed and then exits with 1; exits with 2 when an argument is invalid or a file cannot
//! be written.

use std::{path::PathBuf, process::ExitCode, time::Instant};

use lexopt::prelude::{Long, ValueExt};
use mustardgate_standins::experiment::{
    DeploymentKind, ExperimentOptions, ExperimentReport, ScenarioKind, draw_page, run_experiment,
};
use snafu::{ResultExt, Whatever};

#[derive(Debug)]
struct Arguments {
    options: ExperimentOptions,
    json: Option<PathBuf>,
    svg: Option<PathBuf>,
}

fn parse_deployments(name: &str) -> Result<Vec<DeploymentKind>, String> {
    match name {
        "pinto" => Ok(vec![DeploymentKind::Pinto]),
        "chaji" => Ok(vec![DeploymentKind::Chaji]),
        "both" => Ok(vec![DeploymentKind::Pinto, DeploymentKind::Chaji]),
        other => Err(format!("unknown deployment {other}")),
    }
}

fn parse_scenario(name: &str) -> Result<ScenarioKind, String> {
    ScenarioKind::ALL
        .into_iter()
        .find(|scenario| scenario.to_string() == name)
        .ok_or_else(|| format!("unknown scenario {name}"))
}

fn parse_arguments() -> Result<Arguments, lexopt::Error> {
    let mut arguments = Arguments {
        options: ExperimentOptions {
            deployments: vec![DeploymentKind::Pinto, DeploymentKind::Chaji],
            scenarios: Vec::new(),
            seeds: 20,
        },
        json: None,
        svg: None,
    };
    let mut parser = lexopt::Parser::from_env();
    while let Some(argument) = parser.next()? {
        match argument {
            Long("deployment") => arguments.options.deployments = parser.value()?.parse_with(parse_deployments)?,
            Long("scenario") => arguments
                .options
                .scenarios
                .push(parser.value()?.parse_with(parse_scenario)?),
            Long("seeds") => arguments.options.seeds = parser.value()?.parse()?,
            Long("json") => arguments.json = Some(parser.value()?.into()),
            Long("svg") => arguments.svg = Some(parser.value()?.into()),
            other => return Err(other.unexpected()),
        }
    }
    if arguments.options.scenarios.is_empty() {
        arguments.options.scenarios = ScenarioKind::ALL.to_vec();
    }
    Ok(arguments)
}

fn print_report(report: &ExperimentReport) {
    println!(
        "deployment scenario policy attained/acc/s ±95% of_bound moves p50ms p99ms refused small large fair recovery"
    );
    for summary in &report.summaries {
        let scenario = summary
            .scenario
            .map_or_else(|| "all".to_owned(), |scenario| scenario.to_string());
        let recovery = summary
            .recovery_s
            .map_or_else(|| "-".to_owned(), |recovery| format!("{:.0}s", recovery.median));
        println!(
            "{:?} {scenario} {} {:.3} {:.3} {:.3} {:.0} {:.0} {:.0} {:.0} {:.3} {:.3} {:.3} {recovery}",
            summary.deployment,
            summary.policy,
            summary.attainment_per_accelerator.median,
            summary.attainment_per_accelerator.half_width_95,
            summary.share_of_upper_bound.median,
            summary.moves.median,
            summary.first_token_p50_ms.median,
            summary.first_token_p99_ms.median,
            summary.refused.median,
            summary.smallest_tenant_share.median,
            summary.largest_tenant_share.median,
            summary.worst_fair_ratio.median,
        );
    }
    for (deployment, ratio) in &report.attainment_ratios {
        let moves = report.move_ratios.get(deployment).copied().unwrap_or(f64::NAN);
        println!(
            "{deployment:?}: {ratio:.3} of the better baseline's attainment, {moves:.3} of load on demand's moves"
        );
    }
}

fn write_files(arguments: &Arguments, report: &ExperimentReport) -> Result<(), Whatever> {
    if let Some(path) = &arguments.json {
        let text = serde_json::to_string_pretty(report).whatever_context("the report is not valid JSON")?;
        std::fs::write(path, text).whatever_context("the JSON file was not written")?;
    }
    if let Some(path) = &arguments.svg {
        draw_page(path, report).whatever_context("the page was not drawn")?;
    }
    Ok(())
}

fn main() -> ExitCode {
    let arguments = match parse_arguments() {
        Ok(arguments) => arguments,
        Err(error) => {
            eprintln!("attainment: {error}");
            return ExitCode::from(2);
        }
    };
    let started_at = Instant::now();
    let report = run_experiment(&arguments.options);
    print_report(&report);
    println!(
        "{} runs in {:.0} s",
        report.runs.len(),
        started_at.elapsed().as_secs_f64()
    );
    if let Err(error) = write_files(&arguments, &report) {
        eprintln!("attainment: {error}");
        return ExitCode::from(2);
    }
    for missed in &report.missed {
        println!("missed: {missed}");
    }
    if report.missed.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
