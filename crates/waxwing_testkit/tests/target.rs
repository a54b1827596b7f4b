//! The target double as a daemon sees it.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use async_executor::Executor;
use async_io::{Timer, block_on};
use futures_lite::{FutureExt, future};
use hyper::Request;
use waxwing_http::{Client, ClientLimits, SendError, empty, full};
use waxwing_testkit::{RunEnd, Target, TargetControl, TargetSettings};
use waxwing_types::Millis;

fn with_target<F: Future<Output = ()>>(
    settings: TargetSettings,
    test: impl FnOnce(Target, Client) -> F,
) {
    let executor = Arc::new(Executor::new());
    block_on(executor.run(async {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let target = Target::start(&executor, any, settings).await.unwrap();
        let client = Client::new(Arc::clone(&executor), ClientLimits::default());
        test(target, client).await;
    }));
}

fn slow(latency: u64) -> TargetSettings {
    TargetSettings {
        slots: 1,
        latency: Millis(latency),
        down: Millis(50),
        ..TargetSettings::default()
    }
}

async fn get(client: &Client, target: &Target, path: &str) -> Result<(u16, bool), SendError> {
    let request = Request::get(path).body(empty()).unwrap();
    let response = client.send(target.address(), request).await?;
    let not_run = response.headers().contains_key("x-not-run");
    Ok((response.status().as_u16(), not_run))
}

/// Waits for a condition with a bound, so that a fault ends the test.
async fn until(what: &str, condition: impl Fn() -> bool) {
    for _ in 0..500 {
        if condition() {
            return;
        }
        Timer::after(Duration::from_millis(5)).await;
    }
    panic!("{what} did not come about");
}

fn ends(target: &Target) -> Vec<RunEnd> {
    target.runs().runs.iter().map(|r| r.end).collect()
}

/// Guards against a target that runs more than its slots, or runs what it says it did not.
#[test]
fn sheds_beyond_its_slots_and_while_draining() {
    with_target(slow(100), |target, client| async move {
        let second = async {
            until("first run", || target.load().running == 1).await;
            get(&client, &target, "/b").await.unwrap()
        };
        let (first, second) = future::zip(get(&client, &target, "/a"), second).await;
        assert_eq!((first.unwrap(), second), ((200, false), (503, true)));
        target.control(&TargetControl {
            draining: Some(true),
            ..TargetControl::default()
        });
        assert_eq!(get(&client, &target, "/c").await.unwrap(), (503, true));
        let runs = target.runs();
        assert_eq!((runs.total, runs.shed), (1, 2));
        assert_eq!(runs.runs[0].path, "/a");
    });
}

/// Guards against a slot that stays taken after its caller went away.
#[test]
fn cancellation_frees_the_slot() {
    with_target(slow(60_000), |target, client| async move {
        let give_up = async {
            until("first run", || target.load().running == 1).await;
            Ok((0, false))
        };
        let _ = get(&client, &target, "/a").or(give_up).await;
        until("free slot", || target.load().running == 0).await;
        assert_eq!(ends(&target), [RunEnd::Cancelled]);
    });
}

/// Guards against a target that goes on after the deadline that came with the request.
#[test]
fn deadline_ends_a_run() {
    with_target(slow(60_000), |target, client| async move {
        let request = Request::get("/a").header("request-timeout-ms", "20");
        let request = request.body(empty()).unwrap();
        let response = client.send(target.address(), request).await.unwrap();
        assert_eq!(response.status().as_u16(), 504);
        assert_eq!(ends(&target), [RunEnd::Expired]);
    });
}

/// Guards against a poison request that is answered, and against a crash that lasts for ever.
#[test]
fn poison_breaks_connections_and_the_target_comes_back() {
    let settings = TargetSettings {
        poison: Some("toxic".into()),
        ..slow(5)
    };
    with_target(settings, |target, client| async move {
        let request = Request::post("/photo").body(full("a toxic picture"));
        let sent = client.send(target.address(), request.unwrap()).await;
        assert!(sent.is_err_and(|e| e.may_have_run()));
        let mut answered = false;
        for _ in 0..200 {
            answered = get(&client, &target, "/a").await.is_ok();
            if answered {
                break;
            }
            Timer::after(Duration::from_millis(10)).await;
        }
        assert!(answered);
        assert_eq!(ends(&target), [RunEnd::Crashed, RunEnd::Answered]);
    });
}
