use std::process::ExitCode;

use argh::FromArgs;
use log::LevelFilter;
use tokio::{runtime::Builder, task::LocalSet};

use crate::{gateway, platform};

/// Run a node on the users' platform until SIGTERM, which starts a graceful stop.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "gateway",
    note = "The settings file is the one that CRANBERRYCHUTE_SETTINGS names. SIGHUP reads it again.",
    note = "Structured logs go to standard output.",
    error_code(1, "An address cannot be bound, or the node failed."),
    error_code(2, "The settings are unreadable or wrong.")
)]
pub(super) struct Gateway {
    /// least severe level that is logged: error, warn, info or debug
    #[argh(option, default = "LevelFilter::Info")]
    log: LevelFilter,
}

impl Gateway {
    pub(super) fn run(self) -> ExitCode {
        let settings = match platform::load_settings() {
            Ok(settings) => settings,
            Err(error) => {
                super::print_error(&format!("{:#}", anyhow::Error::from(error)));
                return ExitCode::from(super::EXIT_USAGE);
            }
        };
        let flush = match gateway::start_logging(self.log) {
            Ok(flush) => flush,
            Err(error) => {
                super::print_error(&format!("{error:#}"));
                return ExitCode::FAILURE;
            }
        };
        let run = || {
            let runtime = Builder::new_current_thread().enable_all().build()?;
            let reload = || Ok(platform::load_settings()?);
            let left = LocalSet::new().block_on(&runtime, gateway::run(settings, reload));
            // Dropping the runtime would wait for values that are still being decoded.
            runtime.shutdown_background();
            left
        };
        match run() {
            // The connections that were still open have been closed with their tasks.
            Ok(left) => {
                flush.within(left);
                std::process::exit(0)
            }
            Err(error) => {
                super::print_error(&format!("cranberrychute: {error:#}"));
                ExitCode::FAILURE
            }
        }
    }
}
