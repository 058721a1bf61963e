//! Measures the overhead of a node: `performance [--json PATH]`.
//!
//! Builds the programs that it starts, in its own build profile. Prints the targets that are missed and then exits with
//! 1; exits with 2 when a measurement could not be made.

use std::{
    env, fs,
    path::PathBuf,
    process::{Command, ExitCode},
};

use lexopt::prelude::{Long, ValueExt};
use mustardgate_standins::{
    http::wait_for_stop,
    performance::{PerformanceReport, run_performance},
};
use snafu::{OptionExt, ResultExt, Whatever, whatever};

fn parse_arguments() -> Result<Option<PathBuf>, lexopt::Error> {
    let mut json = None;
    let mut parser = lexopt::Parser::from_env();
    while let Some(argument) = parser.next()? {
        match argument {
            Long("json") => json = Some(parser.value()?.parse()?),
            other => return Err(other.unexpected()),
        }
    }
    Ok(json)
}

/// Builds the node and the stand-ins, because `cargo run` builds only this example.
fn build_programs() -> Result<(), Whatever> {
    let cargo = env::var_os("CARGO").whatever_context("run it with `cargo run`")?;
    let mut command = Command::new(cargo);
    command.args(["build", "--quiet", "--locked", "--workspace", "--bins"]);
    command.args(["--example", "platform", "--example", "engine", "--example", "service"]);
    if !cfg!(debug_assertions) {
        command.arg("--release");
    }
    let status = command.status().whatever_context("cargo was not started")?;
    if !status.success() {
        whatever!("the programs were not built: {status}");
    }
    Ok(())
}

async fn measure(json: Option<PathBuf>) -> Result<PerformanceReport, Whatever> {
    build_programs()?;
    // On a signal, the run's future is dropped, and with it the deployment, which ends its processes.
    let report = tokio::select! {
        report = run_performance() => report.whatever_context("the measurement failed")?,
        _ = wait_for_stop() => whatever!("stopped by a signal"),
    };
    let text = serde_json::to_string_pretty(&report).whatever_context("the report is not valid JSON")?;
    match json {
        Some(path) => fs::write(path, text + "\n").whatever_context("the JSON file was not written")?,
        None => println!("{text}"),
    }
    Ok(report)
}

fn print_report(report: &PerformanceReport) {
    println!(
        "load average {} before, {} after, {} cores",
        report.load_average_before, report.load_average_after, report.cores
    );
    let streams = &report.streams;
    for (name, load) in [("direct", &streams.direct), ("through", &streams.through)] {
        println!(
            "streams {name}: {} sent, {} answered, {:?}; first token {:?}; between tokens {:?}",
            load.sent, load.answered, load.failures, load.first_token_ms, load.token_gap_ms
        );
    }
    println!(
        "node: {:.2} ms of processor time per stream",
        streams.node_processor_ms_per_request
    );
    let calls = &report.calls;
    for (name, summary) in [
        ("direct", &calls.direct),
        ("without key", &calls.without_key),
        ("with key", &calls.with_key),
    ] {
        println!(
            "calls {name}: {} sent, {} failed, {:?}, node: {:.2} ms of processor time per call",
            summary.sent, summary.failed, summary.latency_ms, summary.node_processor_ms_per_call
        );
    }
    println!("{:?}", report.relay);
    println!(
        "refusals {:?} {:?}",
        report.refusals.by_status, report.refusals.latency_ms
    );
}

#[tokio::main]
async fn main() -> ExitCode {
    let json = match parse_arguments() {
        Ok(json) => json,
        Err(error) => {
            eprintln!("performance: {error}");
            return ExitCode::from(2);
        }
    };
    let report = match measure(json).await {
        Ok(report) => report,
        Err(error) => {
            eprintln!("performance: {error}");
            return ExitCode::from(2);
        }
    };
    print_report(&report);
    for missed in &report.missed {
        println!("missed: {missed}");
    }
    if report.missed.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
