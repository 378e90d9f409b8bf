//! HTTP for callers and operators.

mod port;
mod server;

pub use self::{
    port::{ApiError, CallerPort, ErrorCode, QueryRequest, Reply},
    server::CallerServer,
};
