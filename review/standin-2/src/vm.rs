//! A machine: one process of the system, started with the command of the deploy file.

use std::fs::{self, File};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Conn;

pub struct VmTerms<'a> {
    pub name: &'a str,
    pub zone: &'a str,
    pub region: &'a str,
    /// All zones, as ZONE=REGION,...
    pub zones: &'a str,
    pub ip: Ipv4Addr,
    pub store: SocketAddr,
}

pub struct Vm {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    command: Vec<String>,
    zones: String,
    log: PathBuf,
    child: Option<Child>,
    starts: usize,
}

impl Vm {
    pub fn start(root: &Path, work: &Path, terms: &VmTerms<'_>) -> std::io::Result<Self> {
        let deploy = fs::read_to_string(root.join("deploy/system.toml"))?;
        let line = deploy
            .lines()
            .find_map(|line| line.strip_prefix("run = \""));
        let template = line
            .and_then(|line| line.strip_suffix('"'))
            .unwrap_or_default();
        let ip = terms.ip.to_string();
        let (front, ready, directory) = (
            SocketAddr::from((terms.ip, 8389)),
            SocketAddr::from((terms.ip, 8384)),
            SocketAddr::from((terms.ip, 8385)),
        );
        let fields = [
            ("node", terms.name.to_owned()),
            ("zone", terms.zone.to_owned()),
            ("region", terms.region.to_owned()),
            ("platform.address", terms.store.to_string()),
            ("listen.front", front.to_string()),
            ("listen.directory", directory.to_string()),
            ("listen.ready", ready.to_string()),
            ("ip", ip),
            ("portRange.0", "7460".into()),
            ("bounds.budgetWindowS", "10".into()),
            ("bounds.retryBudgetRatio", "0.2".into()),
            ("bounds.retrySlack", "112".into()),
            ("platform.historyS", "20".into()),
            ("bounds.configApplyMs", "2500".into()),
            ("bounds.drainMs", "2500".into()),
            ("bounds.evacuateMs", "5000".into()),
            ("bounds.stableWindowMs", "4000".into()),
            ("limits.memoryMb", "182".into()),
            ("bounds.coldOvershoot", "1.5".into()),
            ("bounds.coldSlack", "5".into()),
            ("bounds.graceS", "6".into()),
        ];
        let command = template.split(' ').map(|word| {
            fields.iter().fold(word.to_owned(), |word, (name, value)| {
                word.replace(&format!("{{{{{name}}}}}"), value)
            })
        });
        let mut command: Vec<String> = command.collect();
        command[0] = root.join(&command[0]).to_string_lossy().into_owned();
        let mut vm = Self {
            name: terms.name.into(),
            front,
            ready,
            command,
            zones: terms.zones.into(),
            log: work.join(format!("{}.log", terms.name)),
            child: None,
            starts: 0,
        };
        vm.start_again()?;
        Ok(vm)
    }

    pub fn command(&self) -> String {
        self.command[1..].join(" ")
    }

    pub fn start_again(&mut self) -> std::io::Result<()> {
        self.starts += 1;
        let log = self.log.with_extension(format!("{}.log", self.starts));
        let child = Command::new(&self.command[0])
            .args(&self.command[1..])
            .env("WAXWINGRAIL_DOMAINS", &self.zones)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(File::create(log)?)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Waits until the machine says that it is ready.
    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    fn is_ready(&self) -> bool {
        let Ok(stream) = std::net::TcpStream::connect_timeout(&self.ready, Duration::from_secs(1))
        else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        let mut conn = Conn::new(stream);
        let sent =
            conn.write(b"GET /api/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n");
        sent.is_ok() && conn.read(true).is_ok_and(|answer| answer.status() == 200)
    }

    /// SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends a signal by its name, if the process runs.
    pub fn signal(&mut self, name: &str) {
        if self.has_ended() {
            return;
        }
        if let Some(child) = &self.child {
            let command = format!("kill -{name} {}", child.id());
            let _ = Command::new("sh").arg("-c").arg(command).status();
        }
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child
            .as_mut()
            .is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
    }
}

impl Drop for Vm {
    fn drop(&mut self) {
        self.kill();
    }
}
