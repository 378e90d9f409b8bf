use std::process::ExitCode;

use argh::FromArgs;

/// Generate a new fleet key for the settings of all nodes of one fleet; keep it secret.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "key")]
pub(super) struct Key {}

impl Key {
    pub(super) fn run(self) -> ExitCode {
        super::print(&hex::encode(rand::random::<[u8; 32]>()))
    }
}
