//! Tests of the edge daemon with targets that say in their responses that they are leaving.

#[path = "edge/fixture.rs"]
mod fixture;

use fixture::{Fixture, Target, TargetBehavior, deployment, run_test, wait_until};
use waxwing_records::TargetState;
use waxwing_store::Family;
use waxwingrail::edge::EdgeDaemon;

/// Requests that are sent to show that a target gets none of them.
const FURTHER_CALLS: usize = 20;

/// Calls until a target has received its first request.
async fn call_until_received(fixture: &Fixture, daemon: &EdgeDaemon, target: &Target) {
    wait_until("the target receives a request", async || {
        fixture.call(daemon, "safe").await;
        !target.received().is_empty()
    })
    .await;
}

/// Sends [`FURTHER_CALLS`] requests and returns how many of them a target received.
async fn further_requests(fixture: &Fixture, daemon: &EdgeDaemon, target: &Target) -> usize {
    let before = target.received().len();
    for _ in 0..FURTHER_CALLS {
        fixture.call(daemon, "safe").await;
    }
    target.received().len() - before
}

/// Registers another target and waits until it is used, so that earlier changes of the registry are applied.
async fn wait_until_applied(fixture: &Fixture, daemon: &EdgeDaemon, id: &str) {
    let later = fixture.start_target(id, TargetBehavior::Answer).await;
    call_until_received(fixture, daemon, &later).await;
}

/// Guards against requests to a target after it has said that it is leaving, while its entry says ready: in a success, a
/// failure or a refusal.
#[test]
fn a_target_that_says_that_it_is_leaving_gets_no_further_requests() {
    for behavior in [
        TargetBehavior::Leave,
        TargetBehavior::FailAndLeave,
        TargetBehavior::ShedAndLeave,
    ] {
        run_test(async |fixture| {
            let (daemon, leaving) = fixture.daemon_with_target().await;
            leaving.set_behavior(behavior);
            fixture.call(&daemon, "safe").await;
            assert_eq!(leaving.received().len(), 1, "{behavior:?}");
            let further = further_requests(&fixture, &daemon, &leaving).await;
            assert_eq!(further, 0, "{behavior:?}");
            fixture.start_target("t2", TargetBehavior::Answer).await;
            wait_until("the other target is used", async || {
                fixture.call(&daemon, "safe").await.status == 200
            })
            .await;
            assert_eq!(leaving.received().len(), 1, "{behavior:?}");
        });
    }
}

/// Guards against a registry that brings a leaving target back: its entry is written again, or removed and listed again. A
/// later process under the same id and address is a new target.
#[test]
fn the_registry_does_not_bring_a_leaving_target_back() {
    run_test(async |fixture| {
        let (daemon, leaving) = fixture.daemon_with_target().await;
        leaving.set_behavior(TargetBehavior::Leave);
        fixture.call(&daemon, "safe").await;
        fixture.register_target("t1", leaving.address, TargetState::Ready);
        wait_until_applied(&fixture, &daemon, "t2").await;
        fixture.registry.remove(Family::Targets, "t1");
        wait_until_applied(&fixture, &daemon, "t3").await;
        fixture.register_target("t1", leaving.address, TargetState::Ready);
        wait_until_applied(&fixture, &daemon, "t4").await;
        let further = further_requests(&fixture, &daemon, &leaving).await;
        assert_eq!((further, leaving.received().len()), (0, 1));
        leaving.set_behavior(TargetBehavior::Answer);
        fixture.register_process("t1", 2, leaving.address, TargetState::Ready);
        for id in ["t2", "t3", "t4"] {
            fixture.registry.remove(Family::Targets, id);
        }
        wait_until("the later process gets requests", async || {
            fixture.call(&daemon, "safe").await;
            leaving.received().len() > 1
        })
        .await;
    });
}

/// Guards against a notice in a response that isn't the target's response to the request: a late response to another
/// request, and one of another process at the target's address.
#[test]
fn a_notice_of_another_response_does_not_count() {
    run_test(async |fixture| {
        let (daemon, target) = fixture.daemon_with_target().await;
        target.set_behavior(TargetBehavior::WrongRequestIdAndLeaving);
        assert_eq!(fixture.call(&daemon, "unsafe").await.status, 502);
        target.set_behavior(TargetBehavior::Answer);
        assert_eq!(fixture.call(&daemon, "safe").await.status, 200);
        target.set_behavior(TargetBehavior::MisdirectedAndLeaving);
        assert_eq!(fixture.call(&daemon, "safe").await.status, 503);
        let (_, metrics) = fixture.get(daemon.metrics_address(), "/metrics", "").await;
        assert!(metrics.contains("waxwing_edge_target_notices_total{kind=\"leaving\"} 0"));
        assert!(metrics.contains("waxwing_edge_targets_leaving 0"));
    });
}

/// Guards against a leaving target that metrics do not show.
#[test]
fn metrics_show_leaving_targets() {
    run_test(async |fixture| {
        fixture.deploy(deployment(1));
        fixture.start_target("t1", TargetBehavior::Leave).await;
        let daemon = fixture.ready_daemon().await;
        assert_eq!(fixture.call(&daemon, "safe").await.status, 200);
        let (_, metrics) = fixture.get(daemon.metrics_address(), "/metrics", "").await;
        assert!(metrics.contains("waxwing_edge_target_notices_total{kind=\"leaving\"} 1"));
        assert!(metrics.contains("waxwing_edge_targets_leaving 1"));
    });
}
