//! Requests end to end.

mod common;

use std::time::{Duration, Instant};

use common::{TestEnv, add_headers, authed, problem, run_test, text_body};
use futures_lite::AsyncWriteExt;
use hyper::{Request, StatusCode};
use waxwing_http::{collect, empty};
use waxwing_testkit::{Control, RunEnd, Target, TargetSettings};
use waxwingrail::Daemon;

async fn rigged(rig: &mut TestEnv) -> (Daemon, Target) {
    let target = rig.start_target(TargetSettings::default()).await;
    rig.put_base_records(&[("d1", &target)]).await;
    let daemon = rig.ready_daemon("vm1", "d1", &[]).await;
    rig.wait_until_admitted(&daemon).await;
    (daemon, target)
}

/// Guards against a target that sees the caller's key or the headers of the caller's connection, and
/// against a request that arrives changed.
#[test]
fn request_reaches_the_target_without_the_key() {
    run_test(|mut rig| async move {
        let (daemon, target) = rigged(&mut rig).await;
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
        let response = rig.send(daemon.addresses().callers, request).await;
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

/// Guards against bad input that panics, passes, or is refused without reason and counter.
#[test]
fn bad_input_is_refused_with_a_reason() {
    run_test(|mut rig| async move {
        let (daemon, target) = rigged(&mut rig).await;
        rig.put_service("private", &["other"], &[("d1", &target)])
            .await;
        let at = daemon.addresses().callers;
        let get = |path: &str| authed("GET", path, empty());
        let bare = |path: &str| Request::get(path).body(empty()).unwrap();
        let shop = "/v1/svc/shop/x";
        let long = "k".repeat(300);
        let cases = [
            (bare(shop), 401, "key_missing"),
            (
                add_headers(bare(shop), &[("authorization", "Bearer nodot")]),
                401,
                "key_invalid",
            ),
            (
                add_headers(bare(shop), &[("authorization", "Bearer acme1.wrong")]),
                401,
                "key_invalid",
            ),
            (
                add_headers(bare(shop), &[("authorization", "Basic acme1.secret")]),
                401,
                "key_invalid",
            ),
            (
                add_headers(get(shop), &[("authorization", "Bearer x.y")]),
                400,
                "bad_request",
            ),
            (get("/v1/svc/none/x"), 404, "service_unknown"),
            (get("/v1/svc/private/x"), 404, "service_unknown"),
            (get("/v1/other"), 404, "service_unknown"),
            (get("/v1/svc/shop/../private/x"), 400, "bad_request"),
            (get("/v1/svc/shop/%2e%2e/x"), 400, "bad_request"),
            (authed("DELETE", shop, empty()), 404, "route_unknown"),
            (
                add_headers(get(shop), &[("request-timeout-ms", "soon")]),
                400,
                "bad_request",
            ),
            (
                add_headers(get(shop), &[("request-timeout-ms", "0")]),
                400,
                "bad_request",
            ),
            (
                add_headers(get(shop), &[("request-timeout-ms", "-5")]),
                400,
                "bad_request",
            ),
            (
                add_headers(get(shop), &[("idempotency-key", &long)]),
                400,
                "bad_request",
            ),
            (
                authed("POST", "/v1/svc/shop/once/x", empty()),
                400,
                "idempotency_key_missing",
            ),
            (
                add_headers(get(shop), &[("x-long", &"y".repeat(20_000))]),
                431,
                "too_large",
            ),
        ];
        let before = target.runs().total;
        for (request, status, reason) in cases {
            let line = format!("waxwing_refusals_total{{reason=\"{reason}\"}}");
            let counted = rig.metric(&daemon, &line).await;
            let what = format!("{} {}", request.method(), request.uri());
            let (got, body) = problem(rig.send(at, request).await).await;
            assert_eq!(
                (got.as_u16(), body["reason"].as_str()),
                (status, Some(reason)),
                "{what}"
            );
            assert_eq!(body["ran"], "no", "{what}");
            assert!(rig.metric(&daemon, &line).await > counted, "{what}: {line}");
        }
        assert_eq!(target.runs().total, before);
    });
}

/// Guards against input that is not HTTP, and against a counter that misses it.
#[test]
fn malformed_http_is_counted() {
    run_test(|mut rig| async move {
        let (daemon, _target) = rigged(&mut rig).await;
        let line = "waxwing_refusals_total{reason=\"bad_request\"}";
        let before = rig.metric(&daemon, line).await;
        let at = daemon.addresses().callers;
        let mut stream = async_net::TcpStream::connect(at).await.unwrap();
        stream.write_all(b"\x00\x01nonsense\r\n\r\n").await.unwrap();
        rig.wait_until("counted", async || rig.metric(&daemon, line).await > before)
            .await;
        rig.wait_until_admitted(&daemon).await;
    });
}

/// Guards against a body that exceeds the limit and still runs, announced or not.
#[test]
fn oversized_body_is_refused() {
    run_test(|mut rig| async move {
        let target = rig.start_target(TargetSettings::default()).await;
        rig.put_base_records(&[("d1", &target)]).await;
        let daemon = rig
            .ready_daemon("vm1", "d1", &["--max-body-bytes=100000"])
            .await;
        rig.wait_until_admitted(&daemon).await;
        let at = daemon.addresses().callers;
        let announced = authed("PUT", "/v1/svc/shop/x", text_body(&"y".repeat(100_001)));
        let (status, body) = problem(rig.send(at, announced).await).await;
        assert_eq!(status, StatusCode::PAYLOAD_TOO_LARGE);
        assert_eq!(
            (&body["reason"], &body["ran"]),
            (&"too_large".into(), &"no".into())
        );
        let frames = futures_lite::stream::iter((0..20).map(|_| {
            Ok::<_, waxwing_http::BodyError>(hyper::body::Frame::data("y".repeat(10_000).into()))
        }));
        let chunked = waxwing_http::streamed(http_body_util::StreamBody::new(frames));
        let response = rig.send(at, authed("PUT", "/v1/svc/shop/x", chunked)).await;
        let (status, body) = problem(response).await;
        assert_eq!(status, StatusCode::PAYLOAD_TOO_LARGE, "{body}");
        let ended = |end| {
            target
                .runs()
                .runs
                .iter()
                .any(|r| r.method == "PUT" && r.end == end)
        };
        assert!(!ended(RunEnd::Answered));
    });
}

/// Guards against work that goes on at the target after its caller went away.
#[test]
fn cancellation_reaches_the_target() {
    run_test(|mut rig| async move {
        let (daemon, target) = rigged(&mut rig).await;
        let at = daemon.addresses().callers;
        let client = rig.client.clone();
        let request = authed("GET", "/v1/svc/shop/slow?latency_ms=15000", empty());
        let pending = rig
            .executor
            .spawn(async move { client.send(at, request).await.map(drop) });
        let end = || {
            target
                .runs()
                .runs
                .pop()
                .map(|r| (r.path.contains("slow"), r.end))
        };
        rig.wait_until("running", async || end() == Some((true, RunEnd::Running)))
            .await;
        drop(pending);
        rig.wait_until("cancelled", async || {
            end() == Some((true, RunEnd::Cancelled))
        })
        .await;
        rig.wait_until("forgotten", async || {
            rig.metric(&daemon, "waxwing_requests_running").await < 0.5
        })
        .await;
    });
}

/// Guards against a caller that waits past its deadline for a slow target.
#[test]
fn deadline_ends_the_wait() {
    run_test(|mut rig| async move {
        let (daemon, _target) = rigged(&mut rig).await;
        let request = add_headers(
            authed("GET", "/v1/svc/shop/slow?latency_ms=15000", empty()),
            &[("request-timeout-ms", "200")],
        );
        let begun = Instant::now();
        let response = rig.send(daemon.addresses().callers, request).await;
        assert_eq!(response.status(), StatusCode::GATEWAY_TIMEOUT);
        assert!(begun.elapsed() < Duration::from_secs(10));
    });
}

/// Guards against a second run of a request that is sent again with its idempotency key.
#[test]
fn idempotency_key_runs_once() {
    run_test(|mut rig| async move {
        let (daemon, target) = rigged(&mut rig).await;
        let at = daemon.addresses().callers;
        let confirm = || {
            let request = authed("POST", "/v1/svc/shop/once/invoice", text_body("body"));
            add_headers(request, &[("idempotency-key", "invoice-1")])
        };
        let first = rig.send(at, confirm()).await;
        assert_eq!(first.status(), StatusCode::OK);
        collect(first.into_body(), 1000).await.unwrap();
        rig.wait_until("answered", async || {
            let (status, body) = problem(rig.send(at, confirm()).await).await;
            assert_eq!(status, StatusCode::CONFLICT);
            body["reason"] == "duplicate_answered" && body["ran"] == "yes"
        })
        .await;
        let runs = target.runs().runs;
        assert_eq!(runs.iter().filter(|r| r.method == "POST").count(), 1);
    });
}

/// Guards against a confirmation that runs without its record, and against an outage of the store
/// that stops requests which need no record.
#[test]
fn store_outage_refuses_only_what_needs_a_record() {
    run_test(|mut rig| async move {
        let (daemon, target) = rigged(&mut rig).await;
        let at = daemon.addresses().callers;
        rig.store.control(Control {
            outage: Some(true),
            ..Control::default()
        });
        let request = authed("POST", "/v1/svc/shop/once/invoice", empty());
        let request = add_headers(request, &[("idempotency-key", "invoice-2")]);
        let (status, body) = problem(rig.send(at, request).await).await;
        assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(body["reason"], "claim_unavailable");
        assert_eq!(body["ran"], "no");
        assert!(target.runs().runs.iter().all(|r| r.method != "POST"));
        let plain = rig.send(at, authed("GET", "/v1/svc/shop/x", empty())).await;
        assert_eq!(plain.status(), StatusCode::OK);
    });
}

/// Guards against a key that works after its withdrawal on a connection that stays open.
#[test]
fn withdrawn_key_stops_on_an_open_connection() {
    run_test(|mut rig| async move {
        let (daemon, _target) = rigged(&mut rig).await;
        let at = daemon.addresses().callers;
        rig.withdraw_record("key", "acme1").await;
        let status = async || {
            let response = rig.send(at, authed("GET", "/v1/svc/shop/x", empty())).await;
            let status = response.status();
            collect(response.into_body(), 1000).await.unwrap();
            status
        };
        rig.wait_until("refused", async || {
            status().await == StatusCode::UNAUTHORIZED
        })
        .await;
        assert_eq!(status().await, StatusCode::UNAUTHORIZED);
    });
}

/// Guards against a workspace that gets more than its burst and rate.
#[test]
fn rate_and_burst_bound_a_workspace() {
    run_test(|mut rig| async move {
        let (daemon, target) = rigged(&mut rig).await;
        rig.put_workspace("small", 5, "small1", "small1.secret")
            .await;
        let at = daemon.addresses().callers;
        let send = async || {
            let request =
                Request::get("/v1/svc/shop/small").header("authorization", "Bearer small1.secret");
            let response = rig.send(at, request.body(empty()).unwrap()).await;
            let status = response.status();
            collect(response.into_body(), 1000).await.unwrap();
            status
        };
        rig.wait_until("admitted", async || send().await == StatusCode::OK)
            .await;
        let begun = Instant::now();
        let before = target.runs().total;
        let mut limited = 0;
        for _ in 0..100 {
            limited += u32::from(send().await == StatusCode::TOO_MANY_REQUESTS);
        }
        let ran = target.runs().total - before;
        let most = 5 + 5 * begun.elapsed().as_millis() / 1000 + 1;
        assert!(limited > 0, "nothing was refused");
        assert!(u128::from(ran) <= most, "{ran} ran, {most} allowed");
    });
}

/// Guards against counters that are missing until their reason first occurs.
#[test]
fn every_reason_has_a_counter_from_the_start() {
    run_test(|mut rig| async move {
        let (daemon, _target) = rigged(&mut rig).await;
        let text = rig.text(daemon.addresses().admin, "/metrics").await;
        for reason in waxwing_types::RefusalReason::ALL {
            let line = format!("waxwing_refusals_total{{reason=\"{reason}\"}}");
            assert!(text.contains(&line), "{line}");
        }
        for reason in waxwing_types::RetryReason::ALL {
            let line = format!("waxwing_retries_total{{reason=\"{reason}\"}}");
            assert!(text.contains(&line), "{line}");
        }
    });
}

/// Guards against an operator who is shown a state that is not the daemon's.
#[test]
fn status_and_explanation_show_the_state() {
    run_test(|mut rig| async move {
        let (daemon, _target) = rigged(&mut rig).await;
        let admin = daemon.addresses().admin;
        let status: serde_json::Value =
            serde_json::from_str(&rig.text(admin, "/v1/status").await).unwrap();
        assert_eq!(
            (&status["vm"], &status["shards"]),
            (&"vm1".into(), &8.into())
        );
        assert_eq!(status["ready"], true);
        let query = "/v1/explain?workspace=acme&service=shop&method=GET&path=%2Fopen%2F1";
        let explained: serde_json::Value =
            serde_json::from_str(&rig.text(admin, query).await).unwrap();
        assert_eq!(explained["route"]["prefix"], "/open");
        assert_eq!(explained["refusal"], serde_json::Value::Null);
        assert_eq!(explained["targets"][0]["name"], "t0");
        let missing = rig.get(admin, "/v1/explain?workspace=acme").await;
        assert_eq!(missing.status(), StatusCode::BAD_REQUEST);
    });
}

/// Guards against a look-up that names no VM, and against a stopping VM that names itself.
#[test]
fn lookup_names_this_vm() {
    run_test(|mut rig| async move {
        let (daemon, _target) = rigged(&mut rig).await;
        let at = daemon.addresses().callers;
        let query = "/v1/route?service=shop&client=127.0.0.1";
        let answer: serde_json::Value = serde_json::from_str(&rig.text(at, query).await).unwrap();
        assert_eq!(answer["vms"][0]["id"], "vm1");
        assert_eq!(answer["vms"][0]["address"], at.to_string());
        let bad = rig.get(at, "/v1/route?service=shop&client=nowhere").await;
        assert_eq!(problem(bad).await.0, StatusCode::BAD_REQUEST);
    });
}
