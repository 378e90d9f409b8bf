//! Selection of the nodes that callers are told to use.
//!
//! Designed for large fleets of unequal nodes. Limits that hold for all nodes together, such as the connections of a
//! leaf and the budget of extra calls, are split by the number of nodes that call leaves, and a query over a hundred
//! shards takes a small node longer than its objective. A few strong nodes near the leaves serve callers better; the
//! others stay ready. Every node selects by itself, from reports that spread with the membership messages. Nodes whose
//! reports differ select slightly different sets, which the split of the limits allows for.

mod role;
mod select;
mod table;

pub use self::{
    role::Role,
    select::{Crowding, Fleet, near, select},
    table::{EntryReport, EntryState, EntryTable, MAX_ENTRIES},
};
