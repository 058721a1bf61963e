//! The `mustardgate` program, which is implemented in the library.

use std::process::ExitCode;

fn main() -> ExitCode {
    mustardgate::cli::run()
}
