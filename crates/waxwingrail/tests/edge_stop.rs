//! Tests of requests that arrive while a VM stops, with targets whose work may outlast the process.

#[path = "edge/fixture.rs"]
mod fixture;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use fixture::{API_KEY, TargetBehavior, deployment, run_test, settings, wait_until};
use waxwing_types::Millis;

/// Time from the stop signal to the end of the process.
const GRACE: Duration = Duration::from_secs(5);
/// Time that the target works on each request.
const WORK_MS: u64 = 1800;
const BODY_BYTES: usize = 800;

/// Sends an upload whose last byte is sent at a time, and returns the status of the response. `None` if the connection ends
/// without a complete head.
fn upload(address: SocketAddr, route: &str, last_byte_at: Instant) -> Option<u16> {
    let mut connection = TcpStream::connect(address).expect("a connection");
    let head = format!(
        "POST /{route}/x HTTP/1.1\r\nhost: h.example\r\nx-request-id: id-1\r\nrequest-timeout-ms: 8000\r\nconnection: close\r\n\
         authorization: Bearer {API_KEY}\r\ncontent-length: {BODY_BYTES}\r\n\r\n"
    );
    connection
        .write_all(head.as_bytes())
        .expect("the head is sent");
    let body = vec![b'x'; BODY_BYTES];
    let (first, last) = body.split_at(BODY_BYTES - 1);
    connection.write_all(first).expect("the body is sent");
    thread::sleep(last_byte_at.saturating_duration_since(Instant::now()));
    // The VM may have refused the request before its end.
    let _ = connection.write_all(last);
    let mut response = Vec::new();
    let _ = connection.read_to_end(&mut response);
    let text = String::from_utf8_lossy(&response);
    text.split_whitespace().nth(1)?.parse().ok()
}

struct Outcome {
    status: Option<u16>,
    /// Number of requests that the target received from the upload.
    passed_on: usize,
    all_finished: bool,
}

/// Stops a VM, and sends it an upload whose last byte arrives `last_byte` after the stop began.
fn upload_during_stop(behavior: TargetBehavior, last_byte: Duration, check: impl Fn(&Outcome)) {
    run_test(async |fixture| {
        let mut deployment = deployment(1);
        for route in &mut deployment.routes {
            route.timeout = Millis::from_secs(8);
        }
        fixture.deploy(deployment);
        let target = fixture.start_target("t1", behavior).await;
        let grace = format!("--grace-s={}", GRACE.as_secs());
        let settings = settings("v1", &[&grace]);
        let daemon = fixture.start_daemon_with(settings, 1).await;
        fixture.wait_until_ready(&daemon).await;
        let address = daemon.caller_address();
        let send = |last_byte_at| {
            let uploading = thread::spawn(move || upload(address, "unsafe", last_byte_at));
            async move {
                wait_until("the upload has ended", async || uploading.is_finished()).await;
                uploading.join().expect("no panic")
            }
        };
        // The VM learns how long the target works.
        assert_eq!(send(Instant::now()).await, Some(200));
        let before = target.received().len();

        let uploading = send(Instant::now() + last_byte);
        let all_finished = daemon.stop().await;
        let status = uploading.await;

        let outcome = Outcome {
            status,
            passed_on: target.received().len() - before,
            all_finished,
        };
        check(&outcome);
    });
}

/// Guards against a request that may not be repeated and is cut at the end of the grace time: it arrived so late that the
/// target could not finish it, and was passed on.
#[test]
fn a_request_that_may_outlast_the_stop_is_refused_before_it_is_sent() {
    for last_byte_ms in [2600, 3200] {
        let last_byte = Duration::from_millis(last_byte_ms);
        let behavior = TargetBehavior::AnswerAfterMs(WORK_MS);
        upload_during_stop(behavior, last_byte, |outcome| {
            assert_eq!(outcome.passed_on, 0);
            assert_eq!(outcome.status, Some(503));
            assert!(outcome.all_finished);
        });
    }
}

/// Guards against a stop that refuses requests for which there is time.
#[test]
fn a_short_request_is_served_until_late_in_the_stop() {
    let last_byte = Duration::from_millis(2600);
    upload_during_stop(TargetBehavior::Answer, last_byte, |outcome| {
        assert_eq!(outcome.status, Some(200));
        assert!(outcome.all_finished);
    });
}

/// Guards against an upload that is cut off without an answer at the end of the grace time, while its body arrives.
#[test]
fn an_upload_that_outlasts_the_stop_is_refused() {
    let last_byte = GRACE + Duration::from_millis(500);
    upload_during_stop(TargetBehavior::Answer, last_byte, |outcome| {
        assert_eq!(outcome.passed_on, 0);
        assert_eq!(outcome.status, Some(503));
        assert!(outcome.all_finished);
    });
}
