//! Targets of the daemon that write an earlier refusal once more without an id, and requests that have none.

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use common::{add_headers, authed, run_test, text_body};
use waxwing_http::collect;

const REFUSAL: &str = "HTTP/1.1 503 Busy\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n";
/// Time between a repeated refusal and the answer.
const PAUSE: Duration = Duration::from_millis(50);

/// Starts a target that runs every request. On a connection that it has used before, it writes a refusal without an id where the
/// answer is due, and then the answer. Returns its address and the number of its POST requests.
fn start_target(returns_ids: bool) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let address = listener.local_addr().expect("an address");
    let runs = Arc::new(AtomicUsize::new(0));
    let counter = Arc::clone(&runs);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let runs = Arc::clone(&counter);
            std::thread::spawn(move || serve(stream, returns_ids, &runs));
        }
    });
    (address, runs)
}

fn serve(mut stream: TcpStream, returns_ids: bool, runs: &AtomicUsize) {
    let mut is_used = false;
    // The requests of these tests fit into one segment each.
    let mut buffer = [0; 4096];
    while let Ok(length) = stream.read(&mut buffer) {
        if length == 0 {
            return;
        }
        let request = String::from_utf8_lossy(&buffer[..length]).into_owned();
        runs.fetch_add(usize::from(request.starts_with("POST ")), Ordering::SeqCst);
        if std::mem::replace(&mut is_used, true) {
            let _ = stream.write_all(REFUSAL.as_bytes());
            std::thread::sleep(PAUSE);
        }
        let mut ids = request
            .lines()
            .filter(|line| line.starts_with("x-request-id: "));
        let id = ids.next().filter(|_| returns_ids);
        let id = id.map_or(String::new(), |id| format!("{id}\r\n"));
        let answer = format!("HTTP/1.1 200 OK\r\n{id}content-length: 2\r\n\r\nok");
        if stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

/// Sends unsafe requests with these ids, and expects that none of them, as all run, is refused with a promise.
fn assert_no_promise(returns_ids: bool, ids: [Option<&'static str>; 3]) {
    run_test(|mut env| async move {
        let (address, runs) = start_target(returns_ids);
        env.put_shop_at(address).await;
        let daemon = env.ready_daemon("vm1", "d1", &[]).await;
        env.wait_until_admitting(&daemon).await;
        let mut statuses = Vec::new();
        // With a body each, so that no request is quarantined for the failures before.
        for (id, body) in ids.into_iter().zip(["first", "second", "third"]) {
            let request = authed("POST", "/v1/svc/shop/item", text_body(body));
            let headers: Vec<_> = id.map(|id| ("x-request-id", id)).into_iter().collect();
            let request = add_headers(request, &headers);
            let response = env.send(daemon.addresses().callers, request).await;
            statuses.push(response.status().as_u16());
            let _ = collect(response.into_body(), 1 << 20).await;
        }
        let allowed = |status: &u16| [200, 502].contains(status);
        assert!(statuses.iter().all(allowed), "{statuses:?}");
        assert_eq!(runs.load(Ordering::SeqCst), statuses.len());
    });
}

/// Guards against a repeated refusal without an id that is taken for the answer to a request that runs, although the target
/// returns ids.
#[test]
fn a_refusal_without_an_id_on_a_used_connection_is_no_promise() {
    assert_no_promise(true, [Some("id-1"), Some("id-2"), Some("id-3")]);
}

/// Guards against the same with a target that returns no ids, so that nothing tells its answers apart on one connection.
#[test]
fn a_refusal_of_a_target_without_ids_on_a_used_connection_is_no_promise() {
    assert_no_promise(false, [Some("id-1"), Some("id-2"), Some("id-3")]);
}

/// Guards against the same for requests without an id.
#[test]
fn a_request_without_an_id_gets_no_promise_on_a_used_connection() {
    assert_no_promise(true, [None, None, None]);
}
