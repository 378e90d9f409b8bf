//! One request over many shards: when a part is asked for again, and when the answer goes out.

mod lateness;
mod merge;
mod plan;

pub use self::{
    lateness::Lateness,
    merge::{RECORD_BYTES, merge_top},
    plan::{End, Failure, Plan, PlanSettings, Step},
};
