//! Measures what each role costs and evaluates it at the size to design for: `capacity [--json FILE]`.

use std::{alloc::System, path::PathBuf, process::ExitCode};

use cap::Cap;
use lexopt::prelude::Long;
use mustardgate_standins::capacity::{MeasuredSlope, measure_leading, measure_serving, measure_shared};
use serde::Serialize;

/// Counts what is allocated, for the figures of memory.
#[global_allocator]
static ALLOCATOR: Cap<System> = Cap::new(System, usize::MAX);

#[derive(Debug, Serialize)]
struct CapacityReport {
    slopes: Vec<MeasuredSlope>,
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

fn measure() -> CapacityReport {
    let mut slopes = measure_shared(allocated);
    slopes.extend(measure_serving(allocated));
    slopes.extend(measure_leading(allocated));
    CapacityReport { slopes }
}

fn print_slopes(slopes: &[MeasuredSlope]) {
    println!("slope                per step         at zero   residual  step");
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

fn run(path: Option<PathBuf>) -> Result<(), Box<dyn std::error::Error>> {
    let report = measure();
    print_slopes(&report.slopes);
    if let Some(path) = path {
        std::fs::write(path, serde_json::to_string_pretty(&report)? + "\n")?;
    }
    Ok(())
}

fn main() -> ExitCode {
    match parse_json_path().map_err(Into::into).and_then(run) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("capacity: {error}");
            ExitCode::from(2)
        }
    }
}
