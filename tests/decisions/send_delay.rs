use std::time::Duration;

use cranberrychute::core::gather::SendDelay;

/// Guards against a busy or small VM that allows only for the network's latency when it sends answers, so that they
/// arrive late.
#[test]
fn estimate_follows_observed_delays() {
    let mut send_delay = SendDelay::default();
    for answer in 0..40 {
        let delay = if answer % 3 == 0 { 20 } else { 4 };
        send_delay.record(Duration::from_millis(delay));
    }
    let expected = send_delay.expected();
    let range = Duration::from_millis(10)..Duration::from_millis(20);
    assert!(range.contains(&expected), "{expected:?}");
}

/// Guards against answers that are permanently sent too early after a short load peak.
#[test]
fn estimate_falls_after_short_delays() {
    let mut send_delay = SendDelay::default();
    send_delay.record(Duration::from_millis(200));
    for _ in 0..120 {
        send_delay.record(Duration::from_millis(1));
    }
    assert!(send_delay.expected() < Duration::from_millis(2));
}
