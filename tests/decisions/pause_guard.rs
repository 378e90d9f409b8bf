use std::time::Duration;

use cranberrychute::core::mirror::PauseGuard;

use crate::at;

const LONG_AGE: Duration = Duration::from_secs(60);

fn running_guard() -> PauseGuard {
    let mut guard = PauseGuard::new(at(0));
    guard.tick(at(165));
    guard
}

/// Guards against a node that resumes after a pause and serves requests with its state from before the pause.
#[test]
fn state_is_outdated_after_a_pause_until_the_next_sync() {
    let mut guard = running_guard();
    assert!(!guard.is_outdated(at(300), LONG_AGE));
    // The process resumed, but its tick has not run yet.
    assert!(guard.is_outdated(at(5_000), Duration::ZERO));
    guard.tick(at(5_001));
    assert!(guard.is_outdated(at(5_050), Duration::from_secs(5)));
    assert!(!guard.is_outdated(at(5_050), Duration::from_millis(20)));
}

/// Guards against messages from before a pause that were queued in the socket during it.
#[test]
fn messages_right_after_a_pause_are_stale() {
    let mut guard = running_guard();
    assert!(guard.messages_may_be_stale(at(5_000)));
    guard.tick(at(5_001));
    assert!(guard.messages_may_be_stale(at(5_020)));
    assert!(!guard.messages_may_be_stale(at(5_200)));
}

/// Guards against a node that never serves requests again because neither the store nor another node is reachable.
#[test]
fn state_is_accepted_without_sync_after_a_timeout() {
    let mut guard = running_guard();
    guard.tick(at(5_000));
    for millis in (5_165..8_000).step_by(165) {
        guard.tick(at(millis));
    }
    assert!(!guard.is_outdated(at(8_000), LONG_AGE));
}
