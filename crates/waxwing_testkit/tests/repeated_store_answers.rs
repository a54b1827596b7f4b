//! The HTTP adapter with a store that writes its previous answer once more, where the next one is due.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use assert_matches::assert_matches;
use async_executor::Executor;
use async_io::block_on;
use waxwing_http::{Client, ClientLimits};
use waxwing_store::{ChangesOutcome, Condition, HttpStore, ReadOutcome, Store, WriteOutcome};
use waxwing_types::{Millis, Revision};

const TIMEOUT: Millis = Millis(2000);

/// Starts a store that answers its calls in this order. On each connection, every answer is written once more as soon as the
/// next call arrives.
fn start_store(answers: Vec<String>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let address = listener.local_addr().expect("an address");
    let (answers, next) = (Arc::new(answers), Arc::new(AtomicUsize::new(0)));
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (answers, next) = (Arc::clone(&answers), Arc::clone(&next));
            std::thread::spawn(move || serve(stream, &answers, &next));
        }
    });
    address
}

fn serve(mut stream: TcpStream, answers: &[String], next: &AtomicUsize) {
    let mut previous = String::new();
    let mut buffer = [0; 4096];
    // The calls of these tests fit into one segment each.
    while stream.read(&mut buffer).is_ok_and(|length| length > 0) {
        let Some(answer) = answers.get(next.fetch_add(1, Ordering::SeqCst)) else {
            return;
        };
        let text = previous.clone() + answer;
        if stream.write_all(text.as_bytes()).is_err() {
            return;
        }
        previous.clone_from(answer);
    }
}

fn answer(status: &str, version: u64, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status}\r\netag: \"{version}\"\r\ncontent-length: {length}\r\n\r\n{body}")
}

/// Makes calls to a store that answers them in this order.
fn with_store(answers: [String; 2], calls: impl AsyncFnOnce(HttpStore)) {
    let address = start_store(answers.into());
    let executor = Arc::new(Executor::new());
    let client = Client::new(Arc::clone(&executor), ClientLimits::default());
    block_on(executor.run(calls(HttpStore::new(client, address))));
}

/// Guards against a claim that counts as acquired because the store wrote the answer to an earlier claim once more: a request
/// with an idempotency key runs twice.
#[test]
fn a_repeated_success_is_not_the_answer_to_a_conditional_write() {
    let answers = [answer("201 Created", 7, ""), answer("412 Failed", 3, "")];
    with_store(answers, async |store| {
        let put = |path| store.put(path, b"x".to_vec(), Condition::Absent, TIMEOUT);
        assert_eq!(put("claims/a").await, WriteOutcome::Created(Revision(7)));
        let second = put("claims/b").await;
        assert_matches!(second, WriteOutcome::Conflict(_) | WriteOutcome::Unknown(_));
    });
}

/// Guards against a claim that counts as renewed because the store wrote the answer to the earlier write of it once more.
#[test]
fn a_repeated_success_is_not_the_answer_to_the_next_write_of_the_object() {
    let answers = [answer("200 OK", 7, ""), answer("412 Failed", 9, "")];
    with_store(answers, async |store| {
        let put = |version| {
            let condition = Condition::Version(Revision(version));
            store.put("claims/a", b"x".to_vec(), condition, TIMEOUT)
        };
        assert_eq!(put(6).await, WriteOutcome::Updated(Revision(7)));
        let second = put(7).await;
        assert_matches!(second, WriteOutcome::Conflict(_) | WriteOutcome::Unknown(_));
    });
}

/// Guards against an object that is taken for another one: the table of shard owners of one failure domain for that of the
/// next.
#[test]
fn a_repeated_object_is_not_the_answer_to_the_next_read() {
    let answers = [answer("200 OK", 7, "first"), answer("200 OK", 9, "second")];
    with_store(answers, async |store| {
        let first = store.get("owners/d1", TIMEOUT).await;
        assert_matches!(first, ReadOutcome::Found(object) if object.value == b"first");
        match store.get("owners/d2", TIMEOUT).await {
            ReadOutcome::Found(object) => assert_eq!(object.value, b"second"),
            ReadOutcome::Unreachable(_) => {}
            ReadOutcome::Absent => panic!("no object"),
        }
    });
}

/// Guards against records that are skipped because the answer to the watch of another prefix states a later revision.
#[test]
fn a_repeated_watch_answer_does_not_skip_records_of_another_prefix() {
    let owners = r#"{"objects":[],"revision":20}"#;
    let config = r#"{"objects":[{"path":"config/key/k","version":15,"value":"{}"}],"revision":20}"#;
    let answers = [answer("200 OK", 0, owners), answer("200 OK", 0, config)];
    with_store(answers, async |store| {
        let watch = |prefix| store.changes(prefix, Revision(10), Millis::ZERO, TIMEOUT);
        assert_matches!(watch("owners/").await, ChangesOutcome::Changes { .. });
        match watch("config/").await {
            ChangesOutcome::Changes { objects, .. } => assert_eq!(objects.len(), 1),
            ChangesOutcome::Unreachable(_) => {}
        }
    });
}
