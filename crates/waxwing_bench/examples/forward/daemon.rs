//! The daemon with one worker thread and the store double in the same process.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;

use async_executor::Executor;
use serde_json::{Value, json};
use waxwing_http::{Client, ClientLimits};
use waxwing_records::KeyHash;
use waxwing_store::{Condition, Store, Vm, VmState, WriteOutcome};
use waxwing_testkit::{Control, MemoryStore};
use waxwing_types::{Incarnation, Millis, MonotonicClock};
use waxwingrail::{Command, Daemon, DaemonComponents, Settings, Workers, read_settings};

/// The key of the workspace.
pub(crate) const KEY: &str = "bench1.secret";
/// Path of the requests.
pub(crate) const PATH: &str = "/v1/svc/shop/item";
/// More than a run can spend.
const RATE: u64 = 10_000_000;

/// Runs the daemon on one thread.
pub(crate) fn run(listen: SocketAddr, to: SocketAddr) -> anyhow::Result<()> {
    let executor = Arc::new(Executor::new());
    let workers = Workers::start(&executor, 1)?;
    let settings = settings(listen)?;
    let panics = workers.panic_count();
    let life = executor.spawn(live(Arc::clone(&executor), panics, settings, to));
    futures_lite::future::block_on(life)
}

async fn live(
    executor: Arc<Executor<'static>>,
    panic_count: Arc<AtomicU64>,
    settings: Settings,
    to: SocketAddr,
) -> anyhow::Result<()> {
    let store = MemoryStore::new();
    fill(&store, &settings, to).await?;
    let limits = ClientLimits {
        idle: 1024,
        ..ClientLimits::default()
    };
    let parts = DaemonComponents {
        clock: Arc::new(MonotonicClock::new()),
        store: Arc::new(store),
        executor: Arc::clone(&executor),
        client: Client::new(Arc::clone(&executor), limits),
        incarnation: Incarnation(1),
        panic_count,
    };
    let _daemon = Daemon::start(settings, parts).await?;
    std::future::pending().await
}

fn settings(listen: SocketAddr) -> anyhow::Result<Settings> {
    let any = "127.0.0.1:0";
    let args = [
        "--vm=vm1".to_owned(),
        "--domain=d1".to_owned(),
        "--region=r1".to_owned(),
        "--store=127.0.0.1:1".to_owned(),
        format!("--listen={listen}"),
        format!("--peer={any}"),
        format!("--peer-http={any}"),
        format!("--admin={any}"),
    ];
    let args = args.into_iter().map(Into::into).collect();
    match read_settings(args, |_| None)? {
        Command::Run(settings) => Ok(settings),
        Command::Check | Command::Print(_) => anyhow::bail!("the settings do not run a daemon"),
    }
}

async fn fill(store: &MemoryStore, settings: &Settings, to: SocketAddr) -> anyhow::Result<()> {
    store.control(Control {
        vms: Some(vec![Vm {
            id: settings.vm.clone(),
            domain: settings.domain.clone(),
            client: settings.listen,
            peer: settings.peer,
            peer_http: settings.peer_http,
            state: VmState::Live,
        }]),
        ..Control::default()
    });
    let region = json!({"domains": [{"name": "d1"}], "spare_rate": 1, "spare_burst": 1});
    put(store, "region", "r1", 1, region).await?;
    let workspace = json!({"limit": {"rate": RATE, "burst": RATE}});
    put(store, "workspace", "bench", 2, workspace).await?;
    let hash = KeyHash::of(KEY).to_string();
    let key = json!({"workspace": "bench", "sha256": hash});
    put(store, "key", "bench1", 1, key).await?;
    let service = json!({
        "routes": [{"method": "GET", "prefix": "/", "idempotent": true, "timeout_ms": 10_000}],
        "targets": [{"name": "t", "domain": "d1", "address": to.to_string(), "slots": 1000}]
    });
    put(store, "service", "shop", 1, service).await
}

async fn put(
    store: &MemoryStore,
    kind: &str,
    name: &str,
    schema: u32,
    spec: Value,
) -> anyhow::Result<()> {
    let record = json!({"schema": schema, "kind": kind, "name": name, "spec": spec});
    let path = format!("config/{kind}/{name}");
    let value = record.to_string().into_bytes();
    let written = store.put(&path, value, Condition::Absent, Millis(1000));
    match written.await {
        WriteOutcome::Created(_) => Ok(()),
        outcome => anyhow::bail!("{path}: {outcome:?}"),
    }
}
