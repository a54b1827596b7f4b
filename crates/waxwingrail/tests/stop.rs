//! Graceful shutdown of the daemon.

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

/// Number of callers that send requests concurrently.
const CALLERS: u32 = 16;

/// Starts a target and a daemon with additional flags, and waits until it accepts requests.
async fn start_daemon(env: &mut TestEnv, flags: &[&str]) -> (Daemon, Target) {
    let settings = TargetSettings {
        slots: 64,
        latency: Millis(20),
        ..TargetSettings::default()
    };
    let target = env.start_target(settings).await;
    env.put_default_records(&[("d1", &target)]).await;
    let daemon = env.ready_daemon("vm1", "d1", flags).await;
    env.wait_until_admitting(&daemon).await;
    (daemon, target)
}

/// Guards against a shutdown under load that truncates a response, or that closes a connection without
/// a response although the request may have run.
#[test]
fn shutdown_under_load_completes_every_request() {
    run_test(|mut env| async move {
        let (daemon, _target) = start_daemon(&mut env, &["--drain-notice-ms=300"]).await;
        let addr = daemon.addresses().callers;
        let stopped = Arc::new(AtomicBool::new(false));
        let answered = Arc::new(AtomicU32::new(0));
        let mut callers = Vec::new();
        for _ in 0..CALLERS {
            let (stopped, answered) = (Arc::clone(&stopped), Arc::clone(&answered));
            let client = Client::new(Arc::clone(&env.executor), ClientLimits::default());
            callers.push(env.executor.spawn(async move {
                while !stopped.load(Ordering::Relaxed) {
                    match client
                        .send(addr, authed("GET", "/v1/svc/shop/x", empty()))
                        .await
                    {
                        Ok(response) => {
                            assert_eq!(response.status(), StatusCode::OK);
                            let body = collect(response.into_body(), 1000).await;
                            assert!(body.is_ok(), "truncated response: {body:?}");
                            answered.fetch_add(1, Ordering::Relaxed);
                        }
                        // The request did not run; a real caller would send it to another VM.
                        Err(error) if !error.may_have_run() => return,
                        Err(error) => panic!("request failed: {error}"),
                    }
                }
            }));
        }
        env.wait_until("requests answered", async || {
            answered.load(Ordering::Relaxed) > 10 * CALLERS
        })
        .await;
        assert!(daemon.stop().await, "the drain timeout ended requests");
        stopped.store(true, Ordering::Relaxed);
        for caller in callers {
            caller.await;
        }
    });
}

/// Guards against a shutdown that drops a long request, and against a stopping VM that reports
/// itself ready or returns itself in look-ups.
#[test]
fn shutdown_waits_for_running_requests() {
    run_test(|mut env| async move {
        let (daemon, target) = start_daemon(&mut env, &["--drain-notice-ms=2000"]).await;
        let addresses = daemon.addresses();
        let client = env.client.clone();
        let slow_request = authed("GET", "/v1/svc/shop/slow?latency_ms=4000", empty());
        let response_task = env
            .executor
            .spawn(async move { client.send(addresses.callers, slow_request).await });
        env.wait_until("request running at the target", async || {
            target.runs().runs.iter().any(|r| r.path.contains("slow"))
        })
        .await;
        let started = Instant::now();
        let shutdown = env.executor.spawn(daemon.stop());
        env.wait_until("not ready", async || {
            let status = env.get(addresses.admin, "/readyz").await.status();
            status == StatusCode::SERVICE_UNAVAILABLE
        })
        .await;
        let lookup = env.text(addresses.callers, "/v1/route?service=shop").await;
        assert!(!lookup.contains("vm1"), "{lookup}");
        let response_while_stopping = env.get(addresses.callers, "/v1/svc/shop/open/late").await;
        assert_eq!(response_while_stopping.status(), StatusCode::OK);
        assert_eq!(response_while_stopping.headers()["connection"], "close");
        let response = response_task.await.unwrap();
        assert_eq!(response.status(), StatusCode::OK);
        collect(response.into_body(), 1000).await.unwrap();
        assert!(shutdown.await);
        assert!(started.elapsed() < Duration::from_secs(4 + 5));
    });
}

/// Guards against a stopped VM that stays the owner of its rate limit shards. The next owner would have
/// to wait for them.
#[test]
fn shutdown_releases_all_shards() {
    run_test(|mut env| async move {
        let (daemon, _target) = start_daemon(&mut env, &[]).await;
        let owned_shards = async || {
            let table = env.owners_table("d1").await;
            let owners = table.shards.iter().filter_map(|s| s.owner.as_ref());
            owners.filter(|vm| vm.as_str() == "vm1").count()
        };
        assert_eq!(owned_shards().await, 8);
        assert!(daemon.stop().await);
        assert_eq!(owned_shards().await, 0);
    });
}

/// Guards against an idle connection that delays the shutdown, and against a request on an open
/// connection that gets no response during the drain notice, the time after a stop signal in which new
/// connections are still accepted.
#[test]
fn request_on_an_open_connection_is_served_during_the_drain_notice() {
    run_test(|mut env| async move {
        let (daemon, _target) = start_daemon(&mut env, &["--drain-notice-ms=1500"]).await;
        let addresses = daemon.addresses();
        let mut stream = async_net::TcpStream::connect(addresses.callers)
            .await
            .unwrap();
        let _idle_connection = async_net::TcpStream::connect(addresses.callers)
            .await
            .unwrap();
        let shutdown = env.executor.spawn(daemon.stop());
        env.wait_until("not ready", async || {
            env.get(addresses.admin, "/readyz").await.status() != StatusCode::OK
        })
        .await;
        let request = b"GET /v1/svc/shop/open/x HTTP/1.1\r\nhost: x\r\n\r\n";
        stream.write_all(request).await.unwrap();
        let mut response = String::new();
        stream.read_to_string(&mut response).await.unwrap();
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
        assert!(response.contains("connection: close"), "{response}");
        assert!(shutdown.await);
    });
}
