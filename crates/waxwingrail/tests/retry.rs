//! Failed attempts: when the daemon retries them at another target, and what the caller gets.

mod common;

use std::net::SocketAddr;

use common::{TestEnv, authed, problem, run_test, text_body};
use hyper::StatusCode;
use waxwing_http::{collect, empty};
use waxwing_testkit::{RunEnd, Target, TargetControl, TargetSettings};
use waxwing_types::Millis;
use waxwingrail::Daemon;

/// Body length above the number of bytes that the daemon buffers for retries.
const LONG_BODY_BYTES: usize = 200_000;

/// Starts a target that crashes on a request that contains `poison` and is then down for 50 ms.
async fn start_target(env: &TestEnv, name: &str) -> Target {
    env.start_target(TargetSettings {
        name: name.to_owned(),
        slots: 64,
        down: Millis(50),
        poison: Some("poison".to_owned()),
        ..TargetSettings::default()
    })
    .await
}

/// Starts a daemon with these targets and waits until it accepts requests.
async fn start_daemon(env: &mut TestEnv, targets: &[&Target]) -> Daemon {
    let targets: Vec<_> = targets.iter().map(|t| ("d1", *t)).collect();
    env.put_default_records(&targets).await;
    let daemon = env.ready_daemon("vm1", "d1", &[]).await;
    env.wait_until_admitting(&daemon).await;
    daemon
}

/// Sends a PUT request and returns the status of the response.
async fn send_put(env: &TestEnv, addr: SocketAddr, body: &str) -> StatusCode {
    let response = env
        .send(addr, authed("PUT", "/v1/svc/shop/item", text_body(body)))
        .await;
    let status = response.status();
    collect(response.into_body(), 10_000).await.unwrap();
    status
}

/// Guards against a request that fails because one target sheds it, and against a retry whose body
/// differs from the caller's.
#[test]
fn shed_request_is_retried_at_another_target_with_its_body() {
    run_test(|mut env| async move {
        let (shedding, accepting) = (
            start_target(&env, "shedding").await,
            start_target(&env, "accepting").await,
        );
        let draining = TargetControl {
            draining: Some(true),
            ..TargetControl::default()
        };
        shedding.control(&draining);
        let daemon = start_daemon(&mut env, &[&accepting]).await;
        // Added only now: the daemon takes a target with an unknown latency for as fast as the others, while one whose only
        // request was slow gets no further ones for longer than the test waits.
        env.put_service("shop", &[], &[("d1", &accepting), ("d1", &shedding)])
            .await;
        let addr = daemon.addresses().callers;
        let metric = "waxwing_retries_total{reason=\"target_shed\"}";
        env.wait_until("retry counted", async || {
            assert_eq!(send_put(&env, addr, "hello").await, StatusCode::OK);
            env.metric(&daemon, metric).await > 0.5
        })
        .await;
        let puts = accepting
            .runs()
            .runs
            .into_iter()
            .filter(|r| r.method == "PUT");
        assert!(puts.into_iter().all(|r| r.body_bytes == 5));
    });
}

/// Guards against a retry that sends only the rest of a body whose start is no longer buffered.
#[test]
fn long_body_is_not_sent_again() {
    run_test(|mut env| async move {
        let shedding = start_target(&env, "shedding").await;
        let other = start_target(&env, "other").await;
        let daemon = start_daemon(&mut env, &[&shedding, &other]).await;
        let draining = TargetControl {
            draining: Some(true),
            ..TargetControl::default()
        };
        shedding.control(&draining);
        let addr = daemon.addresses().callers;
        for _ in 0..30 {
            send_put(&env, addr, &"y".repeat(LONG_BODY_BYTES)).await;
        }
        let puts = other.runs().runs.into_iter().filter(|r| r.method == "PUT");
        let truncated: Vec<_> = puts
            .filter(|r| r.body_bytes != LONG_BODY_BYTES as u64)
            .collect();
        assert!(truncated.is_empty(), "{truncated:?}");
    });
}

/// Guards against a request that fails because one target is down.
#[test]
fn refused_connection_is_retried_at_another_target() {
    run_test(|mut env| async move {
        let (down, other) = (
            start_target(&env, "down").await,
            start_target(&env, "other").await,
        );
        let daemon = start_daemon(&mut env, &[&down, &other]).await;
        // Slows the other target. If the target that goes down were the slower one, the daemon
        // would avoid it for longer than the test waits, and no connection would be refused.
        other.control(&TargetControl {
            latency_ms: Some(300),
            ..TargetControl::default()
        });
        down.control(&TargetControl {
            down_ms: Some(60_000),
            crash: true,
            ..TargetControl::default()
        });
        let addr = daemon.addresses().callers;
        env.wait_until("target down", async || {
            async_net::TcpStream::connect(down.address()).await.is_err()
        })
        .await;
        let metric = "waxwing_retries_total{reason=\"connect_failed\"}";
        env.wait_until("retry counted", async || {
            assert_eq!(send_put(&env, addr, "hello").await, StatusCode::OK);
            env.metric(&daemon, metric).await > 0.5
        })
        .await;
    });
}

/// Guards against sound requests that are refused because they begin like one that crashed targets, and against such a request
/// that reaches further targets because it is sent before the end of its body is known.
#[test]
fn poison_at_the_end_of_a_body_is_quarantined_alone() {
    for length in [8000, LONG_BODY_BYTES] {
        run_test(|mut env| async move {
            let targets = [
                start_target(&env, "first").await,
                start_target(&env, "second").await,
            ];
            let daemon = start_daemon(&mut env, &[&targets[0], &targets[1]]).await;
            let addr = daemon.addresses().callers;
            let body = |end: &str| format!("{}{end}", "y".repeat(length));
            env.wait_until("request quarantined", async || {
                let status = send_put(&env, addr, &body("poison")).await;
                env.wait_until("another request is answered", async || {
                    let status = send_put(&env, addr, &body("harmless")).await;
                    assert_ne!(status, StatusCode::UNPROCESSABLE_ENTITY);
                    status == StatusCode::OK
                })
                .await;
                status == StatusCode::UNPROCESSABLE_ENTITY
            })
            .await;
            let crashes = |target: &Target| {
                let runs = target.runs().runs.into_iter();
                runs.filter(|run| run.end == RunEnd::Crashed).count()
            };
            assert_eq!(crashes(&targets[0]) + crashes(&targets[1]), 2);
        });
    }
}

/// Guards against a request that crashes targets with another idempotency key each time.
#[test]
fn poison_request_is_quarantined_whatever_its_key() {
    run_test(|mut env| async move {
        let target = start_target(&env, "first").await;
        let daemon = start_daemon(&mut env, &[&target]).await;
        let addr = daemon.addresses().callers;
        let number = std::cell::Cell::new(0);
        env.wait_until("request quarantined", async || {
            number.set(number.get() + 1);
            let mut request = authed("PUT", "/v1/svc/shop/item", text_body("poison"));
            let key = format!("key-{}", number.get()).parse().unwrap();
            request.headers_mut().insert("idempotency-key", key);
            env.send(addr, request).await.status() == StatusCode::UNPROCESSABLE_ENTITY
        })
        .await;
        let runs = target.runs().runs.into_iter();
        assert_eq!(runs.filter(|run| run.end == RunEnd::Crashed).count(), 2);
    });
}

/// Guards against a request that crashes one target after another each time it is sent again.
#[test]
fn poison_request_is_quarantined() {
    run_test(|mut env| async move {
        let (first, second) = (
            start_target(&env, "first").await,
            start_target(&env, "second").await,
        );
        let daemon = start_daemon(&mut env, &[&first, &second]).await;
        let addr = daemon.addresses().callers;
        let poison_request = || authed("GET", "/v1/svc/shop/poison", empty());
        env.wait_until("request quarantined", async || {
            let (status, body) = problem(env.send(addr, poison_request()).await).await;
            if status == StatusCode::UNPROCESSABLE_ENTITY {
                assert_eq!(
                    (&body["reason"], &body["ran"]),
                    (&"quarantined".into(), &"no".into())
                );
                return true;
            }
            assert!(status.is_server_error(), "{status} {body}");
            false
        })
        .await;
        let poison_runs = |t: &Target| {
            t.runs()
                .runs
                .iter()
                .filter(|r| r.path.contains("poison"))
                .count()
        };
        assert_eq!(poison_runs(&first) + poison_runs(&second), 2);
    });
}
