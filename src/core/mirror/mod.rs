//! A node's mirror of the store's items, and its synchronization with other nodes.
//!
//! Every item carries the store's position of its last change. A mirror is complete up to a position. An older page or
//! change, from the store or from a peer, never replaces a newer one.
//!
//! The store may be restored from a copy and lose its latest changes until they are written again. What a node knows
//! from before outweighs the copy, item by item: a value that is newer by its own content stays until the key is
//! written again, and a key that one of the two lacks keeps its last known state for a limited time. Nodes pass such
//! held items on, also to nodes that have never seen the state before the restore.

mod item;
mod pause_guard;
mod position;
mod readers;
mod source;
mod state;

pub use self::{
    item::{Change, HeldItem, ItemOrder, ItemState, Update},
    pause_guard::PauseGuard,
    position::Position,
    readers::{
        Freshness, MAX_FIRST_READ_DELAY, MAX_MIRROR_AGE, READER_COUNT, ReadPlan, reader_rank,
        reads_store, retry_delay,
    },
    source::choose_source,
    state::Mirror,
};
