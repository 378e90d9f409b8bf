use std::time::Duration;

use cranberrychute::core::gather::SendDelay;

/// Guards against answers of a busy or small VM that leave in time for the network only and arrive late.
#[test]
fn a_node_that_is_late_expects_to_be() {
    let mut lateness = SendDelay::default();
    for answer in 0..40 {
        let late = if answer % 3 == 0 { 20 } else { 4 };
        lateness.record(Duration::from_millis(late));
    }
    let expected = lateness.expected();
    let range = Duration::from_millis(10)..Duration::from_millis(20);
    assert!(range.contains(&expected), "{expected:?}");
}

/// Guards against answers that leave early for good after a moment of load.
#[test]
fn what_was_expected_is_forgotten_when_answers_leave_in_time() {
    let mut lateness = SendDelay::default();
    lateness.record(Duration::from_millis(200));
    for _ in 0..120 {
        lateness.record(Duration::from_millis(1));
    }
    assert!(lateness.expected() < Duration::from_millis(2));
}
