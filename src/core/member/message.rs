use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::core::{Incarnation, NodeId};

/// A membership message. `payload` is bounded application data, for example a configuration digest and recent crash
/// events.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberMessage<P> {
    /// The sender's incarnation.
    pub incarnation: Incarnation,
    /// Refutation number of the sender: suspicions of this incarnation with a lower number are void.
    pub refutation: u32,
    pub probe: Probe,
    pub rumors: SmallVec<[Rumor; 8]>,
    pub payload: P,
}

/// The kind of a membership message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Probe {
    /// Requests a [`Probe::Ack`].
    Ping { seq: u64 },
    /// Requests a probe of `target` whose answer is forwarded to the sender.
    PingFor { seq: u64, target: NodeId },
    /// Reports that `node` answered the probe.
    Ack { seq: u64, node: NodeId },
    /// Carries only the payload and rumors. Not answered.
    PayloadOnly,
}

/// A change of one node's liveness.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rumor {
    pub node: NodeId,
    pub incarnation: Incarnation,
    pub refutation: u32,
    pub liveness: Liveness,
}

/// The state of a node as seen by other nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Liveness {
    Alive,
    Suspect,
    Dead,
}
