//! Tests of VMs that learn of changes from a store reader, the one VM of a failure domain that watches the latest state of
//! the registry, while that VM fails.

#[path = "edge/fixture.rs"]
mod fixture;
#[path = "edge/vm.rs"]
mod vm;

use std::time::{Duration, Instant};

use async_io::Timer;
use fixture::{Fixture, TargetBehavior, deployment, run_test, settings, wait_until};
use vm::TestVm;
use waxwing_records::{Deployment, TargetState};
use waxwing_store::{Entry, Family};
use waxwingrail::edge::EdgeSettings;

/// Time after which the VMs of a new fleet are no longer starting.
const STARTUP: Duration = Duration::from_millis(4500);

/// A deployment whose routes need no workspace, so that no request waits for tokens of a VM that fails.
fn public_deployment(version: u64) -> Deployment {
    let mut deployment = deployment(version);
    for route in &mut deployment.routes {
        route.public = true;
    }
    deployment
}

/// Two VMs of one failure domain. The recent state of the registry lags from now on.
struct Pair {
    /// The store reader.
    reader: TestVm,
    /// The VM that learns of changes from the reader.
    other: TestVm,
}

impl Pair {
    async fn start(fixture: &Fixture) -> Self {
        Self::start_with(fixture, &[]).await
    }

    async fn start_with(fixture: &Fixture, flags: &[&str]) -> Self {
        let started_at = Instant::now();
        let first = TestVm::start(&fixture.registry, settings("v1", flags)).await;
        let second = TestVm::start(&fixture.registry, settings("v2", flags)).await;
        for vm in [&first, &second] {
            fixture.wait_until_ready(&vm.daemon).await;
        }
        Timer::after(STARTUP.saturating_sub(started_at.elapsed())).await;
        let counts = [first.latest_waits(), second.latest_waits()];
        wait_until("one VM is the store reader", async || {
            first.latest_waits() > counts[0] || second.latest_waits() > counts[1]
        })
        .await;
        fixture.registry.set_lag(true);
        if first.latest_waits() > counts[0] {
            Self {
                reader: first,
                other: second,
            }
        } else {
            Self {
                reader: second,
                other: first,
            }
        }
    }
}

/// Disturbs the store reader, lets a target leave, and checks that the other VM stops sending to it in time.
fn check_that_a_leaving_target_is_noticed(disturb: impl Fn(&TestVm)) {
    run_test(async |fixture| {
        fixture.deploy(public_deployment(1));
        let target = fixture.start_target("t1", TargetBehavior::Answer).await;
        let pair = Pair::start(&fixture).await;
        disturb(&pair.reader);
        Timer::after(Duration::from_millis(100)).await;
        fixture.register_target("t1", target.address, TargetState::Draining);
        let left_at = Instant::now();
        fixture.wait_until_no_target(&pair.other.daemon).await;
        let limit = settings("v1", &[]).max_drain_delay.duration();
        let elapsed = left_at.elapsed();
        assert!(elapsed < limit, "noticed after {elapsed:?}");
    });
}

/// Guards against requests to a target that leaves right after the store reader was killed.
#[test]
fn a_leaving_target_is_noticed_though_the_reader_is_killed() {
    check_that_a_leaving_target_is_noticed(TestVm::kill);
}

/// Guards against requests to a target that leaves while the store reader is frozen.
#[test]
fn a_leaving_target_is_noticed_though_the_reader_is_frozen() {
    check_that_a_leaving_target_is_noticed(|reader| reader.set_frozen(true));
}

/// Guards against reports of a store reader that gets no answers any more: they must not confirm the state.
#[test]
fn a_leaving_target_is_noticed_though_the_reader_gets_no_answers() {
    check_that_a_leaving_target_is_noticed(|reader| reader.set_silent(true));
}

/// Guards against requests to a target that leaves while the store refuses the store reader.
#[test]
fn a_leaving_target_is_noticed_though_the_reader_is_refused() {
    check_that_a_leaving_target_is_noticed(|reader| reader.set_refused(true));
}

/// Guards against a changed deployment or an evacuation that is missed because the store reader was killed.
#[test]
fn changes_of_the_operator_are_noticed_though_the_reader_is_killed() {
    run_test(async |fixture| {
        fixture.deploy(public_deployment(1));
        fixture.start_target("t1", TargetBehavior::Answer).await;
        let pair = Pair::start(&fixture).await;
        pair.reader.kill();
        let mut changed = public_deployment(2);
        changed.routes.remove(1);
        fixture.deploy(changed);
        let evacuation = Entry::Evacuation("a".into());
        fixture.registry.put(Family::Evacuations, "a", evacuation);
        let changed_at = Instant::now();
        wait_until("the deployment is in use", async || {
            fixture.call(&pair.other.daemon, "unsafe").await.status == 404
        })
        .await;
        let (apply_time, settings) = (changed_at.elapsed(), settings("v1", &[]));
        assert!(
            apply_time < settings.max_apply_delay.duration(),
            "{apply_time:?}"
        );
        fixture.wait_until_no_target(&pair.other.daemon).await;
        let evacuation_time = changed_at.elapsed();
        assert!(
            evacuation_time < Duration::from_secs(5),
            "{evacuation_time:?}"
        );
    });
}

/// Guards against reports of a process that has read a change in its first list. The list shows no last change, so that its
/// reports name none that another VM lacks.
#[test]
fn a_changed_deployment_is_noticed_though_a_reader_starts_after_it() {
    run_test(async |fixture| {
        fixture.deploy(public_deployment(1));
        fixture.start_target("t1", TargetBehavior::Answer).await;
        // The starting process reports before the other VM reads the latest state because nothing confirms its own.
        let flags = ["--apply-ms=4000"];
        let pair = Pair::start_with(&fixture, &flags).await;
        // The reader of the failure domain stays known to the other VM, and confirms nothing.
        pair.reader.set_silent(true);
        let mut changed = public_deployment(2);
        changed.routes.remove(1);
        fixture.deploy(changed);
        let changed_at = Instant::now();
        let in_other_domain = EdgeSettings {
            domain: "c".into(),
            ..settings("v3", &flags)
        };
        let limit = in_other_domain.max_apply_delay.duration();
        let _starting = TestVm::start(&fixture.registry, in_other_domain).await;
        wait_until("the deployment is in use", async || {
            let elapsed = changed_at.elapsed();
            assert!(elapsed < limit, "not in use after {elapsed:?}");
            fixture.call(&pair.other.daemon, "unsafe").await.status == 404
        })
        .await;
    });
}

/// Guards against a change of the deployment that each VM has to read from the store, which costs the size of the record each time.
#[test]
fn a_changed_deployment_reaches_a_vm_that_the_store_refuses() {
    run_test(async |fixture| {
        fixture.deploy(public_deployment(1));
        fixture.start_target("t1", TargetBehavior::Answer).await;
        let pair = Pair::start(&fixture).await;
        pair.other.set_refused(true);
        let mut changed = public_deployment(2);
        changed.routes.remove(1);
        fixture.deploy(changed);
        let changed_at = Instant::now();

        wait_until("the deployment is in use", async || {
            fixture.call(&pair.other.daemon, "unsafe").await.status == 404
        })
        .await;

        let apply_time = changed_at.elapsed();
        let limit = settings("v1", &[]).max_apply_delay.duration();
        assert!(apply_time < limit, "{apply_time:?}");
        assert_eq!(fixture.call(&pair.other.daemon, "safe").await.status, 200);
    });
}
