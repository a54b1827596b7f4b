//! The times of a stop, for short and long grace times.

use waxwing_types::Millis;

use super::{RESPONSE_MARGIN, StopState, StopTimes};

/// Guards against a stop that still accepts connections when the process ends, with a short grace time.
#[test]
fn the_notice_of_a_stop_fits_into_the_grace_time() {
    for grace in [1, 2, 4, 6, 30] {
        let grace = Millis::from_secs(grace);
        let times = StopTimes::new(grace);
        assert!(times.notice < times.end && times.end < grace, "{grace}");
    }
    assert_eq!(StopTimes::new(Millis::from_secs(6)).notice, Millis(2500));
}

/// Guards against a request that waits for a slot of a target until after the end of the process.
#[test]
fn responses_are_due_before_the_process_ends() {
    let stop = StopState::new();
    assert_eq!(stop.last_response_at(), Millis::MAX);
    let ends_at = Millis(10_000);
    stop.begin(ends_at);
    // A second signal does not give more time.
    stop.begin(ends_at + ends_at);
    assert_eq!(stop.last_response_at(), ends_at - RESPONSE_MARGIN);
}
