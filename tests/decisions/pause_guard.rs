use std::time::Duration;

use cranberrychute::core::mirror::PauseGuard;

use crate::at;

const LONG: Duration = Duration::from_secs(60);

fn paused() -> PauseGuard {
    let mut wake = PauseGuard::new(at(0));
    wake.tick(at(165));
    wake
}

/// Guards against a node that wakes from a pause and takes requests on what it knew before it.
#[test]
fn a_node_that_woke_takes_nothing_until_it_has_learnt_something() {
    let mut wake = paused();
    assert!(!wake.is_outdated(at(300), LONG));
    // Nothing has run since the pause but the task that asks.
    assert!(wake.is_outdated(at(5_000), Duration::ZERO));
    wake.tick(at(5_001));
    assert!(wake.is_outdated(at(5_050), Duration::from_secs(5)));
    assert!(!wake.is_outdated(at(5_050), Duration::from_millis(20)));
}

/// Guards against messages from before the pause that waited in the socket.
#[test]
fn messages_that_waited_during_a_pause_count_for_nothing() {
    let mut wake = paused();
    assert!(wake.messages_may_be_stale(at(5_000)));
    wake.tick(at(5_001));
    assert!(wake.messages_may_be_stale(at(5_020)));
    assert!(!wake.messages_may_be_stale(at(5_200)));
}

/// Guards against a node that stays away for good since the store and all other nodes are gone.
#[test]
fn a_node_that_learns_nothing_takes_requests_in_the_end() {
    let mut wake = paused();
    wake.tick(at(5_000));
    for millis in (5_165..8_000).step_by(165) {
        wake.tick(at(millis));
    }
    assert!(!wake.is_outdated(at(8_000), LONG));
}
