//! Planning of a query: snapshot pinning, replica selection, hedging, merging of hits, and coverage.

mod answer;
mod budget;
mod health;
mod merge;
mod plan;
mod replica;
mod request;
mod shard;

pub use self::{
    answer::{Answer, Coverage, Missing, MissingReason, RunOutcome},
    budget::ExtraCallBudget,
    health::{HealthSettings, LeafHealth},
    plan::{CallId, Context, QueryAction, QueryPlan},
    request::{CrashView, Query, QueryError},
};

pub use crate::core::crash::Verdict;
