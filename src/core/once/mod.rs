//! At-most-once keys: issuing, verification, and request state until a key expires.

mod error;
mod key;
mod table;

pub use self::{
    error::OnceError,
    key::Key,
    table::{KeySettings, KeyTable, OnceAction, OnceOutcome},
};
