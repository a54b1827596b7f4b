//! Tests of the selection of targets and of the split of requests between regions.

mod common;

use std::collections::{HashMap, HashSet};

use assert_matches::assert_matches;
use common::{criteria, pool, target};
use waxwing_edge::{LoadReport, Selection, TargetKey, TargetOutcome, TargetPool};
use waxwing_records::TargetState;
use waxwing_types::{Incarnation, Millis, RegionId, ServiceId};

/// Time at which most tests select targets.
const NOW: Millis = Millis(10_000);

/// Selects a target for a request to service `s`. All regions are allowed.
fn select(pool: &mut TargetPool, now: Millis, affinity_hash: u64) -> Selection {
    let service = ServiceId::from("s");
    let criteria = criteria(&service, affinity_hash, &|_| true);
    pool.select(now, &criteria, &mut fastrand::Rng::with_seed(1))
}

/// Selects a target at [`NOW`], which must succeed.
fn select_target(pool: &mut TargetPool, affinity_hash: u64) -> (TargetKey, String) {
    match select(pool, NOW, affinity_hash) {
        Selection::Selected(key, target) => (key, target.id.to_string()),
        other => panic!("{other:?}"),
    }
}

/// Guards against requests with the same affinity key that go to different targets. No target would then have
/// the data of the key in its cache.
#[test]
fn requests_with_one_affinity_key_go_to_one_target() {
    let mut pool = pool();
    for id in ["t1", "t2", "t3", "t4"] {
        pool.upsert(NOW, target(id, "a"));
    }
    for affinity_hash in 0..50 {
        let mut ids = HashSet::new();
        for _ in 0..3 {
            let (key, id) = select_target(&mut pool, affinity_hash);
            let outcome = TargetOutcome::Answered {
                latency: Millis(100),
                success: true,
            };
            pool.on_request_end(NOW, key, outcome);
            ids.insert(id);
        }
        assert_eq!(ids.len(), 1, "affinity hash {affinity_hash} at {ids:?}");
    }
}

/// Guards against a queue at the target of a popular affinity key while another target is idle.
#[test]
fn requests_of_a_popular_affinity_key_use_a_second_target() {
    let mut pool = pool();
    pool.upsert(NOW, target("t1", "a"));
    pool.upsert(NOW, target("t2", "a"));
    let ids: HashSet<_> = (0..8).map(|_| select_target(&mut pool, 7).1).collect();
    assert_eq!(ids.len(), 2);
}

/// Sets the region's VMs to `vm0`, `vm1` and so on, `count` in all.
fn set_region_vm_count(pool: &mut TargetPool, count: u32) {
    let ids: Vec<_> = (0..count).map(|i| format!("vm{i}")).collect();
    pool.set_region_vms(NOW, ids.iter().map(String::as_str));
}

/// Guards against an estimate that assumes that each of the many other VMs has as many requests at a target
/// as this VM has. With one request at a target, this VM would take the target for full and send the next
/// request of the affinity key to another target.
#[test]
fn one_request_of_one_of_many_vms_does_not_fill_its_target() {
    let mut pool = pool();
    set_region_vm_count(&mut pool, 20);
    for i in 0..20 {
        pool.upsert(NOW, target(&format!("t{i}"), "a"));
    }
    let ids: HashSet<_> = (0..2).map(|_| select_target(&mut pool, 7).1).collect();
    assert_eq!(ids.len(), 1);
}

/// Guards against a VM that overloads targets because it does not see the requests of other VMs.
#[test]
fn requests_of_other_vms_are_estimated_from_the_own_ones() {
    let mut pool = pool();
    set_region_vm_count(&mut pool, 4);
    for id in ["t1", "t2"] {
        pool.upsert(NOW, target(id, "a"));
    }
    let selections = (0..20).map(|affinity_hash| select(&mut pool, NOW, affinity_hash));
    let sent = selections
        .filter(|s| matches!(s, Selection::Selected(..)))
        .count();
    // The two targets together have eight slots and a short queue. The three other VMs use a part of both.
    assert!(sent < 8, "{sent} requests sent");
}

/// Guards against requests that are sent although no response is expected before the deadline.
#[test]
fn a_request_that_would_be_answered_too_late_is_refused() {
    let mut pool = pool();
    pool.upsert(NOW, target("t1", "a"));
    let selections = (0..20).map(|_| select(&mut pool, NOW, 7));
    let refused = selections
        .filter(|s| matches!(s, Selection::Overloaded { .. }))
        .count();
    assert!(refused > 8, "{refused} of 20 requests refused");
}

/// Guards against requests to a draining target, and to a target in an evacuated failure domain.
#[test]
fn draining_and_evacuated_targets_get_no_requests() {
    let mut pool = pool();
    pool.upsert(NOW, target("t1", "a"));
    let mut draining = target("t1", "a");
    draining.state = TargetState::Draining;
    pool.upsert(NOW, draining);
    assert_matches!(select(&mut pool, NOW, 1), Selection::NoTarget);
    pool.upsert(NOW, target("t2", "b"));
    pool.set_evacuated_domains(NOW, HashSet::from(["b".into()]));
    assert_matches!(select(&mut pool, NOW, 1), Selection::NoTarget);
}

/// Guards against an older registration that makes a draining process ready again, and against a next process that stays without
/// requests.
#[test]
fn a_draining_process_does_not_become_ready_again() {
    let mut pool = pool();
    let mut draining = target("t1", "a");
    draining.state = TargetState::Draining;
    pool.upsert(NOW, draining);
    pool.upsert(NOW, target("t1", "a"));
    assert_matches!(select(&mut pool, NOW, 1), Selection::NoTarget);
    let mut next = target("t1", "a");
    next.incarnation = Incarnation(2);
    pool.upsert(NOW, next);
    assert_matches!(select(&mut pool, NOW, 1), Selection::Selected(..));
}

/// Guards against a failure domain that gets its whole traffic at once when its evacuation ends. The targets
/// of the domain may be cold.
#[test]
fn targets_count_as_cold_after_an_evacuation() {
    let mut pool = pool();
    pool.upsert(NOW, target("t1", "b"));
    pool.set_evacuated_domains(NOW, HashSet::from(["b".into()]));
    pool.set_evacuated_domains(NOW, HashSet::new());
    assert_matches!(select(&mut pool, NOW, 1), Selection::NoTarget);
    // One tick refills at most one cold start token; it is used up by the first request.
    pool.tick(NOW + Millis(1000));
    assert_matches!(
        select(&mut pool, NOW + Millis(1000), 1),
        Selection::Selected(..)
    );
    assert_matches!(
        select(&mut pool, NOW + Millis(1000), 2),
        Selection::NoTarget
    );
    // The target is warm after 3 s.
    assert_matches!(
        select(&mut pool, NOW + Millis(3001), 2),
        Selection::Selected(..)
    );
}

/// Guards against a late registration of an earlier process that replaces the registration of the current
/// process.
#[test]
fn a_registration_of_an_earlier_process_is_ignored() {
    let mut pool = pool();
    let mut newer = target("t1", "a");
    newer.incarnation = Incarnation(2);
    pool.upsert(NOW, newer);
    let mut older = target("t1", "a");
    older.state = TargetState::Draining;
    pool.upsert(NOW, older);
    assert_matches!(select(&mut pool, NOW, 1), Selection::Selected(..));
}

/// Guards against further requests to a target after another process has responded at the target's address.
#[test]
fn a_target_whose_address_another_process_uses_is_ejected() {
    let mut pool = pool();
    pool.upsert(NOW, target("t1", "a"));
    let (key, _) = select_target(&mut pool, 1);
    pool.on_request_end(NOW, key, TargetOutcome::Misdirected);
    assert_matches!(
        select(&mut pool, NOW + Millis::from_secs(60), 1),
        Selection::NoTarget
    );
}

/// Guards against the ejection of targets that are too busy to respond to all requests before the deadline.
/// The service would lose the slots of these targets.
#[test]
fn a_busy_target_is_not_ejected() {
    let mut pool = pool();
    pool.upsert(NOW, target("t1", "a"));
    let keys: Vec<_> = (0..5).map(|_| select_target(&mut pool, 1).0).collect();
    let answered = TargetOutcome::Answered {
        latency: Millis(300),
        success: true,
    };
    pool.on_request_end(NOW, keys[0], answered);
    for key in &keys[1..] {
        pool.on_request_end(NOW + Millis(500), *key, TargetOutcome::TimedOut);
    }
    let first = select(&mut pool, NOW + Millis(510), 1);
    assert_matches!(first, Selection::Selected(..));
    assert_matches!(
        select(&mut pool, NOW + Millis(510), 1),
        Selection::Selected(..)
    );
}

/// Guards against further requests to a target that no longer responds.
#[test]
fn a_target_that_does_not_respond_is_ejected() {
    let mut pool = pool();
    pool.upsert(NOW, target("t1", "a"));
    let keys: Vec<_> = (0..4).map(|_| select_target(&mut pool, 1).0).collect();
    for key in keys {
        pool.on_request_end(NOW + Millis(500), key, TargetOutcome::TimedOut);
    }
    assert_matches!(select(&mut pool, NOW + Millis(510), 1), Selection::NoTarget);
}

/// Guards against home regions that are ignored when none of them has a usable target.
#[test]
fn a_request_is_not_sent_outside_its_home_regions() {
    let mut pool = pool();
    pool.upsert(NOW, target("t1", "c"));
    let service = ServiceId::from("s");
    let criteria = criteria(&service, 1, &|region| region.as_str() == "r1");
    let selection = pool.select(NOW, &criteria, &mut fastrand::Rng::with_seed(1));
    assert_matches!(selection, Selection::NoTarget);
}

/// Guards against a region split that is fixed when only a few targets are known. Also guards against a
/// split that moves to the own region while there are no requests. In both cases the first requests would
/// overload the own region, and a correction would exceed the limit on moved traffic.
#[test]
fn the_region_split_follows_the_slots_until_the_first_request() {
    let mut pool = pool();
    let service = ServiceId::from("s");
    let own_region = "r1".into();
    pool.upsert(NOW, target("t1", "a"));
    pool.tick(NOW);
    for id in ["t2", "t3", "t4"] {
        pool.upsert(NOW, target(id, "c"));
    }
    for step in 1..40 {
        pool.tick(NOW + Millis(step * 200));
    }
    // The own region has a quarter of all slots, which is half of the mean slots of a region.
    let fraction = pool
        .region_fraction(&service, &own_region)
        .expect("a split");
    assert!((fraction - 0.5).abs() < 0.01, "own region has {fraction}");
}

/// Guards against traffic that moves between regions faster than the limit: a fraction of 0.15 in 2 s.
#[test]
fn the_fraction_of_a_region_changes_in_small_steps() {
    let mut pool = pool();
    let service = ServiceId::from("s");
    let own_region = "r1".into();
    for (id, domain) in [("t1", "a"), ("t2", "c")] {
        pool.upsert(NOW, target(id, domain));
    }
    let overloaded = LoadReport {
        running: 4,
        waiting: 40,
        slots: 4,
    };
    let (key, _) = select_target(&mut pool, 1);
    let mut fractions = Vec::new();
    for step in 0..100 {
        let now = NOW + Millis(step * 200);
        pool.on_load_report(now, key, overloaded);
        pool.tick(now);
        fractions.push(
            pool.region_fraction(&service, &own_region)
                .expect("a split"),
        );
    }
    // Ten steps of 200 ms are 2 s.
    for window in fractions.windows(11) {
        let moved = (window[10] - window[0]).abs();
        assert!(moved < 0.15, "a fraction of {moved} moved in 2 s");
    }
    assert!(fractions[99] < fractions[0], "{fractions:?}");
}

/// Guards against requests that continue to go to a full region while the own region is busy but has free
/// slots. Requests that must be served in the full region would be refused.
#[test]
fn requests_leave_a_full_region_while_the_own_one_has_free_slots() {
    let mut pool = pool();
    let service = ServiceId::from("s");
    let other_region = "r2".into();
    for (id, domain) in [("t1", "a"), ("t2", "c"), ("t3", "c"), ("t4", "c")] {
        pool.upsert(NOW, target(id, domain));
    }
    pool.tick(NOW);
    let report = |running, waiting| LoadReport {
        running,
        waiting,
        slots: 4,
    };
    // Send requests with different affinity keys, and keep one request in flight at each target.
    let mut keys = HashMap::new();
    for affinity_hash in 0..100 {
        let (key, id) = select_target(&mut pool, affinity_hash);
        if keys.insert(id, key).is_some() {
            pool.on_request_end(NOW, key, TargetOutcome::Cancelled);
        }
    }
    assert_eq!(keys.len(), 4);
    let before = pool
        .region_fraction(&service, &other_region)
        .expect("a split");
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
    let after = pool
        .region_fraction(&service, &other_region)
        .expect("a split");
    assert!(
        before > 0.4 && after < 0.2,
        "fraction {before} before, {after} after"
    );
}

/// Guards against an estimate of the own region's load that counts only the VMs of the own failure domain.
/// The VMs of all failure domains in the region send requests to the region's targets. With too low an
/// estimate, requests would move to other regions too late and would queue.
#[test]
fn requests_of_the_other_domains_of_the_region_are_estimated() {
    let mut pool = pool();
    let service = ServiceId::from("s");
    let own_region = "r1".into();
    pool.set_region_vms(NOW, ["vm0", "vm1", "vm2", "vm3"].into_iter());
    for (id, domain) in [("t1", "a"), ("t2", "a"), ("t3", "c"), ("t4", "c")] {
        pool.upsert(NOW, target(id, domain));
    }
    pool.tick(NOW);
    let before = pool
        .region_fraction(&service, &own_region)
        .expect("a split");
    let in_own_region = |region: &RegionId| region.as_str() == "r1";
    let mut busy_targets = HashSet::new();
    for affinity_hash in 0..100 {
        let criteria = criteria(&service, affinity_hash, &in_own_region);
        let selection = pool.select(NOW, &criteria, &mut fastrand::Rng::with_seed(1));
        if let Selection::Selected(key, _) = selection
            && !busy_targets.insert(key)
        {
            pool.on_request_end(NOW, key, TargetOutcome::Cancelled);
        }
    }
    assert_eq!(busy_targets.len(), 2);
    for step in 1..10 {
        pool.tick(NOW + Millis(step * 200));
    }
    let after = pool
        .region_fraction(&service, &own_region)
        .expect("a split");
    assert!(after < before, "fraction {before} before, {after} after");
}
