//! Adapters to the outside: callers, upstreams, peers, the platform and the clock.

mod backlog;
pub mod caller;
mod clock;
pub mod http1;
pub mod peer;
pub mod platform;
pub mod upstream;

pub(crate) use self::backlog::accept_waiting;
pub use self::clock::Clock;
