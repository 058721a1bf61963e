//! Injects faults into a deployment of real processes: `failures [--fault NAME]... [--list] [--seed N] [--json PATH]`.
//!
//! Prints the violations found under each fault. Exits with 1 when there were any, and with 2 when a fault could not be
//! injected or checked.

use std::{path::PathBuf, process::ExitCode};

use lexopt::prelude::{Long, ValueExt};
use mustardgate_standins::{
    failures::{FaultReport, FaultScript, fault_scripts, run_fault},
    http::wait_for_stop,
};

#[derive(Debug)]
struct Arguments {
    faults: Vec<String>,
    seed: u64,
    json: Option<PathBuf>,
    is_listing: bool,
}

fn parse_arguments() -> Result<Arguments, lexopt::Error> {
    let mut arguments = Arguments {
        faults: Vec::new(),
        seed: 1,
        json: None,
        is_listing: false,
    };
    let mut parser = lexopt::Parser::from_env();
    while let Some(argument) = parser.next()? {
        match argument {
            Long("fault") => arguments.faults.push(parser.value()?.parse()?),
            Long("seed") => arguments.seed = parser.value()?.parse()?,
            Long("json") => arguments.json = Some(parser.value()?.into()),
            Long("list") => arguments.is_listing = true,
            other => return Err(other.unexpected()),
        }
    }
    let is_known = |name: &String| fault_scripts().iter().any(|script| script.name() == name);
    match arguments.faults.iter().find(|name| !is_known(name)) {
        Some(unknown) => Err(format!("no fault is named {unknown}").into()),
        None => Ok(arguments),
    }
}

fn print_report(report: &FaultReport) {
    let verdict = if report.violations.is_empty() {
        "passed"
    } else {
        "FAILED"
    };
    println!("{}: {verdict} in {:.1} s", report.fault, report.run_s);
    let counts: Vec<String> = report
        .counts
        .iter()
        .map(|(name, value)| format!("{name}={value}"))
        .collect();
    println!("  {}", counts.join(" "));
    for (name, value) in &report.figures {
        println!("  {name} {value:.2}");
    }
    for violation in &report.violations {
        println!("  violation: {violation}");
    }
}

/// Runs the scripts one after another and returns their reports, and whether every run could be checked.
async fn run_scripts(scripts: &[Box<dyn FaultScript>], seed: u64) -> (Vec<FaultReport>, bool) {
    let mut reports = Vec::new();
    let mut is_checked = true;
    for script in scripts {
        match run_fault(script.as_ref(), seed).await {
            Ok(report) => {
                print_report(&report);
                reports.push(report);
            }
            Err(error) => {
                println!("{}: not checked: {error}", script.name());
                is_checked = false;
            }
        }
    }
    (reports, is_checked)
}

async fn run(arguments: &Arguments) -> Result<ExitCode, Box<dyn std::error::Error>> {
    let mut scripts = fault_scripts();
    scripts.retain(|script| arguments.faults.is_empty() || arguments.faults.iter().any(|name| name == script.name()));
    // A signal ends the run by dropping the deployment, which ends its processes.
    let (reports, is_checked) = tokio::select! {
        result = run_scripts(&scripts, arguments.seed) => result,
        _ = wait_for_stop() => return Err("stopped by a signal".into()),
    };
    if let Some(path) = &arguments.json {
        std::fs::write(path, serde_json::to_string_pretty(&reports)?)?;
    }
    let failed = reports.iter().filter(|report| !report.violations.is_empty()).count();
    println!("{} faults checked, {failed} with violations", reports.len());
    Ok(match (is_checked, failed) {
        (false, _) => ExitCode::from(2),
        (true, 0) => ExitCode::SUCCESS,
        (true, _) => ExitCode::FAILURE,
    })
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments = match parse_arguments() {
        Ok(arguments) => arguments,
        Err(error) => {
            eprintln!("failures: {error}");
            return ExitCode::from(2);
        }
    };
    if arguments.is_listing {
        for script in fault_scripts() {
            println!("{}", script.name());
        }
        return ExitCode::SUCCESS;
    }
    match run(&arguments).await {
        Ok(code) => code,
        Err(error) => {
            eprintln!("failures: {error}");
            ExitCode::from(2)
        }
    }
}
