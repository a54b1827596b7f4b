//! What a patch of the deployment shows.

use super::*;

const DEPLOYMENT: Family = Family::Deployment;

/// The progress of a VM that has listed the deployment at revision 5 in an epoch, and the time of the list.
fn listed_progress(epoch: Option<StoreEpoch>) -> (WatchProgress, Millis) {
    let mut progress = WatchProgress::new(STARTED_AT, limits());
    let _interruptions = progress.add_family(DEPLOYMENT);
    progress.record_epoch(STARTED_AT, epoch);
    progress.record_answer(DEPLOYMENT, Revision(5), None, Some(STARTED_AT));
    progress.record_tick(STARTED_AT);
    (progress, STARTED_AT)
}

/// The report of a VM that has read a change of the deployment.
fn deployment_report(revision: u64) -> StateReport {
    let revision_of = |family| if family == DEPLOYMENT { revision } else { 0 };
    let revisions = Family::ALL.into_iter().map(revision_of).map(Revision);
    StateReport {
        revisions: revisions.collect(),
        ..report(0)
    }
}

/// Guards against a read of the whole record by a VM that has the change by a patch.
#[test]
fn a_patched_vm_does_not_lack_the_reported_change() {
    let (mut progress, now) = listed_progress(None);
    progress.record_report(now, &deployment_report(8));
    let read_at = now + MAX_LAG;
    assert_eq!(
        progress.next_mode(read_at, DEPLOYMENT, false),
        WatchMode::CatchUp
    );

    progress.record_patch(None, Revision(8));

    assert_ne!(
        progress.next_mode(read_at, DEPLOYMENT, false),
        WatchMode::CatchUp
    );
    assert_eq!(progress.known_revision(DEPLOYMENT), Revision(8));
    assert_eq!(progress.state_age(now, DEPLOYMENT), Millis::ZERO);
}

/// Guards against reports that confirm the state of VMs which lost the patch: their sender has to name the change.
#[test]
fn a_patched_vm_reports_the_change() {
    let (mut progress, now) = listed_progress(None);

    progress.record_patch(None, Revision(8));

    let mut receiver = listed_progress(None).0;
    receiver.record_report(now, &progress.report(now));
    let mode = receiver.next_mode(now + MAX_LAG, DEPLOYMENT, false);
    assert_eq!(mode, WatchMode::CatchUp);
}

/// Guards against a patch of another epoch, whose revisions mean something else.
#[test]
fn a_patch_of_another_epoch_shows_nothing() {
    for (known, stated) in [
        (None, Some(StoreEpoch(1))),
        (Some(StoreEpoch(2)), Some(StoreEpoch(1))),
        (Some(StoreEpoch(1)), None),
    ] {
        let (mut progress, _) = listed_progress(known);

        progress.record_patch(stated, Revision(8));

        assert_eq!(progress.known_revision(DEPLOYMENT), Revision(5));
    }
}

/// Guards against a VM that skips the list after a restore of the store because it has received a patch.
#[test]
fn a_patch_does_not_replace_the_list_after_a_restore() {
    let (mut progress, now) = listed_progress(Some(StoreEpoch(1)));
    progress.record_epoch(now, Some(StoreEpoch(2)));

    progress.record_patch(Some(StoreEpoch(2)), Revision(8));

    assert!(progress.must_list(DEPLOYMENT));
    assert_eq!(progress.listed_deployment(), None);
    assert_eq!(progress.known_revision(DEPLOYMENT), Revision::default());
}

/// The progress of a VM whose state of the deployment reports confirm, while a change is reported that it lacks, and the time of
/// that report.
fn progress_behind(record_bytes: u64, vms: u64) -> (WatchProgress, Millis) {
    let (mut progress, started_at) = listed_progress(None);
    progress.record_deployment_size(record_bytes);
    progress.record_vms(vms);
    let resumed_at = started_at + limits().startup;
    let now = resumed_at + RESUMPTION_TIME;
    progress.record_tick(resumed_at);
    progress.record_tick(now);
    progress.record_report(now, &deployment_report(5));
    progress.record_report(now, &deployment_report(8));
    (progress, now)
}

/// Guards against a read of the latest state, which costs ten times as much, by each VM whose patch is lost or too large to be sent.
#[test]
fn a_small_deployment_is_looked_for_in_a_recent_state_first() {
    let (progress, reported_at) = progress_behind(16_000, 295);

    let mode_after = |time| progress.next_mode(reported_at + time, DEPLOYMENT, false);

    assert_eq!(mode_after(Millis::ZERO), WatchMode::Reported);
    assert_eq!(mode_after(MAX_LAG - Millis(1)), WatchMode::Recent);
    assert_eq!(mode_after(MAX_LAG), WatchMode::CatchUp);
}

/// Guards against a large record that all VMs read twice over the link of the store, or of which a watch returns many versions over
/// a slow link.
#[test]
fn a_large_deployment_is_not_looked_for_in_a_recent_state() {
    for (record_bytes, vms) in [(132_000, 121), (325_000, 9), (60_000, 146)] {
        let (progress, reported_at) = progress_behind(record_bytes, vms);

        let mode_after = |time| progress.next_mode(reported_at + time, DEPLOYMENT, false);

        assert_eq!(mode_after(MAX_LAG - Millis(1)), WatchMode::Reported);
        assert_eq!(mode_after(MAX_LAG), WatchMode::CatchUp);
    }
}

/// Guards against a wait for the recent state beyond the time that a report may lack.
#[test]
fn a_watch_of_a_recent_deployment_ends_in_time() {
    let (mut progress, reported_at) = progress_behind(16_000, 295);
    let interruptions = progress.add_family(DEPLOYMENT);
    progress.record_answer(DEPLOYMENT, Revision(5), None, Some(reported_at));
    progress.record_report(reported_at, &deployment_report(8));
    let read_at = reported_at + MAX_LAG - Millis(1);

    progress.watch_started(reported_at, DEPLOYMENT, WatchMode::Reported);
    assert_eq!(progress.interrupt_outdated(read_at, false), [DEPLOYMENT]);
    interruptions.try_recv().expect("an interruption");
    progress.watch_started(read_at, DEPLOYMENT, WatchMode::Recent);

    assert_eq!(progress.interrupt_outdated(read_at, false), []);
    assert_eq!(
        progress.interrupt_outdated(reported_at + MAX_LAG, false),
        [DEPLOYMENT]
    );
}
