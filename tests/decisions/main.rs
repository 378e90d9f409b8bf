//! The gateway's decisions, without input and output: each test replays a load or a sequence of news.

#[path = "../seeds/mod.rs"]
mod seeds;

mod come_back;
mod feed;
mod gather;
mod lateness;
mod placement;
mod readers;
mod registry;
mod rest;
mod retry;
mod routing;
mod wake;

use cranberrychute::core::Time;

/// Returns a point in time, milliseconds.
fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}
