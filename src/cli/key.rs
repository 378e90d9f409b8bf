use std::process::ExitCode;

use argh::FromArgs;

/// Generate a new fleet key: 32 random bytes as 64 hexadecimal digits, for `fleet_key` in the settings of
/// every node of one fleet. Keep it secret.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "key")]
pub(super) struct Key {}

impl Key {
    pub(super) fn run(self) -> ExitCode {
        super::print(&hex::encode(rand::random::<[u8; 32]>()))
    }
}
