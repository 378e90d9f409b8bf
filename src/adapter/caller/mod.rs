//! HTTP server for callers and operators.

mod listener;
mod port;
mod server;

pub use self::{
    port::{ApiError, CallerPort, ErrorCode, QueryRequest, Reply},
    server::{CallerServer, ServerLimits},
};
