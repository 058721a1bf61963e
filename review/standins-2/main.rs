//! Plays a case of the review with the system's own processes and stand-ins on loopback addresses.

mod cases;
mod client;
mod http;
mod node;
mod plain;
mod record;
mod release;
mod runner;
mod slow;
mod store;
mod wire;

use std::{env, io, path::Path, process::ExitCode};

/// The rule was broken.
const BROKEN: u8 = 1;
/// The case could not run.
const NOT_RUN: u8 = 2;

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().collect();
    let [_, case, root, record] = arguments.as_slice() else {
        eprintln!("usage: standins CASE REPOSITORY RECORD");
        return ExitCode::from(NOT_RUN);
    };
    let has_trouble = env::var("TROUBLE").map_or(true, |trouble| trouble != "0");
    match play(case, Path::new(root), Path::new(record), has_trouble) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(BROKEN),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(NOT_RUN)
        }
    }
}

fn play(case: &str, root: &Path, record: &Path, has_trouble: bool) -> io::Result<bool> {
    match case {
        "broken-ends" => cases::broken_ends(root, record, has_trouble),
        "slow-readers" => cases::slow_readers(root, record, has_trouble),
        "late-returns" => release::late_returns(root, record, has_trouble),
        "rising-steps" => cases::rising_steps(root, record, has_trouble),
        _ => Err(io::ErrorKind::NotFound.into()),
    }
}
