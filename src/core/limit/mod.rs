//! Rate limits that leaves name in their answers.

mod naming;
mod tally;

pub use self::{naming::Naming, tally::Tally};
