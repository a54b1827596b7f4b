//! End-to-end tests of requests: validation, limits, idempotency keys, cancellation, look-ups.

mod common;

use std::time::{Duration, Instant};

use common::{TestEnv, add_headers, authed, problem, run_test, text_body};
use futures_lite::AsyncWriteExt;
use hyper::{Request, StatusCode};
use waxwing_http::{collect, empty};
use waxwing_testkit::{Control, RunEnd, Target, TargetSettings};
use waxwingrail::Daemon;

/// Starts a target and a daemon that accepts requests of workspace `acme`.
async fn start_daemon(env: &mut TestEnv) -> (Daemon, Target) {
    let target = env.start_target(TargetSettings::default()).await;
    env.put_default_records(&[("d1", &target)]).await;
    let daemon = env.ready_daemon("vm1", "d1", &[]).await;
    env.wait_until_admitting(&daemon).await;
    (daemon, target)
}

/// Guards against a target that gets the API key, hop-by-hop or forged headers, or a changed request.
#[test]
fn target_gets_the_request_without_key_and_private_headers() {
    run_test(|mut env| async move {
        let (daemon, target) = start_daemon(&mut env).await;
        let request = add_headers(
            authed("PUT", "/v1/svc/shop/items/7?x=1", text_body("hello")),
            &[
                ("connection", "keep-alive, x-private"),
                ("x-private", "1"),
                ("proxy-authorization", "secret"),
                ("x-workspace", "forged"),
                ("x-key-id", "forged"),
                ("x-kept", "yes"),
            ],
        );
        let response = env.send(daemon.addresses().callers, request).await;
        assert_eq!(response.status(), StatusCode::OK);
        let run = target.runs().runs.pop().unwrap();
        assert_eq!(
            (run.method.as_str(), run.path.as_str()),
            ("PUT", "/items/7?x=1")
        );
        assert_eq!(run.body_bytes, 5);
        assert_eq!(run.headers["x-workspace"], "acme");
        assert_eq!(run.headers["x-kept"], "yes");
        let text = format!("{:?}", run.headers);
        for hidden in ["secret", "authorization", "x-private", "forged", "x-key-id"] {
            assert!(!text.contains(hidden), "{hidden} in {text}");
        }
    });
}

/// Guards against an invalid request that panics, runs, or is refused without reason and counter.
#[test]
fn invalid_request_is_refused_with_a_reason() {
    run_test(|mut env| async move {
        let (daemon, target) = start_daemon(&mut env).await;
        env.put_service("private", &["other"], &[("d1", &target)])
            .await;
        let addr = daemon.addresses().callers;
        let get = |path: &str| authed("GET", path, empty());
        let keyless = |path: &str| Request::get(path).body(empty()).unwrap();
        let path = "/v1/svc/shop/x";
        let long_key = "k".repeat(300);
        let cases = [
            (keyless(path), 401, "key_missing"),
            (
                add_headers(keyless(path), &[("authorization", "Bearer nodot")]),
                401,
                "key_invalid",
            ),
            (
                add_headers(keyless(path), &[("authorization", "Bearer acme1.wrong")]),
                401,
                "key_invalid",
            ),
            (
                add_headers(keyless(path), &[("authorization", "Basic acme1.secret")]),
                401,
                "key_invalid",
            ),
            (
                add_headers(get(path), &[("authorization", "Bearer x.y")]),
                400,
                "bad_request",
            ),
            (get("/v1/svc/none/x"), 404, "service_unknown"),
            (get("/v1/svc/private/x"), 404, "service_unknown"),
            (get("/v1/other"), 404, "service_unknown"),
            (get("/v1/svc/shop/../private/x"), 400, "bad_request"),
            (get("/v1/svc/shop/%2e%2e/x"), 400, "bad_request"),
            (authed("DELETE", path, empty()), 404, "route_unknown"),
            (
                add_headers(get(path), &[("request-timeout-ms", "soon")]),
                400,
                "bad_request",
            ),
            (
                add_headers(get(path), &[("request-timeout-ms", "0")]),
                400,
                "bad_request",
            ),
            (
                add_headers(get(path), &[("request-timeout-ms", "-5")]),
                400,
                "bad_request",
            ),
            (
                add_headers(get(path), &[("idempotency-key", &long_key)]),
                400,
                "bad_request",
            ),
            (
                authed("POST", "/v1/svc/shop/once/x", empty()),
                400,
                "idempotency_key_missing",
            ),
            (
                add_headers(get(path), &[("x-long", &"y".repeat(20_000))]),
                431,
                "too_large",
            ),
        ];
        let runs_before = target.runs().total;
        for (request, status, reason) in cases {
            let name = format!("waxwing_refusals_total{{reason=\"{reason}\"}}");
            let before = env.metric(&daemon, &name).await;
            let case = format!("{} {}", request.method(), request.uri());
            let (actual_status, body) = problem(env.send(addr, request).await).await;
            assert_eq!(
                (actual_status.as_u16(), body["reason"].as_str()),
                (status, Some(reason)),
                "{case}"
            );
            assert_eq!(body["ran"], "no", "{case}");
            assert!(env.metric(&daemon, &name).await > before, "{case}: {name}");
        }
        assert_eq!(target.runs().total, runs_before);
    });
}

/// Guards against input that is not HTTP and that stops the daemon or is not counted as a refusal.
#[test]
fn malformed_http_is_counted() {
    run_test(|mut env| async move {
        let (daemon, _target) = start_daemon(&mut env).await;
        let name = "waxwing_refusals_total{reason=\"bad_request\"}";
        let count = env.metric(&daemon, name).await;
        let addr = daemon.addresses().callers;
        let mut stream = async_net::TcpStream::connect(addr).await.unwrap();
        stream.write_all(b"\x00\x01nonsense\r\n\r\n").await.unwrap();
        env.wait_until("counted", async || env.metric(&daemon, name).await > count)
            .await;
        env.wait_until_admitting(&daemon).await;
    });
}

/// Guards against a request that runs although its body, chunked or not, exceeds the limit.
#[test]
fn oversized_body_is_refused() {
    run_test(|mut env| async move {
        let target = env.start_target(TargetSettings::default()).await;
        env.put_default_records(&[("d1", &target)]).await;
        let daemon = env
            .ready_daemon("vm1", "d1", &["--max-body-bytes=100000"])
            .await;
        env.wait_until_admitting(&daemon).await;
        let addr = daemon.addresses().callers;
        let with_length = authed("PUT", "/v1/svc/shop/x", text_body(&"y".repeat(100_001)));
        let (status, body) = problem(env.send(addr, with_length).await).await;
        assert_eq!(status, StatusCode::PAYLOAD_TOO_LARGE);
        assert_eq!(
            (&body["reason"], &body["ran"]),
            (&"too_large".into(), &"no".into())
        );
        let frames = futures_lite::stream::iter((0..20).map(|_| {
            Ok::<_, waxwing_http::BodyError>(hyper::body::Frame::data("y".repeat(10_000).into()))
        }));
        let large = waxwing_http::streamed(http_body_util::StreamBody::new(frames));
        let response = env.send(addr, authed("PUT", "/v1/svc/shop/x", large)).await;
        let (status, body) = problem(response).await;
        assert_eq!(status, StatusCode::PAYLOAD_TOO_LARGE, "{body}");
        let put_ended_with = |end| {
            target
                .runs()
                .runs
                .iter()
                .any(|r| r.method == "PUT" && r.end == end)
        };
        assert!(!put_ended_with(RunEnd::Answered));
    });
}

/// Guards against a request that keeps running at the target after the caller disconnected.
#[test]
fn caller_disconnect_cancels_the_request_at_the_target() {
    run_test(|mut env| async move {
        let (daemon, target) = start_daemon(&mut env).await;
        let addr = daemon.addresses().callers;
        let client = env.client.clone();
        let request = authed("GET", "/v1/svc/shop/slow?latency_ms=15000", empty());
        let request_task = env
            .executor
            .spawn(async move { client.send(addr, request).await.map(drop) });
        let state = || {
            target
                .runs()
                .runs
                .pop()
                .map(|r| (r.path.contains("slow"), r.end))
        };
        env.wait_until("running", async || state() == Some((true, RunEnd::Running)))
            .await;
        drop(request_task);
        env.wait_until("request cancelled at the target", async || {
            state() == Some((true, RunEnd::Cancelled))
        })
        .await;
        env.wait_until("request finished in the daemon", async || {
            env.metric(&daemon, "waxwing_requests_running").await < 0.5
        })
        .await;
    });
}

/// Guards against a caller that waits for a slow target after its deadline.
#[test]
fn request_to_a_slow_target_ends_at_the_deadline() {
    run_test(|mut env| async move {
        let (daemon, _target) = start_daemon(&mut env).await;
        let request = add_headers(
            authed("GET", "/v1/svc/shop/slow?latency_ms=15000", empty()),
            &[("request-timeout-ms", "200")],
        );
        let started = Instant::now();
        let response = env.send(daemon.addresses().callers, request).await;
        assert_eq!(response.status(), StatusCode::GATEWAY_TIMEOUT);
        assert!(started.elapsed() < Duration::from_secs(10));
    });
}

/// Guards against a second run of a request that the caller repeats with its idempotency key.
#[test]
fn request_with_idempotency_key_runs_once() {
    run_test(|mut env| async move {
        let (daemon, target) = start_daemon(&mut env).await;
        let addr = daemon.addresses().callers;
        let create_invoice = || {
            let request = authed("POST", "/v1/svc/shop/once/invoice", text_body("body"));
            add_headers(request, &[("idempotency-key", "invoice-1")])
        };
        let first = env.send(addr, create_invoice()).await;
        assert_eq!(first.status(), StatusCode::OK);
        collect(first.into_body(), 1000).await.unwrap();
        env.wait_until("duplicate refused as answered", async || {
            let (status, body) = problem(env.send(addr, create_invoice()).await).await;
            assert_eq!(status, StatusCode::CONFLICT);
            body["reason"] == "duplicate_answered" && body["ran"] == "yes"
        })
        .await;
        let runs = target.runs().runs;
        assert_eq!(runs.iter().filter(|r| r.method == "POST").count(), 1);
    });
}

/// Guards against a request that runs although its idempotency record cannot be written, and
/// against a store outage that stops requests without an idempotency key.
#[test]
fn store_outage_refuses_only_requests_with_an_idempotency_key() {
    run_test(|mut env| async move {
        let (daemon, target) = start_daemon(&mut env).await;
        let addr = daemon.addresses().callers;
        env.store.control(Control {
            outage: Some(true),
            ..Control::default()
        });
        let request = authed("POST", "/v1/svc/shop/once/invoice", empty());
        let request = add_headers(request, &[("idempotency-key", "invoice-2")]);
        let (status, body) = problem(env.send(addr, request).await).await;
        assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(body["reason"], "claim_unavailable");
        assert_eq!(body["ran"], "no");
        assert!(target.runs().runs.iter().all(|r| r.method != "POST"));
        let without_record = env
            .send(addr, authed("GET", "/v1/svc/shop/x", empty()))
            .await;
        assert_eq!(without_record.status(), StatusCode::OK);
    });
}

/// Guards against a withdrawn key that stays valid on a connection that was open before.
#[test]
fn withdrawn_key_is_refused_on_an_open_connection() {
    run_test(|mut env| async move {
        let (daemon, _target) = start_daemon(&mut env).await;
        let addr = daemon.addresses().callers;
        env.withdraw_record("key", "acme1").await;
        let request_status = async || {
            let response = env
                .send(addr, authed("GET", "/v1/svc/shop/x", empty()))
                .await;
            let status = response.status();
            collect(response.into_body(), 1000).await.unwrap();
            status
        };
        env.wait_until("withdrawn key refused", async || {
            request_status().await == StatusCode::UNAUTHORIZED
        })
        .await;
        assert_eq!(request_status().await, StatusCode::UNAUTHORIZED);
    });
}

/// Guards against a workspace that exceeds its rate and burst limits.
#[test]
fn workspace_stays_within_its_rate_and_burst() {
    run_test(|mut env| async move {
        let (daemon, target) = start_daemon(&mut env).await;
        env.put_workspace("small", 5, "small1", "small1.secret")
            .await;
        let addr = daemon.addresses().callers;
        let send = async || {
            let request =
                Request::get("/v1/svc/shop/small").header("authorization", "Bearer small1.secret");
            let response = env.send(addr, request.body(empty()).unwrap()).await;
            let status = response.status();
            collect(response.into_body(), 1000).await.unwrap();
            status
        };
        env.wait_until("admitted", async || send().await == StatusCode::OK)
            .await;
        let started = Instant::now();
        let runs_before = target.runs().total;
        let mut limited = 0;
        for _ in 0..100 {
            limited += u32::from(send().await == StatusCode::TOO_MANY_REQUESTS);
        }
        let ran = target.runs().total - runs_before;
        let max_runs = 5 + 5 * started.elapsed().as_millis() / 1000 + 1;
        assert!(limited > 0, "no request was limited");
        assert!(u128::from(ran) <= max_runs, "{ran} ran, {max_runs} allowed");
    });
}

/// Guards against a reason whose counter is missing from the metrics until it first occurs.
#[test]
fn every_reason_has_a_counter_from_the_start() {
    run_test(|mut env| async move {
        let (daemon, _target) = start_daemon(&mut env).await;
        let metrics = env.text(daemon.addresses().admin, "/metrics").await;
        for reason in waxwing_types::RefusalReason::ALL {
            let metric = format!("waxwing_refusals_total{{reason=\"{reason}\"}}");
            assert!(metrics.contains(&metric), "{metric}");
        }
        for reason in waxwing_types::RetryReason::ALL {
            let metric = format!("waxwing_retries_total{{reason=\"{reason}\"}}");
            assert!(metrics.contains(&metric), "{metric}");
        }
    });
}

/// Guards against status and explain responses that differ from the state of the daemon.
#[test]
fn status_and_explain_show_the_state_of_the_daemon() {
    run_test(|mut env| async move {
        let (daemon, _target) = start_daemon(&mut env).await;
        let admin = daemon.addresses().admin;
        let body: serde_json::Value =
            serde_json::from_str(&env.text(admin, "/v1/status").await).unwrap();
        assert_eq!((&body["vm"], &body["shards"]), (&"vm1".into(), &8.into()));
        assert_eq!(body["ready"], true);
        let query = "/v1/explain?workspace=acme&service=shop&method=GET&path=%2Fopen%2F1";
        let explained: serde_json::Value =
            serde_json::from_str(&env.text(admin, query).await).unwrap();
        assert_eq!(explained["route"]["prefix"], "/open");
        assert_eq!(explained["refusal"], serde_json::Value::Null);
        assert_eq!(explained["targets"][0]["name"], "t0");
        let incomplete = env.get(admin, "/v1/explain?workspace=acme").await;
        assert_eq!(incomplete.status(), StatusCode::BAD_REQUEST);
    });
}

/// Guards against a look-up that omits this VM or accepts a malformed client address.
#[test]
fn lookup_returns_this_vm() {
    run_test(|mut env| async move {
        let (daemon, _target) = start_daemon(&mut env).await;
        let addr = daemon.addresses().callers;
        let query = "/v1/route?service=shop&client=127.0.0.1";
        let answer: serde_json::Value = serde_json::from_str(&env.text(addr, query).await).unwrap();
        assert_eq!(answer["vms"][0]["id"], "vm1");
        assert_eq!(answer["vms"][0]["address"], addr.to_string());
        let invalid = env.get(addr, "/v1/route?service=shop&client=nowhere").await;
        assert_eq!(problem(invalid).await.0, StatusCode::BAD_REQUEST);
    });
}
