//! From plain questions to a service configuration.
//!
//! Answers are read as text by key, from a TOML file or from the terminal, checked one by one and then against
//! each other, and turned into the [`ServicePolicy`](crate::core::config::ServicePolicy) document of the service.
//! The result depends on nothing but the answers.

mod answers;
mod generate;
mod question;

pub use self::{
    answers::{Answers, Harm, Priority, Problem, RawAnswers, Severity},
    generate::generate_policy,
    question::{QUESTIONS, Question},
};
