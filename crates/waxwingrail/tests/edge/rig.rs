//! Fixtures: edge daemons in this process, with doubles of registry and targets over loopback.
#![allow(dead_code, reason = "each test file uses a part")]

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_executor::Executor;
use async_io::Timer;
use futures_lite::future;
use hyper::body::Incoming;
use hyper::{HeaderMap, Request, Response, StatusCode};
use waxwing_http::{
    Body, Client, ClientLimits, Handler, OwnDialect, Server, ServerLimits, collect, full,
};
use waxwing_records::{
    Backend, CallerLimits, Deployment, HostRoute, Registration, RunKind, ServiceSpec, TargetState,
    WorkspaceSpec,
};
use waxwing_store::{Entry, Family};
use waxwing_testkit::MemoryRegistry;
use waxwing_types::{Incarnation, Millis, MonotonicClock};
use waxwingrail::Workers;
use waxwingrail::edge::{EdgeCommand, EdgeDaemon, EdgeParts, EdgeSettings, read};

/// Bound on any wait of a test.
pub(crate) const PATIENCE: Duration = Duration::from_mins(1);
/// The key of workspace `w`.
pub(crate) const KEY: &str = "k1";

/// Registry, client and worker threads of one test.
pub(crate) struct Rig {
    pub(crate) executor: Arc<Executor<'static>>,
    pub(crate) registry: MemoryRegistry,
    pub(crate) client: Client,
    workers: Option<Workers>,
}

/// Runs a test, bounded in time.
pub(crate) fn run<F: Future<Output = ()>>(test: impl FnOnce(Rig) -> F) {
    let executor = Arc::new(Executor::new());
    let workers = Workers::start(&executor, 2).expect("workers");
    let rig = Rig {
        client: Client::new(Arc::clone(&executor), ClientLimits::default()),
        registry: MemoryRegistry::default(),
        workers: Some(workers),
        executor,
    };
    let timer = async {
        Timer::after(PATIENCE).await;
        panic!("the test exceeded {PATIENCE:?}");
    };
    async_io::block_on(future::or(test(rig), timer));
}

impl Drop for Rig {
    fn drop(&mut self) {
        if let Some(workers) = self.workers.take() {
            workers.stop();
        }
    }
}

/// Waits for a condition.
pub(crate) async fn until(what: &str, condition: impl AsyncFn() -> bool) {
    let began = Instant::now();
    while !condition().await {
        assert!(began.elapsed() < PATIENCE, "{what}");
        Timer::after(Duration::from_millis(10)).await;
    }
}

pub(crate) fn settings(vm: &str, more: &[&str]) -> EdgeSettings {
    let vm = format!("--vm={vm}");
    let least = [
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
    let args = least.iter().chain(more).map(Into::into).collect();
    match read(args, |_| None) {
        Ok(EdgeCommand::Run(settings)) => settings,
        other => panic!("{other:?}"),
    }
}

impl Rig {
    /// Starts a daemon.
    pub(crate) async fn daemon(&self, vm: &str, incarnation: u64) -> EdgeDaemon {
        let parts = EdgeParts {
            clock: Arc::new(MonotonicClock::new()),
            registry: Arc::new(self.registry.clone()),
            dialect: Arc::new(OwnDialect::default()),
            executor: Arc::clone(&self.executor),
            client: Client::new(Arc::clone(&self.executor), ClientLimits::default()),
            incarnation: Incarnation(incarnation),
        };
        let daemon = EdgeDaemon::start(settings(vm, &[]), parts).await;
        daemon.expect("a daemon")
    }

    /// Starts a daemon and waits until it is ready.
    pub(crate) async fn ready(&self) -> EdgeDaemon {
        let daemon = self.daemon("v1", 1).await;
        self.await_ready(&daemon).await;
        daemon
    }

    pub(crate) async fn await_ready(&self, daemon: &EdgeDaemon) {
        until("the daemon is ready", async || {
            self.get(daemon.readiness(), "/readyz", "").await.0 == 200
        })
        .await;
    }

    /// A daemon with a deployment and the target `t1`.
    pub(crate) async fn served(&self) -> (EdgeDaemon, Target) {
        self.deploy(deployment(1));
        let target = self.target("t1", Manner::Well).await;
        (self.ready().await, target)
    }

    /// Waits until a daemon has no target to send to.
    pub(crate) async fn await_no_target(&self, daemon: &EdgeDaemon) {
        until("no target is left", async || {
            self.call(daemon, "safe").await.status == 503
        })
        .await;
    }

    /// Starts a target and registers it.
    pub(crate) async fn target(&self, id: &str, manner: Manner) -> Target {
        let target = Target::start(&self.executor, manner).await;
        self.register(id, target.address, TargetState::Ready);
        target
    }

    pub(crate) fn register(&self, id: &str, address: SocketAddr, state: TargetState) {
        let entry = Registration {
            id: id.into(),
            incarnation: Incarnation(1),
            service: "s".into(),
            address,
            domain: "a".into(),
            slots: 4,
            state,
            cold_left: Millis::ZERO,
        };
        self.registry.put(Family::Targets, id, Entry::Target(entry));
    }

    pub(crate) fn deploy(&self, record: Deployment) {
        self.registry
            .put(Family::Deployment, "main", Entry::Deployment(record));
    }

    /// A request on route `kind` with the key of workspace `w`.
    pub(crate) async fn call(&self, daemon: &EdgeDaemon, kind: &str) -> Answer {
        let request = request(kind).header("authorization", format!("Bearer {KEY}"));
        self.send(
            daemon.address(),
            request.body(full("body")).expect("a request"),
        )
        .await
    }

    pub(crate) async fn send(&self, address: SocketAddr, request: Request<Body>) -> Answer {
        let response = match self.client.send(address, request).await {
            Ok(response) => response,
            Err(error) => panic!("{error}"),
        };
        let (head, body) = response.into_parts();
        let body = collect(body, 1 << 20).await;
        Answer {
            status: head.status.as_u16(),
            headers: head.headers,
            body: body
                .map(|bytes| String::from_utf8_lossy(&bytes).into_owned())
                .ok(),
        }
    }

    pub(crate) async fn get(&self, address: SocketAddr, path: &str, host: &str) -> (u16, String) {
        let request = Request::get(path).header("host", host).body(full(""));
        let answer = self.send(address, request.expect("a request")).await;
        (answer.status, answer.body.unwrap_or_default())
    }
}

/// An answer that was read to its end. Without a body if it broke off.
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Option<String>,
}

pub(crate) fn request(kind: &str) -> hyper::http::request::Builder {
    Request::post(format!("/{kind}/x"))
        .header("host", "h.example")
        .header("x-request-id", "id-1")
        .header("request-timeout-ms", "1500")
}

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
            keys: vec![KEY.into()],
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

/// How a target answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Manner {
    /// With 200.
    Well,
    /// That it did not run the request.
    Shedding,
    /// With the id of another request.
    OtherId,
    /// Not at all; the connection breaks after the request.
    Breaking,
    /// Not until the connection ends.
    Never,
    /// With 500.
    Failing,
    /// After this many milliseconds.
    After(u64),
}

/// A request that a target got.
#[derive(Clone, Debug)]
pub(crate) struct Got {
    pub(crate) headers: HeaderMap,
}

#[derive(Default)]
struct TargetLog {
    got: Vec<Got>,
    open: usize,
}

/// A target double.
pub(crate) struct Target {
    pub(crate) address: SocketAddr,
    state: Arc<Mutex<TargetLog>>,
}

struct Answering {
    manner: Manner,
    state: Arc<Mutex<TargetLog>>,
}

impl Target {
    async fn start(executor: &Arc<Executor<'static>>, manner: Manner) -> Self {
        let state: Arc<Mutex<TargetLog>> = Arc::default();
        let handler = Arc::new(Answering {
            manner,
            state: Arc::clone(&state),
        });
        let any = "127.0.0.1:0".parse().expect("an address");
        let server = Server::start(executor, any, ServerLimits::default(), handler).await;
        Self {
            address: server.expect("a server").address(),
            state,
        }
    }

    /// The requests that it got.
    pub(crate) fn got(&self) -> Vec<Got> {
        self.state.lock().expect("state").got.clone()
    }

    /// Requests that it is working on.
    pub(crate) fn open(&self) -> usize {
        self.state.lock().expect("state").open
    }
}

struct Open(Arc<Mutex<TargetLog>>);

impl Drop for Open {
    fn drop(&mut self) {
        self.0.lock().expect("state").open -= 1;
    }
}

impl Handler for Answering {
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
        _peer: SocketAddr,
    ) -> Pin<Box<dyn Future<Output = Response<Body>> + Send>> {
        Box::pin(async move {
            let headers = request.headers().clone();
            let id = headers.get("x-request-id").cloned();
            {
                let mut state = self.state.lock().expect("state");
                state.got.push(Got { headers });
                state.open += 1;
            }
            let _open = Open(Arc::clone(&self.state));
            let mut response = Response::new(full("answer"));
            if let Some(id) = id {
                response.headers_mut().insert("x-request-id", id);
            }
            match self.manner {
                Manner::Well => {}
                Manner::Shedding => {
                    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
                    let one = "1".parse().expect("a value");
                    response.headers_mut().insert("x-not-run", one);
                }
                Manner::OtherId => {
                    let other = "id-2".parse().expect("a value");
                    response.headers_mut().insert("x-request-id", other);
                }
                // A worker ends the task, and with it the connection.
                Manner::Breaking => panic!("the target breaks its connection"),
                Manner::Never => future::pending().await,
                Manner::Failing => *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR,
                Manner::After(ms) => {
                    Timer::after(Duration::from_millis(ms)).await;
                }
            }
            response
        })
    }
}
