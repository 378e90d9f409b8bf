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

/// Exit code for invalid or contradictory answers.
const INVALID: u8 = 1;
/// Exit code for a file that cannot be read or written, and for a terminal that ends before the last answer.
const UNREADABLE: u8 = 2;

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
    /// Reads or asks the answers and writes the policy. Exit codes: 0 written, 1 invalid or contradictory answers,
    /// 2 unreadable file.
    pub fn run(&self) -> ExitCode {
        let checked = match &self.answers {
            Some(path) => match fs::read_to_string(path) {
                Ok(text) => Answers::parse_file(&text).and_then(|raw| Answers::check(&raw)),
                Err(error) => return unreadable(&format!("read {}: {error}", path.display())),
            },
            None => match ask_questions(&mut io::stdin().lock(), &mut io::stderr()) {
                Ok(answers) => Ok(answers),
                Err(error) => return unreadable(&format!("read the answers: {error}")),
            },
        };
        let answers = match checked {
            Ok(answers) => answers,
            Err(problems) => {
                problems
                    .iter()
                    .for_each(|problem| super::complain(&problem.to_string()));
                return ExitCode::from(INVALID);
            }
        };
        let policy = generate_policy(&answers);
        if let Err(faults) = ServicePolicy::parse(&answers.service, &policy) {
            faults
                .iter()
                .for_each(|fault| super::complain(&format!("generated policy: {fault}")));
            return ExitCode::from(INVALID);
        }
        match &self.out {
            None => super::print(policy.trim_end()),
            Some(path) => match fs::write(path, &policy) {
                Ok(()) => ExitCode::SUCCESS,
                Err(error) => unreadable(&format!("write {}: {error}", path.display())),
            },
        }
    }
}

/// Asks all questions, and those of each problem again until none is left.
///
/// # Errors
///
/// Fails when the input ends before all questions are answered.
pub fn ask_questions(input: &mut impl BufRead, output: &mut impl Write) -> io::Result<Answers> {
    let mut raw = RawAnswers::new();
    for question in QUESTIONS {
        ask_one(question, &mut raw, input, output)?;
    }
    loop {
        let problems = match Answers::check(&raw) {
            Ok(answers) => return Ok(answers),
            Err(problems) => problems,
        };
        for Problem { keys, text } in &problems {
            writeln!(output, "\n{}: {text}", keys.join(", "))?;
        }
        let again = QUESTIONS.iter().filter(|question| {
            let mut keys = problems.iter().flat_map(|problem| &problem.keys);
            keys.any(|key| key == question.key)
        });
        for question in again {
            ask_one(question, &mut raw, input, output)?;
        }
    }
}

fn ask_one(
    question: &Question,
    raw: &mut RawAnswers,
    input: &mut impl BufRead,
    output: &mut impl Write,
) -> io::Result<()> {
    let Question {
        key, text, allowed, ..
    } = question;
    // Asked again, a question keeps its earlier answer when the line is empty.
    let kept = raw.get(*key).map(String::as_str).or(question.default);
    let kept = kept.map_or(String::new(), |kept| format!(" [{kept}]"));
    write!(output, "{text}\n  ({allowed}){kept} ")?;
    output.flush()?;
    let mut line = String::new();
    if input.read_line(&mut line)? == 0 {
        let reason = format!("the input ended at question \"{key}\"");
        return Err(io::Error::new(io::ErrorKind::UnexpectedEof, reason));
    }
    let line = line.trim();
    if !line.is_empty() {
        raw.insert((*key).to_owned(), line.to_owned());
    }
    Ok(())
}

fn unreadable(message: &str) -> ExitCode {
    super::complain(message);
    ExitCode::from(UNREADABLE)
}
