//! A target double over HTTP, with its life cycle of crashes and restarts.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_executor::Executor;
use async_io::Timer;
use futures_lite::FutureExt;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::http::request::Parts;
use hyper::{Method, Request, Response, StatusCode};
use waxwing_http::{Body, Handler, Server, ServerLimits, collect, empty, full};
use waxwing_types::{Clock, Millis, MonotonicClock};

use super::state::{Slot, State, lock};
use super::{Load, RunEnd, Runs, TargetControl, TargetSettings};
use crate::http::{broken, query, text, to_json};

/// Bytes at the start and at the end of a body that are searched for poison.
const POISON_BYTES: usize = 4096;
/// Id of a request, which the target returns.
const REQUEST_ID: &str = "x-request-id";
/// Most bytes of a command.
const MAX_CONTROL_BYTES: usize = 64 * 1024;
/// Most bytes of a response body.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;
/// Time for connections to end at a crash; after that the next start goes ahead.
const CRASH_WAIT: Duration = Duration::from_secs(1);
/// Pause between attempts to bind the address again.
const BIND_PAUSE: Duration = Duration::from_millis(20);

struct Inner {
    state: Arc<Mutex<State>>,
    clock: MonotonicClock,
    /// Closed at a crash, replaced at the next start.
    crash: Mutex<(Sender<()>, Receiver<()>)>,
    server: Mutex<Option<Server>>,
    executor: Arc<Executor<'static>>,
}

/// A running target double. Clones stand for the same target.
#[derive(Clone)]
pub struct Target {
    inner: Arc<Inner>,
    address: SocketAddr,
}

/// Queries.
impl Target {
    /// The bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// What it ran.
    pub fn runs(&self) -> Runs {
        lock(&self.inner.state).runs()
    }

    /// What it reports.
    pub fn load(&self) -> Load {
        lock(&self.inner.state).load()
    }
}

/// Commands.
impl Target {
    /// Starts a target.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub async fn start(
        executor: &Arc<Executor<'static>>,
        address: SocketAddr,
        settings: TargetSettings,
    ) -> io::Result<Self> {
        let clock = MonotonicClock::new();
        let inner = Arc::new(Inner {
            state: Arc::new(Mutex::new(State::new(settings, clock.now()))),
            clock,
            crash: Mutex::new(async_channel::bounded(1)),
            server: Mutex::new(None),
            executor: Arc::clone(executor),
        });
        let server = inner.serve(address).await?;
        let address = server.address();
        *lock(&inner.server) = Some(server);
        Ok(Self { inner, address })
    }

    /// Changes its behaviour.
    pub fn control(&self, control: &TargetControl) {
        self.inner.control(control);
    }
}

impl Inner {
    async fn serve(self: &Arc<Self>, address: SocketAddr) -> io::Result<Server> {
        let handler = Arc::new(TargetHandler {
            inner: Arc::clone(self),
        });
        Server::start(&self.executor, address, ServerLimits::default(), handler).await
    }

    fn control(self: &Arc<Self>, control: &TargetControl) {
        lock(&self.state).control(control);
        if control.crash {
            self.crash();
        }
    }

    /// Breaks every connection, and starts again after the time down.
    fn crash(self: &Arc<Self>) {
        // A second crash before the next start finds no server.
        let Some(server) = lock(&self.server).take() else {
            return;
        };
        server.stop_accepting();
        lock(&self.crash).0.close();
        let inner = Arc::clone(self);
        self.executor.spawn(inner.restart(server)).detach();
    }

    async fn restart(self: Arc<Self>, server: Server) {
        let wait = async {
            Timer::after(CRASH_WAIT).await;
        };
        server.shutdown().or(wait).await;
        let down = lock(&self.state).settings.down;
        Timer::after(down.duration()).await;
        *lock(&self.crash) = async_channel::bounded(1);
        lock(&self.state).started = self.clock.now();
        loop {
            match self.serve(server.address()).await {
                Ok(server) => {
                    *lock(&self.server) = Some(server);
                    return;
                }
                Err(_) => Timer::after(BIND_PAUSE).await,
            };
        }
    }

    fn crashed(&self) -> Receiver<()> {
        lock(&self.crash).1.clone()
    }
}

struct TargetHandler {
    inner: Arc<Inner>,
}

impl Handler for TargetHandler {
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
        _peer: SocketAddr,
    ) -> Pin<Box<dyn Future<Output = Response<Body>> + Send>> {
        Box::pin(async move { self.route(request).await })
    }
}

impl TargetHandler {
    async fn route(&self, request: Request<Incoming>) -> Response<Body> {
        let (head, body) = request.into_parts();
        match (&head.method, head.uri.path()) {
            (&Method::GET, "/load") => to_json(&lock(&self.inner.state).load()),
            (&Method::GET, "/ran") => to_json(&lock(&self.inner.state).runs()),
            (&Method::GET, "/healthz") => self.health(),
            (&Method::POST, "/control") => self.control(body).await,
            _ => self.work(head, body).await,
        }
    }

    fn health(&self) -> Response<Body> {
        if lock(&self.inner.state).settings.draining {
            return text(StatusCode::SERVICE_UNAVAILABLE, "draining");
        }
        text(StatusCode::OK, "ok")
    }

    async fn control(&self, body: Incoming) -> Response<Body> {
        let Ok(body) = collect(body, MAX_CONTROL_BYTES).await else {
            return text(StatusCode::BAD_REQUEST, "cannot read the body");
        };
        match serde_json::from_slice(&body) {
            Ok(control) => {
                self.inner.control(&control);
                Response::new(empty())
            }
            Err(error) => text(StatusCode::BAD_REQUEST, &error.to_string()),
        }
    }

    /// Runs a request that the daemon sent, or sheds it.
    /// Handles a request, and returns its id.
    async fn work(&self, head: Parts, body: Incoming) -> Response<Body> {
        let id = head.headers.get(REQUEST_ID).cloned();
        let mut response = self.work_without_id(head, body).await;
        if let Some(id) = id {
            response.headers_mut().insert(REQUEST_ID, id);
        }
        response
    }

    async fn work_without_id(&self, head: Parts, body: Incoming) -> Response<Body> {
        let crashed = self.inner.crashed();
        let Some(slot) = Slot::take(&self.inner.state, &head) else {
            return shed();
        };
        let crash = async {
            let _closed = crashed.recv().await;
            RunEnd::Crashed
        };
        let end = self.run(&head, body, &slot).or(crash).await;
        slot.end(end);
        match end {
            RunEnd::Answered => self.answer(&head),
            RunEnd::Expired => text(StatusCode::GATEWAY_TIMEOUT, "deadline passed"),
            RunEnd::Running | RunEnd::Cancelled | RunEnd::Crashed => broken(),
        }
    }

    async fn run(&self, head: &Parts, mut body: Incoming, slot: &Slot) -> RunEnd {
        let mut start = head.uri.to_string().into_bytes();
        let mut end = Vec::new();
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else {
                return RunEnd::Cancelled;
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            slot.received(data.len() as u64);
            let room = POISON_BYTES.saturating_sub(start.len());
            start.extend_from_slice(&data[..data.len().min(room)]);
            end.extend_from_slice(&data[data.len().saturating_sub(POISON_BYTES)..]);
            end.drain(..end.len().saturating_sub(POISON_BYTES));
        }
        let is_poison = {
            let state = lock(&self.inner.state);
            state.is_poison(&start) || state.is_poison(&end)
        };
        if is_poison {
            self.inner.crash();
            return RunEnd::Crashed;
        }
        let (latency, deadline) = self.times(head);
        Timer::after(latency.min(deadline).duration()).await;
        if deadline < latency {
            return RunEnd::Expired;
        }
        RunEnd::Answered
    }

    /// Time to run the request and time allowed for it.
    fn times(&self, head: &Parts) -> (Millis, Millis) {
        let asked = number(head, "latency_ms").map(Millis);
        let own = lock(&self.inner.state).latency(self.inner.clock.now());
        let deadline = head.headers.get("request-timeout-ms");
        let deadline = deadline.and_then(|v| v.to_str().ok()?.parse().ok());
        (asked.unwrap_or(own), deadline.map_or(Millis::MAX, Millis))
    }

    fn answer(&self, head: &Parts) -> Response<Body> {
        let name = lock(&self.inner.state).settings.name.clone();
        let mut response = match number(head, "bytes") {
            Some(bytes) => {
                let bytes = usize::try_from(bytes).unwrap_or(usize::MAX);
                Response::new(full(vec![b'.'; bytes.min(MAX_RESPONSE_BYTES)]))
            }
            None => to_json(&serde_json::json!({
                "target": name, "method": head.method.as_str(), "path": head.uri.path(),
            })),
        };
        if let Ok(value) = HeaderValue::from_str(&name) {
            response.headers_mut().insert("x-target", value);
        }
        response
    }
}

/// A query parameter of a request: `latency_ms` and `bytes` set what it takes and returns.
fn number(head: &Parts, name: &str) -> Option<u64> {
    query(head.uri.query()?, name)?.parse().ok()
}

fn shed() -> Response<Body> {
    let mut response = text(StatusCode::SERVICE_UNAVAILABLE, "no free slot");
    let headers = response.headers_mut();
    headers.insert("x-not-run", HeaderValue::from_static("1"));
    headers.insert("retry-after", HeaderValue::from_static("1"));
    response
}
