//! Tests of the edge daemon with entries whose numbers are as large as their types allow, or that cannot be read.

#[path = "edge/fixture.rs"]
mod fixture;

use std::time::Duration;

use async_io::Timer;
use fixture::{Fixture, TargetBehavior, deployment, run_test, wait_until};
use waxwing_records::{Deployment, Registration, TargetState, VmEntry};
use waxwing_store::{Entry, Family};
use waxwing_types::{Incarnation, Millis};

/// Greatest amount that the adapter of the platform passes on for a field with a fraction.
const MOST: u32 = u32::MAX;

fn extreme_deployment(version: u64) -> Deployment {
    let mut record = deployment(version);
    for route in &mut record.routes {
        route.timeout = Millis(MOST.into());
        route.objective = Millis(MOST.into());
        route.attempts = MOST;
        route.rank = MOST;
        route.backends[0].weight = MOST;
    }
    let service = &mut record.services[0];
    service.connections = MOST;
    service.cold_time = Millis(MOST.into());
    service.cold_rate = MOST.into();
    for workspace in record.workspaces.iter_mut().flatten() {
        workspace.rate = MOST.into();
        workspace.burst = MOST.into();
        workspace.rank = MOST;
    }
    record.limits.header_bytes = u64::MAX;
    record.limits.body_bytes = u64::MAX;
    record.limits.header_time = Millis(MOST.into());
    record.limits.idle_time = Millis(MOST.into());
    record
}

/// Registers a target and a VM with extreme numbers that nobody answers for.
fn put_extreme_entries(fixture: &Fixture) {
    for (id, slots, state) in [
        ("odd-1", MOST, TargetState::Ready),
        ("odd-2", 0, TargetState::Ready),
        ("odd-3", MOST, TargetState::Draining),
    ] {
        let entry = Registration {
            id: id.into(),
            incarnation: Incarnation(u64::MAX),
            service: "s".into(),
            address: "127.0.0.1:1".parse().expect("an address"),
            domain: "unknown".into(),
            slots,
            state,
            cold_left: Millis(MOST.into()),
        };
        fixture
            .registry
            .put(Family::Targets, id, Entry::Target(entry));
    }
    for (id, incarnation) in [("w1", u64::MAX), ("w2", 0)] {
        let entry = VmEntry {
            id: id.into(),
            domain: "a".into(),
            region: "r1".into(),
            client: "127.0.0.1:1".parse().expect("an address"),
            peer: "127.0.0.1:1".parse().expect("an address"),
            incarnation: Incarnation(incarnation),
        };
        fixture.registry.put(Family::Vms, id, Entry::Vm(entry));
    }
}

/// Guards against an entry or a configuration with a number that is too large, on which a sum overflows and a task of the
/// process ends.
#[test]
fn entries_with_extreme_numbers_do_not_end_the_daemon() {
    run_test(async |fixture| {
        let (daemon, _target) = fixture.daemon_with_target().await;
        put_extreme_entries(&fixture);
        fixture.deploy(extreme_deployment(2));
        // Longer than the ticks of quotas and heartbeats.
        Timer::after(Duration::from_millis(1500)).await;
        for route in ["safe", "unsafe"] {
            let _ = fixture.call(&daemon, route).await;
        }
        fixture.deploy(deployment(3));
        fixture.start_target("t2", TargetBehavior::Answer).await;
        for id in ["odd-1", "odd-2", "odd-3"] {
            fixture.registry.remove(Family::Targets, id);
        }
        wait_until("requests are served again", async || {
            fixture.call(&daemon, "unsafe").await.status == 200
        })
        .await;
        assert_eq!(fixture.panic_count(), 0);
    });
}

/// Guards against an entry without a readable name or content that takes the deployment out of force, or targets out of use that
/// it does not name.
#[test]
fn unreadable_entries_leave_the_deployment_and_the_targets_in_use() {
    run_test(async |fixture| {
        let (daemon, _target) = fixture.daemon_with_target().await;
        for family in Family::ALL {
            for name in ["", "main", "odd"] {
                let entry = Entry::Unreadable("recursion limit exceeded".into());
                fixture.registry.put(family, name, entry);
            }
        }
        wait_until("the entries are counted", async || {
            let (_, metrics) = fixture.get(daemon.metrics_address(), "/metrics", "").await;
            let counts = metrics.lines().filter(|line| line.contains("unreadable"));
            counts.filter(|line| line.ends_with(" 3")).count() == Family::ALL.len()
        })
        .await;
        assert_eq!(fixture.call(&daemon, "unsafe").await.status, 200);
        assert_eq!(fixture.panic_count(), 0);
    });
}
