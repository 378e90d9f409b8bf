//! Scatter-gather requests over shards: when a part is sent again, and when the answer is returned.

mod hedge;
mod merge;
mod plan;
mod send_delay;
mod verdict;

pub use self::{
    hedge::crossing_hedge_delay,
    merge::{RECORD_BYTES, merge_top},
    plan::{Completion, Failure, Plan, PlanSettings, Step},
    send_delay::SendDelay,
    verdict::{AnswerSigns, AnsweredCall, Verdict},
};
