//! Measures the costs of each role and evaluates them at the design size: `capacity [--json FILE]`.
//!
//! Prints the claimed bounds that are exceeded and then exits with 1; exits with 2 when a measurement or the output
//! failed.

use std::{
    alloc::System,
    path::PathBuf,
    process::{Command, ExitCode},
};

use cap::Cap;
use lexopt::prelude::Long;
use mustardgate_standins::capacity::{
    DeploymentReport, MeasuredSlope, RoleFigure, evaluate_design, measure_deployment, measure_leader, measure_serving,
    measure_shared,
};
use serde::Serialize;

/// Counts the allocated bytes, for the figures of memory.
#[global_allocator]
static ALLOCATOR: Cap<System> = Cap::new(System, usize::MAX);

#[derive(Debug, Serialize)]
struct CapacityReport {
    slopes: Vec<MeasuredSlope>,
    design: Vec<RoleFigure>,
    running: DeploymentReport,
}

fn parse_json_path() -> Result<Option<PathBuf>, lexopt::Error> {
    let mut path = None;
    let mut parser = lexopt::Parser::from_env();
    while let Some(argument) = parser.next()? {
        match argument {
            Long("json") => path = Some(parser.value()?.into()),
            other => return Err(other.unexpected()),
        }
    }
    Ok(path)
}

fn allocated() -> usize {
    ALLOCATOR.allocated()
}

/// Builds the programs of the running deployment, because `cargo run` builds only this example.
fn build_programs() -> Result<(), Box<dyn std::error::Error>> {
    let cargo = std::env::var("CARGO").unwrap_or_else(|_| "cargo".to_owned());
    let packages = ["-p", "mustardgate", "-p", "mustardctl", "-p", "mustardgate-standins"];
    let mut command = Command::new(cargo);
    command
        .args(["build", "--quiet", "--bins", "--examples"])
        .args(packages);
    if !cfg!(debug_assertions) {
        command.arg("--release");
    }
    if command.status()?.success() {
        return Ok(());
    }
    Err("the programs of the running deployment cannot be built".into())
}

fn measure_slopes() -> Vec<MeasuredSlope> {
    let mut slopes = measure_shared(allocated);
    slopes.extend(measure_serving(allocated));
    slopes.extend(measure_leader(allocated));
    slopes
}

fn print_slopes(slopes: &[MeasuredSlope]) {
    println!("slope                per unit         at zero   residual  unit of the size");
    for slope in slopes {
        println!(
            "{:<16} {:>12.3} {:<3} {:>12.1} {:>8.1}%  {}",
            slope.name,
            slope.slope,
            slope.unit,
            slope.intercept,
            slope.residual_ratio * 100.0,
            slope.per
        );
    }
}

fn print_design(figures: &[RoleFigure]) {
    for figure in figures {
        let bound = match (figure.bound, figure.breaks_at) {
            (Some(bound), Some(share)) => format!("beyond {bound}, met at {:.2}% of the size", share * 100.0),
            (Some(bound), None) => format!("within {bound}"),
            _ => String::new(),
        };
        println!(
            "{:<23} {:<30} {:>14.3} {:<5} {bound}",
            figure.role, figure.name, figure.value, figure.unit
        );
    }
}

fn print_deployment(report: &DeploymentReport) {
    println!(
        "{} nodes, {} runners with {:.2} models each, {} models, {:.1} s",
        report.nodes, report.runners, report.held, report.models, report.seconds
    );
    for figure in &report.figures {
        let predicted = figure
            .predicted
            .map_or_else(|| "-".to_owned(), |value| format!("{value:.4}"));
        println!(
            "{:<40} {:>14.4} {:<12} predicted {predicted}",
            figure.name, figure.measured, figure.unit
        );
    }
}

/// Runs and prints all measurements; returns whether every bound that is claimed to be kept is kept.
fn run(path: Option<PathBuf>) -> Result<bool, Box<dyn std::error::Error>> {
    build_programs()?;
    let slopes = measure_slopes();
    print_slopes(&slopes);
    let design = evaluate_design(&slopes);
    print_design(&design);
    let running = tokio::runtime::Runtime::new()?.block_on(measure_deployment(&slopes))?;
    print_deployment(&running);
    let report = CapacityReport {
        slopes,
        design,
        running,
    };
    if let Some(path) = path {
        std::fs::write(path, serde_json::to_string_pretty(&report)? + "\n")?;
    }
    let missed: Vec<&RoleFigure> = report.design.iter().filter(|figure| figure.is_missed()).collect();
    for figure in &missed {
        println!("missed: {} of the {}", figure.name, figure.role);
    }
    Ok(missed.is_empty())
}

fn main() -> ExitCode {
    match parse_json_path().map_err(Into::into).and_then(run) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("capacity: {error}");
            ExitCode::from(2)
        }
    }
}
