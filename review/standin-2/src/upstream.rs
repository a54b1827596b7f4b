//! An upstream: registers itself, runs requests, drains and ends.

use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Conn, Message};
use crate::store::Store;

const HEARTBEAT: Duration = Duration::from_millis(1500);
/// End of the body of a request that crashes the upstream that runs it.
pub const FATAL: &[u8] = b"fatal";

/// A request that reached the upstream.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Instant,
    pub id: String,
    pub is_fatal: bool,
}

struct Shared {
    id: String,
    service: String,
    zone: String,
    address: SocketAddr,
    born: u64,
    work: Duration,
    seq: AtomicU64,
    is_draining: AtomicBool,
    is_ended: AtomicBool,
    arrivals: Mutex<Vec<Arrival>>,
    crashed_at: Mutex<Option<Instant>>,
    open: Mutex<Vec<TcpStream>>,
    store: Store,
}

#[derive(Clone)]
pub struct Upstream(Arc<Shared>);

impl Upstream {
    /// Starts an upstream at a new port of 127.0.0.1 and registers it.
    pub fn start(
        store: &Store,
        id: &str,
        service: &str,
        zone: &str,
        work: Duration,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0))?;
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let upstream = Self(Arc::new(Shared {
            id: id.into(),
            service: service.into(),
            zone: zone.into(),
            address: listener.local_addr()?,
            born: born.as_millis() as u64,
            work,
            seq: AtomicU64::new(0),
            is_draining: AtomicBool::new(false),
            is_ended: AtomicBool::new(false),
            arrivals: Mutex::default(),
            crashed_at: Mutex::default(),
            open: Mutex::default(),
            store: store.clone(),
        }));
        upstream.beat();
        let accepting = upstream.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if accepting.0.is_ended.load(Ordering::SeqCst) {
                    return;
                }
                let serving = accepting.clone();
                thread::spawn(move || serving.serve(stream));
            }
        });
        let beating = upstream.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(HEARTBEAT);
                if beating.0.is_ended.load(Ordering::SeqCst) {
                    return;
                }
                beating.beat();
            }
        });
        Ok(upstream)
    }

    pub fn id(&self) -> &str {
        &self.0.id
    }

    fn beat(&self) -> Instant {
        let it = &self.0;
        let seq = it.seq.fetch_add(1, Ordering::SeqCst) + 1;
        let state = if it.is_draining.load(Ordering::SeqCst) {
            "draining"
        } else {
            "ready"
        };
        let spec = format!(
            r#"{{"service":"{}","address":"{}","zone":"{}","configVersion":"v1","slots":8,"state":"{state}","coldLeftMs":0,"born":{}"#,
            it.service, it.address, it.zone, it.born
        );
        it.store.beat(&it.id, &spec, seq)
    }

    /// Reports that it is draining. Returns the moment of the acknowledgement.
    pub fn drain(&self) -> Instant {
        self.0.is_draining.store(true, Ordering::SeqCst);
        self.beat()
    }

    /// Ends after it has drained: its entry is removed, its connections are closed.
    pub fn end(&self) {
        self.0.store.put("servers", &self.0.id, None);
        self.close();
    }

    /// Ends without a word. The entry is removed after three heartbeats of silence.
    fn crash(&self) {
        let is_first = self
            .0
            .crashed_at
            .lock()
            .unwrap()
            .replace(Instant::now())
            .is_none();
        self.close();
        if is_first {
            let crashed = self.clone();
            thread::spawn(move || {
                thread::sleep(HEARTBEAT * 3);
                crashed.0.store.put("servers", &crashed.0.id, None);
            });
        }
    }

    pub fn crashed_at(&self) -> Option<Instant> {
        *self.0.crashed_at.lock().unwrap()
    }

    fn close(&self) {
        self.0.is_ended.store(true, Ordering::SeqCst);
        for stream in self.0.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        // Wakes the thread that accepts, which closes the listener.
        let _ = TcpStream::connect(self.0.address);
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.0.arrivals.lock().unwrap().clone()
    }

    fn serve(&self, stream: TcpStream) {
        if let Ok(stream) = stream.try_clone() {
            self.0.open.lock().unwrap().push(stream);
        }
        let mut conn = Conn::new(stream);
        while let Ok(request) = conn.read(false) {
            if self.answer(&mut conn, &request).is_err() {
                return;
            }
        }
    }

    fn answer(&self, conn: &mut Conn, request: &Message) -> std::io::Result<()> {
        let it = &self.0;
        let id = request
            .header("x-request-id")
            .unwrap_or_default()
            .to_owned();
        if request
            .header("x-expect-instance")
            .is_some_and(|expected| expected != it.id)
        {
            return conn.respond(
                "421 Misdirected Request",
                &[("X-Instance-Id", &it.id), ("X-Request-Id", &id)],
                b"",
            );
        }
        if request.word(1) == "/health" {
            let is_draining = it.is_draining.load(Ordering::SeqCst);
            let status = if is_draining {
                "503 Service Unavailable"
            } else {
                "200 OK"
            };
            return conn.respond(status, &[("X-Instance-Id", &it.id)], b"");
        }
        let is_fatal = request.body.ends_with(FATAL);
        let arrival = Arrival {
            at: Instant::now(),
            id: id.clone(),
            is_fatal,
        };
        it.arrivals.lock().unwrap().push(arrival);
        thread::sleep(it.work);
        if is_fatal {
            self.crash();
            return Err(std::io::ErrorKind::ConnectionReset.into());
        }
        if it.is_ended.load(Ordering::SeqCst) {
            return Err(std::io::ErrorKind::ConnectionReset.into());
        }
        let stamp = format!("{}.{id}", it.id);
        conn.respond(
            "200 OK",
            &[("X-Request-Id", &id), ("X-Server-Stamp", &stamp)],
            id.as_bytes(),
        )
    }
}
