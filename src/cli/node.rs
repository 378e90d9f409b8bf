use std::{path::PathBuf, process::ExitCode};

use argh::FromArgs;
use tokio::signal::unix::{SignalKind, signal};

use crate::node::{self, LogFormat, Settings, SettingsError};

/// Run a node until SIGTERM or SIGINT, which start a graceful shutdown.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "node",
    note = "A leaving node hands its work over and serves until no caller can hold its address any more.",
    note = "Logs go to standard error.",
    example = "{command_name} --settings node.toml",
    error_code(1, "An address cannot be bound, or the node failed."),
    error_code(2, "The settings are unreadable or wrong.")
)]
pub(super) struct Node {
    /// settings file (TOML); see docs/settings.md
    #[argh(option)]
    settings: PathBuf,
}

impl Node {
    pub(super) fn run(self) -> ExitCode {
        let settings = match Settings::load(&self.settings) {
            Ok(settings) => settings,
            Err(error) => {
                super::print_error(&error.to_string());
                if let SettingsError::Faults { faults, .. } = &error {
                    for fault in faults {
                        super::print_error(&format!("  {fault}"));
                    }
                }
                return ExitCode::from(super::EXIT_USAGE);
            }
        };
        let json = settings.log.format == LogFormat::Json;
        if let Err(error) = node::start_logging(settings.log.level, json) {
            super::print_error(&format!("{error:#}"));
            return ExitCode::FAILURE;
        }
        match serve(settings) {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => {
                log::error!("{error:#}");
                super::print_error(&format!("cranberrychute: {error:#}"));
                ExitCode::FAILURE
            }
        }
    }
}

fn serve(settings: Settings) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        node::run(settings, async move {
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
            }
            // Further signals are received and ignored so that a second one does not interrupt the graceful shutdown.
            tokio::spawn(async move {
                loop {
                    tokio::select! {
                        _ = terminate.recv() => {}
                        _ = interrupt.recv() => {}
                    }
                    log::info!("signal ignored: graceful shutdown is already in progress");
                }
            });
        })
        .await
    })
}
