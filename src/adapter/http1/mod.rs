//! HTTP/1.1 to leafs, the platform and other nodes.
//!
//! hyper's client neither tells whether an idle connection holds bytes of an earlier answer nor keeps a call open
//! beside its caller, so this adapter frames messages itself, with `httparse` for the heads.

mod connection;
mod reply;

pub use self::{
    connection::{Connection, ExchangeError, ExchangeStep},
    reply::Reply,
};
