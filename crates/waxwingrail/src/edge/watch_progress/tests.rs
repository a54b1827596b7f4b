//! The choice between watching the latest and a recent state of the store.

use waxwing_store::Family;
use waxwing_types::{Millis, Revision};

use super::{MAX_LAG, READER_TIMEOUT, STARTUP_TIME, WatchMode, WatchProgress};

const STARTED_AT: Millis = Millis(10_000);
const FAMILY: Family = Family::Targets;

/// The progress of a VM that knows the targets up to a revision, and a time after its startup.
fn progress_at(revision: u64) -> (WatchProgress, Millis) {
    let mut progress = WatchProgress::new(STARTED_AT);
    let _interrupted = progress.add_family(FAMILY);
    progress.record_revision(FAMILY, Revision(revision), true);
    (progress, STARTED_AT + STARTUP_TIME)
}

/// A report of a change of the targets at a revision.
fn report(revision: u64) -> Vec<Revision> {
    let revision = |family| if family == FAMILY { revision } else { 0 };
    Family::ALL
        .into_iter()
        .map(revision)
        .map(Revision)
        .collect()
}

/// Guards against a fleet in which every VM watches the latest state, which costs the store ten times as
/// much, and against one in which no VM does.
#[test]
fn only_the_reader_watches_the_latest_state() {
    let (progress, now) = progress_at(5);
    assert_eq!(progress.next_mode(now, FAMILY, true), WatchMode::Latest);
    assert_eq!(progress.next_mode(now, FAMILY, false), WatchMode::Recent);
    // All processes may start at once, and none knows of the others yet.
    let during_startup = STARTED_AT + Millis(500);
    let remaining = STARTUP_TIME - Millis(500);
    assert_eq!(
        progress.next_mode(during_startup, FAMILY, true),
        WatchMode::Starting(remaining)
    );
}

/// Guards against a recent state that hides a reported change for longer than allowed.
#[test]
fn a_watch_that_lacks_a_reported_revision_is_interrupted() {
    let (mut progress, now) = progress_at(5);
    let interrupted = progress.add_family(FAMILY);
    progress.record_revision(FAMILY, Revision(5), true);
    progress.watch_started(now, FAMILY, WatchMode::Recent);
    progress.record_report(now, &report(6));
    assert_eq!(progress.interrupt_outdated(now, false), []);
    assert_eq!(progress.interrupt_outdated(now + MAX_LAG, false), [FAMILY]);
    assert!(interrupted.try_recv().is_ok());
    progress.watch_ended(FAMILY);
    assert_eq!(
        progress.next_mode(now + MAX_LAG, FAMILY, false),
        WatchMode::CatchUp
    );
    // The latest state may contain no change of this family.
    progress.record_catch_up(FAMILY);
    assert_eq!(
        progress.next_mode(now + MAX_LAG, FAMILY, false),
        WatchMode::Recent
    );
}

/// Guards against interrupting a watch that reaches the reported revision in time, and against interrupting
/// one that has just started, even if the revision was reported earlier, while changes were batched.
#[test]
fn a_watch_that_reaches_the_reported_revision_is_kept() {
    let (mut progress, now) = progress_at(5);
    let interrupted = progress.add_family(FAMILY);
    progress.watch_started(now, FAMILY, WatchMode::Recent);
    progress.record_report(now, &report(6));
    progress.watch_ended(FAMILY);
    progress.record_revision(FAMILY, Revision(6), true);
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
    assert!(interrupted.is_empty());
}

/// Guards against a failure domain without a reader: the VM that becomes the reader still waits in a watch
/// of a recent state, which lasts for seconds.
#[test]
fn a_vm_that_becomes_the_reader_interrupts_its_watches() {
    let (mut progress, now) = progress_at(5);
    let _interrupted = progress.add_family(FAMILY);
    progress.watch_started(now, FAMILY, WatchMode::Recent);
    assert_eq!(progress.interrupt_outdated(now, true), [FAMILY]);
    progress.watch_started(now, FAMILY, WatchMode::Latest);
    assert_eq!(progress.interrupt_outdated(now, true), []);
}

/// Guards against a failure domain whose reader cannot reach the store: it sends no reports, and the recent
/// state that the other VMs watch may lack a change.
#[test]
fn a_vm_without_reports_from_a_reader_watches_the_latest_state() {
    let (mut progress, now) = progress_at(5);
    let _interrupted = progress.add_family(FAMILY);
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

/// Guards against changes that are never reported to other VMs, and against reports without a new change.
#[test]
fn each_change_is_announced_once() {
    let (mut progress, _) = progress_at(5);
    assert!(!progress.record_revision(FAMILY, Revision(9), false));
    assert!(progress.record_revision(FAMILY, Revision(10), true));
    assert!(!progress.record_revision(FAMILY, Revision(10), true));
    assert_eq!(progress.last_changes(), report(10));
}
