use std::time::Duration;

use cranberrychute::core::placement::IdleLimit;

use crate::at;

const SECOND: Duration = Duration::from_secs(1);

/// Guards against leafs that forget rested connections and make every call fail once.
#[test]
fn two_resets_after_a_rest_end_the_use_of_rested_connections() {
    let mut limit = IdleLimit::default();
    limit.record_reset(at(0), 2 * SECOND);
    assert!(
        limit.allows(at(1), 2 * SECOND),
        "one leaf may just have ended"
    );
    limit.record_reset(at(100), 2 * SECOND);
    assert!(!limit.allows(at(101), 2 * SECOND));
    assert!(limit.allows(at(101), SECOND / 2));
    // Forgotten sooner than that.
    limit.record_reset(at(200), Duration::from_millis(320));
    assert!(!limit.allows(at(201), Duration::from_millis(200)));
    assert!(limit.allows(at(201), Duration::from_millis(90)));
}

/// Guards against new connections for good after a disturbance of seconds.
#[test]
fn rested_connections_are_tried_again_later() {
    let mut limit = IdleLimit::default();
    limit.record_reset(at(0), SECOND);
    limit.record_reset(at(10), SECOND);
    assert!(!limit.allows(at(3_900), SECOND));
    assert!(limit.allows(at(4_100), SECOND));
    limit.record_reset(at(4_200), SECOND);
    assert!(
        limit.allows(at(4_201), SECOND),
        "a single reset counted as two"
    );
}

/// Guards against calls that fail on a connection in use, which say nothing about rested ones.
#[test]
fn resets_without_a_rest_do_not_count() {
    let mut limit = IdleLimit::default();
    for time in 0..10 {
        limit.record_reset(at(time), Duration::from_millis(20));
    }
    assert!(limit.allows(at(10), SECOND));
}
