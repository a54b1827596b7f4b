//! The edge daemon between callers and targets.

#[path = "edge/rig.rs"]
mod rig;

use futures_lite::future;
use hyper::header::RETRY_AFTER;
use rig::{KEY, Manner, deployment, request, run, until};
use waxwing_http::full;
use waxwing_records::TargetState;
use waxwing_store::{Entry, Family};

/// Guards against a key that a target sees, a workspace that the caller names itself, a target that
/// cannot tell whether it is meant, and a target that works longer than the caller waits.
#[test]
fn a_target_sees_the_workspace_and_not_the_key() {
    run(async |rig| {
        rig.deploy(deployment(1));
        let target = rig.target("t1", Manner::Well).await;
        let daemon = rig.ready().await;
        let call = request("safe")
            .header("authorization", format!("Bearer {KEY}"))
            .header("x-workspace", "other")
            .body(full("body"));
        let answer = rig.send(daemon.address(), call.expect("a request")).await;
        assert_eq!(
            (answer.status, answer.body.as_deref()),
            (200, Some("answer"))
        );
        let got = target.got();
        let value = |name| got[0].headers.get(name).and_then(|v| v.to_str().ok());
        assert_eq!(value("authorization"), None);
        assert_eq!(value("x-workspace"), Some("w"));
        assert_eq!(value("x-target"), Some("t1"));
        let left: u64 = value("request-timeout-ms")
            .expect("a deadline")
            .parse()
            .expect("a number");
        assert!(left <= 1000, "{left}");
    });
}

/// Guards against a daemon that answers 404 for routes that it does not know yet, and against one that
/// serves unknown keys.
#[test]
fn a_daemon_without_a_deployment_says_not_run() {
    run(async |rig| {
        let daemon = rig.daemon("v1", 1).await;
        let answer = rig.call(&daemon, "safe").await;
        assert_eq!(answer.status, 503);
        assert!(answer.headers.contains_key(RETRY_AFTER));
        rig.deploy(deployment(1));
        rig.await_ready(&daemon).await;
        assert_eq!(rig.call(&daemon, "unknown").await.status, 404);
        let call = request("safe").header("authorization", "Bearer other");
        let call = call.body(full("")).expect("a request");
        assert_eq!(rig.send(daemon.address(), call).await.status, 401);
    });
}

/// Guards against a request that is refused although another target would run it.
#[test]
fn a_request_that_was_not_run_goes_to_another_target() {
    run(async |rig| {
        rig.deploy(deployment(1));
        let shedding = rig.target("t1", Manner::Shedding).await;
        let well = rig.target("t2", Manner::Well).await;
        let daemon = rig.ready().await;
        for _ in 0..8 {
            assert_eq!(rig.call(&daemon, "unsafe").await.status, 200);
        }
        assert_eq!(well.got().len(), 8);
        assert!(shedding.got().len() <= 8);
    });
}

/// Guards against a request that runs twice because its answer was lost, and against a promise that it
/// has not run.
#[test]
fn an_unsafe_request_without_an_answer_is_not_sent_again() {
    run(async |rig| {
        rig.deploy(deployment(1));
        let one = rig.target("t1", Manner::Breaking).await;
        let two = rig.target("t2", Manner::Breaking).await;
        let daemon = rig.ready().await;
        assert_eq!(rig.call(&daemon, "unsafe").await.status, 502);
        assert_eq!(one.got().len() + two.got().len(), 1);
    });
}

/// Guards against an idempotent request that fails although it may be sent again.
#[test]
fn a_safe_request_is_sent_again_after_a_failure() {
    run(async |rig| {
        rig.deploy(deployment(1));
        rig.target("t1", Manner::Failing).await;
        let well = rig.target("t2", Manner::Well).await;
        let daemon = rig.ready().await;
        for _ in 0..4 {
            assert_eq!(rig.call(&daemon, "safe").await.status, 200);
        }
        assert_eq!(well.got().len(), 4);
    });
}

/// Guards against an answer that belongs to another request.
#[test]
fn an_answer_to_another_request_is_not_passed_on() {
    run(async |rig| {
        rig.deploy(deployment(1));
        rig.target("t1", Manner::OtherId).await;
        let daemon = rig.ready().await;
        let answer = rig.call(&daemon, "unsafe").await;
        assert_eq!(answer.status, 502);
        assert_eq!(answer.body.as_deref(), Some(""));
    });
}

/// Guards against a request that is held beyond the time-out of its route, and against a promise that it
/// has not run.
#[test]
fn a_request_is_answered_at_the_time_out_of_its_route() {
    run(async |rig| {
        rig.deploy(deployment(1));
        rig.target("t1", Manner::Never).await;
        let daemon = rig.ready().await;
        assert_eq!(rig.call(&daemon, "safe").await.status, 504);
    });
}

/// Guards against a target that works for a caller that has left.
#[test]
fn a_caller_that_leaves_frees_its_slot() {
    run(async |rig| {
        rig.deploy(deployment(1));
        let target = rig.target("t1", Manner::Never).await;
        let daemon = rig.ready().await;
        let call = async {
            rig.call(&daemon, "safe").await;
        };
        let leave = async {
            until("the target runs it", async || target.open() == 1).await;
        };
        future::or(call, leave).await;
        until("the slot is free", async || target.open() == 0).await;
    });
}

/// Guards against work for a target that leaves, and against a failure domain that gets work although it
/// is evacuated.
#[test]
fn leaving_and_evacuated_targets_get_no_request() {
    run(async |rig| {
        rig.deploy(deployment(1));
        let leaving = rig.target("t1", Manner::Well).await;
        let daemon = rig.ready().await;
        assert_eq!(rig.call(&daemon, "safe").await.status, 200);
        rig.register("t1", leaving.address, TargetState::Draining);
        until("the target is left out", async || {
            rig.call(&daemon, "safe").await.status == 503
        })
        .await;
        rig.register("t1", leaving.address, TargetState::Ready);
        until("the target is back", async || {
            rig.call(&daemon, "safe").await.status == 200
        })
        .await;
        rig.registry
            .put(Family::Evacuations, "a", Entry::Evacuation("a".into()));
        until("the domain is left out", async || {
            rig.call(&daemon, "safe").await.status == 503
        })
        .await;
    });
}

/// Guards against a stop that cuts requests, and against callers that are sent to a VM that stops.
#[test]
fn a_stop_leaves_the_directory_and_finishes_requests() {
    run(async |rig| {
        rig.deploy(deployment(1));
        let target = rig.target("t1", Manner::After(700)).await;
        let daemon = rig.ready().await;
        let other = rig.daemon("v2", 1).await;
        rig.await_ready(&other).await;
        let (directory, address) = (other.directory(), daemon.address().to_string());
        until("the VM is registered", async || {
            rig.registry.contains(Family::Vms, "v1")
        })
        .await;
        let call = request("unsafe").header("authorization", format!("Bearer {KEY}"));
        let call = call.body(full("body")).expect("a request");
        let call = rig.send(daemon.address(), call);
        let mut call = std::pin::pin!(call);
        let running = until("the target runs it", async || target.open() == 1);
        let answered = async {
            call.as_mut().await;
        };
        future::or(answered, running).await;
        let stopping = rig.executor.spawn(daemon.stop());
        assert_eq!(call.await.status, 200);
        assert!(stopping.await, "a request was cut");
        assert!(!rig.registry.contains(Family::Vms, "v1"));
        let (status, entries) = rig.get(directory, "/v1/entries?domain=a", "").await;
        assert_eq!(status, 200);
        assert!(!entries.contains(&address), "{entries}");
    });
}

/// Guards against a body beyond its limit that is passed on.
#[test]
fn a_body_beyond_the_limit_is_refused() {
    run(async |rig| {
        rig.deploy(deployment(1));
        let target = rig.target("t1", Manner::Well).await;
        let daemon = rig.ready().await;
        let call = request("safe").header("authorization", format!("Bearer {KEY}"));
        let call = call.body(full(vec![0; 2000])).expect("a request");
        assert_eq!(rig.send(daemon.address(), call).await.status, 413);
        assert!(target.got().is_empty());
    });
}

/// Guards against a refusal that nobody counts, and against answers whose times are not kept by route.
#[test]
fn metrics_count_refusals_and_answers_by_route() {
    run(async |rig| {
        rig.deploy(deployment(1));
        rig.target("t1", Manner::Well).await;
        let daemon = rig.ready().await;
        assert_eq!(rig.call(&daemon, "safe").await.status, 200);
        assert_eq!(rig.call(&daemon, "unknown").await.status, 404);
        let (status, text) = rig.get(daemon.metrics(), "/metrics", "").await;
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
