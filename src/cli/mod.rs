//! Command-line interface.
//!
//! Exit codes: 0 on success, 1 on failure, 2 on invalid usage or an unreadable file. `ask` and
//! `check-configuration` document their own codes.

mod ask;
mod check;
mod check_configuration;
mod gateway;
mod key;
mod node;
mod questionnaire;
mod state;
mod version;

pub use self::{
    check::Check,
    questionnaire::{Questionnaire, ask_questions},
};

use std::{
    env,
    io::{self, Write},
    process::ExitCode,
};

use argh::{EarlyExit, FromArgs};

/// Exit code for invalid usage or an unreadable file.
const EXIT_USAGE: u8 = 2;

/// Query tier between callers and back ends that hold many shards.
#[derive(Debug, FromArgs)]
#[argh(
    note = "{command_name} COMMAND --help explains a command and its exit codes.",
    example = "{command_name} gateway",
    example = "{command_name} node --settings node.toml",
    example = "{command_name} check settings node.toml",
    example = "{command_name} check-configuration new.json --in-force active.json",
    example = "{command_name} ask --seed 127.0.0.1:8001 --service parts wok burner jet",
    example = "{command_name} state 127.0.0.1:8001",
    example = "{command_name} questionnaire --out parts.toml",
    example = "{command_name} version"
)]
struct Cranberrychute {
    #[argh(subcommand)]
    command: Command,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Command {
    Gateway(gateway::Gateway),
    Node(node::Node),
    Check(check::Check),
    CheckConfiguration(check_configuration::CheckConfiguration),
    Ask(ask::Ask),
    State(state::State),
    Key(key::Key),
    Questionnaire(questionnaire::Questionnaire),
    Version(version::Version),
}

/// Parses the command-line arguments, runs the command and returns the exit code.
pub fn run() -> ExitCode {
    let args: Vec<String> = env::args_os()
        .skip(1)
        .map(|arg| arg.to_string_lossy().into())
        .collect();
    if matches!(args.first().map(String::as_str), Some("--version" | "-V")) {
        return print(concat!("cranberrychute ", env!("CARGO_PKG_VERSION")));
    }
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    match Cranberrychute::from_args(&["cranberrychute"], &args) {
        Ok(parsed) => parsed.command.run(),
        Err(EarlyExit {
            output,
            status: Ok(()),
        }) => print(output.trim_end()),
        Err(EarlyExit {
            output,
            status: Err(()),
        }) => {
            let text = format!(
                "{}\nRun cranberrychute --help for usage.",
                output.trim_end()
            );
            print_error(&text);
            ExitCode::from(EXIT_USAGE)
        }
    }
}

impl Command {
    fn run(self) -> ExitCode {
        match self {
            Command::Gateway(command) => command.run(),
            Command::Node(command) => command.run(),
            Command::Check(command) => command.run(),
            Command::CheckConfiguration(command) => command.run(),
            Command::Ask(command) => command.run(),
            Command::State(command) => command.run(),
            Command::Key(command) => command.run(),
            Command::Questionnaire(command) => command.run(),
            Command::Version(command) => command.run(),
        }
    }
}

/// Writes a line to standard output. Write errors, such as a closed pipe, are ignored.
fn print(text: &str) -> ExitCode {
    let _ = writeln!(io::stdout(), "{text}");
    ExitCode::SUCCESS
}

/// Writes a line to standard error. Write errors are ignored.
fn print_error(text: &str) {
    let _ = writeln!(io::stderr(), "{text}");
}
