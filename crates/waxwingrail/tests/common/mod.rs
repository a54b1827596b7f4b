//! Test environment: daemons in the test process, an in-memory store, and test targets on loopback.
#![allow(dead_code, reason = "each test file uses only some of the items")]

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
use waxwingrail::{Command, Daemon, DaemonComponents, Settings, Workers, read_settings};

/// Maximum duration of a test.
pub(crate) const TEST_TIMEOUT: Duration = Duration::from_secs(90);
/// Timeout for a call to the in-memory store.
const STORE_TIMEOUT: Millis = Millis::from_secs(2);
/// Maximum size of a response body that a test reads, in bytes.
const MAX_BODY_BYTES: usize = 1 << 20;
/// First port for daemons under test. It is above the ports that the quickstart uses.
const FIRST_PORT: u16 = 25_000;
/// Number of ports for daemons under test. They stay below 32768, where the ephemeral ports begin.
const PORT_COUNT: u16 = 7000;
/// Offset of the next port from `FIRST_PORT`, before it wraps around at `PORT_COUNT`.
static NEXT_PORT_OFFSET: AtomicU16 = AtomicU16::new(0);
/// API key of workspace `acme`.
pub(crate) const KEY: &str = "acme1.secret";

/// Store, HTTP client and worker threads of one test, and the VM list that its daemons see.
pub(crate) struct TestEnv {
    pub(crate) executor: Arc<Executor<'static>>,
    pub(crate) store: MemoryStore,
    pub(crate) client: Client,
    workers: Option<Workers>,
    vms: Vec<Vm>,
}

/// Runs a test with its own environment and fails it after [`TEST_TIMEOUT`].
pub(crate) fn run_test<F: Future<Output = ()>>(test: impl FnOnce(TestEnv) -> F) {
    let executor = Arc::new(Executor::new());
    let workers = Workers::start(&executor, 2).unwrap();
    let env = TestEnv {
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
    async_io::block_on(future::or(test(env), timer));
}

impl Drop for TestEnv {
    fn drop(&mut self) {
        if let Some(workers) = self.workers.take() {
            workers.stop();
        }
    }
}

impl TestEnv {
    /// Starts a target on a free port.
    pub(crate) async fn start_target(&self, settings: TargetSettings) -> Target {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        Target::start(&self.executor, any, settings).await.unwrap()
    }

    /// Creates or replaces a configuration record.
    pub(crate) async fn put_record(&self, kind: &str, name: &str, schema: u32, spec: Value) {
        let record = json!({"schema": schema, "kind": kind, "name": name, "spec": spec});
        self.put_object(&format!("config/{kind}/{name}"), &record)
            .await;
    }

    /// Marks a configuration record as withdrawn.
    pub(crate) async fn withdraw_record(&self, kind: &str, name: &str) {
        let record = json!({"schema": 1, "kind": kind, "name": name, "withdrawn": true});
        self.put_object(&format!("config/{kind}/{name}"), &record)
            .await;
    }

    /// Creates or replaces an object in the store.
    pub(crate) async fn put_object(&self, path: &str, object: &Value) {
        let condition = match self.store.get(path, STORE_TIMEOUT).await {
            ReadOutcome::Found(object) => Condition::Version(object.version),
            ReadOutcome::Absent => Condition::Absent,
            ReadOutcome::Unreachable(reason) => panic!("{reason}"),
        };
        let value = object.to_string().into_bytes();
        let outcome = self.store.put(path, value, condition, STORE_TIMEOUT).await;
        assert!(
            matches!(outcome, WriteOutcome::Created(_) | WriteOutcome::Updated(_)),
            "{outcome:?}"
        );
    }

    /// Writes the records that most tests need: two regions, workspace `acme` with a key, service `shop`.
    pub(crate) async fn put_default_records(&self, targets: &[(&str, &Target)]) {
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

    /// Writes the default records, and service `shop` with one target at an address and with time for slow requests.
    pub(crate) async fn put_shop_at(&self, address: SocketAddr) {
        self.put_default_records(&[]).await;
        let spec = json!({
            "workspaces": [],
            "routes": [
                {"method": "GET", "prefix": "/", "idempotent": true, "timeout_ms": 20_000},
                {"method": "POST", "prefix": "/", "timeout_ms": 20_000}
            ],
            "targets": [{
                "name": "t0", "domain": "d1", "slots": 64, "address": address.to_string()
            }]
        });
        self.put_record("service", "shop", 1, spec).await;
    }

    /// Writes a workspace with a rate limit, and its API key.
    pub(crate) async fn put_workspace(&self, name: &str, rate: u64, key: &str, secret: &str) {
        let limit = json!({"limit": {"rate": rate, "burst": rate}, "domains": ["d1"]});
        self.put_record("workspace", name, 2, limit).await;
        let hash = KeyHash::of(secret).to_string();
        self.put_record("key", key, 1, json!({"workspace": name, "sha256": hash}))
            .await;
    }

    /// Writes a service that the given workspaces may use, with targets in the given failure domains.
    pub(crate) async fn put_service(
        &self,
        name: &str,
        workspaces: &[&str],
        targets: &[(&str, &Target)],
    ) {
        let targets: Vec<_> = targets
            .iter()
            .enumerate()
            .map(|(index, (domain, target))| {
                json!({
                    "name": format!("t{index}"), "domain": domain, "slots": 64,
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

    /// Starts a daemon with extra flags, adds it to the VM list, and waits until it is ready.
    pub(crate) async fn ready_daemon(&mut self, vm: &str, domain: &str, flags: &[&str]) -> Daemon {
        let settings = Self::daemon_settings(vm, domain, flags);
        self.add_to_vm_list(&settings);
        let daemon = self.start_daemon(settings, 1).await;
        let admin = daemon.addresses().admin;
        self.wait_until("ready", async || {
            self.get(admin, "/readyz").await.status() == StatusCode::OK
        })
        .await;
        daemon
    }

    /// Starts a daemon without waiting until it is ready.
    pub(crate) async fn start_daemon(&self, settings: Settings, incarnation: u64) -> Daemon {
        let components = DaemonComponents {
            clock: Arc::new(MonotonicClock::new()),
            store: Arc::new(self.store.clone()),
            executor: Arc::clone(&self.executor),
            client: Client::new(Arc::clone(&self.executor), ClientLimits::default()),
            incarnation: Incarnation(incarnation),
            panic_count: self.workers.as_ref().unwrap().panic_count(),
        };
        Daemon::start(settings, components).await.unwrap()
    }

    /// Settings of a daemon on free ports, with extra flags. Failure domain `d1` is in region `r1`, `d2`
    /// in `r2`.
    pub(crate) fn daemon_settings(vm: &str, domain: &str, flags: &[&str]) -> Settings {
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
        let args = args.iter().map(|(name, value)| format!("--{name}={value}"));
        let args = args.chain(flags.iter().map(ToString::to_string));
        let args = args.map(Into::into).collect();
        // Set as environment variables, because a test can then override them by flags.
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

    /// Adds a VM to the platform's VM list.
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

    /// Version of an object in the store, or `None` if it does not exist.
    pub(crate) async fn object_version(&self, path: &str) -> Option<u64> {
        match self.store.get(path, STORE_TIMEOUT).await {
            ReadOutcome::Found(object) => Some(object.version.0),
            ReadOutcome::Absent => None,
            ReadOutcome::Unreachable(reason) => panic!("{reason}"),
        }
    }

    /// Table of shard owners of a failure domain.
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

    /// Waits until the daemon admits requests of workspace `acme`. A daemon is ready once it has the
    /// configuration; its rate limiter may need longer until it has quota.
    pub(crate) async fn wait_until_admitting(&self, daemon: &Daemon) {
        let address = daemon.addresses().callers;
        self.wait_until("admission", async || {
            let response = self
                .send(address, authed("GET", "/v1/svc/shop/warm", empty()))
                .await;
            response.status() == StatusCode::OK
        })
        .await;
    }

    /// Sends a request that must get a response.
    pub(crate) async fn send(&self, address: SocketAddr, request: Request<Body>) -> Response<Body> {
        self.try_send(address, request).await.unwrap()
    }

    /// Sends a request and returns its response, or the error if there is none.
    pub(crate) async fn try_send(
        &self,
        address: SocketAddr,
        request: Request<Body>,
    ) -> Result<Response<Body>, SendError> {
        self.client.send(address, request).await
    }

    /// Sends a GET request without an API key.
    pub(crate) async fn get(&self, address: SocketAddr, path: &str) -> Response<Body> {
        self.send(address, Request::get(path).body(empty()).unwrap())
            .await
    }

    /// Returns the body of a GET request as text.
    pub(crate) async fn text(&self, address: SocketAddr, path: &str) -> String {
        let response = self.get(address, path).await;
        let body = collect(response.into_body(), MAX_BODY_BYTES).await.unwrap();
        String::from_utf8(body.to_vec()).unwrap()
    }

    /// Value of a metric, given its name and labels as on the metrics page.
    pub(crate) async fn metric(&self, daemon: &Daemon, series: &str) -> f64 {
        let text = self.text(daemon.addresses().admin, "/metrics").await;
        let value = text.lines().find_map(|line| line.strip_prefix(series));
        let value = value.unwrap_or_else(|| panic!("no metric {series} in {text}"));
        value.trim().parse().unwrap()
    }

    /// Waits until a condition holds. Panics with its name after half of [`TEST_TIMEOUT`].
    pub(crate) async fn wait_until(&self, name: &str, condition: impl AsyncFn() -> bool) {
        let start = Instant::now();
        while !condition().await {
            assert!(
                start.elapsed() < TEST_TIMEOUT / 2,
                "timed out waiting for: {name}"
            );
            async_io::Timer::after(Duration::from_millis(10)).await;
        }
    }
}

/// A request that is authenticated with the API key of workspace `acme`.
pub(crate) fn authed(method: &str, path: &str, body: Body) -> Request<Body> {
    Request::builder()
        .method(method)
        .uri(path)
        .header("authorization", format!("Bearer {KEY}"))
        .body(body)
        .unwrap()
}

/// Adds headers to a request.
pub(crate) fn add_headers(
    mut request: Request<Body>,
    headers: &[(&'static str, &str)],
) -> Request<Body> {
    for (name, value) in headers {
        request.headers_mut().append(*name, value.parse().unwrap());
    }
    request
}

/// A request body with this text.
pub(crate) fn text_body(text: &str) -> Body {
    full(text.to_owned())
}

/// Status and parsed problem body of an error response.
pub(crate) async fn problem(response: Response<Body>) -> (StatusCode, Value) {
    let status = response.status();
    let content_type = response.headers()["content-type"].clone();
    let body = collect(response.into_body(), MAX_BODY_BYTES).await.unwrap();
    assert_eq!(content_type, "application/problem+json", "{status}");
    (status, serde_json::from_slice(&body).unwrap())
}

/// Loopback addresses that no other test of this process uses. Their ports are below the ephemeral range,
/// from which the system could give a port to another test between the check here and the bind by the
/// daemon.
fn free_addresses() -> [String; 4] {
    [(); 4].map(|()| {
        loop {
            let port = FIRST_PORT + NEXT_PORT_OFFSET.fetch_add(1, Ordering::Relaxed) % PORT_COUNT;
            let address = SocketAddr::from(([127, 0, 0, 1], port));
            if TcpListener::bind(address).is_ok() {
                return address.to_string();
            }
        }
    })
}
