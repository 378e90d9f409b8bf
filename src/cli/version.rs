use std::{path::PathBuf, process::ExitCode};

use argh::FromArgs;

use crate::build::{BUILD, digest_sources};

/// Print which build this is, as in the `started` line of its log.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "version",
    note = "With --sources, prints only the digest of other sources, to be compared with `sources`.",
    example = "{command_name}",
    example = "{command_name} --sources .",
    error_code(2, "The sources cannot be read.")
)]
pub(super) struct Version {
    /// folder whose sources are digested: a checkout of this project
    #[argh(option)]
    sources: Option<PathBuf>,
}

impl Version {
    pub(super) fn run(self) -> ExitCode {
        let Some(root) = self.sources else {
            return super::print(&format!(
                "crate_version {}\ncommit {}\nsources {}\narch {}",
                BUILD.crate_version, BUILD.commit, BUILD.sources, BUILD.arch
            ));
        };
        match digest_sources(&root) {
            Ok(digest) => super::print(&digest),
            Err(error) => {
                super::print_error(&format!("read the sources in {}: {error}", root.display()));
                ExitCode::from(super::EXIT_USAGE)
            }
        }
    }
}
