//! The times of watches, compared with the limits on the delay of changes.

use waxwing_store::Family;
use waxwing_types::Millis;

use super::super::settings::{EdgeCommand, EdgeSettings, parse_command_line};
use super::super::ticks::TICK_PERIOD;
use super::super::watch_progress::{MAX_LAG, WatchMode};
use super::{PROBE_POLL_PERIOD, RETRY_BACKOFF, watch_times};

/// Answer time of a slow store.
const CALL_TIME: Millis = Millis(200);

fn settings(recovery_ms: u64) -> EdgeSettings {
    let recovery = format!("--recovery-ms={recovery_ms}");
    let required = [
        recovery.as_str(),
        "--vm=v1",
        "--domain=a",
        "--region=r1",
        "--domains=a=r1",
        "--store=127.0.0.1:1",
        "--listen=127.0.0.1:0",
        "--directory=127.0.0.1:0",
        "--readiness=127.0.0.1:0",
        "--peer=127.0.0.1:0",
    ];
    match parse_command_line(required.iter().map(Into::into).collect(), |_| None) {
        Ok(EdgeCommand::Run(settings)) => settings,
        other => panic!("{other:?}"),
    }
}

/// Guards against watches that wait so long that VMs use an old state when the limits on changes apply again after a silence
/// of the store.
#[test]
fn the_steps_after_a_silence_fit_into_the_recovery_time() {
    for recovery in [4000, 5000] {
        let settings = settings(recovery);
        for family in [Family::Deployment, Family::Targets, Family::Evacuations] {
            let (wait, timeout) = watch_times(&settings, family, WatchMode::Latest);
            let backoff = Millis(RETRY_BACKOFF.0.0 * 3 / 2) + PROBE_POLL_PERIOD + PROBE_POLL_PERIOD;
            // The reader reads the changes with two calls, the other VMs with one.
            let calls = CALL_TIME + CALL_TIME + CALL_TIME;
            let tick = Millis(u64::try_from(TICK_PERIOD.as_millis()).expect("a short period"));
            let sum = wait + timeout + backoff + calls + MAX_LAG + tick;
            assert!(
                sum <= settings.store_recovery,
                "{family:?}: {sum} of {recovery} ms"
            );
        }
    }
}
