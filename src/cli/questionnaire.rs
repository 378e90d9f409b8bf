use std::{
    fs,
    io::{self, BufRead, Write},
    path::PathBuf,
    process::ExitCode,
};

use argh::FromArgs;

use crate::{
    core::config::ServicePolicy,
    questionnaire::{Answers, Problem, QUESTIONS, Question, RawAnswers, generate_policy},
};

/// Exit code for invalid or contradictory answers, or an invalid generated policy.
const EXIT_INVALID: u8 = 1;
/// Exit code if a file cannot be read or written, or if the terminal input ends before the last answer.
const EXIT_IO: u8 = 2;

/// Create the policy of a query service from answers to plain questions.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "questionnaire",
    note = "Without --answers the questions are asked on the terminal.",
    example = "{command_name} --out parts.toml",
    example = "{command_name} --answers answers.toml --out parts.toml",
    error_code(1, "Invalid or contradictory answers."),
    error_code(2, "A file cannot be read or written.")
)]
pub struct Questionnaire {
    /// read the answers from this TOML file instead of the terminal
    #[argh(option)]
    pub answers: Option<PathBuf>,
    /// write the policy to this file instead of standard output
    #[argh(option)]
    pub out: Option<PathBuf>,
}

impl Questionnaire {
    /// Gets the answers from the file or the terminal and writes the policy.
    ///
    /// Exit codes: 0 if the policy was written, 1 on invalid or contradictory answers or an invalid generated policy, 2
    /// if a file cannot be read or written or the terminal input ends before the last answer.
    pub fn run(&self) -> ExitCode {
        let result = match &self.answers {
            Some(path) => match fs::read_to_string(path) {
                Ok(text) => Answers::parse_file(&text).and_then(|raw| Answers::check(&raw)),
                Err(error) => return io_error(&format!("cannot read {}: {error}", path.display())),
            },
            None => match ask_questions(&mut io::stdin().lock(), &mut io::stderr()) {
                Ok(answers) => Ok(answers),
                Err(error) => return io_error(&format!("cannot read the answers: {error}")),
            },
        };
        let answers = match result {
            Ok(answers) => answers,
            Err(problems) => {
                problems
                    .iter()
                    .for_each(|problem| super::print_error(&problem.to_string()));
                return ExitCode::from(EXIT_INVALID);
            }
        };
        let policy = generate_policy(&answers);
        if let Err(faults) = ServicePolicy::parse(&answers.service, &policy) {
            faults.iter().for_each(|fault| {
                super::print_error(&format!("generated policy is invalid: {fault}"))
            });
            return ExitCode::from(EXIT_INVALID);
        }
        match &self.out {
            None => super::print(policy.trim_end()),
            Some(path) => match fs::write(path, &policy) {
                Ok(()) => ExitCode::SUCCESS,
                Err(error) => io_error(&format!("cannot write {}: {error}", path.display())),
            },
        }
    }
}

/// Asks all questions and repeats those with invalid or contradictory answers until no problem is left.
///
/// # Errors
///
/// Returns an error if `input` or `output` fails, or if `input` ends before all questions are answered.
pub fn ask_questions(input: &mut impl BufRead, output: &mut impl Write) -> io::Result<Answers> {
    let mut raw = RawAnswers::new();
    for question in QUESTIONS {
        ask_question(question, &mut raw, input, output)?;
    }
    loop {
        let problems = match Answers::check(&raw) {
            Ok(answers) => return Ok(answers),
            Err(problems) => problems,
        };
        for Problem { keys, text } in &problems {
            writeln!(output, "\n{}: {text}", keys.join(", "))?;
        }
        let repeated = QUESTIONS.iter().filter(|question| {
            let mut keys = problems.iter().flat_map(|problem| &problem.keys);
            keys.any(|key| key == question.key)
        });
        for question in repeated {
            ask_question(question, &mut raw, input, output)?;
        }
    }
}

fn ask_question(
    question: &Question,
    raw: &mut RawAnswers,
    input: &mut impl BufRead,
    output: &mut impl Write,
) -> io::Result<()> {
    let Question {
        key, text, allowed, ..
    } = question;
    // An empty line keeps the earlier answer to a repeated question, or else the default.
    let default = raw.get(*key).map(String::as_str).or(question.default);
    let default = default.map_or(String::new(), |default| format!(" [{default}]"));
    write!(output, "{text}\n  ({allowed}){default} ")?;
    output.flush()?;
    let mut line = String::new();
    if input.read_line(&mut line)? == 0 {
        let reason = format!("input ended before question \"{key}\" was answered");
        return Err(io::Error::new(io::ErrorKind::UnexpectedEof, reason));
    }
    let line = line.trim();
    if !line.is_empty() {
        raw.insert((*key).to_owned(), line.to_owned());
    }
    Ok(())
}

fn io_error(message: &str) -> ExitCode {
    super::print_error(message);
    ExitCode::from(EXIT_IO)
}
