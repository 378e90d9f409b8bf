use std::{collections::BTreeMap, fmt, ops::RangeInclusive};

use url::Url;

use super::{QUESTIONS, Question};
use crate::core::{ServiceName, config::parse::is_name};

/// Maximum length of an answer in characters.
const MAX_ANSWER_CHARS: usize = 200;

/// Unvalidated answers by key of the question.
pub type RawAnswers = BTreeMap<String, String>;

/// Reason why a configuration cannot be generated from the answers, worded for the person who gave them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Keys of the questions to answer again.
    pub keys: Vec<String>,
    pub text: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.keys.join(", "), self.text)
    }
}

/// Severity of a harm.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Severity {
    None,
    Some,
    Severe,
}

/// The severity of a harm and its description as given in the answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Harm {
    pub severity: Severity,
    pub description: String,
}

/// What takes precedence if an answer cannot be both in time and complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Priority {
    Time,
    Completeness,
}

/// Validated answers without contradictions, one field for each of the [`QUESTIONS`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answers {
    pub service: ServiceName,
    pub callers: String,
    pub late: Harm,
    pub lost: Harm,
    pub doubled: Harm,
    pub first: Priority,
    pub partial_useful: bool,
    pub never_repeat: Vec<String>,
    /// How long the caller waits for an answer.
    pub wait_ms: u32,
    /// Duration of the slowest upstream call on a normal day.
    pub slowest_ms: u32,
    pub max_hits: u16,
    /// Whether someone may be woken by alarms at night.
    pub night_alarms: bool,
    /// Whether alarms must be acted on at once at night.
    pub urgent_at_night: bool,
    /// Local hour from which people may be reached.
    pub day_from: u8,
    /// Local hour until which people may be reached.
    pub day_to: u8,
    /// Offset of local time from UTC in minutes.
    pub utc_offset: i16,
    pub webhook: Option<String>,
}

/// Parses single answers and collects the problems found.
struct AnswerReader<'a> {
    raw: &'a RawAnswers,
    problems: Vec<Problem>,
}

impl Answers {
    /// Parses the text of an answers file, which holds one TOML value per question.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is not TOML or contains a value that is not a string, an integer or an array of
    /// strings.
    pub fn parse_file(text: &str) -> Result<RawAnswers, Vec<Problem>> {
        let problem = |key: &str, text: String| Problem {
            keys: vec![key.to_owned()],
            text,
        };
        let table: toml::Table = text
            .parse()
            .map_err(|error| vec![problem("file", format!("is not valid TOML: {error}"))])?;
        let (mut raw, mut problems) = (RawAnswers::new(), Vec::new());
        for (key, value) in table {
            let text = match &value {
                toml::Value::String(text) => Some(text.clone()),
                toml::Value::Integer(number) => Some(number.to_string()),
                toml::Value::Array(list) => list
                    .iter()
                    .map(toml::Value::as_str)
                    .collect::<Option<Vec<_>>>()
                    .map(|names| names.join(", ")),
                _ => None,
            };
            match text {
                Some(text) => drop(raw.insert(key, text)),
                None => problems.push(problem(
                    &key,
                    "must be a string, an integer or an array of strings".to_owned(),
                )),
            }
        }
        match problems[..] {
            [] => Ok(raw),
            _ => Err(problems),
        }
    }

    /// Validates each answer, then checks the answers for contradictions.
    ///
    /// # Errors
    ///
    /// Returns every invalid answer or, if all are valid, every contradiction.
    pub fn check(raw: &RawAnswers) -> Result<Self, Vec<Problem>> {
        let mut reader = AnswerReader {
            raw,
            problems: Vec::new(),
        };
        let answers = Self::from_reader(&mut reader);
        for key in raw.keys() {
            if !QUESTIONS.iter().any(|question| question.key == key) {
                let known: Vec<_> = QUESTIONS.iter().map(|question| question.key).collect();
                let text = format!(
                    "is not a known question; known questions: {}",
                    known.join(", ")
                );
                reader.problems.push(Problem {
                    keys: vec![key.clone()],
                    text,
                });
            }
        }
        match (answers, &reader.problems[..]) {
            (Some(answers), []) => match answers.contradictions() {
                found if found.is_empty() => Ok(answers),
                found => Err(found),
            },
            _ => Err(reader.problems),
        }
    }

    fn from_reader(reader: &mut AnswerReader<'_>) -> Option<Self> {
        let service = reader.parse("service", |text| is_name(text).then(|| text.into()));
        let callers = reader.parse("callers", |text| Some(text.to_owned()));
        let late = reader.parse("late", parse_harm);
        let lost = reader.parse("lost", parse_harm);
        let doubled = reader.parse("doubled", parse_harm);
        let first = reader.parse("first", |text| match text {
            "time" => Some(Priority::Time),
            "completeness" => Some(Priority::Completeness),
            _ => None,
        });
        let partial_useful = reader.parse_choice("partial", "useful", "harmful");
        let never_repeat = reader.parse("never_repeat", |text| Some(parse_names(text)));
        let wait_ms = reader.parse_number("wait_ms", 20..=10_000);
        let slowest_ms = reader.parse_number("slowest_ms", 1..=10_000);
        let max_hits = reader.parse_number("max_hits", 1..=1_000);
        let night_alarms = reader.parse_choice("night", "someone", "nobody");
        let urgent_at_night = reader.parse_choice("urgent_at_night", "everything", "nothing");
        let day_from = reader.parse_number("day_from", 0..=23);
        let day_to = reader.parse_number("day_to", 0..=23);
        let utc_offset = reader.parse("utc_offset", parse_utc_offset);
        let webhook = reader.parse("webhook", parse_webhook);
        Some(Self {
            service: service?,
            callers: callers?,
            late: late?,
            lost: lost?,
            doubled: doubled?,
            first: first?,
            partial_useful: partial_useful?,
            never_repeat: never_repeat?,
            wait_ms: wait_ms?,
            slowest_ms: slowest_ms?,
            max_hits: max_hits? as u16,
            night_alarms: night_alarms?,
            urgent_at_night: urgent_at_night?,
            day_from: day_from? as u8,
            day_to: day_to? as u8,
            utc_offset: utc_offset?,
            webhook: webhook?,
        })
    }

    fn contradictions(&self) -> Vec<Problem> {
        let mut found = Vec::new();
        let mut add_if = |contradicts: bool, keys: &[&str], text: String| {
            if contradicts {
                let keys = keys.iter().map(|&key| key.to_owned()).collect();
                found.push(Problem { keys, text });
            }
        };
        let Self {
            wait_ms,
            slowest_ms,
            ..
        } = self;
        add_if(
            !self.partial_useful && self.late.severity > Severity::None && wait_ms < slowest_ms,
            &["partial", "late", "wait_ms", "slowest_ms"],
            format!(
                "you say that partial answers are harmful and late ones too, but the caller waits {wait_ms} ms and \
                 the slowest call takes {slowest_ms} ms; an answer would be either late or partial. Can the caller \
                 wait longer, or is a partial answer better than none?"
            ),
        );
        add_if(
            self.first == Priority::Time && !self.partial_useful,
            &["first", "partial"],
            "you say that an answer must above all be in time, but that a partial one is harmful; when time runs \
             out there is only a partial one. Which of the two matters more?"
                .to_owned(),
        );
        add_if(
            self.first == Priority::Completeness && self.lost.severity == Severity::None,
            &["first", "lost"],
            "you say that an answer must above all be complete, but that a missing part does no harm. What does a \
             missing part cause?"
                .to_owned(),
        );
        add_if(
            !self.night_alarms && self.urgent_at_night,
            &["night", "urgent_at_night"],
            "you say that nobody may be woken at night, but that everything is urgent then. Who acts at night, or \
             can it wait until the morning?"
                .to_owned(),
        );
        add_if(
            !self.night_alarms && self.day_from == self.day_to,
            &["day_from", "day_to"],
            "the day starts and ends at the same hour, so there is no night in which nobody may be woken. When \
             may people be reached?"
                .to_owned(),
        );
        add_if(
            self.doubled.severity == Severity::Severe && self.never_repeat.is_empty(),
            &["doubled", "never_repeat"],
            "you say that a doubled request does severe harm, but that nothing must not be repeated. Which \
             requests cause the harm?"
                .to_owned(),
        );
        add_if(
            self.doubled.severity == Severity::None && !self.never_repeat.is_empty(),
            &["doubled", "never_repeat"],
            "you say that a doubled request does no harm, but name requests that must not be repeated. What \
             happens if they are?"
                .to_owned(),
        );
        found
    }
}

impl AnswerReader<'_> {
    fn parse<T>(&mut self, key: &str, parse_text: impl FnOnce(&str) -> Option<T>) -> Option<T> {
        let question: &Question = QUESTIONS.iter().find(|question| question.key == key)?;
        let answer = self.raw.get(key).map(|text| text.trim());
        let answer = answer.filter(|text| !text.is_empty());
        let Some(text) = answer.or(question.default) else {
            let text = format!("is not answered; allowed: {}", question.allowed);
            return self.add_problem(key, text);
        };
        if text.chars().count() > MAX_ANSWER_CHARS || text.chars().any(char::is_control) {
            let text = format!("must be one line of at most {MAX_ANSWER_CHARS} characters");
            return self.add_problem(key, text);
        }
        match parse_text(text) {
            Some(value) => Some(value),
            None => {
                let text = format!("is \"{text}\"; allowed: {}", question.allowed);
                self.add_problem(key, text)
            }
        }
    }

    fn add_problem<T>(&mut self, key: &str, text: String) -> Option<T> {
        let keys = vec![key.to_owned()];
        self.problems.push(Problem { keys, text });
        None
    }

    fn parse_choice(&mut self, key: &str, yes: &str, no: &str) -> Option<bool> {
        self.parse(key, |text| {
            (text == yes)
                .then_some(true)
                .or((text == no).then_some(false))
        })
    }

    fn parse_number(&mut self, key: &str, range: RangeInclusive<u32>) -> Option<u32> {
        self.parse(key, |text| {
            text.parse().ok().filter(|number| range.contains(number))
        })
    }
}

fn parse_harm(text: &str) -> Option<Harm> {
    let severity = match text.split(':').next()?.trim() {
        "none" => Severity::None,
        "some" => Severity::Some,
        "severe" => Severity::Severe,
        _ => return None,
    };
    let description = text.to_owned();
    Some(Harm {
        severity,
        description,
    })
}

fn parse_names(text: &str) -> Vec<String> {
    let names = text.split(',').map(str::trim);
    let names = names.filter(|name| !name.is_empty() && *name != "nothing");
    names.map(str::to_owned).collect()
}

fn parse_utc_offset(text: &str) -> Option<i16> {
    let (sign, rest) = match text.split_at_checked(1)? {
        ("+", rest) => (1, rest),
        ("-", rest) => (-1, rest),
        _ => return None,
    };
    let (hours, minutes) = rest.split_once(':')?;
    let digits = |part: &str| -> Option<i16> {
        let is_valid = part.len() == 2 && part.bytes().all(|byte| byte.is_ascii_digit());
        is_valid.then(|| part.parse().ok())?
    };
    let minutes = digits(minutes).filter(|minutes| *minutes < 60)?;
    let total = sign * (digits(hours)? * 60 + minutes);
    (-720..=840).contains(&total).then_some(total)
}

fn parse_webhook(text: &str) -> Option<Option<String>> {
    if text == "none" {
        return Some(None);
    }
    let url = Url::parse(text).ok()?;
    (url.scheme() == "http").then(|| Some(url.as_str().to_owned()))
}
