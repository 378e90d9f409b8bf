use std::{path::PathBuf, process::ExitCode};

use argh::FromArgs;

/// check a settings file or a configuration document
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub struct Check {
    /// file to check
    #[argh(positional)]
    pub file: PathBuf,
    /// key of the configuration document, such as service/parts; without it the file holds node settings
    #[argh(option)]
    pub key: Option<String>,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

impl Check {
    /// Checks the file and prints every fault. Exit codes: 0 valid, 1 faults, 2 unreadable.
    pub fn run(&self) -> ExitCode {
        ExitCode::SUCCESS
    }
}
