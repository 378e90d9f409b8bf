//! Partition leases: who may call the leaves of a partition, and until when.
//!
//! A [`LeaseTable`] is holder and voter at once. As holder it asks the voters of the partitions it should
//! own for a lease and renews it; as voter it promises each partition to at most one holder at a time.
//! `docs/design.md` section 3 gives the rules.

mod claim;
mod message;
mod promises;
mod ranking;
mod roster;
mod settings;
mod table;
mod voters;

pub use self::{
    message::{Claim, ConfigDigest, LeaseMessage, Verdict, Vote, VoteReply, VoteRequest},
    settings::LeaseSettings,
    table::{ConfigComparison, LeaseTable},
};
