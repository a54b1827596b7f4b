//! How the edge daemon forwards requests of callers to targets.

#[path = "edge/fixture.rs"]
mod fixture;

use fixture::{API_KEY, TargetBehavior, deployment, request, run_test, wait_until};
use futures_lite::future;
use hyper::header::RETRY_AFTER;
use waxwing_http::full;
use waxwing_records::TargetState;
use waxwing_store::{Entry, Family};

/// Guards against passing the caller's API key or its own workspace header to a target, and against requests
/// that do not tell a target its id or the remaining time of the caller.
#[test]
fn a_target_sees_the_workspace_and_not_the_key() {
    run_test(async |fixture| {
        fixture.deploy(deployment(1));
        let target = fixture.start_target("t1", TargetBehavior::Answer).await;
        let daemon = fixture.ready_daemon().await;
        let call = request("safe")
            .header("authorization", format!("Bearer {API_KEY}"))
            .header("x-workspace", "other")
            .body(full("body"));
        let response = fixture
            .send(daemon.caller_address(), call.expect("a request"))
            .await;
        assert_eq!(
            (response.status, response.body.as_deref()),
            (200, Some("answer"))
        );
        let requests = target.received();
        let value = |name| requests[0].headers.get(name).and_then(|v| v.to_str().ok());
        assert_eq!(value("authorization"), None);
        assert_eq!(value("x-workspace"), Some("w"));
        assert_eq!(value("x-target"), Some("t1"));
        let timeout: u64 = value("request-timeout-ms")
            .expect("a deadline")
            .parse()
            .expect("a number");
        assert!(timeout <= 1000, "{timeout}");
    });
}

/// Guards against a 404 response before the deployment is known, and against serving requests with an unknown
/// API key.
#[test]
fn a_daemon_without_a_deployment_answers_503() {
    run_test(async |fixture| {
        let daemon = fixture.start_daemon("v1", 1).await;
        let response = fixture.call(&daemon, "safe").await;
        assert_eq!(response.status, 503);
        assert!(response.headers.contains_key(RETRY_AFTER));
        fixture.deploy(deployment(1));
        fixture.wait_until_ready(&daemon).await;
        assert_eq!(fixture.call(&daemon, "unknown").await.status, 404);
        let call = request("safe").header("authorization", "Bearer other");
        let call = call.body(full("")).expect("a request");
        assert_eq!(
            fixture.send(daemon.caller_address(), call).await.status,
            401
        );
    });
}

/// Guards against refusing a request that one target did not run although another one would run it.
#[test]
fn a_request_that_was_not_run_goes_to_another_target() {
    run_test(async |fixture| {
        fixture.deploy(deployment(1));
        let shedding = fixture.start_target("t1", TargetBehavior::Shed).await;
        let answering = fixture.start_target("t2", TargetBehavior::Answer).await;
        let daemon = fixture.ready_daemon().await;
        for _ in 0..8 {
            assert_eq!(fixture.call(&daemon, "unsafe").await.status, 200);
        }
        assert_eq!(answering.received().len(), 8);
        assert!(shedding.received().len() <= 8);
    });
}

/// Guards against running an unsafe request twice after its response was lost, and against a status that
/// states that it has not run.
#[test]
fn an_unsafe_request_without_a_response_is_not_retried() {
    run_test(async |fixture| {
        fixture.deploy(deployment(1));
        let first = fixture
            .start_target("t1", TargetBehavior::BreakConnection)
            .await;
        let second = fixture
            .start_target("t2", TargetBehavior::BreakConnection)
            .await;
        let daemon = fixture.ready_daemon().await;
        assert_eq!(fixture.call(&daemon, "unsafe").await.status, 502);
        assert_eq!(first.received().len() + second.received().len(), 1);
    });
}

/// Guards against returning the failure of one target for an idempotent request that may be retried.
#[test]
fn a_safe_request_is_retried_after_a_failure() {
    run_test(async |fixture| {
        fixture.deploy(deployment(1));
        fixture.start_target("t1", TargetBehavior::Fail).await;
        let answering = fixture.start_target("t2", TargetBehavior::Answer).await;
        let daemon = fixture.ready_daemon().await;
        for _ in 0..4 {
            assert_eq!(fixture.call(&daemon, "safe").await.status, 200);
        }
        assert_eq!(answering.received().len(), 4);
    });
}

/// Guards against returning a response that has the request id of another request.
#[test]
fn a_response_to_another_request_is_not_returned() {
    run_test(async |fixture| {
        fixture.deploy(deployment(1));
        fixture
            .start_target("t1", TargetBehavior::WrongRequestId)
            .await;
        let daemon = fixture.ready_daemon().await;
        let response = fixture.call(&daemon, "unsafe").await;
        assert_eq!(response.status, 502);
        assert_eq!(response.body.as_deref(), Some(""));
    });
}

/// Guards against holding a request beyond the timeout of its route, and against a status that states that
/// the request has not run.
#[test]
fn a_request_is_answered_at_the_timeout_of_its_route() {
    run_test(async |fixture| {
        fixture.deploy(deployment(1));
        fixture.start_target("t1", TargetBehavior::Hang).await;
        let daemon = fixture.ready_daemon().await;
        assert_eq!(fixture.call(&daemon, "safe").await.status, 504);
    });
}

/// Guards against a target that keeps working on a request whose caller has disconnected.
#[test]
fn a_caller_that_disconnects_frees_its_slot() {
    run_test(async |fixture| {
        fixture.deploy(deployment(1));
        let target = fixture.start_target("t1", TargetBehavior::Hang).await;
        let daemon = fixture.ready_daemon().await;
        let call = async {
            fixture.call(&daemon, "safe").await;
        };
        let disconnect = async {
            wait_until("the target runs it", async || {
                target.running_requests() == 1
            })
            .await;
        };
        future::or(call, disconnect).await;
        wait_until("the request at the target is cancelled", async || {
            target.running_requests() == 0
        })
        .await;
    });
}

/// Guards against sending requests to a draining target, and to targets of an evacuated failure domain.
#[test]
fn draining_and_evacuated_targets_get_no_requests() {
    run_test(async |fixture| {
        fixture.deploy(deployment(1));
        let draining = fixture.start_target("t1", TargetBehavior::Answer).await;
        let daemon = fixture.ready_daemon().await;
        assert_eq!(fixture.call(&daemon, "safe").await.status, 200);
        fixture.register_target("t1", draining.address, TargetState::Draining);
        wait_until("the draining target gets no requests", async || {
            fixture.call(&daemon, "safe").await.status == 503
        })
        .await;
        fixture.register_target("t1", draining.address, TargetState::Ready);
        wait_until("the target gets requests again", async || {
            fixture.call(&daemon, "safe").await.status == 200
        })
        .await;
        fixture
            .registry
            .put(Family::Evacuations, "a", Entry::Evacuation("a".into()));
        wait_until("the evacuated domain gets no requests", async || {
            fixture.call(&daemon, "safe").await.status == 503
        })
        .await;
    });
}

/// Guards against a stop that aborts running requests, and against a directory that lists a stopping VM.
#[test]
fn a_stopping_daemon_leaves_the_directory_and_finishes_requests() {
    run_test(async |fixture| {
        fixture.deploy(deployment(1));
        let target = fixture
            .start_target("t1", TargetBehavior::AnswerAfterMs(700))
            .await;
        let daemon = fixture.ready_daemon().await;
        let other = fixture.start_daemon("v2", 1).await;
        fixture.wait_until_ready(&other).await;
        let (directory, address) = (
            other.directory_address(),
            daemon.caller_address().to_string(),
        );
        wait_until("the VM is registered", async || {
            fixture.registry.contains(Family::Vms, "v1")
        })
        .await;
        let call = request("unsafe").header("authorization", format!("Bearer {API_KEY}"));
        let call = call.body(full("body")).expect("a request");
        let call = fixture.send(daemon.caller_address(), call);
        let mut call = std::pin::pin!(call);
        let running = wait_until("the target runs it", async || {
            target.running_requests() == 1
        });
        let answered = async {
            call.as_mut().await;
        };
        future::or(answered, running).await;
        let stopping = fixture.executor.spawn(daemon.stop());
        assert_eq!(call.await.status, 200);
        assert!(stopping.await, "a request was aborted");
        assert!(!fixture.registry.contains(Family::Vms, "v1"));
        let (status, entries) = fixture.get(directory, "/v1/entries?domain=a", "").await;
        assert_eq!(status, 200);
        assert!(!entries.contains(&address), "{entries}");
    });
}

/// Guards against forwarding a body that exceeds the limit of the deployment.
#[test]
fn a_body_beyond_the_limit_is_refused() {
    run_test(async |fixture| {
        fixture.deploy(deployment(1));
        let target = fixture.start_target("t1", TargetBehavior::Answer).await;
        let daemon = fixture.ready_daemon().await;
        let call = request("safe").header("authorization", format!("Bearer {API_KEY}"));
        let call = call.body(full(vec![0; 2000])).expect("a request");
        assert_eq!(
            fixture.send(daemon.caller_address(), call).await.status,
            413
        );
        assert!(target.received().is_empty());
    });
}

/// Guards against refusals that no metric counts, and against response times without a route label.
#[test]
fn metrics_count_refusals_and_responses_by_route() {
    run_test(async |fixture| {
        fixture.deploy(deployment(1));
        fixture.start_target("t1", TargetBehavior::Answer).await;
        let daemon = fixture.ready_daemon().await;
        assert_eq!(fixture.call(&daemon, "safe").await.status, 200);
        assert_eq!(fixture.call(&daemon, "unknown").await.status, 404);
        let (status, text) = fixture.get(daemon.metrics_address(), "/metrics", "").await;
        assert_eq!(status, 200);
        let has = |line: &str| text.lines().any(|l| l == line);
        assert!(
            has("waxwing_edge_refusals_total{reason=\"route_unknown\"} 1"),
            "{text}"
        );
        assert!(has("waxwing_edge_refusals_total{reason=\"queue_full\"} 0"));
        let answers = "waxwing_edge_answer_seconds_count{route=\"safe\",outcome=\"answered\"} 1";
        assert!(has(answers), "{text}");
        assert!(has("waxwing_edge_ready 1"));
    });
}
