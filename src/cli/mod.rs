//! The command line.
//!
//! Exit codes: 0 success, 1 failure, 2 wrong usage or an unreadable file; `ask` documents its own.

mod ask;
mod check;
mod gateway;
mod key;
mod node;
mod questionnaire;
mod state;

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

/// Exit code for a wrong command line or an unreadable file.
const USAGE: u8 = 2;

/// Query tier between callers and back ends that hold many shards.
#[derive(Debug, FromArgs)]
#[argh(
    note = "{command_name} COMMAND --help explains a command and its exit codes.",
    example = "{command_name} gateway",
    example = "{command_name} node --settings node.toml",
    example = "{command_name} check settings node.toml",
    example = "{command_name} ask --seed 127.0.0.1:8001 --service parts wok burner jet",
    example = "{command_name} state 127.0.0.1:8001",
    example = "{command_name} questionnaire --out parts.toml"
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
    Ask(ask::Ask),
    State(state::State),
    Key(key::Key),
    Questionnaire(questionnaire::Questionnaire),
}

/// Runs the command line of the process and returns its exit code.
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
            complain(&text);
            ExitCode::from(USAGE)
        }
    }
}

impl Command {
    fn run(self) -> ExitCode {
        match self {
            Command::Gateway(command) => command.run(),
            Command::Node(command) => command.run(),
            Command::Check(command) => command.run(),
            Command::Ask(command) => command.run(),
            Command::State(command) => command.run(),
            Command::Key(command) => command.run(),
            Command::Questionnaire(command) => command.run(),
        }
    }
}

/// Writes a line to standard output; a closed pipe is not an error.
fn print(text: &str) -> ExitCode {
    let _ = writeln!(io::stdout(), "{text}");
    ExitCode::SUCCESS
}

/// Writes a line to standard error.
fn complain(text: &str) {
    let _ = writeln!(io::stderr(), "{text}");
}
