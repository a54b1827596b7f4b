//! How the edge daemon follows the registry, also through outages and with a lagging state.

#[path = "edge/fixture.rs"]
mod fixture;

use std::time::{Duration, Instant};

use async_io::Timer;
use fixture::{TargetBehavior, deployment, run_test, settings, wait_until};
use waxwing_records::TargetState;
use waxwing_store::{Entry, Family, Freshness};

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
        // The platform gives targets two seconds to restore their entries. On a busy machine, a call may
        // return only after that time, and may then fail.
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

/// Guards against a target that keeps getting requests because it was removed soon after a store outage.
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

/// Guards against keeping a target that was removed in the part of the history that the store has dropped.
#[test]
fn a_family_is_listed_again_when_the_history_is_gone() {
    run_test(async |fixture| {
        let (daemon, _target) = fixture.daemon_with_target().await;
        fixture.registry.expire(Family::Targets, "t1");
        fixture.register_target(
            "t2",
            "127.0.0.1:1".parse().expect("an address"),
            TargetState::Draining,
        );
        fixture.registry.forget();
        fixture.wait_until_no_target(&daemon).await;
    });
}

/// Guards against a list of an older state that restores entries whose removal a running process has seen.
#[test]
fn only_a_new_process_lists_an_older_state() {
    run_test(async |fixture| {
        let _daemon_and_target = fixture.daemon_with_target().await;
        assert_eq!(fixture.registry.lists(Family::Targets), [Freshness::Recent]);
        fixture.registry.remove(Family::Targets, "t1");
        fixture.registry.forget();
        wait_until("the targets are listed again", async || {
            fixture.registry.lists(Family::Targets).len() > 1
        })
        .await;
        let lists = fixture.registry.lists(Family::Targets);
        assert!(lists[1..].iter().all(|f| *f == Freshness::Latest));
    });
}

/// Guards against a VM that watches a lagging state of the store and sends requests to a draining target for
/// too long, although the reader of its failure domain knows that the target drains.
#[test]
fn a_lagging_state_does_not_hide_a_draining_target() {
    run_test(async |fixture| {
        fixture.deploy(deployment(1));
        let draining = fixture.start_target("t1", TargetBehavior::Answer).await;
        let daemons = [
            fixture.start_daemon("v1", 1).await,
            fixture.start_daemon("v2", 1).await,
        ];
        for daemon in &daemons {
            fixture.wait_until_ready(daemon).await;
        }
        // The first watches do not count: at startup, neither VM knows of the other.
        wait_until(
            "one VM watches the latest state, the other a recent one",
            async || {
                let mut watches = fixture.registry.watches(Family::Targets).split_off(2);
                watches.sort_unstable();
                watches == [Freshness::Latest, Freshness::Recent]
            },
        )
        .await;
        fixture.registry.set_lag(true);
        fixture.register_target("t1", draining.address, TargetState::Draining);
        let deadline = Instant::now() + settings("v1", &[]).max_drain_delay.duration();
        for daemon in &daemons {
            fixture.wait_until_no_target(daemon).await;
        }
        assert!(Instant::now() < deadline, "a request was sent too late");
    });
}

/// Guards against replacing the deployment with an older version, and against using an invalid one.
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
