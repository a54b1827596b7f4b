//! When a refused caller may come back.
//!
//! Answers three loads: a wave of callers that are refused at the same time by busy targets or by a quota, those that are
//! refused while all targets of a service are in a pause, and the callers of a fleet of which all VMs are starting.
//! Callers that are told the same time would come back as a wave.

use waxwing_types::Millis;

use crate::target::Pause;

/// Smallest time after which a caller may come back.
const MIN_WAIT: Millis = Millis(50);
/// Largest expected wait that is used. Callers wait for at most a third of the time that they have left.
const MAX_WAIT: Millis = Millis(1000);
/// Longest time over which the callers of a service that is in a pause are spread.
const MAX_PAUSE_SPREAD: Millis = Millis::from_secs(10);
/// Smallest age of a process that is used as its expected remaining time of loading.
const MIN_LOADING_TIME: Millis = Millis(80);
/// Length of the interval over which callers of a fleet that is starting are spread, as a multiple of the expected
/// remaining time of loading.
const STARTUP_SPREAD: f64 = 3.0;
/// Largest part of its time that a caller of a fleet that is starting waits.
const MAX_CALLER_PART: f64 = 0.3;
/// Assumed time of a caller that states none.
const DEFAULT_CALLER_TIME: Millis = Millis::from_secs(3);

/// Spreads the callers that are refused together over the time from `expected_wait` to twice that time. Capacity is
/// expected after `expected_wait`, and comes back over time. `draw` is a random number in [0, 1).
pub fn spread_retry_after(expected_wait: Millis, draw: f64) -> Millis {
    let wait = expected_wait.clamp(MIN_WAIT, MAX_WAIT);
    wait + scaled(wait, draw)
}

/// The time after which a caller may come back to a service that is in a pause. The callers that are refused in the pause
/// are spread over as long a time after its end, so that no more of them come back at a time than were refused. `draw` is a
/// random number in [0, 1).
pub fn pause_retry_after(pause: Pause, draw: f64) -> Millis {
    let spread = pause.length.clamp(MIN_WAIT, MAX_PAUSE_SPREAD);
    pause.left.max(MIN_WAIT) + scaled(spread, draw)
}

/// The time after which a caller may come back to a fleet of which all VMs are starting. A process of age `age` is
/// expected to load its state for as long as it has already done so; the callers are spread over three times that time
/// from then on, but wait for at most three tenths of `caller_time`, the time for which the caller waits for a response.
/// `draw` is a random number in [0, 1).
pub fn startup_retry_after(age: Millis, caller_time: Option<Millis>, draw: f64) -> Millis {
    let loading_time = age.max(MIN_LOADING_TIME);
    let wait = scaled(loading_time, 1.0 + STARTUP_SPREAD * draw);
    let caller_time = caller_time.unwrap_or(DEFAULT_CALLER_TIME);
    wait.min(scaled(caller_time, MAX_CALLER_PART)).max(MIN_WAIT)
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::cast_precision_loss,
    reason = "the times are short, and the cast saturates"
)]
fn scaled(time: Millis, factor: f64) -> Millis {
    Millis((time.0 as f64 * factor) as u64)
}
