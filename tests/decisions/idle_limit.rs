use std::time::Duration;

use cranberrychute::core::placement::IdleLimit;

use crate::at;

const SECOND: Duration = Duration::from_secs(1);

/// Guards against leaves that drop idle connections, so that every call fails once.
#[test]
fn two_resets_limit_the_idle_time() {
    let mut limit = IdleLimit::default();
    limit.record_reset(at(0), 2 * SECOND);
    assert!(
        limit.allows(at(1), 2 * SECOND),
        "a single reset limits the idle time, though one leaf may have terminated"
    );
    limit.record_reset(at(100), 2 * SECOND);
    assert!(!limit.allows(at(101), 2 * SECOND));
    assert!(limit.allows(at(101), SECOND / 2));
    // Leaves drop connections after an even shorter idle time.
    limit.record_reset(at(200), Duration::from_millis(320));
    assert!(!limit.allows(at(201), Duration::from_millis(200)));
    assert!(limit.allows(at(201), Duration::from_millis(90)));
}

/// Guards against idle connections that are never reused again after a disturbance of a few seconds.
#[test]
fn the_limit_expires() {
    let mut limit = IdleLimit::default();
    limit.record_reset(at(0), SECOND);
    limit.record_reset(at(10), SECOND);
    assert!(!limit.allows(at(3_900), SECOND));
    assert!(limit.allows(at(4_100), SECOND));
    limit.record_reset(at(4_200), SECOND);
    assert!(
        limit.allows(at(4_201), SECOND),
        "a single reset after the expiry restores the limit"
    );
}

/// Guards against a limit derived from resets of recently used connections, which do not indicate dropped idle ones.
#[test]
fn resets_without_idle_time_are_ignored() {
    let mut limit = IdleLimit::default();
    for time in 0..10 {
        limit.record_reset(at(time), Duration::from_millis(20));
    }
    assert!(limit.allows(at(10), SECOND));
}
