//! The `mustardctl` program; everything is in the library.

use std::process::ExitCode;

fn main() -> ExitCode {
    mustardctl::cli::run()
}
