//! The command line.

use std::process::ExitCode;

/// Runs the command line of the process and returns its exit code.
pub fn run() -> ExitCode {
    ExitCode::SUCCESS
}
