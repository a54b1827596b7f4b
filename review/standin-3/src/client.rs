//! Clients: they ask the directory where to connect, keep connections, and note what came back.

use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::http::{Message, Wire};
use crate::record::{Record, Sent};

/// One call on a connection of its own.
pub fn get(address: &str, target: &str, headers: &str, time: Duration) -> io::Result<Message> {
    let address: SocketAddr = address.parse().map_err(|_| io::Error::from(io::ErrorKind::InvalidInput))?;
    let stream = TcpStream::connect_timeout(&address, time)?;
    stream.set_read_timeout(Some(time))?;
    let mut wire = Wire::new(stream);
    wire.write(&format!("GET {target} HTTP/1.1\r\nHost: any.example\r\n{headers}\r\n"))?;
    wire.read()?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

/// What the clients of a case share.
pub struct Traffic {
    pub record: Arc<Record>,
    pub host: String,
    pub path: String,
    /// Method, and the body of each request.
    pub method: String,
    pub body: String,
    pub key: String,
    /// Pause in ms between two requests of a client; clients from `active` on rest.
    pub pause_ms: AtomicU64,
    pub active: AtomicUsize,
    pub ids: AtomicU64,
}

/// Time that a client waits for an answer.
const DEADLINE_MS: u64 = 2000;

/// Runs a client for ever. `directories` are asked in this order.
pub fn run(traffic: &Traffic, client: usize, directories: Vec<String>, zone: &str, region: &str) {
    let mut random = 0x9e37_79b9_7f4a_7c15_u64.wrapping_mul(client as u64 + 1);
    let mut next = move || {
        random ^= random << 13;
        random ^= random >> 7;
        random ^= random << 17;
        random as usize
    };
    let mut addresses: Vec<String> = Vec::new();
    let mut valid_until = Instant::now();
    let mut connection: Option<(String, Wire)> = None;
    loop {
        if client >= traffic.active.load(Ordering::Relaxed) {
            std::thread::sleep(Duration::from_millis(5));
            continue;
        }
        if Instant::now() >= valid_until {
            if let Some((new, ttl)) = resolve(&directories, &traffic.host, zone, region) {
                addresses = new;
                valid_until = Instant::now() + ttl;
            }
            if connection.as_ref().is_some_and(|(address, _)| !addresses.contains(address)) {
                connection = None;
            }
        }
        if addresses.is_empty() {
            std::thread::sleep(Duration::from_millis(50));
            continue;
        }
        if connection.is_none() {
            let address = addresses[next() % addresses.len()].clone();
            let socket: SocketAddr = address.parse().expect("an address");
            match TcpStream::connect_timeout(&socket, Duration::from_secs(1)) {
                Ok(stream) => connection = Some((address, Wire::new(stream))),
                Err(_) => {
                    std::thread::sleep(Duration::from_millis(20));
                    continue;
                }
            }
        }
        let Some((address, wire)) = connection.as_mut() else { continue };
        let number = traffic.ids.fetch_add(1, Ordering::Relaxed);
        let id = format!("{number:016x}");
        let sent_ms = traffic.record.now();
        let request = format!(
            "{} {} HTTP/1.1\r\nHost: {}\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: {DEADLINE_MS}\r\n\
             Authorization: Token {}\r\nContent-Length: {}\r\n\r\n{}",
            traffic.method,
            traffic.path,
            traffic.host,
            traffic.key,
            traffic.body.len(),
            traffic.body
        );
        let _ = wire.stream.set_read_timeout(Some(Duration::from_millis(DEADLINE_MS)));
        let answer = wire.write(&request).and_then(|()| wire.read());
        let (end, keeps) = match &answer {
            Ok(Some(answer)) => {
                let is_own = answer.header("x-request-id").is_none_or(|known| known == id);
                let end = format!("{}{}", answer.status(), if is_own { "" } else { " of another request" });
                (end, !answer.closes())
            }
            Ok(None) => ("closed without an answer".to_owned(), false),
            Err(error) => (format!("no answer: {}", error.kind()), false),
        };
        traffic.record.sent.lock().unwrap().push(Sent {
            id,
            client,
            daemon: address.clone(),
            sent_ms,
            ended_ms: traffic.record.now(),
            end,
        });
        if !keeps {
            connection = None;
        }
        std::thread::sleep(Duration::from_millis(traffic.pause_ms.load(Ordering::Relaxed)));
    }
}

fn resolve(directories: &[String], host: &str, zone: &str, region: &str) -> Option<(Vec<String>, Duration)> {
    let target = format!("/api/resolve?name={host}&region={region}&zone={zone}");
    for directory in directories.iter().take(3) {
        let Ok(answer) = get(directory, &target, "", Duration::from_secs(1)) else { continue };
        if answer.status() != 200 {
            continue;
        }
        let body = String::from_utf8_lossy(&answer.body).into_owned();
        let list = crate::store::between(&body, "\"addresses\":[", "]")?;
        let addresses: Vec<String> = list.split(',').map(|word| word.trim().trim_matches('"').to_owned()).collect();
        let ttl = crate::store::between(&body, "\"ttlS\":", "}")?.trim().parse::<f64>().ok()?;
        return Some((addresses, Duration::from_secs_f64(ttl.min(5.0))));
    }
    None
}
