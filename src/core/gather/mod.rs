//! One request over many shards: when a part is asked for again, and when the answer goes out.

mod merge;
mod plan;

pub use self::{
    merge::{RECORD_BYTES, merge_top},
    plan::{End, Failure, Plan, PlanSettings, Step},
};
