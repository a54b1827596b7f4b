//! Tests of how the edge daemon lists and watches the registry, also during store outages and when the store
//! returns a state that lags.
//!
//! A family is one kind of registry entries, such as targets. A list or watch reads the latest state of the
//! store, or a recent state that may lag by some seconds.

#[path = "edge/fixture.rs"]
mod fixture;

use std::time::{Duration, Instant};

use async_io::Timer;
use fixture::{Fixture, Target, TargetBehavior, deployment, run_test, settings, wait_until};
use waxwing_records::{Registration, TargetState};
use waxwing_store::{Entry, Family, Freshness};
use waxwing_types::{Incarnation, Millis};

/// Guards against removing targets whose entries expired only because the store was down.
#[test]
fn entries_that_expired_in_an_outage_may_be_restored() {
    run_test(async |fixture| {
        let (daemon, target) = fixture.daemon_with_target().await;
        fixture.registry.set_down(true);
        fixture.registry.expire(Family::Targets, "t1");
        Timer::after(Duration::from_millis(300)).await;
        assert_eq!(fixture.call(&daemon, "safe").await.status, 200);
        let recovered_at = Instant::now();
        fixture.registry.set_down(false);
        // The daemon keeps the target for two seconds, the time that the platform gives targets to restore their
        // entries. On a busy machine, a request may end only after that time, and may then be refused.
        while recovered_at.elapsed() < Duration::from_millis(1500) {
            let status = fixture.call(&daemon, "safe").await.status;
            assert!(status == 200 || recovered_at.elapsed() > Duration::from_millis(1900));
            Timer::after(Duration::from_millis(20)).await;
        }
        fixture.register_target("t1", target.address, TargetState::Ready);
        Timer::after(Duration::from_secs(2)).await;
        assert_eq!(fixture.call(&daemon, "safe").await.status, 200);
    });
}

/// Guards against a target that keeps getting requests after its entry was removed soon after a store outage. Such
/// a removal is delayed, because the entry may be restored.
#[test]
fn a_target_that_was_removed_after_an_outage_gets_no_requests() {
    run_test(async |fixture| {
        let (daemon, _target) = fixture.daemon_with_target().await;
        fixture.registry.set_down(true);
        Timer::after(Duration::from_millis(300)).await;
        fixture.registry.set_down(false);
        Timer::after(Duration::from_millis(1500)).await;
        fixture.registry.remove(Family::Targets, "t1");
        fixture.wait_until_no_target(&daemon).await;
    });
}

/// Guards against a target that left during an outage and still gets requests when the limits apply again, because the VM noticed
/// the end of the outage late.
#[test]
fn a_target_that_left_in_an_outage_gets_no_requests_after_the_recovery_time() {
    run_test(async |fixture| {
        fixture.deploy(deployment(1));
        fixture.start_target("t1", TargetBehavior::Answer).await;
        let settings = settings("v1", &["--store-timeout-ms=2500"]);
        let recovery = settings.store_recovery.duration();
        let daemon = fixture.start_daemon_with(settings, 1).await;
        fixture.wait_until_ready(&daemon).await;
        wait_until("the VM is the store reader", async || {
            let watches = fixture.registry.watches(Family::Targets);
            watches.contains(&Freshness::Latest)
        })
        .await;
        fixture.registry.set_silent(true);
        fixture.registry.expire(Family::Targets, "t1");
        fixture.wait_until_watches_fail(&daemon).await;
        let watches = || fixture.registry.watches(Family::Targets).len();
        let watches_before = watches();
        // The silence ends right after this call has begun, and the call stays without an answer.
        wait_until("a call begins in the silence", async || {
            watches() > watches_before
        })
        .await;
        let recovered_at = Instant::now();
        fixture.registry.set_silent(false);
        fixture.wait_until_no_target(&daemon).await;
        let elapsed = recovered_at.elapsed();
        assert!(elapsed < recovery, "removed after {elapsed:?}");
    });
}

/// Guards against sending requests to a target whose entry can no longer be decoded.
#[test]
fn a_target_whose_entry_becomes_unreadable_gets_no_requests() {
    run_test(async |fixture| {
        let (daemon, _target) = fixture.daemon_with_target().await;
        let unreadable = Entry::Unreadable("no address".into());
        fixture.registry.put(Family::Targets, "t1", unreadable);
        fixture.wait_until_no_target(&daemon).await;
    });
}

/// Guards against keeping a target whose removal is in the part of the history that the store has dropped.
#[test]
fn a_family_is_listed_again_when_the_history_is_gone() {
    run_test(async |fixture| {
        let (daemon, _target) = fixture.daemon_with_target().await;
        // Removes the entry without a change that a watch returns.
        fixture.registry.expire(Family::Targets, "t1");
        fixture.register_target(
            "t2",
            "127.0.0.1:1".parse().expect("an address"),
            TargetState::Draining,
        );
        // The registry drops its history of changes.
        fixture.registry.forget();
        fixture.wait_until_no_target(&daemon).await;
    });
}

/// Guards against a list of a recent state that restores entries whose removal this process has already applied,
/// because the state lags. Such a list is replaced by one of the latest state.
#[test]
fn a_lagging_list_does_not_restore_a_removed_target() {
    run_test(async |fixture| {
        let (daemon, _target) = fixture.daemon_with_target().await;
        assert_eq!(fixture.registry.lists(Family::Targets), [Freshness::Recent]);
        wait_until("the VM is the store reader", async || {
            let watches = fixture.registry.watches(Family::Targets);
            watches.contains(&Freshness::Latest)
        })
        .await;
        fixture.registry.set_lag(true);
        fixture.registry.remove(Family::Targets, "t1");
        fixture.wait_until_no_target(&daemon).await;
        fixture.registry.set_down(true);
        fixture.wait_until_watches_fail(&daemon).await;
        fixture.registry.set_down(false);
        wait_until("the latest targets are listed", async || {
            let lists = fixture.registry.lists(Family::Targets);
            lists.contains(&Freshness::Latest)
        })
        .await;
        // The daemon applies the list after it has returned.
        for _ in 0..20 {
            Timer::after(Duration::from_millis(20)).await;
            assert_eq!(fixture.call(&daemon, "safe").await.status, 503);
        }
    });
}

/// Guards against a wave of calls after a store outage: each VM would list the latest state of every family again, ten times
/// the cost of the changes since the known revision. Changes made in the outage must be found all the same.
#[test]
fn changes_and_not_lists_are_read_after_an_outage() {
    run_test(async |fixture| {
        let (daemon, _target) = fixture.daemon_with_target().await;
        let families = [Family::Evacuations, Family::Vms];
        let deployment_reads = || fixture.registry.answered_lists(Family::Deployment);
        let deployment_reads_before = deployment_reads();
        let lists_before = families.map(|family| fixture.registry.lists(family).len());
        fixture.registry.set_down(true);
        fixture.wait_until_watches_fail(&daemon).await;
        let mut changed = deployment(2);
        changed.routes.remove(1);
        fixture.deploy(changed);
        fixture.registry.remove(Family::Targets, "t1");
        fixture.registry.set_down(false);
        wait_until("the new deployment is in use", async || {
            fixture.call(&daemon, "unsafe").await.status == 404
        })
        .await;
        fixture.wait_until_no_target(&daemon).await;
        let lists_after = families.map(|family| fixture.registry.lists(family).len());
        assert_eq!(lists_after, lists_before);
        // The deployment is one record, which each change returns as a whole: it is read once, and not with its changes.
        assert_eq!(deployment_reads(), deployment_reads_before + 1);
        assert_eq!(fixture.registry.catch_ups(Family::Deployment), 0);
        let target_lists = fixture.registry.lists(Family::Targets);
        assert!(
            !target_lists.contains(&Freshness::Latest),
            "{target_lists:?}"
        );
    });
}

/// Guards against VMs that refuse by an old deployment because their watches wait on a store that took them and never answers.
#[test]
fn a_change_after_a_silent_outage_is_in_use_in_time() {
    run_test(async |fixture| {
        fixture.deploy(deployment(1));
        fixture.start_target("t1", TargetBehavior::Answer).await;
        let daemons = fixture.two_ready_daemons().await;
        wait_until("a VM is the store reader", async || {
            let watches = fixture.registry.watches(Family::Deployment);
            watches.contains(&Freshness::Latest)
        })
        .await;
        fixture.registry.set_silent(true);
        Timer::after(Duration::from_secs(1)).await;
        fixture.registry.set_silent(false);
        let settings = settings("v1", &[]);
        let delay = settings.store_recovery + settings.max_apply_delay;
        let deadline = Instant::now() + delay.duration();
        let mut changed = deployment(2);
        changed.routes.remove(1);
        fixture.deploy(changed);
        for daemon in &daemons {
            wait_until("the change is in use", async || {
                fixture.call(daemon, "unsafe").await.status == 404
            })
            .await;
        }
        assert!(Instant::now() < deadline, "the change was in use too late");
    });
}

/// Guards against a process that accepts a withdrawn key, or sends requests to an evacuated failure domain, after a restart:
/// the state of the store from which it starts lags.
#[test]
fn a_restarted_process_starts_from_the_latest_deployment_and_evacuations() {
    run_test(async |fixture| {
        fixture.deploy(deployment(1));
        fixture.start_target("t1", TargetBehavior::Answer).await;
        fixture.registry.set_lag(true);
        let evacuation = Entry::Evacuation("a".into());
        fixture.registry.put(Family::Evacuations, "a", evacuation);
        let daemon = fixture.ready_daemon().await;
        assert_eq!(fixture.call(&daemon, "safe").await.status, 503);
        let mut without_key = deployment(2);
        without_key.workspaces.as_mut().expect("workspaces")[0].keys = vec!["k2".into()];
        fixture.deploy(without_key);
        let restarted = fixture.start_daemon("v2", 2).await;
        fixture.wait_until_ready(&restarted).await;
        assert_eq!(fixture.call(&restarted, "safe").await.status, 401);
    });
}

/// Guards against a first list that counts as a change. The store reader would report the revision of its list, and a VM that
/// listed an older state would read the latest state again, although nothing has changed.
#[test]
fn a_first_list_is_not_reported_as_a_change() {
    // One of the two VMs is the store reader. In one of the orders, it lists the later state.
    for vms in [["v1", "v2"], ["v2", "v1"]] {
        run_test(async |fixture| {
            fixture.deploy(deployment(1));
            fixture.start_target("t1", TargetBehavior::Answer).await;
            let mut daemons = Vec::new();
            for vm in vms {
                let daemon = fixture.start_daemon(vm, 1).await;
                fixture.wait_until_ready(&daemon).await;
                daemons.push(daemon);
                // A change of another family raises the revision of the store.
                fixture.start_target("t2", TargetBehavior::Answer).await;
            }
            let latest_watches = || {
                let watches = fixture.registry.watches(Family::Deployment);
                watches.iter().filter(|f| **f == Freshness::Latest).count()
            };
            wait_until("a VM is the store reader", async || latest_watches() > 0).await;
            // The other VM would read the state again within a heartbeat period and the time that a report allows.
            Timer::after(Duration::from_millis(2500)).await;
            assert_eq!(fixture.registry.catch_ups(Family::Deployment), 0, "{vms:?}");
            // Each VM has listed the deployment once, when it started.
            let lists = fixture.registry.lists(Family::Deployment);
            assert_eq!(lists, [Freshness::Latest; 2], "{vms:?}");
        });
    }
}

/// Guards against reads of the latest state by VMs that already know each change of the family. Changes of other families raise
/// the revision of the store at any time, also between a change and the response to the store reader, while the response to
/// another VM may come from a state that ends with the change.
#[test]
fn a_change_of_another_family_causes_no_read_of_the_latest_state() {
    run_test(async |fixture| {
        fixture.deploy(deployment(1));
        fixture.start_target("t1", TargetBehavior::Answer).await;
        let _daemons = fixture.two_ready_daemons().await;
        wait_until_one_vm_reads(&fixture).await;
        fixture.start_target("t2", TargetBehavior::Answer).await;
        fixture.registry.set_lag(true);
        fixture.registry.put(
            Family::Evacuations,
            "other",
            Entry::Evacuation("other".into()),
        );
        // A VM would read the state again within a heartbeat period and the time that a report allows.
        Timer::after(Duration::from_millis(2500)).await;
        assert_eq!(fixture.registry.catch_ups(Family::Targets), 0);
    });
}

/// Waits until one of two VMs watches the latest state, again and again, and the other one a recent state.
async fn wait_until_one_vm_reads(fixture: &Fixture) {
    wait_until(
        "one VM watches the latest state, the other VM a recent state",
        async || {
            // Ignores the first two watches: at startup, no VM knows of the other VM.
            let watches = fixture.registry.watches(Family::Targets).split_off(2);
            let recent = watches.iter().filter(|f| **f == Freshness::Recent).count();
            recent > 0 && watches.len() > recent
        },
    )
    .await;
}

/// Starts two VMs, lets a target leave while the recent state of the store lags, and checks that both VMs learn of it in time.
/// One VM learns of the change from the store reader, the VM of its failure domain that watches the latest state.
fn check_that_a_lagging_state_does_not_hide(leave: impl Fn(&Fixture, &Target)) {
    run_test(async |fixture| {
        fixture.deploy(deployment(1));
        let target = fixture.start_target("t1", TargetBehavior::Answer).await;
        let daemons = fixture.two_ready_daemons().await;
        wait_until_one_vm_reads(&fixture).await;
        fixture.registry.set_lag(true);
        leave(&fixture, &target);
        let deadline = Instant::now() + settings("v1", &[]).max_drain_delay.duration();
        for daemon in &daemons {
            fixture.wait_until_no_target(daemon).await;
        }
        assert!(Instant::now() < deadline, "a request was sent too late");
    });
}

/// Guards against a VM that watches a lagging state and sends requests to a draining target for too long.
#[test]
fn a_lagging_state_does_not_hide_a_draining_target() {
    check_that_a_lagging_state_does_not_hide(|fixture, target| {
        fixture.register_target("t1", target.address, TargetState::Draining);
    });
}

/// Guards against a VM that watches a lagging state and sends requests to a target whose entry was removed.
#[test]
fn a_lagging_state_does_not_hide_the_removal_of_a_target() {
    check_that_a_lagging_state_does_not_hide(|fixture, _| {
        fixture.registry.remove(Family::Targets, "t1");
    });
}

/// Guards against replacing the deployment with an older version, and against using an invalid deployment.
#[test]
fn an_older_or_invalid_deployment_is_ignored() {
    run_test(async |fixture| {
        fixture.deploy(deployment(5));
        fixture.start_target("t1", TargetBehavior::Answer).await;
        let daemon = fixture.ready_daemon().await;
        let mut older = deployment(4);
        older.routes.clear();
        fixture.deploy(older);
        let mut invalid = deployment(6);
        invalid.routes[0].attempts = 0;
        fixture.deploy(invalid);
        let mut newer = deployment(7);
        newer.routes.remove(1);
        fixture.deploy(newer);
        wait_until("the newest deployment is in use", async || {
            let status = fixture.call(&daemon, "unsafe").await.status;
            assert_eq!(fixture.call(&daemon, "safe").await.status, 200);
            status == 404
        })
        .await;
    });
}

/// Guards against limits of an older deployment that are in use although the deployment itself is ignored.
#[test]
fn the_limits_of_an_older_deployment_are_ignored() {
    run_test(async |fixture| {
        fixture.deploy(deployment(5));
        let target = Target::start(&fixture.executor, TargetBehavior::Answer).await;
        let daemon = fixture.ready_daemon().await;
        let watches = || fixture.registry.watches(Family::Deployment).len();
        let watches_before = watches();
        let mut older = deployment(4);
        older.services[0].cold_rate = 0;
        fixture.deploy(older);
        wait_until("the older deployment is read", async || {
            watches() > watches_before
        })
        .await;
        let cold_target = Registration {
            id: "t1".into(),
            incarnation: Incarnation(1),
            service: "s".into(),
            address: target.address,
            domain: "a".into(),
            slots: 4,
            state: TargetState::Ready,
            cold_left: Millis::from_secs(300),
        };
        fixture
            .registry
            .put(Family::Targets, "t1", Entry::Target(cold_target));
        wait_until("the cold target gets a request", async || {
            fixture.call(&daemon, "safe").await.status == 200
        })
        .await;
    });
}
