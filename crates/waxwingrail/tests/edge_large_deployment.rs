//! Tests of a deployment whose changes follow each other faster than a VM reads them.

#[path = "edge/fixture.rs"]
mod fixture;
#[path = "edge/vm.rs"]
mod vm;

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use async_io::Timer;
use fixture::{Fixture, TargetBehavior, deployment, run_test, settings, wait_until};
use vm::TestVm;
use waxwing_records::Deployment;
use waxwing_store::{Entry, Family};
use waxwing_types::Millis;

/// Time in which a VM reads one version.
const TRANSFER_TIME: Millis = Millis(600);
/// Pause between two changes.
const CHANGE_PAUSE: Duration = Duration::from_millis(250);
/// Bound on the time from a change to its use while changes go on. The limit of the users is 2.5 s.
const BOUND: Duration = Duration::from_secs(10);
/// Time in which the VMs of a new fleet find out which of them reads for the others.
const STARTUP: Duration = Duration::from_millis(4500);

/// A public deployment with a route named after its version, and with more routes that change with each version.
fn numbered_deployment(version: u64, changed_routes: usize) -> Deployment {
    let mut deployment = deployment(version);
    let template = deployment.routes[0].clone();
    let routes = (0..changed_routes).map(|n| (format!("extra{n}"), 2000 + version));
    let routes = routes.chain([(format!("added{version}"), 2000)]);
    deployment.routes.extend(routes.map(|(name, timeout)| {
        let mut route = template.clone();
        route.prefix = format!("/{name}/").into();
        route.name = name.into();
        route.timeout = Millis(timeout);
        route
    }));
    for route in &mut deployment.routes {
        route.public = true;
    }
    deployment
}

/// Changes the deployment without pause, and checks that two VMs of a failure domain use versions of meanwhile in time.
fn check_that_versions_are_in_use_in_time(changed_routes: usize) {
    run_test(async |fixture: Fixture| {
        fixture.deploy(numbered_deployment(1, changed_routes));
        fixture.start_target("t1", TargetBehavior::Answer).await;
        let vms = [
            TestVm::start(&fixture.registry, settings("v1", &[])).await,
            TestVm::start(&fixture.registry, settings("v2", &[])).await,
        ];
        for vm in &vms {
            fixture.wait_until_ready(&vm.daemon).await;
        }
        Timer::after(STARTUP).await;
        fixture.registry.set_transfer_time(TRANSFER_TIME);
        let version = Arc::new(AtomicU64::new(1));
        let changes = {
            let (registry, version) = (fixture.registry.clone(), Arc::clone(&version));
            fixture.executor.spawn(async move {
                loop {
                    let next = version.fetch_add(1, Ordering::SeqCst) + 1;
                    let record = Entry::Deployment(numbered_deployment(next, changed_routes));
                    registry.put(Family::Deployment, "main", record);
                    Timer::after(CHANGE_PAUSE).await;
                }
            })
        };

        for _ in 0..3 {
            let at_least = version.load(Ordering::SeqCst) + 1;
            let started = Instant::now();
            for vm in &vms {
                wait_until("a later version is in use", async || {
                    let refused = fixture.call(&vm.daemon, "unknown").await;
                    let in_force = refused.headers["waxwing-deployment"].to_str();
                    let in_force = in_force.ok().and_then(|text| text.parse::<u64>().ok());
                    assert!(started.elapsed() < BOUND, "{in_force:?} of {at_least}");
                    in_force.is_some_and(|in_force| in_force >= at_least)
                })
                .await;
            }
        }
        changes.cancel().await;
    });
}

/// Guards against VMs that give up the read of a large deployment whenever a later change is reported.
#[test]
fn a_large_deployment_that_changes_without_pause_is_in_use_in_time() {
    check_that_versions_are_in_use_in_time(0);
}

/// Guards against reads that grow with the number of versions missed, where each version changes most of the deployment.
#[test]
fn a_large_deployment_that_changes_as_a_whole_is_in_use_in_time() {
    check_that_versions_are_in_use_in_time(200);
}

/// Guards against a VM that skips a valid version because the one after it, which it reads instead, is invalid.
#[test]
fn a_version_before_an_invalid_one_is_in_use() {
    run_test(async |fixture| {
        let (daemon, _target) = fixture.daemon_with_target().await;
        fixture.registry.set_down(true);
        fixture.wait_until_watches_fail(&daemon).await;
        let mut valid = deployment(2);
        valid.routes.remove(1);
        fixture.deploy(valid);
        let mut invalid = deployment(3);
        invalid.routes[0].attempts = 0;
        fixture.deploy(invalid);

        fixture.registry.set_down(false);

        wait_until("the valid version is in use", async || {
            fixture.call(&daemon, "unsafe").await.status == 404
        })
        .await;
        assert_eq!(fixture.call(&daemon, "safe").await.status, 200);
    });
}
