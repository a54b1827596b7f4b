//! Tests of targets that say in their responses that they are leaving, in virtual time.

mod common;
#[path = "common/process.rs"]
mod process;

use assert_matches::assert_matches;
use common::{pool, target};
use process::{LEAVING, NOW, process, select, selected};
use waxwing_edge::{Selection, TargetPool};
use waxwing_records::TargetState;
use waxwing_types::{Incarnation, Millis};

/// Time for which notices of removed targets are remembered.
const MEMORY_TIME: Millis = Millis::from_secs(600);

/// A pool with a process of target `t1` that has said that it is leaving.
fn pool_with_leaving_target(incarnation: u64) -> TargetPool {
    let mut pool = pool();
    pool.upsert(NOW, process(incarnation));
    let change = pool.on_notice(NOW, &selected(&process(incarnation)), LEAVING);
    assert!(change.began_leaving);
    pool
}

/// Guards against an entry that still says ready, and is written again, by which a leaving target gets requests.
#[test]
fn an_entry_that_says_ready_does_not_bring_a_leaving_target_back() {
    let mut pool = pool_with_leaving_target(1);
    assert_matches!(select(&mut pool, NOW), Selection::NoTarget);
    pool.upsert(NOW + Millis(100), process(1));
    assert_matches!(select(&mut pool, NOW + Millis(100)), Selection::NoTarget);
    let change = pool.on_notice(NOW + Millis(100), &selected(&process(1)), LEAVING);
    assert!(!change.began_leaving);
}

/// Guards against an old list, or an entry that returns after an outage, by which a leaving target gets requests. The
/// entry may name another address or an earlier process, which has ended.
#[test]
fn an_entry_that_is_listed_again_does_not_bring_a_leaving_target_back() {
    let mut moved = process(2);
    moved.address = "127.0.0.1:2".parse().expect("an address");
    for listed in [process(2), moved, process(1)] {
        let mut pool = pool_with_leaving_target(2);
        pool.remove(NOW + Millis(100), &listed.id);
        pool.upsert(NOW + Millis(3000), listed);
        assert_matches!(select(&mut pool, NOW + Millis(3000)), Selection::NoTarget);
    }
    let mut pool = pool_with_leaving_target(2);
    let mut moved = process(2);
    moved.domain = "b".into();
    pool.upsert(NOW + Millis(100), moved);
    assert_matches!(select(&mut pool, NOW + Millis(100)), Selection::NoTarget);
}

/// Guards against a notice that binds the next process under the same id and address.
#[test]
fn a_later_process_is_not_leaving() {
    let mut pool = pool_with_leaving_target(1);
    pool.upsert(NOW, process(2));
    assert_matches!(select(&mut pool, NOW), Selection::Selected(..));
    // A response of the earlier process that arrives late.
    pool.on_notice(NOW, &selected(&process(1)), LEAVING);
    assert_matches!(select(&mut pool, NOW), Selection::Selected(..));
    let mut pool = pool_with_leaving_target(1);
    pool.remove(NOW, &process(1).id);
    pool.upsert(NOW + Millis(1000), process(2));
    assert_matches!(
        select(&mut pool, NOW + Millis(1000)),
        Selection::Selected(..)
    );
}

/// Guards against a notice that is lost because the entry of its target was removed while the request ran.
#[test]
fn a_notice_that_arrives_after_the_removal_counts() {
    let mut pool = pool();
    pool.upsert(NOW, process(1));
    pool.remove(NOW, &process(1).id);
    pool.on_notice(NOW, &selected(&process(1)), LEAVING);
    pool.upsert(NOW, process(1));
    assert_matches!(select(&mut pool, NOW), Selection::NoTarget);
}

/// Guards against memory that grows with each target that leaves. 4096 targets are remembered, for ten minutes; what
/// expires first is dropped first.
#[test]
fn the_memory_of_removed_targets_is_bounded() {
    let mut pool = pool();
    let named = |i: u64| target(&format!("t{i}"), "a");
    for i in 0..5000 {
        pool.upsert(NOW, named(i));
        pool.on_notice(NOW, &selected(&named(i)), LEAVING);
        pool.remove(NOW + Millis(i), &named(i).id);
    }
    let mut is_remembered = |now, i| {
        pool.upsert(now, named(i));
        let selection = select(&mut pool, now);
        if matches!(selection, Selection::Selected(..)) {
            pool.remove(now, &named(i).id);
            return false;
        }
        true
    };
    let now = NOW + Millis(5000);
    assert!(!is_remembered(now, 5000 - 4097));
    assert!(is_remembered(now, 5000 - 4096));
    assert!(is_remembered(now, 4999));
    assert!(!is_remembered(NOW + Millis(4998) + MEMORY_TIME, 4998));
}

/// Guards against a region whose leaving targets count as room for requests.
#[test]
fn leaving_targets_are_no_capacity_of_their_region() {
    let mut pool = pool();
    for (id, domain) in [("t1", "a"), ("t2", "a"), ("t3", "c"), ("t4", "c")] {
        pool.upsert(NOW, target(id, domain));
    }
    let fraction = |pool: &mut TargetPool| {
        pool.tick(NOW);
        pool.region_fraction(&"s".into(), &"r1".into())
    };
    let before = fraction(&mut pool).expect("a split");
    pool.on_notice(NOW, &selected(&target("t2", "a")), LEAVING);
    let after = fraction(&mut pool).expect("a split");
    assert!(after < before, "{before} before, {after} after");
}

/// Guards against a list for operators that differs from what the selection uses.
#[test]
fn the_list_shows_leaving_targets_and_what_their_entries_say() {
    let mut pool = pool_with_leaving_target(3);
    pool.upsert(NOW, target("t2", "a"));
    let noticed = pool.noticed_targets(NOW);
    assert_eq!(noticed.len(), 1);
    assert_eq!(
        (noticed[0].id.as_str(), noticed[0].incarnation),
        ("t1", Incarnation(3))
    );
    assert!(noticed[0].leaving && !noticed[0].entry_drains);
}

/// Guards against a planned end of a target that counts as a crash, with which requests would be quarantined that ran there.
#[test]
fn a_target_that_leaves_is_not_in_service() {
    let is_in_service = |pool: &TargetPool| {
        let target = process(2);
        pool.is_in_service(&target.id, target.incarnation)
    };
    let mut pool = pool();
    assert!(!is_in_service(&pool));
    pool.upsert(NOW, process(2));
    assert!(is_in_service(&pool));
    let mut draining = process(2);
    draining.state = TargetState::Draining;
    pool.upsert(NOW, draining);
    assert!(!is_in_service(&pool));
    pool.remove(NOW, &process(2).id);
    assert!(!is_in_service(&pool));
    assert!(!is_in_service(&pool_with_leaving_target(2)));
    let mut later = pool_with_leaving_target(1);
    later.upsert(NOW, process(3));
    assert!(!is_in_service(&later));
}
