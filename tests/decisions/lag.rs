use std::time::Duration;

use cranberrychute::core::lag::LoopLag;

use crate::at;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Guards against leaves that are handed more time than their callers have left: a process that was stuck for 800 ms
/// reads the requests of that time all at once.
#[test]
fn requests_read_after_a_stall_count_as_waiting() {
    let mut lag = LoopLag::default();
    lag.schedule(at(1_165));
    assert!(
        lag.read_delay(at(1_900)) >= ms(700),
        "before the timer fires"
    );
    lag.record(at(1_965));
    lag.schedule(at(2_130));
    assert!(
        lag.read_delay(at(1_970)) >= ms(780),
        "after the timer fired"
    );
    assert!(
        lag.read_delay(at(2_100)) >= ms(600),
        "while the backlog is read"
    );
}

/// Guards against requests that are rejected or answered early on a process that is on time.
#[test]
fn a_process_on_time_adds_no_delay() {
    let mut lag = LoopLag::default();
    for tick in 0..100 {
        lag.schedule(at(tick * 165));
        lag.record(at(tick * 165 + 3));
        assert_eq!(lag.read_delay(at(tick * 165 + 40)), Duration::ZERO);
    }
    assert!(lag.mean() <= ms(3));
}

/// Guards against a short stall that keeps its effect.
#[test]
fn a_stall_is_forgotten_after_its_length() {
    let mut lag = LoopLag::default();
    lag.schedule(at(100));
    lag.record(at(600));
    lag.schedule(at(765));
    lag.record(at(766));
    lag.schedule(at(931));
    assert_eq!(lag.read_delay(at(800)), Duration::ZERO);
}

/// Guards against a process that rejects new requests after it has read the backlog of a pause.
#[test]
fn a_timer_on_time_ends_the_effect_of_a_stall() {
    let mut lag = LoopLag::default();
    lag.schedule(at(165));
    lag.record(at(1_400));
    assert!(lag.read_delay(at(1_405)) >= ms(1_200));
    lag.schedule(at(1_415));
    lag.record(at(1_417));
    lag.schedule(at(1_582));
    assert_eq!(lag.read_delay(at(1_420)), Duration::ZERO);
}

/// Guards against a grace period that begins too late: a signal that is sent at the start of a stall is handled at its end. A
/// stall may also begin while the timer is not set.
#[test]
fn a_signal_may_have_been_sent_when_the_stall_began() {
    let mut lag = LoopLag::default();
    lag.schedule(at(165));
    lag.record(at(165));
    assert!(lag.signal_delay(at(2_165), ms(165)) >= ms(2_000));
    lag.schedule(at(330));
    assert!(lag.signal_delay(at(2_165), ms(165)) >= ms(2_000));
    lag.record(at(2_165));
    assert!(lag.signal_delay(at(2_166), ms(165)) >= ms(2_000));
}

/// Guards against a stop that is cut short although the process is on time.
#[test]
fn a_signal_to_a_process_on_time_is_not_late() {
    let mut lag = LoopLag::default();
    for tick in 1..100 {
        assert_eq!(lag.signal_delay(at(tick * 165), ms(165)), ms(0));
        lag.schedule(at(tick * 165 + 1));
        assert_eq!(lag.signal_delay(at(tick * 165 + 4), ms(165)), ms(0));
        lag.record(at(tick * 165 + 4));
    }
}
