//! The graceful stop.

mod common;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::{Duration, Instant};

use common::{TestEnv, authed, run_test};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use hyper::StatusCode;
use waxwing_http::{Client, ClientLimits, collect, empty};
use waxwing_testkit::{Target, TargetSettings};
use waxwing_types::Millis;
use waxwingrail::Daemon;

/// Callers that send requests at the same time.
const CALLERS: u32 = 16;

async fn rigged(rig: &mut TestEnv, more: &[&str]) -> (Daemon, Target) {
    let settings = TargetSettings {
        slots: 64,
        latency: Millis(20),
        ..TargetSettings::default()
    };
    let target = rig.start_target(settings).await;
    rig.put_base_records(&[("d1", &target)]).await;
    let daemon = rig.ready_daemon("vm1", "d1", more).await;
    rig.wait_until_admitted(&daemon).await;
    (daemon, target)
}

/// Guards against a stop that cuts a running request, refuses one as run, or leaves one unanswered.
#[test]
fn stop_under_load_cuts_no_request() {
    run_test(|mut rig| async move {
        let (daemon, _target) = rigged(&mut rig, &["--drain-notice-ms=300"]).await;
        let at = daemon.addresses().callers;
        let stopped = Arc::new(AtomicBool::new(false));
        let answered = Arc::new(AtomicU32::new(0));
        let mut callers = Vec::new();
        for _ in 0..CALLERS {
            let (stopped, answered) = (Arc::clone(&stopped), Arc::clone(&answered));
            let client = Client::new(Arc::clone(&rig.executor), ClientLimits::default());
            callers.push(rig.executor.spawn(async move {
                while !stopped.load(Ordering::Relaxed) {
                    match client
                        .send(at, authed("GET", "/v1/svc/shop/x", empty()))
                        .await
                    {
                        Ok(response) => {
                            assert_eq!(response.status(), StatusCode::OK);
                            let body = collect(response.into_body(), 1000).await;
                            assert!(body.is_ok(), "cut response: {body:?}");
                            answered.fetch_add(1, Ordering::Relaxed);
                        }
                        // A refused connection was not run; the caller would go elsewhere.
                        Err(error) if !error.may_have_run() => return,
                        Err(error) => panic!("cut request: {error}"),
                    }
                }
            }));
        }
        rig.wait_until("load", async || {
            answered.load(Ordering::Relaxed) > 10 * CALLERS
        })
        .await;
        assert!(daemon.stop().await, "requests were cut by the timeout");
        stopped.store(true, Ordering::Relaxed);
        for caller in callers {
            caller.await;
        }
    });
}

/// Guards against a stop that drops a long request, or keeps its VM in look-ups and ready.
#[test]
fn stop_waits_for_the_running_request() {
    run_test(|mut rig| async move {
        let (daemon, target) = rigged(&mut rig, &["--drain-notice-ms=2000"]).await;
        let addresses = daemon.addresses();
        let client = rig.client.clone();
        let slow = authed("GET", "/v1/svc/shop/slow?latency_ms=4000", empty());
        let pending = rig
            .executor
            .spawn(async move { client.send(addresses.callers, slow).await });
        rig.wait_until("running", async || {
            target.runs().runs.iter().any(|r| r.path.contains("slow"))
        })
        .await;
        let begun = Instant::now();
        let stop = rig.executor.spawn(daemon.stop());
        rig.wait_until("not ready", async || {
            let status = rig.get(addresses.admin, "/readyz").await.status();
            status == StatusCode::SERVICE_UNAVAILABLE
        })
        .await;
        let found = rig.text(addresses.callers, "/v1/route?service=shop").await;
        assert!(!found.contains("vm1"), "{found}");
        let late = rig.get(addresses.callers, "/v1/svc/shop/open/late").await;
        assert_eq!(late.status(), StatusCode::OK);
        assert_eq!(late.headers()["connection"], "close");
        let response = pending.await.unwrap();
        assert_eq!(response.status(), StatusCode::OK);
        collect(response.into_body(), 1000).await.unwrap();
        assert!(stop.await);
        assert!(begun.elapsed() < Duration::from_secs(4 + 5));
    });
}

/// Guards against shards that stay with a VM that is gone, so that its successor has to wait.
#[test]
fn stop_hands_the_shards_over() {
    run_test(|mut rig| async move {
        let (daemon, _target) = rigged(&mut rig, &[]).await;
        let mine = async || {
            let table = rig.owners_table("d1").await;
            let owners = table.shards.iter().filter_map(|s| s.owner.as_ref());
            owners.filter(|vm| vm.as_str() == "vm1").count()
        };
        assert_eq!(mine().await, 8);
        assert!(daemon.stop().await);
        assert_eq!(mine().await, 0);
    });
}

/// Guards against an idle connection that holds the stop up, and against a request that is sent on an
/// open connection during the notice and gets no answer.
#[test]
fn request_on_an_open_connection_is_served_during_the_notice() {
    run_test(|mut rig| async move {
        let (daemon, _target) = rigged(&mut rig, &["--drain-notice-ms=1500"]).await;
        let addresses = daemon.addresses();
        let mut stream = async_net::TcpStream::connect(addresses.callers)
            .await
            .unwrap();
        let _idle = async_net::TcpStream::connect(addresses.callers)
            .await
            .unwrap();
        let stop = rig.executor.spawn(daemon.stop());
        rig.wait_until("not ready", async || {
            rig.get(addresses.admin, "/readyz").await.status() != StatusCode::OK
        })
        .await;
        let head = b"GET /v1/svc/shop/open/x HTTP/1.1\r\nhost: x\r\n\r\n";
        stream.write_all(head).await.unwrap();
        let mut text = String::new();
        stream.read_to_string(&mut text).await.unwrap();
        assert!(text.starts_with("HTTP/1.1 200"), "{text}");
        assert!(text.contains("connection: close"), "{text}");
        assert!(stop.await);
    });
}
