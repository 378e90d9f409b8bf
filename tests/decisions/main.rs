//! Tests of the gateway's decision logic without I/O. Each test replays a load pattern or a sequence of events.

#[path = "../seeds/mod.rs"]
mod seeds;

mod accounts;
mod admission;
mod connection;
mod crash;
mod crossing;
mod entry;
mod gather;
mod idle_limit;
mod lag;
mod limit;
mod link;
mod mirror;
mod numbers;
mod overload;
mod pause_guard;
mod placement;
mod quota;
mod readers;
mod registry;
mod restore;
mod retry;
mod retry_after;
mod routing;
mod send_delay;
mod stop;
mod verdict;

use cranberrychute::core::Time;

/// Returns the point in time `millis` milliseconds after the origin of the clock.
fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}
