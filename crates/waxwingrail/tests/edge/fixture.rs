//! Test fixture: edge daemons in the test process, with an in-memory registry and fake targets on loopback.
#![allow(dead_code, reason = "each test file uses only some of the items")]

mod target;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use async_executor::Executor;
use async_io::Timer;
use futures_lite::future;
use hyper::{HeaderMap, Request};
use waxwing_http::{Body, Client, ClientLimits, OwnDialect, collect, full};
use waxwing_records::{
    Backend, CallerLimits, Deployment, HostRoute, Registration, RunKind, ServiceSpec, TargetState,
    WorkspaceSpec,
};
use waxwing_store::{Entry, Family, Freshness, ListOutcome, Registry};
use waxwing_testkit::MemoryRegistry;
use waxwing_types::{Incarnation, Millis, MonotonicClock};
use waxwingrail::Workers;
use waxwingrail::edge::{
    EdgeCommand, EdgeComponents, EdgeDaemon, EdgeSettings, parse_command_line,
};

pub(crate) use target::{Target, TargetBehavior};

/// Maximum duration of a test, and of each call of [`wait_until`].
pub(crate) const TEST_TIMEOUT: Duration = Duration::from_mins(1);
/// API key of workspace `w`.
pub(crate) const API_KEY: &str = "k1";

/// Executor, registry and client of one test.
pub(crate) struct Fixture {
    pub(crate) executor: Arc<Executor<'static>>,
    pub(crate) registry: MemoryRegistry,
    pub(crate) client: Client,
    workers: Option<Workers>,
}

/// Runs a test and fails it after [`TEST_TIMEOUT`].
pub(crate) fn run_test<F: Future<Output = ()>>(test: impl FnOnce(Fixture) -> F) {
    let executor = Arc::new(Executor::new());
    let workers = Workers::start(&executor, 2).expect("workers");
    let fixture = Fixture {
        client: Client::new(Arc::clone(&executor), ClientLimits::default()),
        registry: MemoryRegistry::default(),
        workers: Some(workers),
        executor,
    };
    let timeout = async {
        Timer::after(TEST_TIMEOUT).await;
        panic!("the test exceeded {TEST_TIMEOUT:?}");
    };
    async_io::block_on(future::or(test(fixture), timeout));
}

impl Drop for Fixture {
    fn drop(&mut self) {
        if let Some(workers) = self.workers.take() {
            workers.stop();
        }
    }
}

/// Waits until a condition holds. After [`TEST_TIMEOUT`], fails with the description of the condition.
pub(crate) async fn wait_until(description: &str, condition: impl AsyncFn() -> bool) {
    let started = Instant::now();
    while !condition().await {
        assert!(started.elapsed() < TEST_TIMEOUT, "{description}");
        Timer::after(Duration::from_millis(10)).await;
    }
}

/// The settings of a daemon in failure domain `a` of region `r1`. `extra_args` are further command line flags.
pub(crate) fn settings(vm: &str, extra_args: &[&str]) -> EdgeSettings {
    let vm = format!("--vm={vm}");
    let required = [
        vm.as_str(),
        "--domain=a",
        "--region=r1",
        "--domains=a=r1,b=r2",
        "--store=127.0.0.1:1",
        "--listen=127.0.0.1:0",
        "--directory=127.0.0.1:0",
        "--readiness=127.0.0.1:0",
        "--peer=127.0.0.1:0",
    ];
    let args = required.iter().chain(extra_args).map(Into::into).collect();
    match parse_command_line(args, |_| None) {
        Ok(EdgeCommand::Run(settings)) => settings,
        other => panic!("{other:?}"),
    }
}

impl Fixture {
    /// Number of panics in the worker threads.
    pub(crate) fn panic_count(&self) -> u64 {
        let workers = self.workers.as_ref().expect("workers");
        workers.panic_count().load(Ordering::Relaxed)
    }

    pub(crate) async fn start_daemon(&self, vm: &str, incarnation: u64) -> EdgeDaemon {
        self.start_daemon_with(settings(vm, &[]), incarnation).await
    }

    pub(crate) async fn start_daemon_with(
        &self,
        settings: EdgeSettings,
        incarnation: u64,
    ) -> EdgeDaemon {
        let components = EdgeComponents {
            clock: Arc::new(MonotonicClock::new()),
            registry: Arc::new(self.registry.clone()),
            dialect: Arc::new(OwnDialect::default()),
            executor: Arc::clone(&self.executor),
            client: Client::new(Arc::clone(&self.executor), ClientLimits::default()),
            incarnation: Incarnation(incarnation),
        };
        let daemon = EdgeDaemon::start(settings, components).await;
        daemon.expect("a daemon")
    }

    /// Starts daemon `v1` and waits until it is ready.
    pub(crate) async fn ready_daemon(&self) -> EdgeDaemon {
        let daemon = self.start_daemon("v1", 1).await;
        self.wait_until_ready(&daemon).await;
        daemon
    }

    /// Starts daemons `v1` and `v2` together and waits until both are ready.
    pub(crate) async fn two_ready_daemons(&self) -> [EdgeDaemon; 2] {
        let daemons = [
            self.start_daemon("v1", 1).await,
            self.start_daemon("v2", 1).await,
        ];
        for daemon in &daemons {
            self.wait_until_ready(daemon).await;
        }
        daemons
    }

    pub(crate) async fn wait_until_ready(&self, daemon: &EdgeDaemon) {
        wait_until("the daemon is ready", async || {
            self.get(daemon.readiness_address(), "/readyz", "").await.0 == 200
        })
        .await;
    }

    /// Starts a ready daemon with a deployment and the target `t1`.
    pub(crate) async fn daemon_with_target(&self) -> (EdgeDaemon, Target) {
        self.deploy(deployment(1));
        let target = self.start_target("t1", TargetBehavior::Answer).await;
        (self.ready_daemon().await, target)
    }

    /// Waits until a daemon responds with 503 because no target is usable.
    pub(crate) async fn wait_until_no_target(&self, daemon: &EdgeDaemon) {
        wait_until("no target is usable", async || {
            self.call(daemon, "safe").await.status == 503
        })
        .await;
    }

    /// Waits until all watches of a daemon have failed in an outage of the registry.
    pub(crate) async fn wait_until_watches_fail(&self, daemon: &EdgeDaemon) {
        wait_until("the watches have failed", async || {
            let (_, metrics) = self.get(daemon.metrics_address(), "/metrics", "").await;
            Family::ALL.iter().all(|family| {
                let label = format!("family=\"{}\"", family.as_str());
                metrics.lines().any(|line| {
                    line.contains("store_failures")
                        && line.contains(&label)
                        && !line.ends_with(" 0")
                })
            })
        })
        .await;
    }

    /// Starts a fake target and registers the target as ready.
    pub(crate) async fn start_target(&self, id: &str, behavior: TargetBehavior) -> Target {
        let target = Target::start(&self.executor, behavior).await;
        self.register_target(id, target.address, TargetState::Ready);
        target
    }

    /// Creates or replaces the registry entry of a target of service `s` in failure domain `a`.
    pub(crate) fn register_target(&self, id: &str, address: SocketAddr, state: TargetState) {
        self.register_process(id, 1, address, state);
    }

    /// Creates or replaces the registry entry of a process of a target.
    pub(crate) fn register_process(
        &self,
        id: &str,
        incarnation: u64,
        address: SocketAddr,
        state: TargetState,
    ) {
        let entry = Registration {
            id: id.into(),
            incarnation: Incarnation(incarnation),
            service: "s".into(),
            address,
            domain: "a".into(),
            slots: 4,
            state,
            cold_left: Millis::ZERO,
        };
        self.registry.put(Family::Targets, id, Entry::Target(entry));
    }

    /// The address for datagrams of a registered VM.
    pub(crate) async fn peer_address(&self, vm: &str) -> SocketAddr {
        wait_until("the VM is registered", async || {
            self.registry.contains(Family::Vms, vm)
        })
        .await;
        let list = self
            .registry
            .list(Family::Vms, Freshness::Latest, Millis::from_secs(1));
        let ListOutcome::Listed { entries, .. } = list.await.outcome else {
            panic!("no list");
        };
        let peer = entries.into_iter().find_map(|change| match change.entry {
            Some(Entry::Vm(entry)) if entry.id.as_str() == vm => Some(entry.peer),
            _ => None,
        });
        peer.expect("a VM")
    }

    /// Puts a deployment into the registry.
    pub(crate) fn deploy(&self, record: Deployment) {
        self.registry
            .put(Family::Deployment, "main", Entry::Deployment(record));
    }

    /// Sends a request to the route `safe`, `unsafe` or an unknown route, with the API key of workspace `w`.
    pub(crate) async fn call(&self, daemon: &EdgeDaemon, route: &str) -> TestResponse {
        let request = request(route).header("authorization", format!("Bearer {API_KEY}"));
        self.send(
            daemon.caller_address(),
            request.body(full("body")).expect("a request"),
        )
        .await
    }

    pub(crate) async fn send(&self, address: SocketAddr, request: Request<Body>) -> TestResponse {
        let response = match self.client.send(address, request).await {
            Ok(response) => response,
            Err(error) => panic!("{error}"),
        };
        let (head, body) = response.into_parts();
        let body = collect(body, 1 << 20).await;
        TestResponse {
            status: head.status.as_u16(),
            headers: head.headers,
            body: body
                .map(|bytes| String::from_utf8_lossy(&bytes).into_owned())
                .ok(),
        }
    }

    pub(crate) async fn get(&self, address: SocketAddr, path: &str, host: &str) -> (u16, String) {
        let request = Request::get(path).header("host", host).body(full(""));
        let response = self.send(address, request.expect("a request")).await;
        (response.status, response.body.unwrap_or_default())
    }
}

/// A response. `body` is `None` if the connection broke before the end of the body.
pub(crate) struct TestResponse {
    pub(crate) status: u16,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Option<String>,
}

/// A request to a route, without an API key.
pub(crate) fn request(route: &str) -> hyper::http::request::Builder {
    Request::post(format!("/{route}/x"))
        .header("host", "h.example")
        .header("x-request-id", "id-1")
        .header("request-timeout-ms", "1500")
}

/// A deployment with the routes `safe` and `unsafe` to service `s`, and the workspace `w`.
pub(crate) fn deployment(version: u64) -> Deployment {
    let route = |name: &str, kind| HostRoute {
        name: name.into(),
        host: "h.example".into(),
        prefix: format!("/{name}/").into(),
        kind,
        timeout: Millis(1000),
        objective: Millis(400),
        attempts: 2,
        rank: 1,
        public: false,
        affinity: true,
        homes: Vec::new(),
        backends: vec![Backend {
            service: "s".into(),
            weight: 1,
        }],
    };
    Deployment {
        schema: 1,
        version,
        routes: vec![
            route("safe", RunKind::Safe),
            route("unsafe", RunKind::Unsafe),
        ],
        services: vec![ServiceSpec {
            id: "s".into(),
            health: "/health".into(),
            connections: 100,
            cold_time: Millis(3000),
            cold_rate: 10_000,
        }],
        workspaces: Some(vec![WorkspaceSpec {
            id: "w".into(),
            keys: vec![API_KEY.into()],
            rank: 1,
            rate: 1_000_000,
            burst: 1000,
            homes: Vec::new(),
        }]),
        limits: CallerLimits {
            header_bytes: 16_384,
            body_bytes: 1000,
            header_time: Millis(1000),
            idle_time: Millis(1000),
        },
    }
}
