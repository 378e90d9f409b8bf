use crate::core::NodeId;

/// A message a core wants sent, and the node it goes to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outbound<M> {
    pub to: NodeId,
    pub message: M,
}
