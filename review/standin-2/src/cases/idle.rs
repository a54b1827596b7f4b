//! Clients that keep their connections open after an answer, longer than the configuration allows them to stay idle.

use std::net::TcpStream;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::{Failure, STABLE, Work, config, machine_ip};
use crate::http::Conn;
use crate::record::Record;
use crate::store::{Store, StoreTerms};
use crate::upstream::Upstream;
use crate::vm::{Vm, VmTerms};

/// New connections a second at one machine, and for how long.
const RATE: u64 = 33;
const TIME: Duration = Duration::from_secs(62);
/// Time for which a client keeps its connection: longer than all of the case, or four fifths of `idleTimeoutMs`.
const KEPT: Duration = Duration::from_secs(100);
const KEPT_WITHOUT_TROUBLE: Duration = Duration::from_secs(12);
/// Clients that must have tried.
const TRIES: usize = 7;

/// A connection that a client opened for one request.
#[derive(Clone)]
struct Visit {
    at: Instant,
    is_answered: bool,
    what: String,
}

pub fn play(root: &Path, with_trouble: bool, record: &mut Record) -> Result<bool, Failure> {
    let work = Work::new()?;
    let lag = Duration::from_millis(300);
    let store = Store::new(StoreTerms {
        page: 500,
        lag,
        lag_of_further_pages: lag,
        datagrams: None,
    });
    store.put("config", "main", Some(config(1)));
    let start = |i: usize| {
        Upstream::start(
            &store,
            &format!("i-{i}"),
            "orders",
            "zone-a",
            Duration::from_millis(50),
        )
    };
    let _upstreams: Vec<Upstream> = (1..=4).map(start).collect::<Result<_, _>>()?;
    thread::sleep(Duration::from_secs(1));
    let terms = VmTerms {
        name: "front-zone-a-1",
        zone: "zone-a",
        region: "region-a",
        zones: "zone-a=region-a",
        ip: machine_ip(1),
        store: store.serve(0)?,
    };
    let vm = Vm::start(root, &work.0, &terms)?;
    record.line(&format!("started: {}", vm.command()));
    if !vm.wait_until_ready(Duration::from_secs(20)) {
        return Err("the machine is not ready".into());
    }
    record.line("the machine is ready");
    thread::sleep(STABLE);
    let kept = if with_trouble {
        KEPT
    } else {
        KEPT_WITHOUT_TROUBLE
    };
    record.line(&format!("{RATE} clients a second open a connection, send one request, and keep the connection for {} s", kept.as_secs()));
    let visits: Arc<Mutex<Vec<Visit>>> = Arc::default();
    let ready: Arc<Mutex<Vec<(Instant, bool)>>> = Arc::default();
    let mut open: Vec<(Instant, TcpStream)> = Vec::new();
    let (sender, receiver) = std::sync::mpsc::channel();
    let begun = Instant::now();
    let mut number = 0;
    while begun.elapsed() < TIME {
        let (visits, sender, address) = (Arc::clone(&visits), sender.clone(), vm.front);
        number += 1;
        let id = format!("{number:016x}");
        thread::spawn(move || {
            let at = Instant::now();
            let (answer, stream) = visit(address, &id);
            let is_answered = answer.is_ok();
            let what = answer.map_or_else(|error| error.to_string(), |status| status.to_string());
            visits.lock().unwrap().push(Visit {
                at,
                is_answered,
                what,
            });
            if let Some(stream) = stream {
                let _ = sender.send((Instant::now(), stream));
            }
        });
        open.extend(receiver.try_iter());
        open.retain(|(since, _)| since.elapsed() < kept);
        if number % RATE == 0 {
            let is_ready = vm.wait_until_ready(Duration::from_millis(10));
            ready.lock().unwrap().push((Instant::now(), is_ready));
        }
        let next = begun + Duration::from_micros(1_000_000 / RATE) * u32::try_from(number)?;
        thread::sleep(next.saturating_duration_since(Instant::now()));
    }
    thread::sleep(Duration::from_secs(1));
    let mut visits = visits.lock().unwrap().clone();
    visits.sort_by_key(|visit| visit.at);
    let ready = ready.lock().unwrap().clone();
    let mut longest: Option<(Duration, Instant, usize)> = None;
    let mut since = begun;
    let mut tries = 0;
    for visit in &visits {
        if !visit.is_answered {
            tries += 1;
            let length = visit.at - since;
            if longest.is_none_or(|(most, _, _)| length > most) {
                longest = Some((length, since, tries));
            }
        } else {
            since = visit.at;
            tries = 0;
        }
    }
    for second in 0..TIME.as_secs() {
        let from = begun + Duration::from_secs(second);
        let within = |at: Instant| at >= from && at < from + Duration::from_secs(1);
        let all: Vec<_> = visits.iter().filter(|visit| within(visit.at)).collect();
        let answered = all.iter().filter(|visit| visit.is_answered).count();
        let failure = all
            .iter()
            .find(|visit| !visit.is_answered)
            .map_or("", |visit| visit.what.as_str());
        let is_ready = ready
            .iter()
            .filter(|(at, _)| within(*at))
            .all(|(_, is_ready)| *is_ready);
        record.line_at(
            from,
            &format!(
                "{} new connections, {answered} answered; /api/ready says {} {failure}",
                all.len(),
                if is_ready { "200" } else { "no" }
            ),
        );
    }
    let Some((length, from, tries)) = longest else {
        record.line(&format!("{} new connections, all answered", visits.len()));
        return Ok(true);
    };
    let is_ready = ready
        .iter()
        .filter(|(at, _)| *at > from && *at < from + length)
        .all(|(_, is_ready)| *is_ready);
    record.line(&format!(
        "longest time without a new connection taken: {} ms, in which {tries} clients tried; ready all the while: {is_ready}; allowed: {} ms",
        length.as_millis(), STABLE.as_millis()
    ));
    Ok(length < STABLE || tries < TRIES || !is_ready)
}

/// Opens a connection for one request. Returns the status, and the connection if it is still open.
fn visit(address: std::net::SocketAddr, id: &str) -> (std::io::Result<u16>, Option<TcpStream>) {
    let opened = TcpStream::connect_timeout(&address, Duration::from_secs(1));
    let stream = match opened {
        Ok(stream) => stream,
        Err(error) => return (Err(error), None),
    };
    let _ = stream.set_read_timeout(Some(Duration::from_millis(2500)));
    let mut conn = Conn::new(stream);
    let request = format!(
        "POST /orders/{id} HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 2500\r\nAuthorization: Token key-of-the-clinic\r\nContent-Length: 0\r\n\r\n"
    );
    let answer = conn
        .write(request.as_bytes())
        .and_then(|()| conn.read(true));
    match answer {
        Ok(answer) => (Ok(answer.status()), Some(conn.stream)),
        Err(error) => (Err(error), None),
    }
}
