//! The store double and the HTTP adapter against the same expectations.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use assert_matches::assert_matches;
use async_executor::Executor;
use async_io::{Timer, block_on};
use futures_lite::future;
use waxwing_http::{Client, ClientLimits};
use waxwing_store::{
    ChangesOutcome, Condition, HttpStore, ReadOutcome, Store, Vm, VmState, VmsOutcome, WriteOutcome,
};
use waxwing_testkit::{Control, MemoryStore, serve_store};
use waxwing_types::{Millis, Revision};

const SOON: Millis = Millis(2000);

/// Runs a test in process and over HTTP.
fn with_both<F: Future<Output = ()>>(test: impl Fn(Arc<dyn Store>, MemoryStore) -> F) {
    let memory = MemoryStore::new();
    block_on(test(Arc::new(memory.clone()), memory));
    let memory = MemoryStore::new();
    let executor = Arc::new(Executor::new());
    block_on(executor.run(async {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let server = serve_store(&executor, any, memory.clone()).await.unwrap();
        let client = Client::new(Arc::clone(&executor), ClientLimits::default());
        test(
            Arc::new(HttpStore::new(client, server.address())),
            memory.clone(),
        )
        .await;
    }));
}

async fn paths_after(store: &dyn Store, after: u64, wait: u64) -> (Vec<String>, u64) {
    let outcome = store
        .changes("config/", Revision(after), Millis(wait), SOON)
        .await;
    assert_matches!(outcome, ChangesOutcome::Changes { objects, revision, more: false } => {
        (objects.into_iter().map(|o| o.path.into()).collect(), revision.0)
    })
}

fn vm(id: &str) -> Vm {
    let at = |port| SocketAddr::from((Ipv4Addr::LOCALHOST, port));
    Vm {
        id: id.into(),
        domain: "d1".into(),
        client: at(1),
        peer: at(2),
        peer_http: at(3),
        state: VmState::Live,
    }
}

/// Guards against a write that takes effect although its condition does not hold.
#[test]
fn writes_only_under_their_condition() {
    with_both(|store, _| async move {
        let put = |value: &str, when| store.put("config/key/k", value.into(), when, SOON);
        let (v1, v2) = (Revision(1), Revision(2));
        let absent = Condition::Absent;
        assert_eq!(put("x", Condition::Version(v1)).await, WriteOutcome::Absent);
        assert_eq!(put("a", absent).await, WriteOutcome::Created(v1));
        let conflict = WriteOutcome::Conflict(Some(v1));
        assert_eq!(put("b", absent).await, conflict);
        assert_eq!(put("b", Condition::Version(Revision(7))).await, conflict);
        let updated = put("b", Condition::Version(v1)).await;
        assert_eq!(updated, WriteOutcome::Updated(v2));
        assert_matches!(store.get("config/key/k", SOON).await, ReadOutcome::Found(o) => {
            assert_eq!((o.version, o.value), (v2, b"b".to_vec()));
        });
        assert_matches!(
            store.delete("config/key/k", v1, SOON).await,
            WriteOutcome::Conflict(_)
        );
        assert_matches!(
            store.delete("config/key/k", v2, SOON).await,
            WriteOutcome::Updated(_)
        );
        assert_eq!(store.get("config/key/k", SOON).await, ReadOutcome::Absent);
    });
}

/// Guards against a value beyond the store's size or outside UTF-8 that is stored in part.
#[test]
fn refuses_values_that_it_cannot_hold() {
    with_both(|store, _| async move {
        for value in [vec![b'x'; 1_000_001], vec![0xff]] {
            let outcome = store.put("config/key/k", value, Condition::Absent, SOON);
            assert_matches!(outcome.await, WriteOutcome::Rejected { .. });
        }
        assert_eq!(store.get("config/key/k", SOON).await, ReadOutcome::Absent);
    });
}

/// Guards against a watch that misses a change or reports one outside its prefix.
#[test]
fn watch_returns_on_the_next_change_under_its_prefix() {
    with_both(|store, _| async move {
        let put = |path: &'static str| store.put(path, b"{}".to_vec(), Condition::Absent, SOON);
        put("config/key/a").await;
        put("claims/1").await;
        let (paths, revision) = paths_after(&*store, 0, 0).await;
        assert_eq!((paths, revision), (vec!["config/key/a".into()], 2));
        let (paths, _) = paths_after(&*store, 2, 30).await;
        assert!(paths.is_empty());
        let write = async {
            Timer::after(Duration::from_millis(30)).await;
            put("claims/2").await;
            put("config/key/b").await;
        };
        let start = Instant::now();
        let ((paths, revision), ()) = future::zip(paths_after(&*store, 2, 60_000), write).await;
        assert_eq!((paths, revision), (vec!["config/key/b".into()], 4));
        assert!(start.elapsed() < Duration::from_secs(30));
    });
}

/// Guards against a lost answer that is taken for a write that failed.
#[test]
fn lost_answer_leaves_the_outcome_unknown_and_the_write_in_effect() {
    with_both(|store, memory| async move {
        memory.control(Control {
            lose_answers: Some(1),
            lose_prefix: Some("claims/".into()),
            ..Control::default()
        });
        let put = |path: &'static str| store.put(path, b"{}".to_vec(), Condition::Absent, SOON);
        assert_matches!(put("config/key/a").await, WriteOutcome::Created(_));
        assert_matches!(put("claims/1").await, WriteOutcome::Unknown(_));
        assert_matches!(store.get("claims/1", SOON).await, ReadOutcome::Found(_));
        assert_matches!(put("claims/2").await, WriteOutcome::Created(_));
    });
}

/// Guards against a slow answer that exceeds the caller's deadline or hides that the write is done.
#[test]
fn deadline_ends_a_slow_write_with_an_unknown_outcome() {
    with_both(|store, memory| async move {
        let delay = |ms| Control {
            delay_ms: Some(ms),
            ..Control::default()
        };
        memory.control(delay(500));
        let start = Instant::now();
        let put = store.put("claims/1", b"{}".to_vec(), Condition::Absent, Millis(50));
        assert_matches!(put.await, WriteOutcome::Unknown(_));
        assert!(start.elapsed() < Duration::from_millis(400));
        memory.control(delay(0));
        assert_matches!(store.get("claims/1", SOON).await, ReadOutcome::Found(_));
    });
}

/// Guards against an outage that leaves watches hanging or writes half done.
#[test]
fn outage_fails_every_call_without_effect() {
    with_both(|store, memory| async move {
        let outage = |on| Control {
            outage: Some(on),
            ..Control::default()
        };
        let start = async {
            Timer::after(Duration::from_millis(30)).await;
            memory.control(outage(true));
        };
        let watch = store.changes("config/", Revision(0), Millis(60_000), SOON);
        let (watched, ()) = future::zip(watch, start).await;
        assert_matches!(watched, ChangesOutcome::Unreachable(_));
        let put = store.put("claims/1", b"{}".to_vec(), Condition::Absent, SOON);
        assert_matches!(
            put.await,
            WriteOutcome::Unreachable(_) | WriteOutcome::Unknown(_)
        );
        assert_matches!(store.vms(SOON).await, VmsOutcome::Unreachable(_));
        memory.control(outage(false));
        assert_eq!(store.get("claims/1", SOON).await, ReadOutcome::Absent);
    });
}

/// Guards against a list of VMs that shows a change before its lag is over, or never.
#[test]
fn list_of_vms_lags() {
    with_both(|store, memory| async move {
        let vms = |list, lag| Control {
            vms: Some(list),
            vms_lag_ms: Some(lag),
            ..Control::default()
        };
        memory.control(vms(vec![vm("a")], 0));
        memory.control(vms(vec![vm("a"), vm("b")], 60));
        assert_matches!(store.vms(SOON).await, VmsOutcome::Listed(list) => assert_eq!(list.len(), 1));
        Timer::after(Duration::from_millis(80)).await;
        assert_matches!(store.vms(SOON).await, VmsOutcome::Listed(list) => assert_eq!(list.len(), 2));
    });
}

/// Guards against a refused connection that is reported as a write that may have taken effect.
#[test]
fn refused_connection_is_unreachable() {
    let executor = Arc::new(Executor::new());
    block_on(executor.run(async {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let free = std::net::TcpListener::bind(any)
            .unwrap()
            .local_addr()
            .unwrap();
        let client = Client::new(Arc::clone(&executor), ClientLimits::default());
        let store = HttpStore::new(client, free);
        let put = store.put("claims/1", b"{}".to_vec(), Condition::Absent, SOON);
        assert_matches!(put.await, WriteOutcome::Unreachable(_));
    }));
}
