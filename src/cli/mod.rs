//! The command line.

mod check;

use std::process::ExitCode;

pub use self::check::Check;

/// Runs the command line of the process and returns its exit code.
pub fn run() -> ExitCode {
    ExitCode::SUCCESS
}
