//! The gateway's decisions, without input and output: each test replays a load or a sequence of news.

#[path = "../seeds/mod.rs"]
mod seeds;

mod gather;
mod idle_limit;
mod mirror;
mod pause_guard;
mod placement;
mod readers;
mod registry;
mod retry;
mod retry_after;
mod routing;
mod send_delay;

use cranberrychute::core::Time;

/// Returns a point in time, milliseconds.
fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}
