//! The command line.

mod ask;

use std::process::ExitCode;

pub use self::ask::Ask;

/// Runs the command line of the process and returns its exit code.
pub fn run() -> ExitCode {
    ExitCode::SUCCESS
}
