//! Tests of requests that crash the targets which run them, and of targets that break connections without a crash.

#[path = "edge/fixture.rs"]
mod fixture;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread;
use std::time::Duration;

use async_io::Timer;
use fixture::{Fixture, TargetBehavior, deployment, run_test, wait_until};
use waxwing_records::TargetState;
use waxwingrail::edge::EdgeDaemon;

/// Starts a target that ends as soon as it has read a request that is no health check: its port refuses connections, and the
/// connection breaks.
fn start_crashing_target() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        let (mut connection, _) = listener.accept().expect("a connection");
        let mut buffer = [0; 4096];
        // The request has arrived in whole or in part; the process ends either way.
        while let Ok(length) = connection.read(&mut buffer)
            && buffer[..length].starts_with(b"GET /health ")
        {
            let healthy = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
            connection.write_all(healthy).expect("a connection");
        }
        drop(listener);
        drop(connection);
    });
    address
}

/// Number of quarantined requests at a VM.
async fn quarantined(fixture: &Fixture, daemon: &EdgeDaemon) -> String {
    let (_, metrics) = fixture.get(daemon.metrics_address(), "/metrics", "").await;
    let mut lines = metrics.lines();
    let line = lines.find_map(|line| line.strip_prefix("waxwing_edge_quarantined_requests "));
    line.expect("the gauge").to_owned()
}

/// Guards against a request that crashes targets without end in a quiet hour: no other request shows that the targets are down.
#[test]
fn a_request_that_crashes_targets_is_quarantined_without_other_traffic() {
    run_test(async |fixture| {
        fixture.deploy(deployment(1));
        for id in ["t1", "t2"] {
            fixture.register_target(id, start_crashing_target(), TargetState::Ready);
        }
        let daemon = fixture.ready_daemon().await;
        assert_eq!(fixture.call(&daemon, "safe").await.status, 502);
        wait_until("the request is quarantined", async || {
            quarantined(&fixture, &daemon).await == "1"
        })
        .await;
        let sound = fixture.start_target("t3", TargetBehavior::Answer).await;
        wait_until("another request is answered", async || {
            fixture.call(&daemon, "unsafe").await.status == 200
        })
        .await;
        let received = sound.received().len();
        assert_eq!(fixture.call(&daemon, "safe").await.status, 503);
        assert_eq!(sound.received().len(), received);
    });
}

/// Guards against sound requests that are quarantined because targets reset their connections.
#[test]
fn a_request_is_not_quarantined_for_reset_connections() {
    run_test(async |fixture| {
        fixture.deploy(deployment(1));
        let mut targets = Vec::new();
        for id in ["t1", "t2"] {
            let behavior = TargetBehavior::BreakConnection;
            targets.push(fixture.start_target(id, behavior).await);
        }
        let daemon = fixture.ready_daemon().await;
        for _ in 0..3 {
            assert_eq!(fixture.call(&daemon, "safe").await.status, 502);
            // Longer than the probe of the targets.
            Timer::after(Duration::from_millis(300)).await;
            assert_eq!(quarantined(&fixture, &daemon).await, "0");
        }
        for target in &targets {
            target.set_behavior(TargetBehavior::Answer);
        }
        wait_until("the request is answered", async || {
            fixture.call(&daemon, "safe").await.status == 200
        })
        .await;
    });
}
