//! Generates a service configuration from answers to plain questions.
//!
//! Answers are read as text by key, from a TOML file or from the terminal. They are validated one by one, then checked
//! for contradictions, and converted to the [`ServicePolicy`](crate::core::config::ServicePolicy) document of the
//! service. The result depends only on the answers.

mod answers;
mod generate;
mod question;

pub use self::{
    answers::{Answers, Harm, Priority, Problem, RawAnswers, Severity},
    generate::generate_policy,
    question::{QUESTIONS, Question},
};
