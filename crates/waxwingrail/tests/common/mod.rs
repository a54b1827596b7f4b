//! Fixtures: daemons in this process, with doubles of store and targets over loopback.
#![allow(dead_code, reason = "each test file uses a part")]

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

use async_executor::Executor;
use futures_lite::future;
use hyper::{Request, Response, StatusCode};
use serde_json::{Value, json};
use waxwing_core::OwnersTable;
use waxwing_http::{Body, Client, ClientLimits, SendError, collect, empty, full};
use waxwing_records::KeyHash;
use waxwing_store::{Condition, ReadOutcome, Store, Vm, VmState, WriteOutcome};
use waxwing_testkit::{Control, MemoryStore, Target, TargetSettings};
use waxwing_types::{Incarnation, Millis, MonotonicClock};
use waxwingrail::{Command, Daemon, Dependencies, Settings, Workers, read_settings};

/// Bound on any wait of a test.
pub(crate) const TEST_TIMEOUT: Duration = Duration::from_secs(90);
/// Time for a call to the store double.
const STORE_TIMEOUT: Millis = Millis::from_secs(2);
/// Greatest body that a test reads.
const MAX_BODY_BYTES: usize = 1 << 20;
/// First port of daemons under test: above those of the quickstart.
const FIRST_PORT: u16 = 25_000;
/// Number of ports of daemons under test: the system hands out ports from 32768 on.
const PORTS: u16 = 7000;
/// Number of the next port.
static NEXT_PORT: AtomicU16 = AtomicU16::new(0);
/// The key of workspace `acme`.
pub(crate) const KEY: &str = "acme1.secret";

/// Store, targets, client and worker threads of one test.
pub(crate) struct TestEnv {
    pub(crate) executor: Arc<Executor<'static>>,
    pub(crate) store: MemoryStore,
    pub(crate) client: Client,
    workers: Option<Workers>,
    vms: Vec<Vm>,
}

/// Runs a test, bounded in time.
pub(crate) fn run_test<F: Future<Output = ()>>(test: impl FnOnce(TestEnv) -> F) {
    let executor = Arc::new(Executor::new());
    let workers = Workers::start(&executor, 2).unwrap();
    let rig = TestEnv {
        client: Client::new(Arc::clone(&executor), ClientLimits::default()),
        store: MemoryStore::new(),
        workers: Some(workers),
        vms: Vec::new(),
        executor,
    };
    let timer = async {
        async_io::Timer::after(TEST_TIMEOUT).await;
        panic!("the test exceeded {TEST_TIMEOUT:?}");
    };
    async_io::block_on(future::or(test(rig), timer));
}

impl Drop for TestEnv {
    fn drop(&mut self) {
        if let Some(workers) = self.workers.take() {
            workers.stop();
        }
    }
}

impl TestEnv {
    /// A target of domain `d1` with default behaviour.
    pub(crate) async fn start_target(&self, settings: TargetSettings) -> Target {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        Target::start(&self.executor, any, settings).await.unwrap()
    }

    /// Writes a record, whether or not it exists.
    pub(crate) async fn put_record(&self, kind: &str, name: &str, schema: u32, spec: Value) {
        let record = json!({"schema": schema, "kind": kind, "name": name, "spec": spec});
        self.put_object(&format!("config/{kind}/{name}"), &record)
            .await;
    }

    pub(crate) async fn withdraw_record(&self, kind: &str, name: &str) {
        let record = json!({"schema": 1, "kind": kind, "name": name, "withdrawn": true});
        self.put_object(&format!("config/{kind}/{name}"), &record)
            .await;
    }

    pub(crate) async fn put_object(&self, path: &str, record: &Value) {
        let condition = match self.store.get(path, STORE_TIMEOUT).await {
            ReadOutcome::Found(object) => Condition::Version(object.version),
            ReadOutcome::Absent => Condition::Absent,
            ReadOutcome::Unreachable(reason) => panic!("{reason}"),
        };
        let value = record.to_string().into_bytes();
        let outcome = self.store.put(path, value, condition, STORE_TIMEOUT).await;
        assert!(
            matches!(outcome, WriteOutcome::Created(_) | WriteOutcome::Updated(_)),
            "{outcome:?}"
        );
    }

    /// The records that most tests need: two regions, a workspace with a key, a service `shop`.
    pub(crate) async fn put_base_records(&self, targets: &[(&str, &Target)]) {
        for (region, domain, to) in [("r1", "d1", "r2"), ("r2", "d2", "r1")] {
            let spec = json!({
                "domains": [{"name": domain}], "spare_rate": 1000, "spare_burst": 1000,
                "links": [{"to": to, "mbits": 100}]
            });
            self.put_record("region", region, 1, spec).await;
        }
        self.put_workspace("acme", 100_000, "acme1", KEY).await;
        self.put_service("shop", &[], targets).await;
    }

    pub(crate) async fn put_workspace(&self, name: &str, rate: u64, key: &str, secret: &str) {
        let limit = json!({"limit": {"rate": rate, "burst": rate}, "domains": ["d1"]});
        self.put_record("workspace", name, 2, limit).await;
        let hash = KeyHash::of(secret).to_string();
        self.put_record("key", key, 1, json!({"workspace": name, "sha256": hash}))
            .await;
    }

    pub(crate) async fn put_service(
        &self,
        name: &str,
        workspaces: &[&str],
        targets: &[(&str, &Target)],
    ) {
        let targets: Vec<_> = targets
            .iter()
            .enumerate()
            .map(|(i, (domain, target))| {
                json!({
                    "name": format!("t{i}"), "domain": domain, "slots": 64,
                    "address": target.address().to_string()
                })
            })
            .collect();
        let routes = json!([
            {"method": "GET", "prefix": "/", "idempotent": true, "timeout_ms": 20_000},
            {"method": "GET", "prefix": "/open", "idempotent": true, "public": true, "timeout_ms": 20_000},
            {"method": "PUT", "prefix": "/", "idempotent": true, "timeout_ms": 30_000},
            {"method": "POST", "prefix": "/", "timeout_ms": 20_000},
            {"method": "POST", "prefix": "/once", "key_required": true, "timeout_ms": 20_000}
        ]);
        let spec = json!({"workspaces": workspaces, "routes": routes, "targets": targets});
        self.put_record("service", name, 1, spec).await;
    }

    /// Starts a daemon and waits until it is ready and can spend quota.
    pub(crate) async fn ready_daemon(&mut self, vm: &str, domain: &str, more: &[&str]) -> Daemon {
        let settings = Self::daemon_settings(vm, domain, more);
        self.add_to_vm_list(&settings);
        let daemon = self.start_daemon(settings, 1).await;
        let admin = daemon.addresses().admin;
        self.wait_until("ready", async || {
            self.get(admin, "/readyz").await.status() == StatusCode::OK
        })
        .await;
        daemon
    }

    pub(crate) async fn start_daemon(&self, settings: Settings, incarnation: u64) -> Daemon {
        let dependencies = Dependencies {
            clock: Arc::new(MonotonicClock::new()),
            store: Arc::new(self.store.clone()),
            executor: Arc::clone(&self.executor),
            client: Client::new(Arc::clone(&self.executor), ClientLimits::default()),
            incarnation: Incarnation(incarnation),
            panic_count: self.workers.as_ref().unwrap().panic_count(),
        };
        Daemon::start(settings, dependencies).await.unwrap()
    }

    /// Settings with free ports.
    pub(crate) fn daemon_settings(vm: &str, domain: &str, more: &[&str]) -> Settings {
        let [listen, peer, peer_http, admin] = free_addresses();
        let region = domain.replace('d', "r");
        let args = [
            ("vm", vm.to_owned()),
            ("domain", domain.to_owned()),
            ("region", region),
            ("store", "127.0.0.1:1".to_owned()),
            ("listen", listen),
            ("peer", peer),
            ("peer-http", peer_http),
            ("admin", admin),
        ];
        let args = args.iter().map(|(k, v)| format!("--{k}={v}"));
        let args = args.chain(more.iter().map(ToString::to_string));
        let args = args.map(Into::into).collect();
        // Variables, so that a test may set them by flags.
        let env = |name: &str| match name {
            "WAXWINGRAIL_DRAIN_NOTICE_MS" => Some("50".into()),
            "WAXWINGRAIL_LOAD_PERIOD_MS" => Some("200".into()),
            _ => None,
        };
        match read_settings(args, env) {
            Ok(Command::Run(settings)) => settings,
            other => panic!("{other:?}"),
        }
    }

    /// Puts a VM on the platform's list.
    pub(crate) fn add_to_vm_list(&mut self, settings: &Settings) {
        self.vms.push(Vm {
            id: settings.vm.clone(),
            domain: settings.domain.clone(),
            client: settings.listen,
            peer: settings.peer,
            peer_http: settings.peer_http,
            state: VmState::Live,
        });
        self.store.control(Control {
            vms: Some(self.vms.clone()),
            ..Control::default()
        });
    }

    /// Version of an object in the store.
    pub(crate) async fn object_version(&self, path: &str) -> Option<u64> {
        match self.store.get(path, STORE_TIMEOUT).await {
            ReadOutcome::Found(object) => Some(object.version.0),
            ReadOutcome::Absent => None,
            ReadOutcome::Unreachable(reason) => panic!("{reason}"),
        }
    }

    /// The table of owners of a failure domain.
    pub(crate) async fn owners_table(&self, domain: &str) -> OwnersTable {
        match self
            .store
            .get(&format!("owners/{domain}"), STORE_TIMEOUT)
            .await
        {
            ReadOutcome::Found(object) => OwnersTable::parse(&object.value).unwrap(),
            other => panic!("{other:?}"),
        }
    }

    /// Waits until requests of workspace `acme` are admitted.
    pub(crate) async fn wait_until_admitted(&self, daemon: &Daemon) {
        let at = daemon.addresses().callers;
        self.wait_until("admission", async || {
            let response = self
                .send(at, authed("GET", "/v1/svc/shop/warm", empty()))
                .await;
            response.status() == StatusCode::OK
        })
        .await;
    }

    pub(crate) async fn send(&self, at: SocketAddr, request: Request<Body>) -> Response<Body> {
        self.try_send(at, request).await.unwrap()
    }

    pub(crate) async fn try_send(
        &self,
        at: SocketAddr,
        request: Request<Body>,
    ) -> Result<Response<Body>, SendError> {
        self.client.send(at, request).await
    }

    pub(crate) async fn get(&self, at: SocketAddr, path: &str) -> Response<Body> {
        self.send(at, Request::get(path).body(empty()).unwrap())
            .await
    }

    pub(crate) async fn text(&self, at: SocketAddr, path: &str) -> String {
        let response = self.get(at, path).await;
        let body = collect(response.into_body(), MAX_BODY_BYTES).await.unwrap();
        String::from_utf8(body.to_vec()).unwrap()
    }

    /// The value of a metric.
    pub(crate) async fn metric(&self, daemon: &Daemon, line: &str) -> f64 {
        let text = self.text(daemon.addresses().admin, "/metrics").await;
        let found = text.lines().find_map(|l| l.strip_prefix(line));
        let found = found.unwrap_or_else(|| panic!("no {line} in {text}"));
        found.trim().parse().unwrap()
    }

    /// Waits for a condition.
    pub(crate) async fn wait_until(&self, what: &str, condition: impl AsyncFn() -> bool) {
        let begun = Instant::now();
        while !condition().await {
            assert!(begun.elapsed() < TEST_TIMEOUT / 2, "never: {what}");
            async_io::Timer::after(Duration::from_millis(10)).await;
        }
    }
}

/// A request with the key of `acme`.
pub(crate) fn authed(method: &str, path: &str, body: Body) -> Request<Body> {
    Request::builder()
        .method(method)
        .uri(path)
        .header("authorization", format!("Bearer {KEY}"))
        .body(body)
        .unwrap()
}

/// A request with headers.
pub(crate) fn add_headers(
    mut request: Request<Body>,
    headers: &[(&'static str, &str)],
) -> Request<Body> {
    for (name, value) in headers {
        request.headers_mut().append(*name, value.parse().unwrap());
    }
    request
}

pub(crate) fn text_body(text: &str) -> Body {
    full(text.to_owned())
}

/// Status and problem body of a response.
pub(crate) async fn problem(response: Response<Body>) -> (StatusCode, Value) {
    let status = response.status();
    let kind = response.headers()["content-type"].clone();
    let body = collect(response.into_body(), MAX_BODY_BYTES).await.unwrap();
    assert_eq!(kind, "application/problem+json", "{status}");
    (status, serde_json::from_slice(&body).unwrap())
}

/// Addresses that no other test of this process gets. Their ports lie below those that the system hands
/// out for port 0: between the choice and the daemon's bind another test would be given one of those.
fn free_addresses() -> [String; 4] {
    [(); 4].map(|()| {
        loop {
            let port = FIRST_PORT + NEXT_PORT.fetch_add(1, Ordering::Relaxed) % PORTS;
            let address = SocketAddr::from(([127, 0, 0, 1], port));
            if TcpListener::bind(address).is_ok() {
                return address.to_string();
            }
        }
    })
}
