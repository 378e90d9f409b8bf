use std::{
    fs,
    io::{self, Write},
    path::PathBuf,
    process::ExitCode,
};

use argh::FromArgs;
use serde_json::json;

use crate::{
    core::config::{Fault, document_kind, parse_document},
    node::Settings,
};

/// Exit code for a file with faults.
const EXIT_FAULTS: u8 = 1;
/// Exit code for a file that cannot be read or a kind that is unknown.
const EXIT_UNREADABLE: u8 = 2;

/// Check a settings file or a configuration document, and print every fault with what is allowed.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "check",
    example = "{command_name} settings node.toml",
    example = "{command_name} service/parts parts.toml",
    example = "{command_name} map/parts parts.json",
    error_code(1, "The file has faults."),
    error_code(2, "The file cannot be read, or the kind is unknown.")
)]
pub struct Check {
    /// kind of file: "settings", or the key of the document: service/<name>, map/<name>, domains or vms
    #[argh(positional)]
    pub kind: String,
    /// file to check
    #[argh(positional)]
    pub file: PathBuf,
    /// print JSON: {"valid", "faults": [{"field", "reason", "allowed"}]} or {"error"}
    #[argh(switch)]
    pub json: bool,
}

impl Check {
    /// Checks the file and prints the result.
    ///
    /// Exit codes: 0 if the file is valid, 1 if it has faults, 2 if it cannot be read or the kind is unknown.
    pub fn run(&self) -> ExitCode {
        let file = self.file.display();
        if let Err(fault) = self.check_kind() {
            return self.report_error(&format!("{fault}, or settings"));
        }
        let text = match fs::read(&self.file).map(String::from_utf8) {
            Ok(Ok(text)) => text,
            Ok(Err(_)) => {
                let fault = Fault::new("", "is not UTF-8 text", "UTF-8");
                return self.report(&[fault]);
            }
            Err(error) => return self.report_error(&format!("read {file}: {error}")),
        };
        let faults = match self.kind.as_str() {
            "settings" => Settings::parse(&text).err(),
            key => parse_document(key, &text).err(),
        };
        self.report(&faults.unwrap_or_default())
    }

    fn check_kind(&self) -> Result<(), Fault> {
        match self.kind.as_str() {
            "settings" => Ok(()),
            key => document_kind(key).map(|_| ()),
        }
    }

    fn report(&self, faults: &[Fault]) -> ExitCode {
        let file = self.file.display();
        if self.json {
            print(&json!({ "valid": faults.is_empty(), "faults": faults }).to_string());
        } else if faults.is_empty() {
            print(&format!("{file}: valid"));
        } else {
            faults
                .iter()
                .for_each(|fault| print(&format!("{file}: {fault}")));
        }
        match faults {
            [] => ExitCode::SUCCESS,
            _ => ExitCode::from(EXIT_FAULTS),
        }
    }

    fn report_error(&self, message: &str) -> ExitCode {
        match self.json {
            true => print(&json!({ "error": message }).to_string()),
            // An error while writing to standard error cannot be reported.
            false => drop(writeln!(io::stderr(), "{message}")),
        }
        ExitCode::from(EXIT_UNREADABLE)
    }
}

/// Writes a line to standard output. Write errors, such as a closed pipe, are ignored.
fn print(line: &str) {
    drop(writeln!(io::stdout(), "{line}"));
}
