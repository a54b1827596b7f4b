//! The times of watches, compared with the limits on the delay of changes.

use waxwing_store::Family;
use waxwing_types::Millis;

use super::super::deployment::ReadCost;
use super::super::settings::EdgeSettings;
use super::super::state_age::{AgeLimits, CALL_TIME, DATAGRAM_TIME, SEND_TIME};
use super::super::test_settings::settings;
use super::super::ticks::TICK_PERIOD;
use super::super::watch_progress::{MAX_LAG, WatchMode};
use super::times::{answered_as_of, watch_times};
use super::{PROBE_POLL_PERIOD, RETRY_BACKOFF, batch_time};

/// Answer time of a slow store.
const SLOW_CALL_TIME: Millis = Millis(200);
/// Families whose changes must be in use within a limit.
const LIMITED: [Family; 3] = [Family::Deployment, Family::Targets, Family::Evacuations];

fn with_recovery(recovery_ms: u64) -> EdgeSettings {
    settings(&[&format!("--recovery-ms={recovery_ms}")])
}

/// Settings with the limits of the users' deployments and with others.
fn with_limits() -> Vec<EdgeSettings> {
    let limits = [[2500, 2500, 5000], [4000, 4000, 5000], [2000, 1900, 3000]];
    let settings = limits.map(|[apply, drain, evacuate]| {
        settings(&[
            &format!("--apply-ms={apply}"),
            &format!("--drain-ms={drain}"),
            &format!("--evacuate-ms={evacuate}"),
        ])
    });
    settings.into()
}

fn limit(settings: &EdgeSettings, family: Family) -> Millis {
    match family {
        Family::Deployment => settings.max_apply_delay,
        Family::Targets => settings.max_drain_delay,
        Family::Evacuations => settings.max_evacuation_delay,
        Family::Vms => Millis::MAX,
    }
}

/// Guards against watches that wait so long that VMs use an old state when the limits on changes apply again after a silence
/// of the store.
#[test]
fn the_steps_after_a_silence_fit_into_the_recovery_time() {
    for recovery in [4000, 5000] {
        let settings = with_recovery(recovery);
        for family in LIMITED {
            let confirm = AgeLimits::new(&settings).of(family).confirm;
            let (wait, timeout) = watch_times(&settings, WatchMode::Latest, confirm);
            let backoff = Millis(RETRY_BACKOFF.0.0 * 3 / 2) + PROBE_POLL_PERIOD + PROBE_POLL_PERIOD;
            // The reader reads the changes with two calls, the other VMs with one.
            let calls = SLOW_CALL_TIME + SLOW_CALL_TIME + SLOW_CALL_TIME;
            let sum = wait + timeout + backoff + calls + MAX_LAG + TICK_PERIOD;
            assert!(
                sum <= settings.store_recovery,
                "{family:?}: {sum} of {recovery} ms"
            );
        }
    }
}

/// Checks that the steps of a change fit into the limit of each family, for each of the settings.
fn check_steps(sum: impl Fn(&EdgeSettings, Family) -> Millis) {
    for settings in with_limits() {
        for family in LIMITED {
            let (sum, limit) = (sum(&settings, family), limit(&settings, family));
            assert!(sum <= limit, "{family:?}: {sum} of {limit}");
        }
    }
}

/// Guards against a change that is in use too late because the store reader has failed right before it: the VM finds that its
/// state is unconfirmed, reads the latest state, and the last request that it sent before arrives at its target.
#[test]
fn the_steps_after_a_failure_of_the_reader_fit_into_the_limits() {
    check_steps(|settings, family| {
        let max_age = AgeLimits::new(settings).of(family).max;
        DATAGRAM_TIME + max_age + TICK_PERIOD + CALL_TIME + SEND_TIME
    });
}

/// Guards against a change that is in use too late although the reader works: it reads batches, and the recent state of the
/// other VMs lags.
#[test]
fn the_steps_of_a_reported_change_fit_into_the_limits() {
    check_steps(|settings, family| {
        let read =
            batch_time(settings, family, (ReadCost::default(), 1)) + CALL_TIME + DATAGRAM_TIME;
        read + MAX_LAG + TICK_PERIOD + CALL_TIME + SEND_TIME
    });
}

/// Guards against VMs that read the latest state although the reader works: a lost report must not suffice.
#[test]
fn a_working_reader_confirms_the_state_in_time() {
    for settings in with_limits() {
        for family in LIMITED {
            let ages = AgeLimits::new(&settings).of(family);
            // The reader expects its next answer at the age `confirm`. The answer and the report take one way each.
            let report = CALL_TIME + DATAGRAM_TIME;
            assert!(ages.confirm + report < ages.max, "{family:?}");
            assert!(ages.confirm > Millis::ZERO, "{family:?}");
        }
    }
}

/// Guards against a process in its startup that uses an old state when the limits apply to it.
#[test]
fn the_state_is_confirmed_before_the_startup_counts_as_over() {
    for recovery in [4000, 5000] {
        let settings = with_recovery(recovery);
        let startup = AgeLimits::new(&settings).startup;
        assert!(startup + TICK_PERIOD + CALL_TIME <= settings.store_recovery);
    }
}

/// Guards against a process that was suspended and takes the receipt of an old answer for the time of that answer.
#[test]
fn an_answer_holds_what_the_store_had_when_it_was_sent() {
    let (sent_at, wait, much_later) = (Millis(1000), Millis(900), Millis(60_000));
    let at_wait_end = answered_as_of(sent_at, wait, much_later, false);
    assert_eq!(at_wait_end, Millis(1900));
    let with_changes = answered_as_of(sent_at, wait, much_later, true);
    assert_eq!(with_changes, sent_at);
    let cut_off_early = answered_as_of(sent_at, wait, Millis(1500), false);
    assert_eq!(cut_off_early, sent_at);
}

/// Guards against a fleet in which every VM reads the latest state again and again after a restore of the store.
#[test]
fn only_store_readers_poll_after_a_restore() {
    let settings = with_recovery(4000);
    let recent = watch_times(&settings, WatchMode::Recent, Millis::ZERO);
    let restored = watch_times(&settings, WatchMode::Restored, Millis::ZERO);
    assert_eq!(restored, recent);
    assert!(recent.0 > Millis::from_secs(10));
}
