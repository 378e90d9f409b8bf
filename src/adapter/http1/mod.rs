//! HTTP/1.1 client for leaves, the platform and other nodes.
//!
//! hyper's client neither reports whether an idle connection has unread bytes of an earlier response nor keeps a
//! call open independently of its caller, so this adapter frames messages itself and parses the heads with
//! `httparse`.

mod chunk;
mod connection;
mod framing;
mod head;
mod reply;

pub use self::{
    connection::{Connection, ExchangeError, ExchangeStep},
    reply::Reply,
};
