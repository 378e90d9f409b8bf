use std::{
    fs,
    path::{Path, PathBuf},
    process::ExitCode,
};

use argh::FromArgs;
use serde_json::json;

use crate::{
    core::lint::{self, Finding, Severity},
    platform::{decode_configuration, exceeds_response},
};

/// Exit code for warnings without errors.
const EXIT_WARNINGS: u8 = 1;
/// Exit code for errors.
const EXIT_ERRORS: u8 = 2;
/// Exit code for input that cannot be read.
const EXIT_UNREADABLE: u8 = 3;

/// Check a configuration of gateways before it is published under op/config. No key is printed.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "check-configuration",
    note = "Differences from the configuration in force are printed and do not change the exit code.",
    example = "{command_name} new.json",
    example = "{command_name} new.json --in-force active.json --json",
    error_code(1, "There are warnings and no errors."),
    error_code(2, "There are errors. Invalid usage has this code, too."),
    error_code(3, "A file cannot be read, or no node would accept the one in force.")
)]
pub(super) struct CheckConfiguration {
    /// configuration to check
    #[argh(positional)]
    file: PathBuf,
    /// configuration that is in force, to compare with
    #[argh(option)]
    in_force: Option<PathBuf>,
    /// print JSON: {"findings": [{"severity", "entry", "text"}]} or {"error"}
    #[argh(switch)]
    json: bool,
}

impl CheckConfiguration {
    /// Checks the file and prints the findings.
    pub(super) fn run(&self) -> ExitCode {
        let findings = match self.check() {
            Ok(findings) => findings,
            Err(error) => {
                match self.json {
                    true => drop(super::print(&json!({ "error": error }).to_string())),
                    false => super::print_error(&error),
                }
                return ExitCode::from(EXIT_UNREADABLE);
            }
        };
        self.print(&findings);
        match findings.iter().map(|finding| finding.severity).min() {
            Some(Severity::Error) => ExitCode::from(EXIT_ERRORS),
            Some(Severity::Warning) => ExitCode::from(EXIT_WARNINGS),
            Some(Severity::Change) | None => ExitCode::SUCCESS,
        }
    }

    fn check(&self) -> Result<Vec<Finding>, String> {
        let text = read(&self.file)?;
        let digest_key = rand::random();
        let active = self.in_force.as_deref().map(|path| {
            let decoded = decode_configuration(&read(path)?, digest_key);
            decoded.map_err(|error| format!("{}: {error}", path.display()))
        });
        let active = active.transpose()?;
        let mut findings = match decode_configuration(&text, digest_key) {
            Ok(draft) => lint::check(&draft, active.as_ref()),
            Err(error) => vec![Finding::error("configuration", error)],
        };
        if exceeds_response(text.len()) {
            let size = text.len();
            let text = format!("its {size} bytes are more than nodes read from the store");
            findings.insert(0, Finding::error("configuration", text));
        }
        Ok(findings)
    }

    fn print(&self, findings: &[Finding]) {
        if self.json {
            super::print(&json!({ "findings": findings }).to_string());
            return;
        }
        for finding in findings {
            super::print(&finding.to_string());
        }
        let count = |severity| findings.iter().filter(|f| f.severity == severity).count();
        let [errors, warnings, changes] =
            [Severity::Error, Severity::Warning, Severity::Change].map(count);
        let file = self.file.display();
        super::print(&format!(
            "{file}: errors: {errors}, warnings: {warnings}, changes: {changes}"
        ));
    }
}

fn read(path: &Path) -> Result<Vec<u8>, String> {
    fs::read(path).map_err(|error| format!("read {}: {error}", path.display()))
}
