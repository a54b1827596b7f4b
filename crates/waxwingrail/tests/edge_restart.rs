//! Tests of the edge daemon with targets that start again under their id, while the entry of the process before is the only
//! known one.

#[path = "edge/fixture.rs"]
mod fixture;
#[path = "edge/restarting_target.rs"]
mod restarting_target;
#[path = "edge/script.rs"]
mod script;
mod scripted;

use std::time::{Duration, Instant};

use async_io::Timer;
use fixture::{Fixture, deployment, run_test, wait_until};
use restarting_target::{Health, RestartingTarget};
use script::call_with_id;
use waxwing_records::TargetState;
use waxwingrail::edge::EdgeDaemon;

/// Requests that a cold target may get in one second: its rate of 10 times 1.5, and 5.
const COLD_LIMIT: usize = 20;
/// Cold time of a process that starts.
const COLD_TIME: Duration = Duration::from_secs(3);
/// VMs of a fleet in a test.
const VMS: usize = 6;

/// Starts a fleet of ready daemons and the target `t1`.
async fn start_fleet(fixture: &Fixture) -> (Vec<EdgeDaemon>, RestartingTarget) {
    fixture.deploy(deployment(1));
    let target = RestartingTarget::start(&fixture.executor).await;
    fixture.register_target("t1", target.address, TargetState::Ready);
    let mut fleet = Vec::new();
    for vm in 0..VMS {
        fleet.push(fixture.start_daemon(&format!("v{vm}"), 1).await);
    }
    for daemon in &fleet {
        fixture.wait_until_ready(daemon).await;
    }
    (fleet, target)
}

/// Sends a request to each VM, and returns how many were answered by a target.
async fn call_all(fixture: &Fixture, fleet: &[EdgeDaemon], round: usize) -> usize {
    let mut answered = 0;
    for (vm, daemon) in fleet.iter().enumerate() {
        let response = call_with_id(fixture, daemon, "safe", &format!("{round}-{vm}")).await;
        answered += usize::from(response.status == 200);
    }
    answered
}

/// Sends requests to all VMs for a time.
async fn load(fixture: &Fixture, fleet: &[EdgeDaemon], duration: Duration) {
    let end = Instant::now() + duration;
    let mut round = 0;
    while Instant::now() < end {
        call_all(fixture, fleet, round).await;
        Timer::after(Duration::from_millis(10)).await;
        round += 1;
    }
}

/// Starts the next process of a target, which is cold.
async fn restart_cold(target: &RestartingTarget) {
    let health = Health::ColdUntil(Instant::now() + COLD_TIME);
    target.restart(health).await;
}

/// Checks that the present process of a target got no more requests in any second than a cold one may get.
#[track_caller]
fn assert_not_flooded(target: &RestartingTarget) {
    let most = target.most_per_second();
    assert!(most <= COLD_LIMIT, "{most} requests in one second");
}

/// Guards against a fleet that takes a target that started again for the warm process of before.
#[test]
fn a_target_that_restarts_under_its_id_is_not_flooded() {
    run_test(async |fixture| {
        let (fleet, target) = start_fleet(&fixture).await;
        load(&fixture, &fleet, Duration::from_millis(500)).await;
        target.crash();
        load(&fixture, &fleet, Duration::from_millis(500)).await;

        restart_cold(&target).await;
        load(&fixture, &fleet, COLD_TIME / 2).await;

        assert_not_flooded(&target);
    });
}

/// Guards against VMs that know a target from what others hear of it: they have no connection that breaks when it ends, and nobody
/// sends to it in its outage.
#[test]
fn a_target_that_restarts_in_a_quiet_moment_is_not_flooded() {
    run_test(async |fixture| {
        let (fleet, target) = start_fleet(&fixture).await;
        load(&fixture, &fleet[..1], Duration::from_millis(2500)).await;
        target.crash();
        Timer::after(Duration::from_millis(1200)).await;

        restart_cold(&target).await;
        load(&fixture, &fleet, COLD_TIME / 2).await;

        assert_not_flooded(&target);
    });
}

/// Guards against VMs that are not told that a connection was refused, because the one that sends had found its idle connections
/// closed just before.
#[test]
fn a_target_that_restarts_soon_after_a_refused_connection_is_not_flooded() {
    run_test(async |fixture| {
        let (fleet, target) = start_fleet(&fixture).await;
        load(&fixture, &fleet[..1], Duration::from_millis(2500)).await;
        target.crash();
        load(&fixture, &fleet[..1], Duration::from_millis(300)).await;

        restart_cold(&target).await;
        load(&fixture, &fleet, COLD_TIME / 2).await;

        assert_not_flooded(&target);
    });
}

/// Guards against connections that a process left open when it ended without a word: they say nothing of the next one.
#[test]
fn a_target_that_restarts_after_it_went_dark_is_not_flooded() {
    run_test(async |fixture| {
        let (fleet, target) = start_fleet(&fixture).await;
        load(&fixture, &fleet, Duration::from_millis(500)).await;
        target.go_dark();
        // Longer than an answer shows that a process runs.
        Timer::after(Duration::from_millis(2100)).await;

        restart_cold(&target).await;
        load(&fixture, &fleet, COLD_TIME / 2).await;

        assert_not_flooded(&target);
    });
}

/// Guards against a target that stays without requests after its restart, because VMs wait for its entry, and against one that
/// stays at its cold rate for longer than it said.
#[test]
fn a_target_that_restarts_is_served_while_it_is_cold_and_in_full_after_that() {
    run_test(async |fixture| {
        let (fleet, target) = start_fleet(&fixture).await;
        // VMs send to cold targets when they have known each other for a while.
        load(&fixture, &fleet, Duration::from_secs(4)).await;
        target.crash();
        let until = Instant::now() + COLD_TIME;
        target.restart(Health::ColdUntil(until)).await;
        wait_until("a request arrives while the target is cold", async || {
            call_all(&fixture, &fleet, 0).await;
            !target.arrivals().is_empty()
        })
        .await;
        assert!(Instant::now() < until, "not served while cold");
        let cold_left = until.saturating_duration_since(Instant::now());
        load(
            &fixture,
            &fleet,
            cold_left.saturating_sub(Duration::from_millis(500)),
        )
        .await;
        assert_not_flooded(&target);

        wait_until("all VMs are served", async || {
            call_all(&fixture, &fleet, 1).await == VMS
        })
        .await;
        load(&fixture, &fleet, Duration::from_secs(1)).await;

        assert!(target.most_per_second() > COLD_LIMIT);
    });
}

/// Guards against a health check for each request: a connection that leads to a known process is used again, and what one VM
/// hears shows that others may open connections.
#[test]
fn few_health_checks_are_made_of_a_process_that_answers() {
    run_test(async |fixture| {
        let (fleet, target) = start_fleet(&fixture).await;
        load(&fixture, &fleet, Duration::from_secs(2)).await;

        let (checks, requests) = (target.health_checks(), target.arrivals().len());
        assert!(requests > 10 * VMS, "{requests} requests");
        assert!(
            checks <= VMS,
            "{checks} health checks for {requests} requests"
        );
    });
}

/// Guards against requests to another target that took the address of one that has ended.
#[test]
fn a_process_that_is_another_target_gets_no_requests() {
    run_test(async |fixture| {
        let (fleet, target) = start_fleet(&fixture).await;
        load(&fixture, &fleet, Duration::from_millis(500)).await;
        target.crash();

        target.restart(Health::OtherTarget).await;
        load(&fixture, &fleet, Duration::from_secs(1)).await;

        assert_eq!(target.arrivals().len(), 0);
    });
}

/// Guards against processes that are not healthy yet and get the requests of warm ones, and against silent ones that callers
/// wait for.
#[test]
fn a_process_that_does_not_say_whether_it_is_cold_is_not_flooded() {
    for health in [Health::Unhealthy, Health::Full, Health::Silent] {
        run_test(async |fixture| {
            let (fleet, target) = start_fleet(&fixture).await;
            load(&fixture, &fleet, Duration::from_millis(500)).await;
            target.crash();

            target.restart(health.clone()).await;
            load(&fixture, &fleet, Duration::from_secs(2)).await;

            let most = target.most_per_second();
            assert!(
                most <= COLD_LIMIT,
                "{health:?}: {most} requests in one second"
            );
        });
    }
}

/// Guards against VMs that have heard of the process of before a moment ago, and are not told that another VM found a cold one.
#[test]
fn all_vms_go_by_the_cold_process_that_one_vm_has_found() {
    run_test(async |fixture| {
        let (fleet, target) = start_fleet(&fixture).await;
        load(&fixture, &fleet[..1], Duration::from_millis(2500)).await;
        target.crash();
        restart_cold(&target).await;
        call_all(&fixture, &fleet[..1], 1).await;
        // Longer than alerts gather, and shorter than what was heard of the process of before counts.
        Timer::after(Duration::from_millis(100)).await;

        load(&fixture, &fleet, Duration::from_millis(500)).await;

        assert_not_flooded(&target);
    });
}
