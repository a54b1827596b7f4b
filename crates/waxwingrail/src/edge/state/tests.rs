//! What follows from lists and failed calls: whether this VM must register again, and when it removes targets.

use waxwing_store::{Family, Freshness};
use waxwing_types::Millis;

use super::super::state_age::{SEND_TIME, max_removal_delay};
use super::super::test_settings::settings;
use super::super::ticks::TICK_PERIOD;
use super::{REREGISTRATION_TIME, StoreStatus};

/// Guards against a VM that registers again because a list of an older state does not contain its entry yet.
/// Also guards against a VM that does not register again after its entry was removed.
#[test]
fn only_the_latest_list_causes_a_new_registration() {
    let mut status = StoreStatus::default();
    assert!(!status.must_register_again(Freshness::Latest, false));
    status.is_registered = true;
    assert!(!status.must_register_again(Freshness::Recent, false));
    assert!(!status.must_register_again(Freshness::Latest, true));
    assert!(status.must_register_again(Freshness::Latest, false));
}

/// A VM whose last failed call met an outage at 10 s, and that has listed the targets again at `recovered_at`.
fn status_after_outage(recovered_at: Millis) -> StoreStatus {
    let mut status = StoreStatus::default();
    status
        .outage_met_at
        .insert(Family::Targets, Millis::from_secs(10));
    status.recovered_at.insert(Family::Targets, recovered_at);
    status
}

/// Guards against requests to targets that left during an outage, after the time from which the limits on changes apply again.
#[test]
fn targets_that_left_are_removed_however_late_the_recovery_is_noticed() {
    for recovery in [4000, 5000] {
        let settings = settings(&[&format!("--recovery-ms={recovery}")]);
        for recovered_at in [10_100, 11_900, 12_700, 13_500] {
            let status = status_after_outage(Millis(recovered_at));
            let deadline = status.reregistration_deadline(max_removal_delay(&settings));
            let last_arrival = deadline + TICK_PERIOD + SEND_TIME;
            assert!(last_arrival <= Millis::from_secs(10) + settings.store_recovery);
        }
    }
}

/// Guards against removing targets too early whose entries expired during an outage that this VM noticed in time.
#[test]
fn targets_are_kept_for_the_whole_time_after_a_recovery_noticed_in_time() {
    let recovered_at = Millis(11_200);
    let status = status_after_outage(recovered_at);
    let deadline = status.reregistration_deadline(max_removal_delay(&settings(&[])));
    assert_eq!(deadline, recovered_at + REREGISTRATION_TIME);
}
