//! The choice between a watch of the latest state and of a recent state of the store, and the interruption of
//! watches.
//!
//! The reader is the VM of a failure domain that watches the latest state and reports changes to other VMs.

use waxwing_store::Family;
use waxwing_types::{Millis, Revision};

use super::{MAX_LAG, READER_TIMEOUT, STARTUP_TIME, WatchMode, WatchProgress};

const STARTED_AT: Millis = Millis(10_000);
const FAMILY: Family = Family::Targets;

/// Returns the progress of a VM that knows the targets up to a revision, and the time at which the startup of
/// the VM ends.
fn progress_and_startup_end(revision: u64) -> (WatchProgress, Millis) {
    let mut progress = WatchProgress::new(STARTED_AT);
    let _interruptions = progress.add_family(FAMILY);
    progress.record_and_check_new_change(FAMILY, Revision(revision), Some(Revision(revision)));
    (progress, STARTED_AT + STARTUP_TIME)
}

/// The report of another VM that the targets changed at a revision, and the other families never.
fn report(revision: u64) -> Vec<Revision> {
    let revision = |family| if family == FAMILY { revision } else { 0 };
    Family::ALL
        .into_iter()
        .map(revision)
        .map(Revision)
        .collect()
}

/// Guards against a failure domain in which every VM watches the latest state, which costs the store ten times
/// as much. Also guards against a failure domain in which no VM watches the latest state.
#[test]
fn only_the_reader_watches_the_latest_state() {
    let (progress, now) = progress_and_startup_end(5);
    assert_eq!(progress.next_mode(now, FAMILY, true), WatchMode::Latest);
    assert_eq!(progress.next_mode(now, FAMILY, false), WatchMode::Recent);
    // During the startup, no VM counts as the reader: all VMs may start at once and not know of each other yet.
    let during_startup = STARTED_AT + STARTUP_TIME - Millis(1);
    assert_eq!(
        progress.next_mode(during_startup, FAMILY, true),
        WatchMode::Recent
    );
}

/// Guards against watches that end with the startup at every VM: only the reader must replace its own ones.
#[test]
fn the_end_of_the_startup_interrupts_only_the_watches_of_the_reader() {
    let (mut progress, startup_end) = progress_and_startup_end(5);
    let _interruptions = progress.add_family(FAMILY);
    progress.watch_started(STARTED_AT, FAMILY, WatchMode::Recent);
    let before = startup_end - Millis(1);
    assert_eq!(progress.interrupt_outdated(before, true), []);
    assert_eq!(progress.interrupt_outdated(startup_end, false), []);
    assert_eq!(progress.interrupt_outdated(startup_end, true), [FAMILY]);
}

/// Guards against a recent state that hides a reported change for longer than allowed.
#[test]
fn a_watch_that_lacks_a_reported_revision_is_interrupted() {
    let (mut progress, now) = progress_and_startup_end(5);
    let interruptions = progress.add_family(FAMILY);
    progress.record_and_check_new_change(FAMILY, Revision(5), Some(Revision(5)));
    progress.watch_started(now, FAMILY, WatchMode::Recent);
    progress.record_report(now, &report(6));
    assert_eq!(progress.interrupt_outdated(now, false), []);
    assert_eq!(progress.interrupt_outdated(now + MAX_LAG, false), [FAMILY]);
    assert!(interruptions.try_recv().is_ok());
    progress.watch_ended(FAMILY);
    assert_eq!(
        progress.next_mode(now + MAX_LAG, FAMILY, false),
        WatchMode::CatchUp
    );
    // The latest state contains all reported changes, also if it shows no new change of this family.
    progress.record_catch_up(FAMILY);
    assert_eq!(
        progress.next_mode(now + MAX_LAG, FAMILY, false),
        WatchMode::Recent
    );
}

/// Guards against interrupting a watch that reaches the reported revision in time. Also guards against
/// interrupting a watch that has just started: a revision that was reported earlier, while changes were
/// batched, may still arrive in time.
#[test]
fn a_watch_that_reaches_the_reported_revision_is_kept() {
    let (mut progress, now) = progress_and_startup_end(5);
    let interruptions = progress.add_family(FAMILY);
    progress.watch_started(now, FAMILY, WatchMode::Recent);
    progress.record_report(now, &report(6));
    progress.watch_ended(FAMILY);
    progress.record_and_check_new_change(FAMILY, Revision(6), Some(Revision(6)));
    assert_eq!(progress.interrupt_outdated(now + MAX_LAG, false), []);
    progress.record_report(now + MAX_LAG, &report(7));
    assert_eq!(
        progress.interrupt_outdated(now + MAX_LAG + MAX_LAG, false),
        []
    );
    progress.watch_started(now + MAX_LAG + MAX_LAG, FAMILY, WatchMode::Recent);
    assert_eq!(
        progress.interrupt_outdated(now + MAX_LAG + MAX_LAG, false),
        []
    );
    assert!(interruptions.is_empty());
}

/// Guards against a failure domain in which no VM watches the latest state for seconds, because the VM that
/// becomes the reader still waits in a watch of a recent state.
#[test]
fn a_vm_that_becomes_the_reader_interrupts_its_watches() {
    let (mut progress, now) = progress_and_startup_end(5);
    let _interruptions = progress.add_family(FAMILY);
    progress.watch_started(now, FAMILY, WatchMode::Recent);
    assert_eq!(progress.interrupt_outdated(now, true), [FAMILY]);
    progress.watch_started(now, FAMILY, WatchMode::Latest);
    assert_eq!(progress.interrupt_outdated(now, true), []);
}

/// Guards against changes that the VMs of a failure domain miss because its reader cannot reach the store. Such a
/// reader sends no reports, and the recent state that the other VMs watch may lack a change.
#[test]
fn a_vm_without_reports_from_a_reader_watches_the_latest_state() {
    let (mut progress, now) = progress_and_startup_end(5);
    let _interruptions = progress.add_family(FAMILY);
    progress.record_report(now, &report(0));
    progress.watch_started(now, FAMILY, WatchMode::Recent);
    let timed_out = now + READER_TIMEOUT;
    assert_eq!(
        progress.interrupt_outdated(timed_out - Millis(1), false),
        []
    );
    assert_eq!(progress.interrupt_outdated(timed_out, false), [FAMILY]);
    assert_eq!(
        progress.next_mode(timed_out, FAMILY, false),
        WatchMode::Latest
    );
    progress.record_report(timed_out, &report(0));
    assert_eq!(
        progress.next_mode(timed_out, FAMILY, false),
        WatchMode::Recent
    );
}

/// Guards against changes that are never reported to other VMs, and against reports without new changes.
#[test]
fn each_change_is_announced_once() {
    let (mut progress, _) = progress_and_startup_end(5);
    assert!(!progress.record_and_check_new_change(FAMILY, Revision(9), None));
    let last_change = Some(Revision(10));
    assert!(progress.record_and_check_new_change(FAMILY, Revision(12), last_change));
    assert!(!progress.record_and_check_new_change(FAMILY, Revision(13), last_change));
    assert_eq!(progress.last_change_revisions(), report(10));
}

/// Guards against a VM whose configuration is old while its metrics show it as current.
#[test]
fn the_state_ages_until_the_store_or_a_reader_confirms_it() {
    let (mut progress, now) = progress_and_startup_end(5);
    progress.record_latest_state(now, FAMILY);
    assert_eq!(progress.state_age(now + Millis(700), FAMILY), Millis(700));
    progress.record_report(now + Millis(700), &report(5));
    assert_eq!(progress.state_age(now + Millis(900), FAMILY), Millis(200));
    progress.record_report(now + Millis(1000), &report(6));
    assert_eq!(progress.state_age(now + Millis(1100), FAMILY), Millis(400));
}

/// Guards against an old state that the log does not show, or that it shows with every tick.
#[test]
fn a_state_that_becomes_old_is_returned_once() {
    let (mut progress, now) = progress_and_startup_end(5);
    progress.record_latest_state(now, FAMILY);
    let max_age = Millis(1000);
    assert_eq!(progress.take_age_changes(now + max_age, max_age), []);
    let later = now + max_age + Millis(1);
    assert_eq!(progress.take_age_changes(later, max_age), [(FAMILY, true)]);
    assert_eq!(progress.take_age_changes(later, max_age), []);
    progress.record_report(later, &report(5));
    assert_eq!(progress.take_age_changes(later, max_age), [(FAMILY, false)]);
}

/// Guards against a call to the store that waits without an answer and that no metric shows.
#[test]
fn the_age_of_a_running_watch_is_known() {
    let (mut progress, now) = progress_and_startup_end(5);
    progress.watch_started(now, FAMILY, WatchMode::Latest);
    assert_eq!(progress.watch_age(now + Millis(300), FAMILY), Millis(300));
    progress.watch_ended(FAMILY);
    assert_eq!(progress.watch_age(now + Millis(300), FAMILY), Millis::ZERO);
}
