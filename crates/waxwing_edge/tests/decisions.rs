//! Tests of routes, retry budgets and the addresses for callers.

use waxwing_edge::{Fleet, QuotaCoordinator, RetryBudgetConfig, RetryBudgets, RoutingTable};
use waxwing_records::{
    Backend, CallerLimits, Deployment, HostRoute, RunKind, ServiceSpec, VmEntry, WorkspaceSpec,
};
use waxwing_types::{Incarnation, Millis, RefusalReason, RegionId};

fn route(prefix: &str, public: bool) -> HostRoute {
    HostRoute {
        name: prefix.into(),
        host: "h.example".into(),
        prefix: prefix.into(),
        // Requests are idempotent and may run more than once.
        kind: RunKind::Safe,
        timeout: Millis(2000),
        objective: Millis(400),
        attempts: 2,
        rank: 1,
        public,
        affinity: true,
        homes: vec!["r1".into(), "r2".into()],
        backends: vec![Backend {
            service: "s".into(),
            weight: 1,
        }],
    }
}

fn deployment() -> Deployment {
    Deployment {
        schema: 1,
        version: 3,
        routes: vec![route("/a/", false), route("/a/b/", true)],
        services: vec![ServiceSpec {
            id: "s".into(),
            health: "/health".into(),
            connections: 10,
            cold_time: Millis(3000),
            cold_rate: 1000,
        }],
        workspaces: Some(vec![WorkspaceSpec {
            id: "w".into(),
            keys: vec!["key".into()],
            rank: 2,
            rate: 1000,
            burst: 1,
            homes: vec!["r2".into()],
        }]),
        limits: CallerLimits {
            header_bytes: 1000,
            body_bytes: 1000,
            header_time: Millis(1000),
            idle_time: Millis(1000),
        },
    }
}

/// Guards against precedence of a route with a shorter prefix over a route with a longer prefix.
#[test]
fn the_longest_prefix_selects_the_route() {
    let table = RoutingTable::new(deployment());
    let route_name = |path| {
        table
            .match_route("h.example:80", path, Some("key"))
            .map(|m| m.route.name.to_string())
    };
    assert_eq!(route_name("/a/x"), Ok("/a/".into()));
    assert_eq!(route_name("/a/b/x"), Ok("/a/b/".into()));
    assert_eq!(route_name("/c/"), Err(RefusalReason::RouteUnknown));
}

/// Guards against a non-public route that accepts requests without a key, or with a key that belongs to no
/// workspace.
#[test]
fn a_route_needs_a_key_of_a_workspace() {
    let table = RoutingTable::new(deployment());
    let result = |key| table.match_route("h.example", "/a/x", key).map(|_| ());
    assert_eq!(result(None), Err(RefusalReason::KeyMissing));
    assert_eq!(result(Some("other")), Err(RefusalReason::KeyInvalid));
    assert!(table.match_route("h.example", "/a/b/x", None).is_ok());
}

/// Guards against a check of only the route's home regions, or only the workspace's home regions.
#[test]
fn home_regions_of_route_and_workspace_both_apply() {
    let table = RoutingTable::new(deployment());
    let route_match = table
        .match_route("h.example", "/a/x", Some("key"))
        .expect("a route");
    let allows = |region: &str| route_match.allows_region(&RegionId::from(region));
    // The route has the home regions r1 and r2, the workspace only r2.
    assert_eq!(
        [allows("r1"), allows("r2"), allows("r3")],
        [false, true, false]
    );
}

/// Guards against an invalid deployment that passes validation.
#[test]
fn validation_finds_all_faults_of_a_deployment() {
    let mut deployment = deployment();
    deployment.routes[0].prefix = "a".into();
    deployment.routes[1].backends.clear();
    deployment.workspaces.as_mut().expect("workspaces")[0]
        .keys
        .push("key".into());
    let findings = deployment.check().expect_err("faults");
    assert_eq!(findings.0.len(), 3, "{findings}");
}

/// Guards against VMs that together retry more often than the shared budget allows. For 1000 requests the
/// budget allows 200 retries (200 per 1000 requests) and 100 additional retries.
#[test]
fn retries_of_all_vms_stay_within_the_budget() {
    let config = RetryBudgetConfig {
        window: Millis::from_secs(10),
        retry_permille: 200,
        base_retries: 100,
    };
    let (vm_count, service) = (10, "s".into());
    let mut total = 0;
    for _ in 0..vm_count {
        let mut budgets = RetryBudgets::new(config);
        for i in 0..100 {
            budgets.record_request(Millis(20_000 + i * 10), &service);
        }
        while budgets.allows_retry(Millis(21_000), &service, vm_count) {
            budgets.record_retry(Millis(21_000), &service);
            total += 1;
        }
    }
    assert!(
        (100..=300).contains(&total),
        "{total} retries for 1000 requests"
    );
}

/// The entry of a VM in region `r1` with the given port for callers.
fn vm(id: &str, domain: &str, port: u16) -> VmEntry {
    VmEntry {
        id: id.into(),
        domain: domain.into(),
        region: "r1".into(),
        client: ([127, 0, 0, 1], port).into(),
        peer: ([127, 0, 0, 1], port + 100).into(),
        incarnation: Incarnation(1),
    }
}

/// Guards against callers that are given the address of a VM long after the VM's last heartbeat.
#[test]
fn a_vm_without_heartbeats_is_no_longer_listed() {
    let mut fleet = Fleet::new(vm("v1", "a", 1));
    fleet.upsert(Millis(1000), vm("v2", "a", 2));
    // The last heartbeat of `v2`, which states that `v2` accepts requests.
    fleet.on_heartbeat(Millis(2000), &"v2".into(), Incarnation(1), true);
    // The number of listed VMs. The last argument of the call means that the own VM `v1` accepts requests.
    let listed = |now| fleet.addresses_for_callers(Millis(now), None, true).len();
    assert_eq!(listed(4000), 2);
    assert_eq!(listed(8000), 1);
}

/// Guards against callers that are directed to another failure domain although their own failure domain has
/// enough live VMs. The own VM is `v1`.
#[test]
fn callers_stay_in_their_failure_domain_while_half_of_its_vms_are_live() {
    let mut fleet = Fleet::new(vm("v1", "a", 1));
    for (id, domain, port) in [("v2", "a", 2), ("v3", "b", 3), ("v4", "b", 4)] {
        fleet.upsert(Millis(1000), vm(id, domain, port));
    }
    let listed_ports = |domain: &str, now, own_vm_ready| {
        let addresses =
            fleet.addresses_for_callers(Millis(now), Some(&domain.into()), own_vm_ready);
        addresses
            .iter()
            .map(std::net::SocketAddr::port)
            .collect::<Vec<_>>()
    };
    assert_eq!(listed_ports("b", 1500, true), [3, 4]);
    assert_eq!(listed_ports("a", 1500, true).len(), 2);
    // At 9000 ms only the own VM is live, since the other VMs have sent no heartbeat.
    assert_eq!(listed_ports("b", 9000, true), [1]);
}

/// Guards against a process that takes the entry of another machine, or of a later process, for its own registration,
/// and against a write after each restart although the entry of the earlier process still states the same.
#[test]
fn the_entry_of_an_earlier_process_is_recognized() {
    let own = VmEntry {
        incarnation: Incarnation(5),
        ..vm("v1", "a", 1)
    };
    let is_registered = |listed: &[VmEntry]| {
        let mut fleet = Fleet::new(own.clone());
        for entry in listed {
            fleet.upsert(Millis::ZERO, entry.clone());
        }
        fleet.has_entry_of_earlier_process()
    };
    let later = VmEntry {
        incarnation: Incarnation(6),
        ..own.clone()
    };
    assert!(is_registered(&[vm("v1", "a", 1)]));
    assert!(!is_registered(&[]));
    assert!(!is_registered(&[vm("v2", "a", 1)]));
    assert!(!is_registered(&[vm("v1", "a", 2)]));
    assert!(!is_registered(&[vm("v1", "b", 1)]));
    assert!(!is_registered(&[later]));
}

/// Guards against a VM that takes a restart of the whole fleet for its own: callers would be told to come back at once. A
/// heartbeat counts even if the VMs have not been listed yet.
#[test]
fn a_ready_vm_that_started_earlier_shows_that_the_fleet_serves() {
    let own = VmEntry {
        incarnation: Incarnation(100_000),
        ..vm("v1", "a", 1)
    };
    let is_earlier_vm_ready = |incarnation, ready| {
        let mut fleet = Fleet::new(own.clone());
        fleet.on_heartbeat(Millis(1), &"v2".into(), Incarnation(incarnation), ready);
        fleet.is_earlier_vm_ready()
    };
    assert!(is_earlier_vm_ready(50_000, true));
    assert!(!is_earlier_vm_ready(50_000, false));
    assert!(!is_earlier_vm_ready(99_000, true));
    assert!(!is_earlier_vm_ready(u64::MAX, true));
}

/// Guards against VMs of a starting fleet that each take the whole quota of a workspace, because they do not know the others
/// yet, and against a VM that waits although the fleet is older.
#[test]
fn the_vms_of_a_starting_fleet_are_known_after_a_while() {
    let own = VmEntry {
        incarnation: Incarnation(100_000),
        ..vm("v1", "a", 1)
    };
    let is_complete = |incarnation, age| {
        let mut fleet = Fleet::new(own.clone());
        let other = VmEntry {
            incarnation: Incarnation(incarnation),
            ..vm("v2", "a", 2)
        };
        fleet.upsert(Millis::ZERO, other);
        fleet.is_complete(Millis(age))
    };
    assert!(!is_complete(99_900, 0));
    assert!(!is_complete(99_900, 2900));
    assert!(is_complete(99_900, 3000));
    assert!(is_complete(50_000, 0));
}

/// Guards against two quota coordinators in a failure domain: a VM whose entry was withdrawn at a planned stop joins again, and
/// the others do not know it until they have read its new entry. It must not refill their shares meanwhile, as their
/// coordinator does, nor a share of its own, which they still divide.
#[test]
fn a_joining_vm_counts_only_vms_that_send_heartbeats() {
    let own = VmEntry {
        incarnation: Incarnation(100_000),
        ..vm("v1", "a", 1)
    };
    let mut fleet = Fleet::new(own);
    fleet.retain_listed(&["v2".into(), "v3".into()]);
    fleet.upsert(Millis::ZERO, vm("v2", "a", 2));
    fleet.upsert(Millis::ZERO, vm("v3", "a", 3));
    let workspace = "w".into();
    let local = |share_count| QuotaCoordinator::Local { share_count };

    let before = fleet.quota_coordinator(Millis(100), &workspace);
    for id in ["v2", "v3"] {
        fleet.on_heartbeat(Millis(200), &id.into(), Incarnation(1), true);
    }
    let after = fleet.quota_coordinator(Millis(300), &workspace);

    assert_eq!(before, local(0));
    assert_ne!(after, local(0));
    assert_ne!(after, local(1));
}

/// Guards against a joining VM that never refills its share, because no other VM of its failure domain or of its region is there
/// to send it heartbeats.
#[test]
fn a_joining_vm_without_others_in_its_domain_refills_its_share() {
    let own = VmEntry {
        incarnation: Incarnation(100_000),
        ..vm("v1", "a", 1)
    };
    let mut fleet = Fleet::new(own);
    fleet.retain_listed(&["v2".into()]);
    fleet.upsert(Millis::ZERO, vm("v2", "b", 2));
    let workspace = "w".into();
    let local = |share_count| QuotaCoordinator::Local { share_count };

    let before = fleet.quota_coordinator(Millis(2900), &workspace);
    let alone = fleet.quota_coordinator(Millis(3000), &workspace);
    fleet.on_heartbeat(Millis(200), &"v2".into(), Incarnation(1), true);
    let known = fleet.quota_coordinator(Millis(300), &workspace);

    assert_eq!(before, local(0));
    assert_eq!(alone, local(1));
    assert_eq!(known, local(1));
}

/// Guards against a directory that names a VM which had ended before the store was restored from an older copy that holds its entry,
/// and against an entry of an earlier process that replaces the known one.
#[test]
fn a_vm_of_a_restored_copy_is_live_only_with_heartbeats() {
    let mut fleet = Fleet::new(vm("v1", "a", 1));
    fleet.upsert(Millis::ZERO, vm("v3", "a", 3));
    fleet.on_heartbeat(Millis(100), &"v3".into(), Incarnation(7), true);
    let now = Millis(20_000);
    let live = |fleet: &Fleet| fleet.addresses_for_callers(now, None, true).len();

    let (mut ended, mut earlier) = (vm("v2", "a", 2), vm("v3", "a", 3));
    for entry in [&mut ended, &mut earlier] {
        fleet.merge_restored(now, entry);
        fleet.upsert(now, entry.clone());
    }

    assert_eq!(earlier.incarnation, Incarnation(7));
    assert_eq!(live(&fleet), 1);
    fleet.on_heartbeat(now, &"v2".into(), ended.incarnation, true);
    assert_eq!(live(&fleet), 2);
}

/// Guards against a failure domain in which no VM reads the latest state of the store: a VM that joins, or a new process of a VM,
/// ranks higher than the reader and does not read in its own startup.
#[test]
fn a_vm_stays_the_store_reader_until_a_joining_vm_reads() {
    let pair = ["v1", "v2"].map(|own| {
        let other = if own == "v1" { "v2" } else { "v1" };
        let mut fleet = Fleet::new(vm(own, "a", 1));
        fleet.upsert(Millis::ZERO, vm(other, "a", 2));
        fleet.on_heartbeat(Millis::ZERO, &other.into(), Incarnation(1), true);
        (fleet, other)
    });
    // In a fleet that starts as a whole, exactly one of the two is the reader from the start on.
    let readers = pair.iter().filter(|(f, _)| f.is_store_reader(Millis(100)));
    assert_eq!(readers.count(), 1);
    let (mut fleet, other) = pair
        .into_iter()
        .find(|(fleet, _)| !fleet.is_store_reader(Millis(100)))
        .expect("a VM that is not the reader");
    let restarted_at = Millis(20_000);

    let is_reader_after = |fleet: &mut Fleet, time: Millis| {
        let now = restarted_at + time;
        fleet.on_heartbeat(now, &other.into(), Incarnation(2), true);
        fleet.is_store_reader(now)
    };

    assert!(is_reader_after(&mut fleet, Millis::ZERO));
    assert!(is_reader_after(&mut fleet, Millis(2900)));
    assert!(!is_reader_after(&mut fleet, Millis(3000)));
}
