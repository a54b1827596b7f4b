//! Tests of the edge daemon with targets that say in their responses that they are leaving, or ask for a pause.

#[path = "edge/fixture.rs"]
mod fixture;

use std::time::{Duration, Instant};

use fixture::{Fixture, Target, TargetBehavior, deployment, run_test, wait_until};
use hyper::header::RETRY_AFTER;
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
/// failure or a refusal, on a connection that was used before.
#[test]
fn a_target_that_says_that_it_is_leaving_gets_no_further_requests() {
    for behavior in [
        TargetBehavior::Leave,
        TargetBehavior::FailAndLeave,
        TargetBehavior::ShedAndLeave,
    ] {
        run_test(async |fixture| {
            let (daemon, leaving) = fixture.daemon_with_target().await;
            assert_eq!(fixture.call(&daemon, "safe").await.status, 200);
            leaving.set_behavior(behavior);
            fixture.call(&daemon, "safe").await;
            assert_eq!(leaving.received().len(), 2, "{behavior:?}");
            let further = further_requests(&fixture, &daemon, &leaving).await;
            assert_eq!(further, 0, "{behavior:?}");
            fixture.start_target("t2", TargetBehavior::Answer).await;
            wait_until("the other target is used", async || {
                fixture.call(&daemon, "safe").await.status == 200
            })
            .await;
            assert_eq!(leaving.received().len(), 2, "{behavior:?}");
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

/// Guards against a leaving target that an operator does not find, in metrics or by name.
#[test]
fn operators_see_leaving_targets() {
    run_test(async |fixture| {
        fixture.deploy(deployment(1));
        fixture.start_target("t1", TargetBehavior::Leave).await;
        let daemon = fixture.ready_daemon().await;
        assert_eq!(fixture.call(&daemon, "safe").await.status, 200);
        let (_, metrics) = fixture.get(daemon.metrics_address(), "/metrics", "").await;
        assert!(metrics.contains("waxwing_edge_target_notices_total{kind=\"leaving\"} 1"));
        assert!(metrics.contains("waxwing_edge_targets_leaving 1"));
        let (status, notices) = fixture
            .get(daemon.metrics_address(), "/v1/notices", "")
            .await;
        let expected = r#"{"targets":[{"id":"t1","incarnation":1,"service":"s","why":["leaving"],"pause_ms":0,"entry":"ready"}]}"#;
        assert_eq!((status, notices.as_str()), (200, expected));
    });
}

/// Returns the value of a metric of a daemon.
async fn metric(fixture: &Fixture, daemon: &EdgeDaemon, name: &str) -> f64 {
    let (_, metrics) = fixture.get(daemon.metrics_address(), "/metrics", "").await;
    let mut lines = metrics.lines();
    let value = lines.find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    value.expect("a metric").parse().expect("a number")
}

/// Guards against requests in a pause, from callers and from retries, and against a target that gets none after it.
#[test]
fn a_target_gets_no_requests_in_its_pause() {
    run_test(async |fixture| {
        let (daemon, target) = fixture.daemon_with_target().await;
        target.set_behavior(TargetBehavior::ShedFor("0.8"));
        let started = Instant::now();
        assert_eq!(fixture.call(&daemon, "safe").await.status, 503);
        assert_eq!(target.received().len(), 1);
        target.set_behavior(TargetBehavior::Answer);
        wait_until("the target gets requests again", async || {
            fixture.call(&daemon, "safe").await.status == 200
        })
        .await;
        assert!(started.elapsed() >= Duration::from_millis(800));
        assert_eq!(target.received().len(), 2);
        assert!(
            metric(
                &fixture,
                &daemon,
                "waxwing_edge_refusals_total{reason=\"targets_paused\"}"
            )
            .await
                >= 1.0
        );
        let kind = "waxwing_edge_target_notices_total{kind=\"pause\"}";
        assert!((metric(&fixture, &daemon, kind).await - 1.0).abs() < 0.1);
    });
}

/// Guards against retries to targets in a pause, and against a refusal that lets callers come back within it: all targets
/// of the service ask for a pause.
#[test]
fn a_service_whose_targets_are_all_in_a_pause_gets_no_requests() {
    run_test(async |fixture| {
        fixture.deploy(deployment(1));
        let first = fixture
            .start_target("t1", TargetBehavior::ShedFor("20"))
            .await;
        let second = fixture
            .start_target("t2", TargetBehavior::ShedFor("40"))
            .await;
        let daemon = fixture.ready_daemon().await;
        wait_until("both targets ask for a pause", async || {
            fixture.call(&daemon, "unsafe").await;
            metric(&fixture, &daemon, "waxwing_edge_targets_paused").await > 1.5
        })
        .await;
        let received = [first.received().len(), second.received().len()];
        assert_eq!(received, [1, 1]);
        for _ in 0..FURTHER_CALLS {
            let response = fixture.call(&daemon, "unsafe").await;
            assert_eq!(response.status, 503);
            let wait = response.headers.get(RETRY_AFTER).expect("a time");
            let secs: u64 = wait.to_str().expect("text").parse().expect("a number");
            // The tests have a minute, of which the pause of the first target may have used a part.
            assert!((1..=30).contains(&secs), "{secs}");
        }
        let received = [first.received().len(), second.received().len()];
        assert_eq!(received, [1, 1]);
    });
}

/// Guards against a rejection without the statement that the request was not run, after which an unsafe request is sent
/// again, or which asks for a pause in vain.
#[test]
fn a_pause_is_no_promise_that_the_request_was_not_run() {
    run_test(async |fixture| {
        let (daemon, rejecting) = fixture.daemon_with_target().await;
        rejecting.set_behavior(TargetBehavior::RejectFor("30"));
        let response = fixture.call(&daemon, "unsafe").await;
        // To the caller, 503 and a time to come back would be such a statement.
        assert_eq!((response.status, response.body.as_deref()), (502, Some("")));
        assert_eq!(response.headers.get(RETRY_AFTER), None);
        let answering = fixture.start_target("t2", TargetBehavior::Answer).await;
        call_until_received(&fixture, &daemon, &answering).await;
        assert_eq!(further_requests(&fixture, &daemon, &rejecting).await, 0);
        assert_eq!(rejecting.received().len(), 1);
    });
}

/// Guards against a value of `Retry-After` that ends the process or keeps a target out of use without being a time.
#[test]
fn unusable_values_ask_for_no_pause() {
    const VALUES: [&str; 7] = [
        "",
        "-1",
        "inf",
        "NaN",
        "1e3",
        "soon",
        "Wed, 21 Oct 2026 07:28:00 GMT",
    ];
    run_test(async |fixture| {
        let (daemon, target) = fixture.daemon_with_target().await;
        for value in VALUES {
            target.set_behavior(TargetBehavior::ShedFor(value));
            assert_eq!(fixture.call(&daemon, "safe").await.status, 503, "{value}");
            target.set_behavior(TargetBehavior::Answer);
            assert_eq!(fixture.call(&daemon, "safe").await.status, 200, "{value}");
        }
        let kind = "waxwing_edge_target_notices_total{kind=\"pause_unusable\"}";
        assert!((metric(&fixture, &daemon, kind).await - 7.0).abs() < 0.1);
        target.set_behavior(TargetBehavior::ShedFor("99999999999999999999999999"));
        assert_eq!(fixture.call(&daemon, "safe").await.status, 503);
        assert_eq!(further_requests(&fixture, &daemon, &target).await, 0);
        let kind = "waxwing_edge_target_notices_total{kind=\"pause_cut\"}";
        assert!((metric(&fixture, &daemon, kind).await - 1.0).abs() < 0.1);
    });
}
