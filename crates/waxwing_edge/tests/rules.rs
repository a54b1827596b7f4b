//! Routes, budgets of repeats, poison and the directory.

use waxwing_edge::{Fleet, Quarantine, RetryBudgetConfig, RetryBudgets, RoutingTable};
use waxwing_records::{
    Backend, CallerLimits, Deployment, HostRoute, RunKind, ServiceSpec, VmEntry, WorkspaceSpec,
};
use waxwing_types::{Incarnation, Millis, RefusalReason, RegionId};

fn route(prefix: &str, public: bool) -> HostRoute {
    HostRoute {
        name: prefix.into(),
        host: "h.example".into(),
        prefix: prefix.into(),
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

/// Guards against a shorter prefix that hides a longer one.
#[test]
fn the_longest_prefix_selects_the_route() {
    let plan = RoutingTable::new(deployment());
    let name = |path| {
        plan.match_route("h.example:80", path, Some("key"))
            .map(|a| a.route.name.to_string())
    };
    assert_eq!(name("/a/x"), Ok("/a/".into()));
    assert_eq!(name("/a/b/x"), Ok("/a/b/".into()));
    assert_eq!(name("/c/"), Err(RefusalReason::RouteUnknown));
}

/// Guards against a route that runs for a key that nobody holds, or without one.
#[test]
fn a_route_needs_a_key_that_a_workspace_holds() {
    let plan = RoutingTable::new(deployment());
    let reason = |key| plan.match_route("h.example", "/a/x", key).map(|_| ());
    assert_eq!(reason(None), Err(RefusalReason::KeyMissing));
    assert_eq!(reason(Some("other")), Err(RefusalReason::KeyInvalid));
    assert!(plan.match_route("h.example", "/a/b/x", None).is_ok());
}

/// Guards against homes of which only one binds.
#[test]
fn homes_of_route_and_workspace_both_bind() {
    let plan = RoutingTable::new(deployment());
    let access = plan
        .match_route("h.example", "/a/x", Some("key"))
        .expect("access");
    let allows = |region: &str| access.allows_region(&RegionId::from(region));
    assert_eq!(
        [allows("r1"), allows("r2"), allows("r3")],
        [false, true, false]
    );
}

/// Guards against a faulty deployment that is put in force.
#[test]
fn all_faults_of_a_deployment_are_found() {
    let mut record = deployment();
    record.routes[0].prefix = "a".into();
    record.routes[1].backends.clear();
    record.workspaces.as_mut().expect("workspaces")[0]
        .keys
        .push("key".into());
    let findings = record.check().expect_err("faults");
    assert_eq!(findings.0.len(), 3, "{findings}");
}

/// Guards against more repeats over all VMs than the budget has.
#[test]
fn repeats_stay_within_the_budget_over_all_vms() {
    let rule = RetryBudgetConfig {
        window: Millis::from_secs(10),
        retry_permille: 200,
        base_retries: 100,
    };
    let (vms, service) = (10, "s".into());
    let mut total = 0;
    for _ in 0..vms {
        let mut budgets = RetryBudgets::new(rule);
        for i in 0..100 {
            budgets.record_request(Millis(20_000 + i * 10), &service);
        }
        while budgets.allows_retry(Millis(21_000), &service, vms) {
            budgets.record_retry(Millis(21_000), &service);
            total += 1;
        }
    }
    assert!(
        (100..=300).contains(&total),
        "{total} repeats of 1000 requests"
    );
}

/// Guards against a request that crashes target after target.
#[test]
fn a_request_that_crashed_two_targets_is_held() {
    let mut poison = Quarantine::default();
    let key = slotmap::SlotMap::<waxwing_edge::TargetKey, ()>::with_key().insert(());
    for at in [Millis(1000), Millis(3000)] {
        assert!(!poison.contains(at, 7));
        poison.on_connection_broken(at, 7, key);
        assert_eq!(poison.on_target_down(at + Millis(10), key), [7]);
    }
    assert!(poison.contains(Millis(4000), 7));
    assert!(!poison.contains(Millis(4000), 8));
}

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

/// Guards against a directory that names a VM long after it has died.
#[test]
fn a_silent_vm_is_no_longer_named() {
    let mut fleet = Fleet::new(vm("v1", "a", 1));
    fleet.upsert(Millis(1000), vm("v2", "a", 2));
    fleet.on_heartbeat(Millis(2000), &"v2".into(), Incarnation(1), true);
    let named = |now| fleet.addresses_for_callers(Millis(now), None, true).len();
    assert_eq!(named(4000), 2);
    assert_eq!(named(8000), 1);
}

/// Guards against callers that are sent to another failure domain without need.
#[test]
fn callers_are_sent_to_their_failure_domain_while_half_of_it_responds() {
    let mut fleet = Fleet::new(vm("v1", "a", 1));
    for (id, domain, port) in [("v2", "a", 2), ("v3", "b", 3), ("v4", "b", 4)] {
        fleet.upsert(Millis(1000), vm(id, domain, port));
    }
    let named = |domain: &str, now, ready| {
        let entries = fleet.addresses_for_callers(Millis(now), Some(&domain.into()), ready);
        entries
            .iter()
            .map(std::net::SocketAddr::port)
            .collect::<Vec<_>>()
    };
    assert_eq!(named("b", 1500, true), [3, 4]);
    assert_eq!(named("a", 1500, true).len(), 2);
    assert_eq!(named("b", 9000, true), [1]);
}
