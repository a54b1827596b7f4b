//! Clients: they ask the directory, keep their connections and send one request after the other.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::http::Connection;
use crate::json::Json;

/// Longest time for which a client uses an answer of the directory.
const MAX_TTL: Duration = Duration::from_secs(5);
/// Time for one question to the directory, and for a new connection.
const CONNECT_TIME: Duration = Duration::from_secs(1);

/// How a request ended.
#[derive(Clone, Debug, PartialEq)]
pub enum End {
    /// Status and `X-Server-Stamp`.
    Answered(u16, Option<String>),
    /// The connection ended, or the time was over, without a complete answer.
    Broken(String),
    /// No connection could be opened, so that nothing was sent.
    NoConnection,
}

/// What a client knows of a request that it sent.
#[derive(Clone)]
pub struct Sent {
    pub id: String,
    /// Name of the kind of request.
    pub kind: &'static str,
    pub at: Instant,
    pub ended_at: Instant,
    /// The entry VM to which it was sent.
    pub to: SocketAddr,
    pub end: End,
}

#[derive(Clone)]
pub struct Ask {
    pub kind: &'static str,
    pub method: &'static str,
    pub path: String,
    pub key: String,
    pub deadline: Duration,
    pub body: Vec<u8>,
}

pub struct Clients {
    pub host: String,
    /// Where the directory is asked, nearest first.
    pub directories: Vec<SocketAddr>,
    pub region: String,
    pub zone: String,
    pub sent: Mutex<Vec<Sent>>,
    pub stopped: AtomicBool,
    last_id: AtomicU64,
}

impl Clients {
    pub fn new(host: &str, directories: Vec<SocketAddr>, region: &str, zone: &str) -> Arc<Self> {
        Arc::new(Self {
            host: host.to_owned(),
            directories,
            region: region.to_owned(),
            zone: zone.to_owned(),
            sent: Mutex::default(),
            stopped: AtomicBool::new(false),
            last_id: AtomicU64::new(hash(zone) << 32),
        })
    }

    /// Starts a client that sends `next(n)` as its request number `n`, with a pause between two requests.
    pub fn spawn(
        self: &Arc<Self>,
        pause: Duration,
        next: impl Fn(u64) -> Ask + Send + 'static,
    ) -> JoinHandle<()> {
        let clients = Arc::clone(self);
        thread::spawn(move || {
            let mut session = Session::new(clients.last_id.fetch_add(1000, Ordering::SeqCst));
            let mut number = 0;
            while !clients.stopped.load(Ordering::SeqCst) {
                let start = Instant::now();
                session.send(&clients, &next(number));
                number += 1;
                // Clients do not stay in step.
                let pause = pause * (50 + session.draw(100) as u32) / 100;
                thread::sleep(pause.saturating_sub(start.elapsed()));
            }
        })
    }

    pub fn next_id(&self) -> String {
        format!("{:016x}", self.last_id.fetch_add(1, Ordering::SeqCst))
    }

    /// Sends one request straight to an entry VM, on a connection of its own.
    pub fn probe(&self, to: SocketAddr, ask: &Ask) {
        let id = self.next_id();
        let at = Instant::now();
        let end = match Connection::open(to, CONNECT_TIME) {
            Ok(mut connection) => self.exchange(&mut connection, &id, ask).0,
            Err(_) => End::NoConnection,
        };
        self.record(id, ask.kind, at, to, end);
    }

    fn record(&self, id: String, kind: &'static str, at: Instant, to: SocketAddr, end: End) {
        let ended_at = Instant::now();
        self.sent.lock().unwrap().push(Sent {
            id,
            kind,
            at,
            ended_at,
            to,
            end,
        });
    }

    /// Returns how the request ended, and whether the connection is kept.
    fn exchange(&self, connection: &mut Connection, id: &str, ask: &Ask) -> (End, bool) {
        let deadline = Instant::now() + ask.deadline;
        let time = ask.deadline.as_millis().to_string();
        let authorization = format!("Token {}", ask.key);
        let headers = [
            ("Host", self.host.as_str()),
            ("X-Request-Id", id),
            ("X-Deadline-Ms", &time),
            ("Authorization", &authorization),
        ];
        match connection.call(ask.method, &ask.path, &headers, &ask.body, deadline) {
            Ok(answer) => {
                let stamp = answer.headers.get("x-server-stamp").cloned();
                (End::Answered(answer.status, stamp), answer.is_kept)
            }
            Err(error) => (End::Broken(error.to_string()), false),
        }
    }

    /// The addresses that the directory names, and for how long they may be used.
    fn resolve(&self) -> Option<(Vec<SocketAddr>, Duration)> {
        self.directories
            .iter()
            .take(3)
            .find_map(|directory| self.ask_directory(*directory))
    }

    fn ask_directory(&self, directory: SocketAddr) -> Option<(Vec<SocketAddr>, Duration)> {
        let deadline = Instant::now() + CONNECT_TIME;
        let mut connection = Connection::open(directory, CONNECT_TIME).ok()?;
        let Self {
            host, region, zone, ..
        } = self;
        let target = format!("/api/resolve?name={host}&region={region}&zone={zone}");
        let answer = connection
            .call("GET", &target, &[("Host", "directory")], &[], deadline)
            .ok()?;
        if answer.status != 200 {
            return None;
        }
        let body = Json::parse(std::str::from_utf8(&answer.body).ok()?)?;
        let addresses = body.get("addresses")?.as_list().iter();
        let addresses: Vec<_> = addresses
            .filter_map(|a| a.as_text()?.parse().ok())
            .collect();
        let ttl = Duration::from_secs_f64(body.get("ttlS")?.as_f64()?).min(MAX_TTL);
        (!addresses.is_empty()).then_some((addresses, ttl))
    }
}

/// Keeps the ids of the clients of two zones apart.
fn hash(zone: &str) -> u64 {
    zone.bytes()
        .fold(7, |hash, byte| hash * 31 + u64::from(byte))
        % 65_536
}

/// One client with its connection.
struct Session {
    random: u64,
    known: Vec<SocketAddr>,
    known_until: Instant,
    failed: Option<SocketAddr>,
    connection: Option<(SocketAddr, Connection)>,
}

impl Session {
    fn new(seed: u64) -> Self {
        Self {
            random: seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1,
            known: Vec::new(),
            known_until: Instant::now(),
            failed: None,
            connection: None,
        }
    }

    fn draw(&mut self, below: usize) -> usize {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        (self.random >> 11) as usize % below
    }

    fn send(&mut self, clients: &Clients, ask: &Ask) {
        if Instant::now() >= self.known_until
            && let Some((known, ttl)) = clients.resolve()
        {
            self.known = known;
            self.known_until = Instant::now() + ttl;
            self.failed = None;
            self.connection.take_if(|(to, _)| !self.known.contains(to));
        }
        let (id, at) = (clients.next_id(), Instant::now());
        let (to, mut connection) = match self.connection.take() {
            Some(kept) => kept,
            None => {
                let usable: Vec<_> = self
                    .known
                    .iter()
                    .copied()
                    .filter(|a| Some(*a) != self.failed)
                    .collect();
                if usable.is_empty() {
                    return;
                }
                let to = usable[self.draw(usable.len())];
                match Connection::open(to, CONNECT_TIME) {
                    Ok(connection) => (to, connection),
                    Err(_) => {
                        self.failed = Some(to);
                        clients.record(id, ask.kind, at, to, End::NoConnection);
                        return;
                    }
                }
            }
        };
        let (end, is_kept) = clients.exchange(&mut connection, &id, ask);
        if matches!(end, End::Broken(_)) {
            self.failed = Some(to);
        }
        clients.record(id, ask.kind, at, to, end);
        self.connection = is_kept.then_some((to, connection));
    }
}
