//! Partition leases: which node may call the leaves of a partition, and until when.
//!
//! A [`LeaseTable`] acts as holder and as voter. As holder it requests leases of the partitions it should
//! hold from their voters, and renews them. As voter it promises each partition to at most one holder at a time.
//! `docs/design.md` section 3 specifies the protocol.

mod claim;
mod message;
mod promises;
mod ranking;
mod settings;
mod table;
mod vm_index;
mod voters;

pub use self::{
    message::{Claim, ConfigDigest, LeaseMessage, Verdict, Vote, VoteReply, VoteRequest},
    settings::LeaseSettings,
    table::{ConfigComparison, LeaseTable},
};
