//! Tests of the times after which refused callers come back, by playing their return.

use waxwing_edge::{Pause, pause_retry_after, spread_retry_after, startup_retry_after};
use waxwing_types::Millis;

/// Length of the windows in which returning callers are counted.
const WINDOW: Millis = Millis(100);

/// Largest number of callers that return in one window. One caller is refused every 2 ms.
fn peak_of_returns(callers: u64, retry_after: impl Fn(f64) -> Millis) -> usize {
    let mut rng = fastrand::Rng::with_seed(7);
    let returns = (0..callers).map(|i| Millis(i * 2) + retry_after(rng.f64()));
    let mut windows = std::collections::BTreeMap::<u64, usize>::new();
    for time in returns {
        *windows.entry(time.0 / WINDOW.0).or_default() += 1;
    }
    windows.into_values().max().unwrap_or_default()
}

/// Guards against a wave of refused callers that comes back as a wave. 500 callers are refused within one second, 50 in
/// each window; no window may get a fifth more of them back.
#[test]
fn a_wave_of_refused_callers_does_not_come_back_as_a_wave() {
    for expected_wait in [Millis(1), Millis(300), Millis(5000)] {
        let peak = peak_of_returns(500, |draw| spread_retry_after(expected_wait, draw));
        assert!(peak <= 60, "{expected_wait:?}: {peak}");
    }
    let caller_time = Some(Millis(10_000));
    let peak = peak_of_returns(500, |draw| {
        startup_retry_after(Millis(400), caller_time, draw)
    });
    assert!(peak <= 60, "{peak}");
}

/// Guards against callers that are all refused at one moment and return at one moment.
#[test]
fn callers_refused_at_one_moment_return_over_time() {
    let mut rng = fastrand::Rng::with_seed(7);
    let returns: Vec<_> = (0..500)
        .map(|_| spread_retry_after(Millis(500), rng.f64()))
        .collect();
    let early = returns.iter().filter(|time| **time < Millis(600)).count();
    assert!(early <= 500 * 3 / 10, "{early}");
    assert!(returns.iter().all(|time| *time >= Millis(500)));
    assert!(returns.iter().all(|time| *time <= Millis(1000)));
}

/// Guards against callers that return before the VMs of a starting fleet can be ready, and against a wait that is longer
/// than the third of its time for which a caller waits.
#[test]
fn the_wait_for_a_starting_fleet_grows_with_the_time_of_loading() {
    for age in [0, 200, 1000] {
        for draw in [0.0, 0.5, 0.999] {
            let wait = startup_retry_after(Millis(age), Some(Millis(30_000)), draw);
            assert!(wait >= Millis(age.max(50)), "{wait:?} at {age} ms");
            let wait = startup_retry_after(Millis(age), Some(Millis(1500)), draw);
            assert!(wait <= Millis(500), "{wait:?} at {age} ms");
        }
    }
}

/// Guards against callers that return within a pause, or all at its end: 50 are refused in each 100 ms of the pause.
#[test]
fn callers_return_over_time_after_a_pause() {
    for length in [Millis(500), Millis(2000)] {
        let mut rng = fastrand::Rng::with_seed(7);
        let mut windows = std::collections::BTreeMap::<u64, usize>::new();
        for refused_at in (0..length.0).step_by(2) {
            let left = length - Millis(refused_at);
            let wait = pause_retry_after(Pause { left, length }, rng.f64());
            let returns_at = Millis(refused_at) + wait;
            assert!(returns_at >= length, "{returns_at} of {length}");
            *windows.entry(returns_at.0 / WINDOW.0).or_default() += 1;
        }
        let peak = windows.into_values().max().unwrap_or_default();
        assert!(peak <= 75, "{length}: {peak}");
    }
    let cut_off = Pause {
        left: Millis::MAX,
        length: Millis::MAX,
    };
    assert_eq!(pause_retry_after(cut_off, 0.999), Millis::MAX);
}
