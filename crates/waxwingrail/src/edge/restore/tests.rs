//! How long a VM trusts what it knew before a restore more than the copy.

use waxwing_records::{Registration, TargetState};
use waxwing_store::{Change, Entry, Family};
use waxwing_types::{Incarnation, Millis, Revision};

use super::{LEFT_TARGETS_GRACE, LEFT_TARGETS_MEMORY, RestoreGrace};

const LEFT_AT: Millis = Millis(100_000);
const LISTED_AT: Millis = Millis(105_000);

fn target(incarnation: u64) -> Registration {
    Registration {
        id: "t1".into(),
        incarnation: Incarnation(incarnation),
        service: "s".into(),
        address: "10.0.0.1:80".parse().expect("an address"),
        domain: "a".into(),
        slots: 4,
        state: TargetState::Ready,
        cold_left: Millis::ZERO,
    }
}

fn list(target: Registration) -> Vec<Change> {
    vec![Change {
        name: target.id.0.clone(),
        entry: Some(Entry::Target(target)),
        revision: Revision(5),
    }]
}

/// What a VM knows after a target of incarnation 2 has left and the store was restored.
fn restored() -> RestoreGrace {
    let mut grace = RestoreGrace::default();
    grace.on_target_left(LEFT_AT, "t1".into(), Incarnation(2));
    grace.on_restored_list(LISTED_AT, Family::Targets);
    grace
}

/// Guards against requests to a target that had left before the restore, and against a target in use that gets none for good.
#[test]
fn a_target_that_had_left_is_withheld_for_a_limited_time() {
    let mut grace = restored();
    assert_eq!(grace.withhold_targets(LISTED_AT, list(target(2))), []);
    let end = LISTED_AT + LEFT_TARGETS_GRACE;
    assert_eq!(grace.take_due_targets(end - Millis(1)), []);
    assert_eq!(grace.take_due_targets(end), [target(2)]);
    assert_eq!(grace.take_due_targets(end), []);
    assert_eq!(grace.withhold_targets(end, list(target(2))).len(), 1);
}

/// Guards against a later process of a target, or a target that left after the restore and is back, that gets no requests.
#[test]
fn only_processes_that_left_before_the_restore_are_withheld() {
    let mut grace = restored();
    assert_eq!(grace.withhold_targets(LISTED_AT, list(target(3))).len(), 1);
    let later = LISTED_AT + Millis(1000);
    grace.on_target_left(later, "t1".into(), Incarnation(2));
    assert_eq!(grace.withhold_targets(later, list(target(2))).len(), 1);
    let mut grace = RestoreGrace::default();
    grace.on_target_left(LEFT_AT, "t1".into(), Incarnation(2));
    assert_eq!(grace.withhold_targets(LISTED_AT, list(target(2))).len(), 1);
}

/// Guards against a withheld target that is used although its entry was removed or replaced.
#[test]
fn a_withheld_target_follows_its_entry() {
    let mut grace = restored();
    assert_eq!(grace.withhold_targets(LISTED_AT, list(target(2))), []);
    grace.on_target_change(&"t1".into());
    assert_eq!(grace.take_due_targets(LISTED_AT + LEFT_TARGETS_GRACE), []);
}

/// Guards against memory that grows with every target that ever left.
#[test]
fn targets_that_left_are_forgotten() {
    let mut grace = RestoreGrace::default();
    for n in 0..1000_u64 {
        let left_at = Millis(n * LEFT_TARGETS_MEMORY.0 / 10);
        grace.on_target_left(left_at, format!("t{n}").as_str().into(), Incarnation(1));
    }
    assert!(grace.left_targets.len() <= 10);
}
