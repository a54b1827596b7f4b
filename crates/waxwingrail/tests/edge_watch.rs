//! The edge daemon and the registry that it reads.

#[path = "edge/rig.rs"]
mod rig;

use std::time::{Duration, Instant};

use async_io::Timer;
use rig::{Manner, deployment, run, settings, until};
use waxwing_records::TargetState;
use waxwing_store::{Entry, Family, Freshness};

/// Guards against targets that are forgotten because their entries expired while the store was down.
#[test]
fn entries_that_expired_in_an_outage_have_time_to_come_back() {
    run(async |rig| {
        let (daemon, target) = rig.served().await;
        rig.registry.set_down(true);
        rig.registry.expire(Family::Targets, "t1");
        Timer::after(Duration::from_millis(300)).await;
        assert_eq!(rig.call(&daemon, "safe").await.status, 200);
        let back = Instant::now();
        rig.registry.set_down(false);
        // The platform gives entries two seconds; a busy machine may take longer for a call.
        while back.elapsed() < Duration::from_millis(1500) {
            let status = rig.call(&daemon, "safe").await.status;
            assert!(status == 200 || back.elapsed() > Duration::from_millis(1900));
            Timer::after(Duration::from_millis(20)).await;
        }
        rig.register("t1", target.address, TargetState::Ready);
        Timer::after(Duration::from_secs(2)).await;
        assert_eq!(rig.call(&daemon, "safe").await.status, 200);
    });
}

/// Guards against a target that goes on getting requests because it was removed soon after an outage.
#[test]
fn a_target_that_was_removed_after_an_outage_is_left_out() {
    run(async |rig| {
        let (daemon, _target) = rig.served().await;
        rig.registry.set_down(true);
        Timer::after(Duration::from_millis(300)).await;
        rig.registry.set_down(false);
        Timer::after(Duration::from_millis(1500)).await;
        rig.registry.remove(Family::Targets, "t1");
        rig.await_no_target(&daemon).await;
    });
}

/// Guards against a target that is used although its entry no longer names one.
#[test]
fn a_target_whose_entry_becomes_unreadable_is_left_out() {
    run(async |rig| {
        let (daemon, _target) = rig.served().await;
        let unreadable = Entry::Unreadable("no address".into());
        rig.registry.put(Family::Targets, "t1", unreadable);
        rig.await_no_target(&daemon).await;
    });
}

/// Guards against a target that left while the history was dropped.
#[test]
fn a_family_is_listed_again_when_the_history_is_gone() {
    run(async |rig| {
        let (daemon, _target) = rig.served().await;
        rig.registry.expire(Family::Targets, "t1");
        rig.register(
            "t2",
            "127.0.0.1:1".parse().expect("an address"),
            TargetState::Draining,
        );
        rig.registry.forget();
        rig.await_no_target(&daemon).await;
    });
}

/// Guards against an older state of the store that brings back what a running process knows to have left.
#[test]
fn only_a_new_process_starts_from_an_older_state() {
    run(async |rig| {
        let _served = rig.served().await;
        assert_eq!(rig.registry.lists(Family::Targets), [Freshness::Recent]);
        rig.registry.remove(Family::Targets, "t1");
        rig.registry.forget();
        until("the targets are listed again", async || {
            rig.registry.lists(Family::Targets).len() > 1
        })
        .await;
        let lists = rig.registry.lists(Family::Targets);
        assert!(lists[1..].iter().all(|f| *f == Freshness::Latest));
    });
}

/// Guards against a VM that watches an older state of the store and sends to a target beyond the time
/// that it has to leave, although another VM of the failure domain knows that it does.
#[test]
fn an_older_state_does_not_hide_a_target_that_leaves() {
    run(async |rig| {
        rig.deploy(deployment(1));
        let leaving = rig.target("t1", Manner::Well).await;
        let daemons = [rig.daemon("v1", 1).await, rig.daemon("v2", 1).await];
        for daemon in &daemons {
            rig.await_ready(daemon).await;
        }
        // At first neither knows that there is another one.
        until(
            "one reads the newest state, the other an older one",
            async || {
                let mut watches = rig.registry.watches(Family::Targets).split_off(2);
                watches.sort_unstable();
                watches == [Freshness::Latest, Freshness::Recent]
            },
        )
        .await;
        rig.registry.set_lag(true);
        rig.register("t1", leaving.address, TargetState::Draining);
        let bound = Instant::now() + settings("v1", &[]).drain_time.duration();
        for daemon in &daemons {
            rig.await_no_target(daemon).await;
        }
        assert!(Instant::now() < bound, "a request was sent too late");
    });
}

/// Guards against a deployment that goes back to an older version, and against a faulty one that is put
/// in force.
#[test]
fn a_deployment_never_goes_back() {
    run(async |rig| {
        rig.deploy(deployment(5));
        rig.target("t1", Manner::Well).await;
        let daemon = rig.ready().await;
        let mut older = deployment(4);
        older.routes.clear();
        rig.deploy(older);
        let mut faulty = deployment(6);
        faulty.routes[0].attempts = 0;
        rig.deploy(faulty);
        let mut newer = deployment(7);
        newer.routes.remove(1);
        rig.deploy(newer);
        until("the newest is in force", async || {
            let status = rig.call(&daemon, "unsafe").await.status;
            assert_eq!(rig.call(&daemon, "safe").await.status, 200);
            status == 404
        })
        .await;
    });
}
