//! One request over many shards: when a part is asked for again, and when the answer goes out.

mod merge;
mod plan;
mod send_delay;

pub use self::{
    merge::{RECORD_BYTES, merge_top},
    plan::{Completion, Failure, Plan, PlanSettings, Step},
    send_delay::SendDelay,
};
