//! Tests of requests that crash targets and come again among sound ones that resemble them.

#[path = "edge/crashing_target.rs"]
mod crashing_target;
#[path = "edge/fixture.rs"]
mod fixture;

use std::time::Duration;

use async_io::Timer;
use crashing_target::{CrashingTarget, FATAL, FatalAnswer, Framing, upload};
use fixture::{Fixture, deployment, run_test, wait_until};
use waxwing_records::{Deployment, TargetState};
use waxwing_types::Millis;
use waxwingrail::edge::EdgeDaemon;

/// The body of an upload. Two of a length differ in their last bytes only.
fn upload_body(length: usize, end: &str) -> Vec<u8> {
    let mut body = vec![b'x'; length];
    body[length - end.len()..].copy_from_slice(end.as_bytes());
    body
}

/// A deployment that takes long uploads.
fn upload_deployment() -> Deployment {
    let mut deployment = deployment(1);
    deployment.limits.body_bytes = 8_000_000;
    for route in &mut deployment.routes {
        route.timeout = Millis::from_secs(5);
        route.objective = Millis::from_secs(5);
    }
    deployment
}

fn start_targets(fixture: &Fixture, count: usize) -> Vec<CrashingTarget> {
    start_targets_with(fixture, count, FatalAnswer::None)
}

fn start_targets_with(fixture: &Fixture, count: usize, answer: FatalAnswer) -> Vec<CrashingTarget> {
    let start = |_| CrashingTarget::start_with(answer);
    let targets: Vec<_> = (0..count).map(start).collect();
    for (number, target) in targets.iter().enumerate() {
        fixture.register_target(&format!("t{number}"), target.address, TargetState::Ready);
    }
    targets
}

fn fatal_count(targets: &[CrashingTarget]) -> usize {
    targets.iter().map(CrashingTarget::fatal_requests).sum()
}

/// The value of a metric of a VM.
async fn metric(fixture: &Fixture, daemon: &EdgeDaemon, name: &str) -> f64 {
    let (_, metrics) = fixture.get(daemon.metrics_address(), "/metrics", "").await;
    let mut lines = metrics.lines();
    let value = lines.find_map(|line| line.strip_prefix(name)?.trim().parse().ok());
    value.unwrap_or_default()
}

/// Sends one fatal request and waits until the crash of its target is known.
async fn crash_one(
    fixture: &Fixture,
    daemon: &EdgeDaemon,
    targets: &[CrashingTarget],
    send: impl Fn() -> u16,
) -> u16 {
    let crashes = "waxwing_edge_request_crashes_total";
    let (arrived, known) = (fatal_count(targets), metric(fixture, daemon, crashes).await);
    let status = send();
    if fatal_count(targets) > arrived {
        wait_until("the crash is known", async || {
            metric(fixture, daemon, crashes).await > known
        })
        .await;
    }
    status
}

/// Plays a fatal request that comes again among sound ones, and returns how often it reached a target.
async fn play_among_sound_ones(
    fixture: &Fixture,
    daemon: &EdgeDaemon,
    targets: &[CrashingTarget],
    send: impl Fn(&str) -> u16,
) {
    for round in 0..6 {
        for sound in ["a", "b"] {
            let end = format!("{sound}{round:04}");
            assert_eq!(send(&end), 200, "a sound request in round {round}");
        }
        let status = crash_one(fixture, daemon, targets, || send(FATAL)).await;
        assert!(matches!(status, 502 | 503), "{status} in round {round}");
    }
    assert_eq!(fatal_count(targets), 2);
}

async fn play_uploads(fixture: Fixture, length: usize, framing: Framing) {
    fixture.deploy(upload_deployment());
    let targets = start_targets(&fixture, 8);
    let daemon = fixture.ready_daemon().await;
    let address = daemon.caller_address();
    let send = |end: &str| {
        let body = upload_body(length, end);
        upload(address, "POST", "/unsafe/new", &body, framing)
    };
    play_among_sound_ones(&fixture, &daemon, &targets, send).await;
}

/// Guards against a fatal upload that reaches targets without end, because answers to others that begin like it delete
/// its crashes, and against those others being refused for it.
#[test]
fn a_fatal_upload_is_told_from_others_that_begin_alike() {
    run_test(async |fixture| play_uploads(fixture, 20_000, Framing::Length).await);
}

#[test]
fn a_fatal_upload_of_200_kb_is_told_from_others_that_begin_alike() {
    run_test(async |fixture| play_uploads(fixture, 200_000, Framing::Length).await);
}

#[test]
fn a_fatal_upload_in_chunks_is_told_from_others_that_begin_alike() {
    run_test(async |fixture| play_uploads(fixture, 200_000, Framing::Chunks).await);
}

/// The same of uploads that are longer than a VM buffers.
#[test]
fn a_fatal_upload_of_2_mb_is_told_from_others_that_begin_alike() {
    run_test(async |fixture| play_uploads(fixture, 2_000_000, Framing::Length).await);
}

#[test]
fn a_fatal_upload_of_2_mb_in_chunks_is_told_from_others_that_begin_alike() {
    run_test(async |fixture| play_uploads(fixture, 2_000_000, Framing::Chunks).await);
}

/// Guards against a long fatal upload that reaches targets whole because the VM has no room to buffer it: the target gets all
/// but the end of it.
#[test]
fn a_long_fatal_upload_is_not_completed_without_room_to_buffer_it() {
    for framing in [Framing::Length, Framing::Chunks] {
        run_test(async |fixture| {
            fixture.deploy(upload_deployment());
            let targets = start_targets(&fixture, 8);
            // A fifth of it is for the bodies of all requests.
            let settings = fixture::settings("v1", &["--memory-mb=16"]);
            let daemon = fixture.start_daemon_with(settings, 1).await;
            fixture.wait_until_ready(&daemon).await;
            let address = daemon.caller_address();
            let send = |end: &str| {
                let body = upload_body(3_000_000, end);
                upload(address, "POST", "/unsafe/new", &body, framing)
            };
            play_among_sound_ones(&fixture, &daemon, &targets, send).await;
        });
    }
}

/// Guards against a fatal request that shares its name with others which differ in the query alone.
#[test]
fn a_fatal_query_is_told_from_others_of_its_path() {
    run_test(async |fixture| {
        fixture.deploy(upload_deployment());
        let targets = start_targets(&fixture, 8);
        let daemon = fixture.ready_daemon().await;
        let address = daemon.caller_address();
        let send = |item: &str| {
            let path = format!("/unsafe/status?item={item}");
            upload(address, "POST", &path, b"", Framing::Length)
        };
        play_among_sound_ones(&fixture, &daemon, &targets, send).await;
    });
}

/// Guards against requests of one path, without a body, that are refused because they were running when targets crashed.
#[test]
fn a_frequent_request_that_runs_beside_a_fatal_one_is_not_refused() {
    run_test(async |fixture| {
        fixture.deploy(upload_deployment());
        let targets = start_targets(&fixture, 10);
        let daemon = fixture.ready_daemon().await;
        let address = daemon.caller_address();
        let callers: Vec<_> = (0..6)
            .map(|_| {
                std::thread::spawn(move || {
                    let order = |_| upload(address, "POST", "/unsafe/order", b"", Framing::Length);
                    (0..60).map(order).collect::<Vec<_>>()
                })
            })
            .collect();
        for _ in 0..4 {
            let send = || upload(address, "POST", "/unsafe/new", b"fatal", Framing::Length);
            crash_one(&fixture, &daemon, &targets, send).await;
        }
        let statuses: Vec<_> = callers
            .into_iter()
            .flat_map(|caller| caller.join().expect("no panic"))
            .collect();
        assert_eq!(fatal_count(&targets), 2);
        // Those that were running at a target when it crashed are lost with it.
        assert!(
            statuses.iter().all(|status| matches!(status, 200 | 502)),
            "{statuses:?}"
        );
        assert!(statuses.iter().filter(|status| **status == 502).count() <= 12);
    });
}

/// Guards against a fatal request that reaches further targets because it comes to a VM that has not seen its crashes.
#[test]
fn a_fatal_request_is_refused_by_a_vm_that_did_not_send_it() {
    run_test(async |fixture| {
        fixture.deploy(upload_deployment());
        let targets = start_targets(&fixture, 6);
        let [first, second] = fixture.two_ready_daemons().await;
        let body = upload_body(200_000, FATAL);
        let send = |daemon: &EdgeDaemon| {
            upload(
                daemon.caller_address(),
                "POST",
                "/unsafe/new",
                &body,
                Framing::Length,
            )
        };
        for _ in 0..2 {
            crash_one(&fixture, &first, &targets, || send(&first)).await;
        }
        let quarantined = "waxwing_edge_quarantined_requests";
        wait_until("the other VM knows", async || {
            metric(&fixture, &second, quarantined).await > 0.0
        })
        .await;
        assert_eq!(send(&second), 503);
        assert_eq!(fatal_count(&targets), 2);
    });
}

/// Guards against a fatal request that a VM lets through after a restart, when it has lost what it knew: other VMs tell it
/// again when they refuse the request.
#[test]
fn a_vm_that_starts_later_learns_of_a_fatal_request() {
    run_test(async |fixture| {
        fixture.deploy(upload_deployment());
        let targets = start_targets(&fixture, 6);
        let first = fixture.ready_daemon().await;
        let address = first.caller_address();
        let send = || upload(address, "POST", "/unsafe/new", b"fatal", Framing::Length);
        for _ in 0..2 {
            crash_one(&fixture, &first, &targets, send).await;
        }
        let later = fixture.start_daemon("v2", 1).await;
        fixture.wait_until_ready(&later).await;
        let quarantined = "waxwing_edge_quarantined_requests";
        wait_until("the later VM knows", async || {
            assert_eq!(send(), 503);
            Timer::after(Duration::from_millis(200)).await;
            metric(&fixture, &later, quarantined).await > 0.0
        })
        .await;
        assert_eq!(fatal_count(&targets), 2);
    });
}

/// Guards against a fatal request that is taken for a sound one because its targets begin to answer it before they crash.
#[test]
fn a_fatal_request_whose_answer_begins_is_quarantined() {
    run_test(async |fixture| {
        fixture.deploy(upload_deployment());
        let targets = start_targets_with(&fixture, 6, FatalAnswer::Long);
        let daemon = fixture.ready_daemon().await;
        let address = daemon.caller_address();
        let send = || upload(address, "POST", "/unsafe/new", b"fatal", Framing::Length);
        for _ in 0..2 {
            assert_eq!(crash_one(&fixture, &daemon, &targets, send).await, 200);
        }
        for _ in 0..3 {
            assert_eq!(send(), 503);
        }
        assert_eq!(fatal_count(&targets), 2);
    });
}

/// Guards against a fatal request that comes to several VMs at once and goes on to reach targets, because each VM knows of one
/// crash.
#[test]
fn a_fatal_request_that_comes_to_several_vms_at_once_is_quarantined_by_all() {
    run_test(async |fixture| {
        fixture.deploy(upload_deployment());
        let targets = start_targets(&fixture, 10);
        let mut daemons = Vec::new();
        for vm in ["v1", "v2", "v3", "v4"] {
            daemons.push(fixture.start_daemon(vm, 1).await);
        }
        for daemon in &daemons {
            fixture.wait_until_ready(daemon).await;
        }
        let addresses: Vec<_> = daemons.iter().map(EdgeDaemon::caller_address).collect();
        let send_to_all = || {
            let calls = addresses.iter().copied().map(|address| {
                let body = upload_body(200_000, FATAL);
                std::thread::spawn(move || {
                    upload(address, "POST", "/unsafe/new", &body, Framing::Length)
                })
            });
            let calls: Vec<_> = calls.collect();
            let statuses = calls.into_iter().map(|call| call.join().expect("no panic"));
            statuses.collect::<Vec<_>>()
        };
        send_to_all();
        wait_until("all VMs know", async || {
            for daemon in &daemons {
                let gauge = "waxwing_edge_quarantined_requests";
                if metric(&fixture, daemon, gauge).await < 1.0 {
                    return false;
                }
            }
            true
        })
        .await;
        let crashes = fatal_count(&targets);
        assert!(crashes <= 4, "{crashes}");
        assert_eq!(send_to_all(), [503; 4]);
        assert_eq!(fatal_count(&targets), crashes);
    });
}
