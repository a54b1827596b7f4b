//! Tests of the quota of a workspace while one of the VMs stops.

#[path = "edge/fixture.rs"]
mod fixture;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use async_io::Timer;
use fixture::{API_KEY, Fixture, TargetBehavior, deployment, request, run_test};
use futures_lite::future;
use hyper::StatusCode;
use waxwing_http::full;
use waxwingrail::edge::EdgeDaemon;

/// Time in which the VMs of a new fleet learn of each other and exchange heartbeats.
const STARTUP: Duration = Duration::from_secs(5);
/// Number of callers of each VM, and the pause of each between two requests. They ask for more than the limit.
const CALLERS: usize = 12;
const PAUSE: Duration = Duration::from_millis(3);

/// Two VMs of one failure domain whose only workspace has a limit, in requests per 1000 s, and a burst.
async fn two_vms(fixture: &Fixture, rate: u64, burst: u64) -> [EdgeDaemon; 2] {
    let mut limited = deployment(1);
    let workspace = &mut limited.workspaces.as_mut().expect("workspaces")[0];
    (workspace.rate, workspace.burst) = (rate, burst);
    fixture.deploy(limited);
    fixture.start_target("t1", TargetBehavior::Answer).await;
    let daemons = fixture.two_ready_daemons().await;
    Timer::after(STARTUP).await;
    daemons
}

/// Sends requests to a VM by several callers until a time, and returns how many were admitted.
async fn admitted_until(fixture: &Fixture, address: SocketAddr, end: Instant) -> u64 {
    let callers: Vec<_> = (0..CALLERS)
        .map(|_| {
            let client = fixture.client.clone();
            fixture.executor.spawn(async move {
                let mut admitted = 0;
                while Instant::now() < end {
                    let request =
                        request("safe").header("authorization", format!("Bearer {API_KEY}"));
                    let request = request.body(full("body")).expect("a request");
                    if let Ok(response) = client.send(address, request).await {
                        admitted += u64::from(response.status() == StatusCode::OK);
                    }
                    Timer::after(PAUSE).await;
                }
                admitted
            })
        })
        .collect();
    let mut admitted = 0;
    for caller in callers {
        admitted += caller.await;
    }
    admitted
}

/// Guards against tokens that are lost when their coordinator stops: the other VM would refuse requests inside the burst.
#[test]
fn a_stopping_vm_hands_its_tokens_over() {
    for stopped in 0..2 {
        run_test(async |fixture| {
            // The rate yields no token during the test. The coordinator has 16 initial tokens.
            let daemons = two_vms(&fixture, 1, 64).await;
            let [first, second] = daemons;
            let (stopping, other) = match stopped {
                0 => (first, second),
                _ => (second, first),
            };

            let spend = async {
                Timer::after(Duration::from_millis(500)).await;
                let end = Instant::now() + Duration::from_secs(2);
                admitted_until(&fixture, other.caller_address(), end).await
            };
            let (_, admitted) = future::zip(stopping.stop(), spend).await;

            assert!((15..=16).contains(&admitted), "{admitted}");
        });
    }
}

/// Guards against two quota coordinators: a VM that stops refills all shares beside its successor.
#[test]
fn a_stopping_vm_does_not_refill_the_shares_of_the_others() {
    let (per_s, burst) = (100, 4);
    for stopped in 0..2 {
        run_test(async |fixture| {
            let [first, second] = two_vms(&fixture, per_s * 1000, burst).await;
            let addresses = [first.caller_address(), second.caller_address()];
            let (stopping, _other) = match stopped {
                0 => (first, second),
                _ => (second, first),
            };

            let spend = async {
                let begin = Instant::now();
                let end = begin + Duration::from_secs(2);
                let [first, second] = addresses.map(|a| admitted_until(&fixture, a, end));
                let (first, second) = future::zip(first, second).await;
                (first + second, begin.elapsed())
            };
            let (_, (admitted, elapsed)) = future::zip(stopping.stop(), spend).await;

            let millis = u64::try_from(elapsed.as_millis()).expect("a short time");
            let limit = (per_s * millis / 1000 + burst) * 11 / 10 + 20;
            assert!((1..=limit).contains(&admitted), "{admitted} of {limit}");
        });
    }
}
