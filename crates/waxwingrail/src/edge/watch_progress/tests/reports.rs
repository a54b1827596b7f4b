//! What reports of other VMs confirm, and what this VM reports.

use super::*;

/// Guards against reports that confirm more than their sender knows: of a sender whose state is old, one that does not state
/// since when it has its state, and one that names a change that this VM lacks.
#[test]
fn a_report_confirms_only_what_it_states() {
    let later = Millis(900);
    let old = report_of_age(5, Some(later));
    let without_age = report_of_age(5, None);
    let from_older_daemon = StateReport {
        ages: Vec::new(),
        floors: Vec::new(),
        ..report(5)
    };
    let without_floor = StateReport {
        floors: Vec::new(),
        ..report(5)
    };
    let reports = [
        old,
        without_age,
        from_older_daemon,
        without_floor,
        report(6),
    ];
    for report in reports {
        let (mut progress, now) = progress_and_startup_end(5);
        progress.record_tick(now + later);
        progress.record_report(now + later, &report);
        assert_eq!(progress.state_age(now + later, FAMILY), later);
    }
    let (mut progress, now) = progress_and_startup_end(5);
    progress.record_tick(now + later);
    progress.record_report(now + later, &report_of_age(5, Some(Millis(300))));
    assert_eq!(progress.state_age(now + later, FAMILY), Millis(300));
}

/// Guards against a process that reports, without a change, what it has read in its first list: a VM that knows less may lack a
/// change that the list contains. A recent state that has reached the list shows all of them.
#[test]
fn a_report_confirms_only_a_vm_that_has_reached_the_list_of_its_sender() {
    let (mut progress, now) = progress_and_startup_end(5);
    let _interruptions = progress.add_family(FAMILY);
    progress.record_answer(FAMILY, Revision(5), Some(Revision(5)), Some(now));
    let reported_at = now + Millis(700);
    progress.record_tick(reported_at);
    let mut later_start = report(0);
    later_start.floors = vec![Revision(8); Family::ALL.len()];
    progress.watch_started(now, FAMILY, WatchMode::Recent);

    progress.record_report(reported_at, &later_start);

    assert_eq!(progress.state_age(reported_at, FAMILY), Millis(700));
    assert_eq!(progress.interrupt_outdated(reported_at, false), []);
    let probed_at = reported_at + MAX_LAG;
    assert_eq!(progress.interrupt_outdated(probed_at, false), [FAMILY]);
    assert_eq!(
        progress.next_mode(probed_at, FAMILY, false),
        WatchMode::Probe
    );
    // A probe of a state that lags is not repeated at once.
    progress.watch_started(probed_at, FAMILY, WatchMode::Probe);
    progress.record_answer(FAMILY, Revision(7), None, None);
    assert_eq!(
        progress.next_mode(probed_at, FAMILY, false),
        WatchMode::Recent
    );
    assert_eq!(progress.state_age(probed_at, FAMILY), Millis(1100));
    progress.record_answer(FAMILY, Revision(8), None, None);
    assert_eq!(progress.state_age(probed_at, FAMILY), MAX_LAG);
}

/// Guards against a process that reports changes from a revision on before which it has missed some.
#[test]
fn a_vm_reports_the_list_that_it_started_from() {
    let mut progress = WatchProgress::new(STARTED_AT, limits());
    let _interruptions = progress.add_family(FAMILY);
    assert_eq!(progress.report(STARTED_AT).ages, [None; 4]);
    progress.record_answer(FAMILY, Revision(7), None, Some(STARTED_AT));
    progress.record_answer(FAMILY, Revision(9), Some(Revision(9)), None);
    let report = progress.report(STARTED_AT + Millis(20));
    assert_eq!(report.floors, revisions(7));
    assert_eq!(report.revisions, revisions(9));
    assert_eq!(report.ages[1], Some(Millis(20)));
}

/// Guards against a VM that reads the latest state although its recent state has reached the reported change meanwhile.
#[test]
fn a_report_confirms_the_state_once_its_change_is_known() {
    let (mut progress, now) = progress_and_startup_end(5);
    let reported_at = now + Millis(900);
    progress.record_tick(reported_at);
    progress.record_report(reported_at, &report(6));
    assert_eq!(progress.state_age(reported_at, FAMILY), Millis(900));
    progress.record_answer(FAMILY, Revision(6), Some(Revision(6)), None);
    assert_eq!(progress.state_age(reported_at, FAMILY), Millis::ZERO);
}

/// Guards against a report that waited in the socket while this VM was suspended.
#[test]
fn a_report_confirms_nothing_after_a_suspension() {
    let (mut progress, now) = progress_and_startup_end(5);
    let resumed_at = now + SUSPENSION_TIME;
    progress.record_report(resumed_at, &report(5));
    assert_eq!(progress.state_age(resumed_at, FAMILY), SUSPENSION_TIME);
    progress.record_tick(resumed_at);
    progress.record_report(resumed_at, &report(5));
    assert_eq!(progress.state_age(resumed_at, FAMILY), SUSPENSION_TIME);
    let later = resumed_at + RESUMPTION_TIME;
    progress.record_report(later, &report(5));
    assert_eq!(progress.state_age(later, FAMILY), Millis::ZERO);
}

/// Guards against a report that names no last change of a family that was listed anew in the same epoch, after an answer of an
/// earlier one, and still states the list from which this VM started: a VM between the two lists would lack a change.
#[test]
fn a_vm_that_lists_again_reports_the_later_list() {
    let (mut progress, now) = progress_in_epoch_1();
    progress.record_restored_list(FAMILY, Some(StoreEpoch(1)), Revision(60), Some(now));
    let report = progress.report(now);
    assert_eq!(report.revisions, revisions(0));
    assert_eq!(report.floors, revisions(60));
}

/// Guards against a report that states, in a new epoch, what this VM knew in the one before: an answer that was on its way during
/// the restore is applied before the family is listed.
#[test]
fn a_report_states_nothing_of_a_family_that_is_not_listed_in_its_epoch() {
    let (mut progress, now) = progress_in_epoch_1();
    progress.record_epoch(now, Some(StoreEpoch(2)));
    progress.record_answer(FAMILY, Revision(70), Some(Revision(70)), Some(now));
    let report = progress.report(now);
    assert_eq!(report.epoch, Some(StoreEpoch(2)));
    assert_eq!(report.revisions, revisions(0));
    assert_eq!(report.floors, revisions(0));
    assert_eq!(report.ages, [None; 4]);
}
