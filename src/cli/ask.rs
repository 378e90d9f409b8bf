use std::{
    io::{self, Write},
    process::ExitCode,
    time::Duration,
};

use argh::FromArgs;

use crate::client::{Answer, Client, ClientError, OnceAnswer, Query, Step};

const EXIT_ERROR: u8 = 1;
const EXIT_USAGE: u8 = 2;
const EXIT_PARTIAL: u8 = 3;
const EXIT_NOT_RUN: u8 = 4;
const EXIT_UNKNOWN: u8 = 5;

/// Query a service as a caller.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "ask",
    note = "Exit code 0 is an answer of all shards.",
    example = "{command_name} --seed 10.0.0.1:7000 --service parts jet 0.80 propane",
    error_code(1, "Another error; the query may have run."),
    error_code(2, "Wrong usage; nothing was sent."),
    error_code(3, "The answer is partial: some shards are missing."),
    error_code(4, "Not run, and it never will be."),
    error_code(5, "Outcome unknown: an at-most-once request may have run.")
)]
pub(super) struct Ask {
    /// address of any node, HOST:PORT; may be repeated
    #[argh(option)]
    seed: Vec<String>,

    /// service to query
    #[argh(option)]
    service: String,

    /// number of hits (default 10)
    #[argh(option, default = "10")]
    top: u16,

    /// time the query may take in all, milliseconds (default 2000)
    #[argh(option, default = "2_000")]
    deadline_ms: u64,

    /// run it at most once
    #[argh(switch)]
    once: bool,

    /// print the answer as JSON
    #[argh(switch)]
    json: bool,

    /// text to search for
    #[argh(positional)]
    text: Vec<String>,
}

impl Ask {
    /// Runs the command on a new runtime and returns the exit code.
    pub(super) fn run(self) -> ExitCode {
        match tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
        {
            Ok(runtime) => runtime.block_on(self.execute()),
            Err(error) => fail(EXIT_ERROR, &format!("cannot start the runtime: {error}")),
        }
    }

    /// Runs the command and returns the exit code.
    pub(super) async fn execute(self) -> ExitCode {
        if self.text.is_empty() {
            return fail(EXIT_USAGE, "a text to search for is required");
        }
        let client = match Client::builder().caller("ask").seeds(&self.seed).build() {
            Ok(client) => client,
            Err(error) => return fail(EXIT_USAGE, &error.to_string()),
        };
        let query = Query::new(self.text.join(" "))
            .top_k(self.top)
            .timeout(Duration::from_millis(self.deadline_ms));
        let result = match self.once {
            true => client.query_once(&self.service, &query).await,
            false => client
                .query(&self.service, &query)
                .await
                .map(OnceAnswer::Done),
        };
        match result {
            Ok(OnceAnswer::Done(answer)) => self.print(&answer),
            Ok(OnceAnswer::NotRun { reason }) => fail(EXIT_NOT_RUN, &format!("not run: {reason}")),
            Ok(OnceAnswer::Unknown { reason }) => {
                fail(EXIT_UNKNOWN, &format!("outcome unknown: {reason}"))
            }
            Err(error) => fail(exit_code(&error), &error.to_string()),
        }
    }

    fn print(&self, answer: &Answer) -> ExitCode {
        let text = match self.json {
            true => serde_json::to_string(answer).unwrap_or_default() + "\n",
            false => format_table(answer),
        };
        if let Err(error) = io::stdout().write_all(text.as_bytes()) {
            return fail(EXIT_ERROR, &format!("cannot print the answer: {error}"));
        }
        match answer.is_complete() {
            true => ExitCode::SUCCESS,
            false => EXIT_PARTIAL.into(),
        }
    }
}

fn exit_code(error: &ClientError) -> u8 {
    match error.is_not_run() {
        _ if error.step == Step::Setup => EXIT_USAGE,
        true => EXIT_NOT_RUN,
        false => EXIT_ERROR,
    }
}

fn format_table(answer: &Answer) -> String {
    let mut text = String::new();
    for hit in &answer.hits {
        text += &format!("{:>8.2}  {}  {}\n", hit.score, hit.id, hit.text);
    }
    for missing in &answer.missing {
        text += &format!("shard {} is missing: {}\n", missing.shard, missing.reason);
    }
    let coverage = answer.coverage;
    text + &format!(
        "{} of {} shards, snapshot {}, {:.1} ms\n",
        coverage.answered, coverage.shards, answer.snapshot, answer.elapsed_ms
    )
}

fn fail(code: u8, message: &str) -> ExitCode {
    // An error while writing to standard error cannot be reported.
    let _ = writeln!(io::stderr(), "cranberrychute: {message}");
    code.into()
}
