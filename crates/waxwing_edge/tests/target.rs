//! The choice of targets.

mod common;

use std::collections::{HashMap, HashSet};

use assert_matches::assert_matches;
use common::{pool, target, want};
use waxwing_edge::{LoadReport, Selection, TargetKey, TargetOutcome, TargetPool};
use waxwing_records::TargetState;
use waxwing_types::{Incarnation, Millis, RegionId, ServiceId};

const NOW: Millis = Millis(10_000);

fn pick(pool: &mut TargetPool, now: Millis, object: u64) -> Selection {
    let service = ServiceId::from("s");
    let want = want(&service, object, &|_| true);
    pool.select(now, &want, &mut fastrand::Rng::with_seed(1))
}

fn chosen(pool: &mut TargetPool, object: u64) -> (TargetKey, String) {
    match pick(pool, NOW, object) {
        Selection::Selected(key, view) => (key, view.id.to_string()),
        other => panic!("{other:?}"),
    }
}

/// Guards against objects that wander between targets, where each has to be handled anew.
#[test]
fn requests_about_one_object_go_to_one_target() {
    let mut pool = pool();
    for id in ["t1", "t2", "t3", "t4"] {
        pool.upsert(NOW, target(id, "a"));
    }
    for object in 0..50 {
        let mut seen = HashSet::new();
        for _ in 0..3 {
            let (key, id) = chosen(&mut pool, object);
            let ended = TargetOutcome::Answered {
                latency: Millis(100),
                success: true,
            };
            pool.on_request_end(NOW, key, ended);
            seen.insert(id);
        }
        assert_eq!(seen.len(), 1, "object {object} at {seen:?}");
    }
}

/// Guards against a queue at the target of a popular object while another target is idle.
#[test]
fn a_full_target_passes_its_objects_on() {
    let mut pool = pool();
    pool.upsert(NOW, target("t1", "a"));
    pool.upsert(NOW, target("t2", "a"));
    let ids: HashSet<_> = (0..8).map(|_| chosen(&mut pool, 7).1).collect();
    assert_eq!(ids.len(), 2);
}

/// The region has `count` VMs.
fn set_count(pool: &mut TargetPool, count: u32) {
    let names: Vec<_> = (0..count).map(|i| format!("vm{i}")).collect();
    pool.set_region_vms(names.iter().map(String::as_str));
}

/// Guards against a VM of many that takes its one request at a target for one of each VM, and leaves the
/// target that knows the object.
#[test]
fn a_request_of_one_vm_among_many_does_not_fill_its_target() {
    let mut pool = pool();
    set_count(&mut pool, 20);
    for i in 0..20 {
        pool.upsert(NOW, target(&format!("t{i}"), "a"));
    }
    let ids: HashSet<_> = (0..2).map(|_| chosen(&mut pool, 7).1).collect();
    assert_eq!(ids.len(), 1);
}

/// Guards against a VM that takes the targets for idle because it does not know the requests of others.
#[test]
fn requests_of_other_vms_are_expected_where_this_one_sends_many() {
    let mut pool = pool();
    set_count(&mut pool, 4);
    for id in ["t1", "t2"] {
        pool.upsert(NOW, target(id, "a"));
    }
    let picks = (0..20).map(|object| pick(&mut pool, NOW, object));
    let sent = picks
        .filter(|p| matches!(p, Selection::Selected(..)))
        .count();
    // Eight slots and a short queue, of which three other VMs use a part each.
    assert!(sent < 8, "{sent} requests sent");
}

/// Guards against requests that are sent although they cannot be answered in time.
#[test]
fn a_request_that_would_be_late_is_refused() {
    let mut pool = pool();
    pool.upsert(NOW, target("t1", "a"));
    let picks = (0..20).map(|_| pick(&mut pool, NOW, 7));
    let full = picks
        .filter(|p| matches!(p, Selection::Overloaded { .. }))
        .count();
    assert!(full > 8, "{full} of 20 refused");
}

/// Guards against work for a target that said that it leaves, or whose domain is evacuated.
#[test]
fn leaving_and_evacuated_targets_get_nothing() {
    let mut pool = pool();
    pool.upsert(NOW, target("t1", "a"));
    let mut leaving = target("t1", "a");
    leaving.state = TargetState::Draining;
    pool.upsert(NOW, leaving);
    assert_matches!(pick(&mut pool, NOW, 1), Selection::NoTarget);
    pool.upsert(NOW, target("t2", "b"));
    pool.set_evacuated_domains(NOW, HashSet::from(["b".into()]));
    assert_matches!(pick(&mut pool, NOW, 1), Selection::NoTarget);
}

/// Guards against a failure domain that is taken back and gets its whole traffic at once, though its
/// targets may be cold.
#[test]
fn targets_of_a_domain_that_is_taken_back_are_spared() {
    let mut pool = pool();
    pool.upsert(NOW, target("t1", "b"));
    pool.set_evacuated_domains(NOW, HashSet::from(["b".into()]));
    pool.set_evacuated_domains(NOW, HashSet::new());
    assert_matches!(pick(&mut pool, NOW, 1), Selection::NoTarget);
    pool.tick(NOW + Millis(1000));
    assert_matches!(
        pick(&mut pool, NOW + Millis(1000), 1),
        Selection::Selected(..)
    );
    assert_matches!(pick(&mut pool, NOW + Millis(1000), 2), Selection::NoTarget);
    assert_matches!(
        pick(&mut pool, NOW + Millis(3001), 2),
        Selection::Selected(..)
    );
}

/// Guards against an entry of an earlier process that arrives late and replaces a newer one.
#[test]
fn an_entry_of_an_earlier_process_is_ignored() {
    let mut pool = pool();
    let mut newer = target("t1", "a");
    newer.incarnation = Incarnation(2);
    pool.upsert(NOW, newer);
    let mut older = target("t1", "a");
    older.state = TargetState::Draining;
    pool.upsert(NOW, older);
    assert_matches!(pick(&mut pool, NOW, 1), Selection::Selected(..));
}

/// Guards against a target that another process has replaced at its address.
#[test]
fn a_target_at_whose_address_another_answers_is_left_out() {
    let mut pool = pool();
    pool.upsert(NOW, target("t1", "a"));
    let (key, _) = chosen(&mut pool, 1);
    pool.on_request_end(NOW, key, TargetOutcome::Misdirected);
    assert_matches!(
        pick(&mut pool, NOW + Millis::from_secs(60), 1),
        Selection::NoTarget
    );
}

/// Guards against a service that loses its slots because its targets are too busy to answer all requests
/// in time.
#[test]
fn a_busy_target_is_not_taken_for_one_that_is_down() {
    let mut pool = pool();
    pool.upsert(NOW, target("t1", "a"));
    let keys: Vec<_> = (0..5).map(|_| chosen(&mut pool, 1).0).collect();
    let answered = TargetOutcome::Answered {
        latency: Millis(300),
        success: true,
    };
    pool.on_request_end(NOW, keys[0], answered);
    for key in &keys[1..] {
        pool.on_request_end(NOW + Millis(500), *key, TargetOutcome::TimedOut);
    }
    let first = pick(&mut pool, NOW + Millis(510), 1);
    assert_matches!(first, Selection::Selected(..));
    assert_matches!(
        pick(&mut pool, NOW + Millis(510), 1),
        Selection::Selected(..)
    );
}

/// Guards against requests that go on to a target that went silent.
#[test]
fn a_silent_target_is_left_out() {
    let mut pool = pool();
    pool.upsert(NOW, target("t1", "a"));
    let keys: Vec<_> = (0..4).map(|_| chosen(&mut pool, 1).0).collect();
    for key in keys {
        pool.on_request_end(NOW + Millis(500), key, TargetOutcome::TimedOut);
    }
    assert_matches!(pick(&mut pool, NOW + Millis(510), 1), Selection::NoTarget);
}

/// Guards against homes that are ignored when no target at home is usable.
#[test]
fn a_request_with_homes_is_not_sent_elsewhere() {
    let mut pool = pool();
    pool.upsert(NOW, target("t1", "c"));
    let service = ServiceId::from("s");
    let want = want(&service, 1, &|region| region.as_str() == "r1");
    let pick = pool.select(NOW, &want, &mut fastrand::Rng::with_seed(1));
    assert_matches!(pick, Selection::NoTarget);
}

/// Guards against parts of the regions that are planned from the first few targets of a list, and against
/// parts that drift to the own region while nothing is asked: the first requests would overload it, and
/// the correction would exceed the bound on moves.
#[test]
fn parts_follow_the_slots_until_the_first_request() {
    let mut pool = pool();
    let service = ServiceId::from("s");
    let own = "r1".into();
    pool.upsert(NOW, target("t1", "a"));
    pool.tick(NOW);
    for id in ["t2", "t3", "t4"] {
        pool.upsert(NOW, target(id, "c"));
    }
    for step in 1..40 {
        pool.tick(NOW + Millis(step * 200));
    }
    // Half of the slots of all regions would be an even part; this region has a quarter.
    let part = pool.region_fraction(&service, &own).expect("a mix");
    assert!((part - 0.5).abs() < 0.01, "{part}");
}

/// Guards against a move of traffic between regions that is faster than its bound of 0.15 in 2 s.
#[test]
fn the_part_of_a_region_moves_in_small_steps() {
    let mut pool = pool();
    let service = ServiceId::from("s");
    let own = "r1".into();
    for (id, domain) in [("t1", "a"), ("t2", "c")] {
        pool.upsert(NOW, target(id, domain));
    }
    let full = LoadReport {
        running: 4,
        waiting: 40,
        slots: 4,
    };
    let (key, _) = chosen(&mut pool, 1);
    let mut parts = Vec::new();
    for step in 0..100 {
        let now = NOW + Millis(step * 200);
        pool.on_load_report(now, key, full);
        pool.tick(now);
        parts.push(pool.region_fraction(&service, &own).expect("a mix"));
    }
    for window in parts.windows(11) {
        let moved = (window[10] - window[0]).abs();
        assert!(moved < 0.15, "{moved} moved in 2 s");
    }
    assert!(parts[99] < parts[0], "{parts:?}");
}

/// Guards against requests that go on to another region whose targets are full, while those of the own
/// region are neither busy nor idle: requests with homes there are refused meanwhile.
#[test]
fn a_part_leaves_a_full_region_while_the_own_one_has_room() {
    let mut pool = pool();
    let service = ServiceId::from("s");
    let other = "r2".into();
    for (id, domain) in [("t1", "a"), ("t2", "c"), ("t3", "c"), ("t4", "c")] {
        pool.upsert(NOW, target(id, domain));
    }
    pool.tick(NOW);
    let report = |running, waiting| LoadReport {
        running,
        waiting,
        slots: 4,
    };
    // One object after the other, until each target holds a request.
    let mut keys = HashMap::new();
    for object in 0..100 {
        let (key, id) = chosen(&mut pool, object);
        if keys.insert(id, key).is_some() {
            pool.on_request_end(NOW, key, TargetOutcome::Cancelled);
        }
    }
    assert_eq!(keys.len(), 4);
    let before = pool.region_fraction(&service, &other).expect("a mix");
    for step in 0..40 {
        let now = NOW + Millis(step * 200);
        for (id, key) in &keys {
            let load = if id == "t1" {
                report(2, 0)
            } else {
                report(4, 8)
            };
            pool.on_load_report(now, *key, load);
        }
        pool.tick(now);
    }
    let after = pool.region_fraction(&service, &other).expect("a mix");
    assert!(
        before > 0.4 && after < 0.2,
        "{before} before, {after} after"
    );
}

/// Guards against a region that is taken for half idle because only the requests of the own failure domain are
/// expected, while the VMs of all its domains send to its targets: requests are sent out too late, and queue.
#[test]
fn requests_of_the_other_domains_of_the_region_are_expected() {
    let mut pool = pool();
    let service = ServiceId::from("s");
    let own = "r1".into();
    pool.set_region_vms(["vm0", "vm1", "vm2", "vm3"].into_iter());
    for (id, domain) in [("t1", "a"), ("t2", "a"), ("t3", "c"), ("t4", "c")] {
        pool.upsert(NOW, target(id, domain));
    }
    pool.tick(NOW);
    let before = pool.region_fraction(&service, &own).expect("a mix");
    let at_home = |region: &RegionId| region.as_str() == "r1";
    let mut held = HashSet::new();
    for object in 0..100 {
        let want = want(&service, object, &at_home);
        let pick = pool.select(NOW, &want, &mut fastrand::Rng::with_seed(1));
        if let Selection::Selected(key, _) = pick
            && !held.insert(key)
        {
            pool.on_request_end(NOW, key, TargetOutcome::Cancelled);
        }
    }
    assert_eq!(held.len(), 2);
    for step in 1..10 {
        pool.tick(NOW + Millis(step * 200));
    }
    let after = pool.region_fraction(&service, &own).expect("a mix");
    assert!(after < before, "{before} before, {after} after");
}
