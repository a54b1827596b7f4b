//! A target whose processes end and start again at one address.
#![allow(dead_code, reason = "each test file uses only some of the items")]

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use async_executor::{Executor, Task};
use async_io::Timer;
use async_net::{TcpListener, TcpStream};
use futures_lite::AsyncWriteExt;

use super::scripted::{header, read_any_request};

/// Further attempts to bind the address of a process that has ended, and the pause between them.
const BIND_TRIES: u32 = 200;
const BIND_PAUSE: Duration = Duration::from_millis(10);

/// What a process answers to health checks.
#[derive(Clone, Debug)]
pub(crate) enum Health {
    Warm,
    /// It is cold until this time.
    ColdUntil(Instant),
    /// It is not healthy, and does not say whether it is cold.
    Unhealthy,
    /// It is full, and rejects health checks as other requests.
    Full,
    /// It is another target.
    OtherTarget,
    /// It does not answer.
    Silent,
}

#[derive(Default)]
struct Process {
    /// The accept loop and the connections; empty while no process runs.
    tasks: Vec<Task<()>>,
    /// Connections of processes that ended without closing them.
    silent: Vec<Task<()>>,
    health: Option<Health>,
    /// When the requests of the present process arrived.
    arrivals: Vec<Instant>,
    health_checks: usize,
}

/// A target.
pub(crate) struct RestartingTarget {
    pub(crate) address: SocketAddr,
    executor: Arc<Executor<'static>>,
    process: Arc<Mutex<Process>>,
}

impl RestartingTarget {
    /// Starts a warm process at any port.
    pub(crate) async fn start(executor: &Arc<Executor<'static>>) -> Self {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let listener = TcpListener::bind(any).await.expect("a listener");
        let target = Self {
            address: listener.local_addr().expect("an address"),
            executor: Arc::clone(executor),
            process: Arc::default(),
        };
        target.serve_with(listener, Health::Warm);
        target
    }

    /// Ends the process and closes its connections.
    pub(crate) fn crash(&self) {
        lock(&self.process).tasks.clear();
    }

    /// Ends the process without a word to its callers, whose connections stay open.
    pub(crate) fn go_dark(&self) {
        let mut process = lock(&self.process);
        // The first task accepts connections, the others serve them.
        let connections = std::mem::take(&mut process.tasks).into_iter().skip(1);
        process.silent.extend(connections);
        process.health = None;
    }

    /// Starts the next process.
    pub(crate) async fn restart(&self, health: Health) {
        let mut tries = 0;
        let listener = loop {
            match TcpListener::bind(self.address).await {
                Ok(listener) => break listener,
                Err(_) if tries < BIND_TRIES => {
                    tries += 1;
                    Timer::after(BIND_PAUSE).await;
                }
                Err(error) => panic!("{error}"),
            }
        };
        self.serve_with(listener, health);
    }

    /// Times at which the requests of the present process arrived, without health checks.
    pub(crate) fn arrivals(&self) -> Vec<Instant> {
        lock(&self.process).arrivals.clone()
    }

    /// Number of health checks of the present process.
    pub(crate) fn health_checks(&self) -> usize {
        lock(&self.process).health_checks
    }

    /// Most requests that the present process got in one second.
    pub(crate) fn most_per_second(&self) -> usize {
        let arrivals = self.arrivals();
        let counts = arrivals.iter().enumerate().map(|(i, first)| {
            let window = arrivals[i..].iter();
            window
                .filter(|at| at.duration_since(*first) < Duration::from_secs(1))
                .count()
        });
        counts.max().unwrap_or_default()
    }

    fn serve_with(&self, listener: TcpListener, health: Health) {
        {
            let mut process = lock(&self.process);
            process.health = Some(health);
            process.arrivals.clear();
            process.health_checks = 0;
        }
        let (process, executor) = (Arc::clone(&self.process), Arc::clone(&self.executor));
        let accept = async move {
            while let Ok((stream, _)) = listener.accept().await {
                let connection = executor.spawn(serve(stream, Arc::clone(&process)));
                lock(&process).tasks.push(connection);
            }
        };
        let accept = self.executor.spawn(accept);
        lock(&self.process).tasks.insert(0, accept);
    }
}

async fn serve(mut stream: TcpStream, process: Arc<Mutex<Process>>) {
    while let Some(head) = read_any_request(&mut stream).await {
        let health = lock(&process).health.clone();
        let Some(health) = health else {
            return futures_lite::future::pending().await;
        };
        let answer = if head.starts_with("GET /health ") {
            lock(&process).health_checks += 1;
            let id = header(&head, "x-target").unwrap_or_default();
            match health {
                Health::Warm => format!("200 OK\r\nx-target-id: {id}\r\n"),
                Health::ColdUntil(until) => {
                    let left = until.saturating_duration_since(Instant::now()).as_millis();
                    format!("200 OK\r\nx-target-id: {id}\r\nx-target-cold-ms: {left}\r\n")
                }
                Health::Unhealthy => "503 Starting\r\n".to_owned(),
                Health::Full => "429 Busy\r\nx-not-run: 1\r\n".to_owned(),
                Health::OtherTarget => "200 OK\r\nx-target-id: other\r\n".to_owned(),
                Health::Silent => return futures_lite::future::pending().await,
            }
        } else {
            lock(&process).arrivals.push(Instant::now());
            let id = header(&head, "x-request-id").unwrap_or_default();
            format!("200 OK\r\nx-request-id: {id}\r\nx-load: 1,0,8\r\n")
        };
        let answer = format!("HTTP/1.1 {answer}content-length: 0\r\n\r\n");
        if stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
    }
}

fn lock(process: &Mutex<Process>) -> MutexGuard<'_, Process> {
    process.lock().unwrap_or_else(PoisonError::into_inner)
}
