use crate::core::NodeId;

/// A message to send, with its destination.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outbound<M> {
    pub to: NodeId,
    pub message: M,
}
