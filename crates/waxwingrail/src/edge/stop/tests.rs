//! The times of a stop, for short and long grace times.

use waxwing_types::Millis;

use super::StopTimes;

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
