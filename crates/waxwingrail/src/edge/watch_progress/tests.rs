//! The choice between a watch of the latest state and of a recent state of the store, and the interruption of
//! watches.
//!
//! The reader is the VM of a failure domain that watches the latest state and reports changes to other VMs.

mod patches;
mod reports;

use waxwing_edge::{READER_STARTUP_TIME, StateReport};
use waxwing_store::{Family, Freshness};
use waxwing_types::{Millis, Revision, StoreEpoch};

use super::super::state_age::{AgeLimits, StateAges};
use super::super::test_settings::settings;
use super::{
    AnswerEpoch, MAX_LAG, RESTORE_TIME, RESUMPTION_TIME, SUSPENSION_TIME, WatchMode, WatchProgress,
};

const STARTED_AT: Millis = Millis(10_000);
const FAMILY: Family = Family::Targets;

fn limits() -> AgeLimits {
    AgeLimits::new(&settings(&[]))
}

fn ages() -> StateAges {
    limits().of(FAMILY)
}

/// Returns the progress of a VM that knows the targets up to a revision, and the time at which the startup of
/// the VM ends. The state was confirmed at that time.
fn progress_and_startup_end(revision: u64) -> (WatchProgress, Millis) {
    let mut progress = WatchProgress::new(STARTED_AT, limits());
    let _interruptions = progress.add_family(FAMILY);
    let startup_end = STARTED_AT + limits().startup.max(READER_STARTUP_TIME);
    let revision = Revision(revision);
    progress.record_answer(FAMILY, revision, Some(revision), Some(startup_end));
    progress.record_tick(startup_end);
    (progress, startup_end)
}

/// The revision of the last change of each family: the targets changed at a revision, the other families never.
fn revisions(revision: u64) -> Vec<Revision> {
    let revision = |family| if family == FAMILY { revision } else { 0 };
    Family::ALL
        .into_iter()
        .map(revision)
        .map(Revision)
        .collect()
}

/// The report of a VM that has all changes up to `age` ago, the last one of the targets at a revision.
fn report_of_age(revision: u64, age: Option<Millis>) -> StateReport {
    StateReport {
        epoch: None,
        revisions: revisions(revision),
        floors: vec![Revision(1); Family::ALL.len()],
        ages: vec![age; Family::ALL.len()],
    }
}

/// The report of a VM that has all changes.
fn report(revision: u64) -> StateReport {
    report_of_age(revision, Some(Millis::ZERO))
}

fn report_in(epoch: Option<StoreEpoch>, revision: u64) -> StateReport {
    StateReport {
        epoch,
        ..report(revision)
    }
}

/// Guards against a failure domain in which every VM watches the latest state, which costs the store ten times
/// as much. Also guards against a failure domain in which no VM watches the latest state.
#[test]
fn only_the_reader_watches_the_latest_state() {
    let (progress, now) = progress_and_startup_end(5);
    assert_eq!(progress.next_mode(now, FAMILY, true), WatchMode::Latest);
    assert_eq!(progress.next_mode(now, FAMILY, false), WatchMode::Recent);
    // During the startup, no VM counts as the reader: all VMs may start at once and not know of each other yet.
    let during_startup = STARTED_AT + READER_STARTUP_TIME - Millis(1);
    assert_eq!(
        progress.next_mode(during_startup, FAMILY, true),
        WatchMode::Recent
    );
}

/// Guards against watches that end with the startup at every VM: only the reader must replace its own ones.
#[test]
fn the_end_of_the_startup_interrupts_only_the_watches_of_the_reader() {
    let (mut progress, _) = progress_and_startup_end(5);
    let _interruptions = progress.add_family(FAMILY);
    progress.watch_started(STARTED_AT, FAMILY, WatchMode::Recent);
    let startup_end = STARTED_AT + READER_STARTUP_TIME;
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
    progress.record_answer(FAMILY, Revision(5), Some(Revision(5)), Some(now));
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
    let reported = progress.watch_started(now + MAX_LAG, FAMILY, WatchMode::CatchUp);
    progress.record_catch_up(FAMILY, reported);
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
    progress.record_answer(FAMILY, Revision(6), Some(Revision(6)), Some(now));
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

/// Guards against changes that the VMs of a failure domain miss because its reader fails. The recent state that they watch may
/// lack a change.
#[test]
fn a_vm_whose_state_nobody_confirms_reads_the_latest_state() {
    let (mut progress, now) = progress_and_startup_end(5);
    let _interruptions = progress.add_family(FAMILY);
    progress.record_answer(FAMILY, Revision(5), None, Some(now));
    progress.watch_started(now, FAMILY, WatchMode::Recent);
    let due = now + ages().max;
    assert_eq!(progress.interrupt_outdated(due - Millis(1), false), []);
    assert_eq!(progress.interrupt_outdated(due, false), [FAMILY]);
    assert_eq!(progress.next_mode(due, FAMILY, false), WatchMode::CatchUp);
    progress.record_report(due, &report(5));
    // Ticks show that the VM was not suspended.
    progress.record_tick(due);
    progress.record_report(due + RESUMPTION_TIME, &report(5));
    assert_eq!(progress.next_mode(due, FAMILY, false), WatchMode::Recent);
}

/// Guards against a report that arrives while the latest state is read and counts as contained in it.
#[test]
fn a_read_of_the_latest_state_contains_only_what_was_reported_before() {
    let (mut progress, now) = progress_and_startup_end(5);
    progress.record_report(now, &report(6));
    let reported = progress.watch_started(now, FAMILY, WatchMode::CatchUp);
    progress.record_report(now, &report(7));
    progress.record_catch_up(FAMILY, reported);
    assert_eq!(
        progress.next_mode(now + MAX_LAG, FAMILY, false),
        WatchMode::CatchUp
    );
}

/// Guards against changes that are never reported to other VMs, and against reports without new changes.
#[test]
fn each_change_is_announced_once() {
    let (mut progress, _) = progress_and_startup_end(5);
    assert!(!progress.record_answer(FAMILY, Revision(9), None, None));
    let last_change = Some(Revision(10));
    assert!(progress.record_answer(FAMILY, Revision(12), last_change, None));
    assert!(!progress.record_answer(FAMILY, Revision(13), last_change, None));
    assert_eq!(progress.report(STARTED_AT).revisions, revisions(10));
}

/// Guards against a VM whose configuration is old while its metrics show it as current.
#[test]
fn the_state_ages_until_the_store_or_a_reader_confirms_it() {
    let (mut progress, now) = progress_and_startup_end(5);
    assert_eq!(progress.state_age(now + Millis(700), FAMILY), Millis(700));
    progress.record_report(now + Millis(700), &report(5));
    assert_eq!(progress.state_age(now + Millis(900), FAMILY), Millis(200));
    progress.record_tick(now + Millis(900));
    progress.record_report(now + Millis(1000), &report(6));
    assert_eq!(progress.state_age(now + Millis(1100), FAMILY), Millis(400));
}

/// Guards against a removal of a target that is held back in a calm time, as after an outage, because a watch that met a
/// silence long ago has reached its time-out.
#[test]
fn an_old_watch_without_an_answer_is_no_outage() {
    let (mut progress, now) = progress_and_startup_end(5);
    progress.record_report(now, &report(5));
    assert!(!progress.shows_outage(now + Millis(900), FAMILY, WatchMode::Recent));
    assert!(!progress.shows_outage(now + Millis(900), FAMILY, WatchMode::Restored));
    assert!(progress.shows_outage(now + Millis(900), FAMILY, WatchMode::Latest));
    assert!(progress.shows_outage(now + ages().max, FAMILY, WatchMode::Recent));
}

/// Guards against an old state that the log does not show, or that it shows with every tick.
#[test]
fn a_state_that_becomes_old_is_returned_once() {
    let (mut progress, now) = progress_and_startup_end(5);
    let max_age = Millis(1000);
    assert_eq!(progress.take_age_changes(now + max_age, max_age), []);
    let later = now + max_age + Millis(1);
    assert_eq!(progress.take_age_changes(later, max_age), [(FAMILY, true)]);
    assert_eq!(progress.take_age_changes(later, max_age), []);
    progress.record_tick(later);
    progress.record_report(later + RESUMPTION_TIME, &report(5));
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

/// The progress of a VM that knows revision 50 of epoch 1.
fn progress_in_epoch_1() -> (WatchProgress, Millis) {
    let (mut progress, now) = progress_and_startup_end(50);
    let epoch = Some(StoreEpoch(1));
    assert_eq!(progress.record_epoch(now, epoch), AnswerEpoch::Current);
    progress.record_report(now, &report_in(epoch, 50));
    assert!(!progress.must_list(FAMILY));
    (progress, now)
}

/// Guards against revisions of before a restore that hide later changes with lower revisions, at this VM and at the VMs that it
/// tells of them.
#[test]
fn revisions_do_not_outlast_an_epoch() {
    let (mut progress, now) = progress_in_epoch_1();
    let (before, epoch) = (StoreEpoch(1), Some(StoreEpoch(2)));
    let restored = AnswerEpoch::Restored(before);
    assert_eq!(progress.record_epoch(now, epoch), restored);
    assert!(progress.must_list(FAMILY));
    assert_eq!(progress.report(now).revisions, revisions(0));
    assert_eq!(progress.report(now).ages, [None; 4]);
    assert_eq!(progress.report(now).floors, revisions(0));
    // An answer that was on its way during the restore does not count as a list of the new epoch.
    assert_eq!(
        progress.record_epoch(now, Some(before)),
        AnswerEpoch::Earlier
    );
    assert!(progress.must_list(FAMILY));
    progress.record_restored_list(FAMILY, epoch, Revision(30), Some(now));
    assert!(!progress.must_list(FAMILY));
    progress.record_report(now, &report_in(epoch, 31));
    assert_eq!(
        progress.next_mode(now + MAX_LAG, FAMILY, false),
        WatchMode::CatchUp
    );
    assert!(progress.record_answer(FAMILY, Revision(31), Some(Revision(31)), None));
    assert_eq!(progress.report(now).revisions, revisions(31));
    assert_eq!(progress.report(now).floors, revisions(30));
}

/// Guards against reports that are compared with revisions of another epoch: one of an earlier epoch would hide the changes that
/// later reports name, and a VM that learns of a restore only from reports would go on with its old state.
#[test]
fn a_report_of_another_epoch_is_not_compared() {
    let (mut progress, now) = progress_in_epoch_1();
    let _interruptions = progress.add_family(FAMILY);
    for earlier in [None, Some(StoreEpoch(0))] {
        progress.record_tick(now + ages().max);
        progress.record_report(now + ages().max, &report_in(earlier, 90));
        let mode = progress.next_mode(now + ages().max, FAMILY, false);
        assert_eq!(mode, WatchMode::CatchUp, "{earlier:?}");
    }
    progress.record_answer(FAMILY, Revision(50), None, Some(now));
    progress.watch_started(now, FAMILY, WatchMode::Recent);
    progress.record_report(now, &report_in(Some(StoreEpoch(2)), 10));
    assert_eq!(progress.interrupt_outdated(now, false), [FAMILY]);
    assert_eq!(progress.next_mode(now, FAMILY, false), WatchMode::CatchUp);
    // The store knows of no later epoch: a wrong report does not keep the VM reading.
    progress.record_catch_up(FAMILY, Revision(50));
    assert_eq!(progress.next_mode(now, FAMILY, false), WatchMode::Recent);
}

/// Guards against a recent state of before a restore that is read as one of after it.
#[test]
fn only_the_latest_state_is_read_for_some_time_after_a_restore() {
    let (mut progress, now) = progress_in_epoch_1();
    progress.record_epoch(now, Some(StoreEpoch(2)));
    progress.record_restored_list(FAMILY, Some(StoreEpoch(2)), Revision(30), Some(now));
    let mode = progress.next_mode(now, FAMILY, false);
    assert_eq!(mode, WatchMode::Restored);
    assert_eq!(mode.freshness(), Freshness::Latest);
    assert_eq!(progress.recent_freshness(now), Freshness::Latest);
    let later = now + RESTORE_TIME;
    progress.record_tick(later);
    let later = later + RESUMPTION_TIME;
    progress.record_report(later, &report_in(Some(StoreEpoch(2)), 30));
    assert_eq!(progress.next_mode(later, FAMILY, false), WatchMode::Recent);
    assert_eq!(progress.recent_freshness(later), Freshness::Recent);
}

/// Guards against a read that is given up for a later change, and begun again for each one that follows.
#[test]
fn a_read_of_the_latest_state_is_not_interrupted() {
    let (mut progress, now) = progress_and_startup_end(5);
    let _interruptions = progress.add_family(FAMILY);
    progress.record_answer(FAMILY, Revision(5), Some(Revision(5)), Some(now));
    progress.watch_started(now, FAMILY, WatchMode::CatchUp);
    progress.record_report(now, &report(6));

    let interrupted = progress.interrupt_outdated(now + MAX_LAG + MAX_LAG, false);

    assert_eq!(interrupted, []);
}

/// Guards against changes in quick succession whose reports put off the read of the first one again and again.
#[test]
fn a_later_report_does_not_put_off_a_read() {
    let (mut progress, now) = progress_and_startup_end(5);
    let _interruptions = progress.add_family(FAMILY);
    progress.record_answer(FAMILY, Revision(5), Some(Revision(5)), Some(now));
    progress.watch_started(now, FAMILY, WatchMode::Recent);
    progress.record_report(now, &report(6));
    progress.record_report(now + MAX_LAG - Millis(1), &report(7));

    let interrupted = progress.interrupt_outdated(now + MAX_LAG, false);

    assert_eq!(interrupted, [FAMILY]);
}

/// Guards against VMs that each take every version of a large deployment from the store although a reader reports to them, and
/// against a VM that waits for reports when there are none.
#[test]
fn a_vm_that_reports_confirm_does_not_watch_the_deployment() {
    let family = Family::Deployment;
    let (mut progress, now) = progress_and_startup_end(5);
    let _interruptions = progress.add_family(family);
    progress.record_answer(family, Revision(5), None, Some(now));
    let without_reports = progress.next_mode(now, family, false);
    let now = now + RESUMPTION_TIME;
    progress.record_report(now, &report(5));

    let with_reports = progress.next_mode(now, family, false);
    let is_due = progress.next_mode(now + limits().of(family).max, family, false);

    assert_eq!(without_reports, WatchMode::Latest);
    assert_eq!(with_reports, WatchMode::Reported);
    assert_eq!(is_due, WatchMode::CatchUp);
}
