//! The daemons under test: processes of `waxwingrail edge`, with the command of the deploy file.

use std::fs::File;
use std::net::{TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::client::get;

pub struct Daemon {
    pub name: String,
    pub zone: String,
    pub region: String,
    pub listen: String,
    pub directory: String,
    pub readiness: String,
    pub peer: String,
    metrics: String,
    store: String,
    domains: String,
    log: PathBuf,
    child: Option<Child>,
}

/// A loopback address of this process alone, so that runs beside each other do not take each other's ports.
pub fn host() -> String {
    let pid = std::process::id();
    format!("127.{}.{}.1", 64 + pid / 250 % 128, 1 + pid % 250)
}

fn free_tcp() -> String {
    let listener = TcpListener::bind((host().as_str(), 0)).expect("a free port");
    let address = listener.local_addr().expect("an address").to_string();
    // Held until the daemons start, so that no port is given out twice.
    RESERVED.lock().unwrap().push(listener);
    address
}

fn free_udp() -> String {
    let socket = UdpSocket::bind((host().as_str(), 0)).expect("a free port");
    socket.local_addr().expect("an address").to_string()
}

/// Ports that are reserved for daemons.
static RESERVED: Mutex<Vec<TcpListener>> = Mutex::new(Vec::new());

/// Gives the reserved ports back. To be called before the daemons start.
pub fn release_ports() {
    RESERVED.lock().unwrap().clear();
}

impl Daemon {
    pub fn new(name: &str, zone: &str, region: &str, domains: &str, store: &str, logs: &Path) -> Self {
        Self {
            name: name.to_owned(),
            zone: zone.to_owned(),
            region: region.to_owned(),
            listen: free_tcp(),
            directory: free_tcp(),
            readiness: free_tcp(),
            peer: free_udp(),
            metrics: free_tcp(),
            store: store.to_owned(),
            domains: domains.to_owned(),
            log: logs.join(format!("{name}.log")),
            child: None,
        }
    }

    /// Starts a process. The arguments are those of `deploy/system.toml` with the bounds of a small deployment.
    pub fn start(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log).expect("a log");
        let command = format!(
            "edge --vm {} --domain {} --region {} --store {} --listen {} --directory {} --readiness {} --peer {} \
             --metrics {} --retry-window-s 10 --retry-ratio 0.2 --retry-slack 112 --history-s 20 --apply-ms 2500 \
             --drain-ms 2500 --evacuate-ms 5000 --recovery-ms 4000 --memory-mb 182 --cold-overshoot 1.5 --cold-slack 5 \
             --lifetime-s 2 --grace-s 6",
            self.name, self.zone, self.region, self.store, self.listen, self.directory, self.readiness, self.peer,
            self.metrics
        );
        let child = Command::new("target/release/waxwingrail")
            .args(command.split_whitespace())
            .env("WAXWINGRAIL_DOMAINS", &self.domains)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn();
        match child {
            Ok(child) => self.child = Some(child),
            Err(error) => {
                eprintln!("target/release/waxwingrail: {error}");
                std::process::exit(2);
            }
        }
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn is_ready(&self) -> bool {
        get(&self.readiness, "/api/ready", "", Duration::from_millis(500)).is_ok_and(|answer| answer.status() == 200)
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Waits until all daemons are ready.
pub fn wait_until_ready(daemons: &[Daemon], time: Duration) -> bool {
    let end = Instant::now() + time;
    while Instant::now() < end {
        if daemons.iter().all(Daemon::is_ready) {
            return true;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    false
}
