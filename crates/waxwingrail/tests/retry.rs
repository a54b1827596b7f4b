//! Attempts that fail, and what the caller and the next target see of them.

mod common;

use std::net::SocketAddr;

use common::{TestEnv, authed, problem, run_test, text_body};
use hyper::StatusCode;
use waxwing_http::{collect, empty};
use waxwing_testkit::{Target, TargetControl, TargetSettings};
use waxwing_types::Millis;
use waxwingrail::Daemon;

/// More than the daemon keeps of a body for a second attempt.
const LONG: usize = 200_000;

async fn target(rig: &TestEnv, name: &str) -> Target {
    rig.start_target(TargetSettings {
        name: name.to_owned(),
        slots: 64,
        down: Millis(50),
        poison: Some("poison".to_owned()),
        ..TargetSettings::default()
    })
    .await
}

async fn rigged(rig: &mut TestEnv, targets: &[&Target]) -> Daemon {
    let targets: Vec<_> = targets.iter().map(|t| ("d1", *t)).collect();
    rig.put_base_records(&targets).await;
    let daemon = rig.ready_daemon("vm1", "d1", &[]).await;
    rig.wait_until_admitted(&daemon).await;
    daemon
}

async fn put(rig: &TestEnv, at: SocketAddr, body: &str) -> StatusCode {
    let response = rig
        .send(at, authed("PUT", "/v1/svc/shop/item", text_body(body)))
        .await;
    let status = response.status();
    collect(response.into_body(), 10_000).await.unwrap();
    status
}

/// Guards against a request that fails because one target sheds it, and against a second attempt
/// with a body that is not the caller's.
#[test]
fn shed_request_runs_elsewhere_with_its_body() {
    run_test(|mut rig| async move {
        let (full, free) = (target(&rig, "full").await, target(&rig, "free").await);
        let daemon = rigged(&mut rig, &[&full, &free]).await;
        let draining = TargetControl {
            draining: Some(true),
            ..TargetControl::default()
        };
        full.control(&draining);
        let at = daemon.addresses().callers;
        let line = "waxwing_retries_total{reason=\"target_shed\"}";
        rig.wait_until("a retry", async || {
            assert_eq!(put(&rig, at, "hello").await, StatusCode::OK);
            rig.metric(&daemon, line).await > 0.5
        })
        .await;
        let puts = free.runs().runs.into_iter().filter(|r| r.method == "PUT");
        assert!(puts.into_iter().all(|r| r.body_bytes == 5));
    });
}

/// Guards against a long body whose rest alone is sent to a second target.
#[test]
fn long_body_is_sent_once() {
    run_test(|mut rig| async move {
        let only = target(&rig, "full").await;
        let other = target(&rig, "other").await;
        let daemon = rigged(&mut rig, &[&only, &other]).await;
        let draining = TargetControl {
            draining: Some(true),
            ..TargetControl::default()
        };
        only.control(&draining);
        let at = daemon.addresses().callers;
        for _ in 0..30 {
            put(&rig, at, &"y".repeat(LONG)).await;
        }
        let puts = other.runs().runs.into_iter().filter(|r| r.method == "PUT");
        let short: Vec<_> = puts.filter(|r| r.body_bytes != LONG as u64).collect();
        assert!(short.is_empty(), "{short:?}");
    });
}

/// Guards against a request that fails because one target is down.
#[test]
fn refused_connection_is_tried_elsewhere() {
    run_test(|mut rig| async move {
        let (dead, other) = (target(&rig, "dead").await, target(&rig, "other").await);
        let daemon = rigged(&mut rig, &[&dead, &other]).await;
        // A target that answered more slowly than the other before it went down would be avoided for
        // longer than the test waits, and there would be no refused connection.
        other.control(&TargetControl {
            latency_ms: Some(300),
            ..TargetControl::default()
        });
        dead.control(&TargetControl {
            down_ms: Some(60_000),
            crash: true,
            ..TargetControl::default()
        });
        let at = daemon.addresses().callers;
        rig.wait_until("down", async || {
            async_net::TcpStream::connect(dead.address()).await.is_err()
        })
        .await;
        let line = "waxwing_retries_total{reason=\"connect_failed\"}";
        rig.wait_until("a retry", async || {
            assert_eq!(put(&rig, at, "hello").await, StatusCode::OK);
            rig.metric(&daemon, line).await > 0.5
        })
        .await;
    });
}

/// Guards against a request that crashes target after target each time it is sent again.
#[test]
fn poison_request_is_quarantined() {
    run_test(|mut rig| async move {
        let (one, two) = (target(&rig, "one").await, target(&rig, "two").await);
        let daemon = rigged(&mut rig, &[&one, &two]).await;
        let at = daemon.addresses().callers;
        let poison = || authed("GET", "/v1/svc/shop/poison", empty());
        rig.wait_until("quarantined", async || {
            let (status, body) = problem(rig.send(at, poison()).await).await;
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
        let crashes = |t: &Target| {
            t.runs()
                .runs
                .iter()
                .filter(|r| r.path.contains("poison"))
                .count()
        };
        assert_eq!(crashes(&one) + crashes(&two), 2);
    });
}
