//! At-most-once keys: issue, verification and state until expiry.

mod error;
mod key;
mod table;

pub use self::{
    error::OnceError,
    key::Key,
    table::{KeySettings, KeyTable, OnceAction, OnceOutcome},
};
