//! The program under test, started as the deploy file says.

use std::fs::File;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Instant;

/// Ports that a daemon binds on the address of its VM.
const PORTS: [u16; 4] = [8389, 8385, 8384, 9464];
const PEER_PORT: u16 = 7460;

/// A loopback network of this run whose ports are free: 127.A.B.0/24.
pub struct Net {
    octets: (u8, u8),
}

impl Net {
    pub fn find() -> io::Result<Self> {
        // Scripts that run beside each other get different networks.
        let process = std::process::id();
        for attempt in 0..200 {
            let number = process + attempt * 1009;
            let octets = ((number % 200 + 20) as u8, (number / 200 % 200 + 20) as u8);
            let net = Self { octets };
            if (1..12).all(|host| net.is_free(host)) {
                return Ok(net);
            }
        }
        Err(io::Error::other("no free addresses"))
    }

    pub fn ip(&self, host: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.octets.0, self.octets.1, host))
    }

    /// An address whose port the system chooses.
    pub fn any_port(&self, host: u8) -> SocketAddr {
        SocketAddr::new(self.ip(host), 0)
    }

    fn is_free(&self, host: u8) -> bool {
        let ip = self.ip(host);
        PORTS
            .iter()
            .all(|port| TcpListener::bind((ip, *port)).is_ok())
            && UdpSocket::bind((ip, PEER_PORT)).is_ok()
    }
}

/// The folder of the repository.
pub fn repository() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// The settings of a VM. The figures are those of the small site files.
#[derive(Clone)]
pub struct VmSpec {
    pub name: String,
    pub zone: String,
    pub region: String,
    /// All zones with their regions: `ZONE=REGION,...`.
    pub zones: String,
    pub ip: IpAddr,
    pub store: SocketAddr,
}

impl VmSpec {
    pub fn front(&self) -> SocketAddr {
        SocketAddr::new(self.ip, PORTS[0])
    }

    pub fn directory(&self) -> SocketAddr {
        SocketAddr::new(self.ip, PORTS[1])
    }

    pub fn ready(&self) -> SocketAddr {
        SocketAddr::new(self.ip, PORTS[2])
    }
}

pub struct Edge {
    pub spec: VmSpec,
    log: PathBuf,
    child: Option<Child>,
    pub started_at: Instant,
}

impl Edge {
    pub fn start(spec: VmSpec, logs: &Path) -> io::Result<Self> {
        let log = logs.join(format!("{}.log", spec.name));
        let mut edge = Self {
            spec,
            log,
            child: None,
            started_at: Instant::now(),
        };
        edge.restart()?;
        Ok(edge)
    }

    /// Starts a process on the VM, which has none.
    pub fn restart(&mut self) -> io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let VmSpec {
            name,
            zone,
            region,
            ip,
            store,
            ..
        } = &self.spec;
        // The words of `run` in deploy/system.toml, with the bounds of the small site files.
        let words = format!(
            "edge --vm {name} --domain {zone} --region {region} --store {store} --listen {ip}:{} \
             --directory {ip}:{} --readiness {ip}:{} --peer {ip}:{PEER_PORT} --metrics {ip}:{} \
             --retry-window-s 10 --retry-ratio 0.2 --retry-slack 112 --history-s 20 --apply-ms 2500 \
             --drain-ms 2500 --recovery-ms 4000 --lifetime-s 2 --grace-s 6",
            PORTS[0], PORTS[1], PORTS[2], PORTS[3],
        );
        let child = Command::new(repository().join("target/release/waxwingrail"))
            .args(words.split_whitespace())
            .current_dir(repository())
            .env_clear()
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .env("WAXWINGRAIL_DOMAINS", &self.spec.zones)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        self.started_at = Instant::now();
        Ok(())
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends SIGTERM.
    pub fn stop(&self) {
        if let Some(child) = &self.child {
            // The shell's own command, as the standard library sends no other signal than SIGKILL.
            let kill = format!("kill -TERM {}", child.id());
            let _ = Command::new("sh").args(["-c", &kill]).status();
        }
    }

    /// Whether the process has ended since it was told to. The VM then has none.
    pub fn reap(&mut self) -> bool {
        let has_ended = self.has_ended();
        if has_ended {
            self.child = None;
        }
        has_ended
    }

    /// Whether the process ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child
            .as_mut()
            .is_some_and(|child| !matches!(child.try_wait(), Ok(None)))
    }

    pub fn is_running(&self) -> bool {
        self.child.is_some()
    }
}

impl Drop for Edge {
    fn drop(&mut self) {
        self.kill();
    }
}
