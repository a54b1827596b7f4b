//! Tests of the daemon of shard leases with targets that answer an upload with a part of an answer, or with a status that is none.

mod common;
#[path = "edge/early_target.rs"]
mod early_target;
#[path = "edge/mixed_forms.rs"]
mod mixed_forms;

use std::time::Duration;

use common::{KEY, TestEnv, run_test};
use early_target::{EarlyTarget, Reaction, Upload, call};
use mixed_forms::{NO_ANSWERS, UPLOADS, no_answer, play_all, resets};
use waxwingrail::Daemon;

/// Starts a daemon with one target.
async fn start(env: &mut TestEnv, reaction: Reaction, whole: usize) -> (Daemon, EarlyTarget) {
    let target = EarlyTarget::start(reaction, whole);
    env.put_shop_at(target.address).await;
    let daemon = env.ready_daemon("vm1", "d1", &[]).await;
    (daemon, target)
}

fn head() -> String {
    format!("host: h\r\nauthorization: Bearer {KEY}\r\nconnection: close\r\n")
}

/// Sends a request until the target has got one, and returns what the caller of that one saw.
async fn call_until_sent(
    env: &TestEnv,
    daemon: &Daemon,
    target: &EarlyTarget,
    upload: Upload<'_>,
) -> early_target::Seen {
    let before = target.requests();
    let seen = std::cell::RefCell::new(None);
    env.wait_until("the target gets the request", async || {
        *seen.borrow_mut() = Some(call(daemon.addresses().callers, upload));
        target.requests() > before
    })
    .await;
    seen.into_inner().expect("a call")
}

/// Guards against a part of an answer that reaches the caller as a whole one, because the target reset the connection while the
/// upload was being written.
#[test]
fn a_part_of_an_early_answer_is_no_whole_answer() {
    for whole in [0, 1] {
        play_all(resets(), move |reaction| play_resets(&reaction, whole));
    }
}

fn play_resets(reaction: &Reaction, whole: usize) {
    run_test(|mut env| async move {
        let (daemon, target) = start(&mut env, reaction.clone(), whole).await;
        for (number, (length, is_chunked, pause_ms)) in UPLOADS.into_iter().enumerate() {
            let upload = Upload {
                method: "POST",
                path: &format!("/v1/svc/shop/{number}"),
                head: &head(),
                length,
                is_chunked,
                pause: Duration::from_millis(pause_ms),
            };
            let seen = call_until_sent(&env, &daemon, &target, upload).await;
            let is_success = (200..300).contains(&seen.status) && seen.is_whole;
            assert!(!is_success, "{seen:?} {upload:?} {reaction:?}");
        }
    });
}

/// Guards against a status that is none, which reaches the caller as that of an answer, with the stamp of the target.
#[test]
fn a_status_that_is_none_does_not_reach_the_caller() {
    for whole in [0, 1] {
        play_all(NO_ANSWERS, move |line| play_no_answer(line, whole));
    }
}

fn play_no_answer(line: &str, whole: usize) {
    run_test(|mut env| async move {
        let (daemon, target) = start(&mut env, no_answer(line), whole).await;
        let upload = Upload {
            method: "POST",
            path: "/v1/svc/shop/item",
            head: &head(),
            length: 4,
            is_chunked: false,
            pause: Duration::ZERO,
        };
        let seen = call_until_sent(&env, &daemon, &target, upload).await;
        assert_eq!((seen.status, seen.is_stamped), (502, false), "{line}");
        // A request that may run once is not sent again.
        assert_eq!(target.requests(), 1, "{line}");
    });
}
