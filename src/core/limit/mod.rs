//! Rate limits of leaves over all nodes: those that leaves name in their answers, and that of cold leaves.
//!
//! Such a limit holds for the calls of all nodes together, and each node sees only its own calls. Every node therefore keeps
//! to a fixed [`Share`] that is safe whatever the others do: with a small limit, only a few nodes call the leaf at all.
//! Nodes tell each other what leaves named, so that those that do not call a leaf learn of changes.
//!
//! Designed for leaves that take half of their usual load for seconds, for limits of a few requests per second in a
//! fleet of hundreds of nodes, and for nodes that disagree for seconds on how many they are.

mod allowance;
mod bucket;
mod leaf_limit;
mod naming;
mod share;
mod tally;

pub use self::{
    allowance::Allowance,
    bucket::Bucket,
    leaf_limit::{LeafLimit, LimitReport},
    naming::Naming,
    share::{NAMED_LIMIT, RateBound, Share, sender_count, share},
    tally::Tally,
};
