use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::core::{Incarnation, NodeId};

/// A membership message with the caller's own bounded payload, for example a configuration digest and
/// recent crash events.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberMessage<P> {
    /// The sender's incarnation and how often it refuted a suspicion in it.
    pub incarnation: Incarnation,
    pub refutation: u32,
    pub probe: Probe,
    pub rumors: SmallVec<[Rumor; 8]>,
    pub payload: P,
}

/// The purpose of a membership message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Probe {
    /// Answer with [`Probe::Ack`].
    Ping { seq: u64 },
    /// Probe `target` and pass its answer on.
    PingFor { seq: u64, target: NodeId },
    /// `node` answered.
    Ack { seq: u64, node: NodeId },
    /// Only the payload matters; no answer.
    PayloadOnly,
}

/// A change of one node's state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rumor {
    pub node: NodeId,
    pub incarnation: Incarnation,
    pub refutation: u32,
    pub liveness: Liveness,
}

/// The state of a node as others see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Liveness {
    Alive,
    Suspect,
    Dead,
}
