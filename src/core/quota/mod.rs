//! Quotas of accounts over all nodes, without a coordinator.
//!
//! The bucket of an account is divided among up to [`MAX_HOLDERS`] nodes, the holders. A node that needs more tokens than
//! it has asks holders for theirs. A token is deducted where it is lent before it is added where it was asked for, and
//! expires a fixed time after it was asked for; a token that is not needed is returned before. Lost, late and repeated messages therefore only lose tokens, and the
//! bound holds whatever nodes know of each other's demand.
//!
//! Designed for some hundred accounts, some of them large, on fleets of 6 to 2,800 nodes: callers of an account that use one
//! node or all of them and move between them, demand at many times the limit, limits set far below the demand, and nodes
//! that restart, freeze, join or cannot reach each other for seconds.

mod bounds;
mod budget;
mod demand;
mod fleet;
mod message;
mod quotas;

pub use self::{
    bounds::QuotaBounds,
    fleet::MAX_HOLDERS,
    message::{Ask, AskEntry, Grant, GrantEntry, MAX_ENTRIES, Report, Return, account_id},
    quotas::{ASK_INTERVAL, Denial, Outgoing, OutgoingAsk, Quotas},
};
