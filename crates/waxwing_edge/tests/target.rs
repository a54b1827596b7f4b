//! Tests of the selection of targets.

mod common;

use std::collections::{HashMap, HashSet};

use assert_matches::assert_matches;
use common::{criteria, pool, target};
use waxwing_edge::{LoadReport, Selection, TargetKey, TargetOutcome, TargetPool};
use waxwing_records::TargetState;
use waxwing_types::{Incarnation, Millis, RegionId, ServiceId};

const NOW: Millis = Millis(10_000);

fn select(pool: &mut TargetPool, now: Millis, affinity_hash: u64) -> Selection {
    let service = ServiceId::from("s");
    let criteria = criteria(&service, affinity_hash, &|_| true);
    pool.select(now, &criteria, &mut fastrand::Rng::with_seed(1))
}

fn select_target(pool: &mut TargetPool, affinity_hash: u64) -> (TargetKey, String) {
    match select(pool, NOW, affinity_hash) {
        Selection::Selected(key, target) => (key, target.id.to_string()),
        other => panic!("{other:?}"),
    }
}

/// Guards against requests with the same affinity key that go to different targets, none of which then has
/// its data cached.
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

/// Sets the VMs of the region to `count` VMs.
fn set_region_vm_count(pool: &mut TargetPool, count: u32) {
    let ids: Vec<_> = (0..count).map(|i| format!("vm{i}")).collect();
    pool.set_region_vms(ids.iter().map(String::as_str));
}

/// Guards against a VM that has one request at a target, assumes that each of the many other VMs has one
/// there too, and therefore sends the next request of the affinity key to another target.
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
    // The targets have eight slots and a short queue, of which three other VMs use their share.
    assert!(sent < 8, "{sent} requests sent");
}

/// Guards against requests that are sent although no response is expected in time.
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

/// Guards against requests to a target that is draining, or whose failure domain is evacuated.
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

/// Guards against a failure domain that gets its whole traffic at once when its evacuation ends, although its
/// targets may be cold.
#[test]
fn targets_count_as_cold_after_an_evacuation() {
    let mut pool = pool();
    pool.upsert(NOW, target("t1", "b"));
    pool.set_evacuated_domains(NOW, HashSet::from(["b".into()]));
    pool.set_evacuated_domains(NOW, HashSet::new());
    assert_matches!(select(&mut pool, NOW, 1), Selection::NoTarget);
    pool.tick(NOW + Millis(1000));
    assert_matches!(
        select(&mut pool, NOW + Millis(1000), 1),
        Selection::Selected(..)
    );
    assert_matches!(
        select(&mut pool, NOW + Millis(1000), 2),
        Selection::NoTarget
    );
    assert_matches!(
        select(&mut pool, NOW + Millis(3001), 2),
        Selection::Selected(..)
    );
}

/// Guards against a late registration of an earlier process that replaces the one of the current process.
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

/// Guards against further requests to a target at whose address another process now responds.
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

/// Guards against the ejection of targets that are too busy to answer all requests in time: the service would
/// lose their slots.
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

/// Guards against a region split that is fixed by the first few targets of a list, or that moves to the own
/// region while there are no requests: the first requests would overload the own region, and the correction
/// would exceed the limit on moved traffic.
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
    // The own region has a quarter of all slots, which is half of the mean over both regions.
    let fraction = pool
        .region_fraction(&service, &own_region)
        .expect("a split");
    assert!((fraction - 0.5).abs() < 0.01, "own region has {fraction}");
}

/// Guards against traffic that moves between regions faster than the limit of 0.15 in 2 s.
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
    for window in fractions.windows(11) {
        let moved = (window[10] - window[0]).abs();
        assert!(moved < 0.15, "a fraction of {moved} moved in 2 s");
    }
    assert!(fractions[99] < fractions[0], "{fractions:?}");
}

/// Guards against requests that continue to go to another region with full targets while the own region has
/// free slots, but is not idle. Meanwhile requests whose home is the full region would be refused.
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
    // Try one affinity key after the other until each target has a request.
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

/// Guards against an estimate of the region's load that counts only the VMs of the own failure domain,
/// although the VMs of all its domains send requests to its targets: requests would move to other regions too
/// late, and queue.
#[test]
fn requests_of_the_other_domains_of_the_region_are_estimated() {
    let mut pool = pool();
    let service = ServiceId::from("s");
    let own_region = "r1".into();
    pool.set_region_vms(["vm0", "vm1", "vm2", "vm3"].into_iter());
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
