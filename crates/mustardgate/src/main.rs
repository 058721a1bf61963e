//! The `mustardgate` program; everything is in the library.

use std::process::ExitCode;

fn main() -> ExitCode {
    mustardgate::cli::run()
}
