use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::core::{Incarnation, NodeId, PartitionId};

/// Summary of the sender's configuration, carried in lease messages.
pub trait ConfigDigest: Clone {
    /// Returns whether the configuration summarized by `self` contains anything newer than the one summarized by
    /// `other`.
    fn ahead_of(&self, other: &Self) -> bool;
}

/// A message between a holder and a voter. It covers all partitions that the two nodes share.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeaseMessage<D> {
    Request(VoteRequest<D>),
    Reply(VoteReply<D>),
    /// The holder releases partitions before their leases expire.
    Release {
        incarnation: Incarnation,
        /// The holder's round when it sent the message. Promises made in later rounds are kept.
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
    /// Version of the requester's VM list.
    pub epoch: u64,
    pub digest: D,
    /// Empty if the request asks only for the voter's epoch.
    pub claims: Vec<Claim>,
}

/// One partition for which votes are requested.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    pub partition: PartitionId,
    /// Hashes of the voter sets in each of which the requester needs a majority, followed by those of sets that the
    /// requester has recently found to be expired. Empty to ask only for the voter's active sets.
    pub sets: SmallVec<[u32; 2]>,
}

/// A voter's answer to one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoteReply<D> {
    /// Incarnation and round of the request.
    pub incarnation: Incarnation,
    pub round: u64,
    /// Version of the voter's VM list.
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
        /// The voter has tracked the partition for at least the joint period, so its information on which
        /// replaced voter sets are still active is complete.
        settled: bool,
    },
    /// Hashes of the voter sets that the voter considers active, in reply to a claim without sets.
    Sets(SmallVec<[u32; 2]>),
    /// The partition is promised to another node or to another incarnation of the requester, or the requester has
    /// released it in the same round or a later one.
    Held { by: NodeId },
    /// The voter recently started or resumed after a pause, or has no VM list yet.
    Muted,
    /// The voter's configuration is newer than the requester's. The requester must fetch it first.
    ConfigBehind,
    /// The voter's VM list is newer than the requester's. The requester must fetch it first.
    ListBehind,
    /// The request does not name all voter sets that the voter considers active.
    SetsUnknown,
}

impl<D: Clone> LeaseMessage<D> {
    /// Splits a message that is too large for one datagram in two.
    ///
    /// # Errors
    ///
    /// Returns the message unchanged if it covers fewer than two partitions.
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
                let release = |partitions| LeaseMessage::Release {
                    incarnation,
                    round,
                    partitions,
                };
                Ok((release(partitions), release(rest)))
            }
            message => Err(message),
        }
    }
}
