//! An upstream: it runs requests in slots, keeps an account of them and registers itself in the store.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Request, Response, Server};
use crate::json::Json;
use crate::store::Store;

/// A request that an upstream began to run.
#[derive(Clone)]
pub struct Run {
    pub at: Instant,
    pub upstream: String,
    pub service: String,
    pub request: String,
    pub tenant: String,
}

/// What all upstreams ran.
pub type Runs = Arc<Mutex<Vec<Run>>>;

#[derive(Clone)]
pub struct Spec {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub slots: usize,
    pub work: Duration,
    /// Path of a request that crashes each upstream that begins to run it.
    pub crashes_on: Option<&'static str>,
}

pub struct Upstream {
    pub spec: Spec,
    pub address: SocketAddr,
    /// Number of starts before this one.
    starts: u64,
    server: Server,
    /// Whether the process has begun a request that crashes it.
    crashed: Arc<AtomicBool>,
}

impl Upstream {
    pub fn start(spec: Spec, address: SocketAddr, runs: &Runs) -> std::io::Result<Self> {
        let running = Arc::new(Mutex::new(0_usize));
        let (known, runs) = (spec.clone(), Arc::clone(runs));
        let crashed = Arc::new(AtomicBool::new(false));
        let has_crashed = Arc::clone(&crashed);
        let server = Server::start(address, move |request| {
            let response = respond(&known, &running, &runs, &request);
            if known.crashes_on == Some(request.path()) && response.status == 200 {
                has_crashed.store(true, Ordering::SeqCst);
                // The process ends before it answers.
                thread::sleep(Duration::from_secs(1));
            }
            // Every answer names the request to which it belongs.
            response.with("X-Request-Id", request.header("x-request-id"))
        })?;
        Ok(Self {
            spec,
            address: server.address,
            starts: 0,
            server,
            crashed,
        })
    }

    /// Whether the process has crashed and was not started again.
    pub fn has_crashed(&self) -> bool {
        self.crashed.load(Ordering::SeqCst)
    }

    /// Starts the process again, under its id and at its address.
    pub fn restart(&mut self, runs: &Runs) -> std::io::Result<()> {
        let starts = self.starts + 1;
        *self = Self::start(self.spec.clone(), self.address, runs)?;
        self.starts = starts;
        Ok(())
    }

    /// Registers in the store, as ready or as draining.
    pub fn register(&self, store: &Store, state: &str) -> Instant {
        store.put("servers", &self.spec.id, self.entry(state))
    }

    pub fn entry(&self, state: &str) -> Json {
        Json::object([
            ("service", Json::text(&self.spec.service)),
            ("address", Json::text(&self.address.to_string())),
            ("zone", Json::text(&self.spec.zone)),
            ("configVersion", Json::text("v1")),
            ("slots", Json::number(self.spec.slots)),
            ("state", Json::text(state)),
            (
                "coldLeftMs",
                Json::number(if self.starts > 0 { 3000 } else { 0 }),
            ),
            ("seq", Json::number(1)),
            ("born", Json::number(1_770_000_000_000 + self.starts)),
        ])
    }

    /// Ends the process: its listener and connections close.
    pub fn exit(&self) {
        self.server.stop();
    }
}

fn respond(spec: &Spec, running: &Mutex<usize>, runs: &Runs, request: &Request) -> Response {
    let expected = request.header("x-expect-instance");
    if !expected.is_empty() && expected != spec.id {
        return Response::new(421, "").with("X-Instance-Id", &spec.id);
    }
    if request.path() == "/health" {
        return Response::new(200, "").with("X-Instance-Id", &spec.id);
    }
    let busy = {
        let mut running = running.lock().unwrap();
        if *running >= spec.slots * 2 {
            return Response::new(503, "").with("X-Not-Run", "1");
        }
        *running += 1;
        *running
    };
    runs.lock().unwrap().push(Run {
        at: Instant::now(),
        upstream: spec.id.clone(),
        service: spec.service.clone(),
        request: request.header("x-request-id").to_owned(),
        tenant: request.header("x-tenant").to_owned(),
    });
    if spec.crashes_on != Some(request.path()) {
        thread::sleep(spec.work);
    }
    *running.lock().unwrap() -= 1;
    let load = format!(
        "{},{},{}",
        busy.min(spec.slots),
        busy.saturating_sub(spec.slots),
        spec.slots
    );
    Response::new(200, format!("{} ran it", spec.id))
        .with("X-Server-Stamp", format!("{}.1", spec.id))
        .with("X-Server-Load", load)
}
