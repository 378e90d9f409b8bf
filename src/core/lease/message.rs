use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::core::{Incarnation, NodeId, PartitionId};

/// What a lease message says about the sender's configuration.
pub trait ConfigDigest: Clone {
    /// Returns whether the configuration behind `self` has anything newer than the one behind `other`.
    fn ahead_of(&self, other: &Self) -> bool;
}

/// A message between a holder and a voter. It covers all partitions the two have in common.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeaseMessage<D> {
    Request(VoteRequest<D>),
    Reply(VoteReply<D>),
    /// The holder gives partitions up before its lease ends.
    Release {
        incarnation: Incarnation,
        /// Promises made in later rounds stay.
        round: u64,
        partitions: Vec<PartitionId>,
    },
}

/// A holder's request for votes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoteRequest<D> {
    pub incarnation: Incarnation,
    /// Increases with every request of this incarnation.
    pub round: u64,
    /// Version of the VM list at the requester.
    pub epoch: u64,
    pub digest: D,
    /// Empty when only the voter's epoch is wanted.
    pub claims: Vec<Claim>,
}

/// One partition for which votes are requested.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    pub partition: PartitionId,
    /// Hashes of the voter sets of which the requester needs a majority each, and of those of which it knows
    /// that they no longer count. Empty to ask only for the voter's own sets.
    pub sets: SmallVec<[u32; 2]>,
}

/// A voter's answer to one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoteReply<D> {
    /// The requester's incarnation and round, repeated.
    pub incarnation: Incarnation,
    pub round: u64,
    /// Version of the VM list at the voter.
    pub epoch: u64,
    pub digest: D,
    pub votes: Vec<Vote>,
}

/// A voter's answer for one partition.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vote {
    pub partition: PartitionId,
    pub verdict: Verdict,
}

/// Whether a voter grants a partition.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    Granted {
        /// The voter has followed the partition for at least the joint period, so it knows which replaced
        /// voter sets still count.
        settled: bool,
    },
    /// The hashes of the sets that the voter considers in force, for a claim without sets.
    Sets(SmallVec<[u32; 2]>),
    /// The partition is promised to another node, or to an earlier incarnation of the requester.
    Held { by: NodeId },
    /// The voter started or was paused a short time ago, or has no VM list yet.
    Muted,
    /// The voter's configuration is ahead of the requester's, which must fetch it first.
    ConfigBehind,
    /// The voter's VM list is newer than the requester's, which must fetch it first.
    ListBehind,
    /// The requester does not ask all voter sets that the voter considers in force.
    SetsUnknown,
}

impl<D: Clone> LeaseMessage<D> {
    /// Splits a message that is too large for one datagram into two, if it covers several partitions.
    ///
    /// # Errors
    ///
    /// Returns the message unchanged if it cannot be split.
    pub fn split(self) -> Result<(Self, Self), Self> {
        match self {
            LeaseMessage::Request(mut first) if first.claims.len() > 1 => {
                let claims = first.claims.split_off(first.claims.len() / 2);
                let second = VoteRequest {
                    claims,
                    ..first.clone()
                };
                Ok((LeaseMessage::Request(first), LeaseMessage::Request(second)))
            }
            LeaseMessage::Reply(mut first) if first.votes.len() > 1 => {
                let votes = first.votes.split_off(first.votes.len() / 2);
                let second = VoteReply {
                    votes,
                    ..first.clone()
                };
                Ok((LeaseMessage::Reply(first), LeaseMessage::Reply(second)))
            }
            LeaseMessage::Release {
                incarnation,
                round,
                mut partitions,
            } if partitions.len() > 1 => {
                let rest = partitions.split_off(partitions.len() / 2);
                let half = |partitions| LeaseMessage::Release {
                    incarnation,
                    round,
                    partitions,
                };
                Ok((half(partitions), half(rest)))
            }
            whole => Err(whole),
        }
    }
}
