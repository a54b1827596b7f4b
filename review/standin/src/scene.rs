//! A small deployment on loopback: store, entry VMs, upstreams, and the record of a script.

use std::fs::File;
use std::io::Write;
use std::path::PathBuf;
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{Clients, End, Sent};
use crate::edge::{Edge, Net, VmSpec};
use crate::http::{Connection, Server};
use crate::json::Json;
use crate::store::Store;
use crate::upstream::{Run, Runs, Spec, Upstream};

/// Time from the start of the machines to that of the traffic, as in the site files.
pub const LEAD: Duration = Duration::from_secs(8);
/// `stableWindowMs` of the small site files.
pub const STABLE_WINDOW: Duration = Duration::from_secs(4);
/// Host of all routes.
pub const HOST: &str = "jepu9.example";

/// Why a script could not run.
pub type Failure = Box<dyn std::error::Error>;

pub struct Scene {
    pub start: Instant,
    pub store: Store,
    pub vms: Vec<Edge>,
    pub upstreams: Vec<Upstream>,
    pub runs: Runs,
    logs: PathBuf,
    record: Mutex<File>,
    _store_servers: Vec<Server>,
    /// Times without a process or within `stableWindowMs` of a start, for each VM.
    disturbed: Vec<Vec<(Instant, Instant)>>,
}

impl Scene {
    /// Starts the store with a configuration and the upstreams, then one VM for each zone that is named.
    pub fn start(
        record: &std::path::Path,
        store: Store,
        config: Json,
        upstreams: &[Spec],
        zones: &[&str],
    ) -> Result<Self, Failure> {
        let start = Instant::now();
        let net = Net::find()?;
        let logs = std::env::temp_dir().join(format!("waxwing-review-{}", std::process::id()));
        std::fs::create_dir_all(&logs)?;
        let record = Mutex::new(File::create(record)?);
        store.put("config", "main", config);
        let runs = Runs::default();
        let mut started = Vec::new();
        for spec in upstreams {
            let upstream = Upstream::start(spec.clone(), net.any_port(100), &runs)?;
            upstream.register(&store, "ready");
            started.push(upstream);
        }
        // The store that is read for the first time already existed for a while.
        thread::sleep(Duration::from_secs(1));
        let mut store_servers = Vec::new();
        let mut vms = Vec::new();
        for (i, zone) in zones.iter().enumerate() {
            let server = store.serve(i, net.any_port(200))?;
            let spec = VmSpec {
                name: format!("front-{zone}-{}", i + 1),
                zone: (*zone).to_owned(),
                region: region_of(zone).to_owned(),
                zones: zone_list(zones),
                ip: net.ip(u8::try_from(i + 1)?),
                store: server.address,
            };
            store_servers.push(server);
            vms.push(Edge::start(spec, &logs)?);
        }
        let disturbed = vms
            .iter()
            .map(|vm| vec![(vm.started_at, vm.started_at + STABLE_WINDOW)]);
        let disturbed = disturbed.collect();
        let scene = Self {
            start,
            store,
            vms,
            upstreams: started,
            runs,
            logs,
            record,
            _store_servers: store_servers,
            disturbed,
        };
        scene.wait_until_ready()?;
        Ok(scene)
    }

    fn wait_until_ready(&self) -> Result<(), Failure> {
        let end = Instant::now() + Duration::from_secs(15);
        while !self.vms.iter().all(is_ready) {
            if Instant::now() > end {
                return Err("a VM is not ready after 15 s".into());
            }
            thread::sleep(Duration::from_millis(50));
        }
        let started = self
            .vms
            .iter()
            .map(|vm| vm.started_at)
            .max()
            .unwrap_or(self.start);
        thread::sleep((started + LEAD).saturating_duration_since(Instant::now()));
        Ok(())
    }

    /// Seconds since the start of the script.
    pub fn secs(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.start).as_secs_f64()
    }

    /// Writes a line to the record and to standard output.
    pub fn note(&self, text: &str) {
        let line = format!("{:8.3} s  {text}", self.secs(Instant::now()));
        println!("{line}");
        self.write(&line);
    }

    fn write(&self, line: &str) {
        let _ = writeln!(self.record.lock().unwrap(), "{line}");
    }

    pub fn kill(&mut self, vm: usize) {
        self.vms[vm].kill();
        let now = Instant::now();
        self.disturbed[vm].push((now, now + Duration::from_secs(3600)));
        self.note(&format!("SIGKILL of {}", self.vms[vm].spec.name));
    }

    pub fn stop(&mut self, vm: usize) {
        self.vms[vm].stop();
        let now = Instant::now();
        self.disturbed[vm].push((now, now + Duration::from_secs(3600)));
        self.note(&format!("SIGTERM to {}", self.vms[vm].spec.name));
    }

    pub fn restart(&mut self, vm: usize) -> Result<(), Failure> {
        self.vms[vm].restart()?;
        if let Some(last) = self.disturbed[vm].last_mut() {
            last.1 = Instant::now() + STABLE_WINDOW;
        }
        self.note(&format!("{} starts again", self.vms[vm].spec.name));
        Ok(())
    }

    /// Whether a VM was in touch at a time.
    pub fn is_in_touch(&self, vm: usize, at: Instant) -> bool {
        !self.disturbed[vm]
            .iter()
            .any(|(from, to)| *from <= at && at < *to)
    }

    pub fn vm_at(&self, address: std::net::SocketAddr) -> Option<usize> {
        self.vms.iter().position(|vm| vm.spec.front() == address)
    }

    pub fn clients(&self, zone: &str) -> std::sync::Arc<Clients> {
        let mut directories: Vec<_> = self.vms.iter().collect();
        directories.sort_by_key(|vm| vm.spec.zone != zone);
        let directories = directories.iter().map(|vm| vm.spec.directory()).collect();
        Clients::new(HOST, directories, region_of(zone), zone)
    }

    /// Names of processes that ended by themselves.
    pub fn ended(&mut self) -> Vec<String> {
        let ended = self
            .vms
            .iter_mut()
            .filter(|vm| vm.is_running())
            .filter_map(|vm| {
                let name = vm.spec.name.clone();
                vm.has_ended().then_some(name)
            });
        ended.collect()
    }

    /// Writes what was sent, answered and run.
    pub fn write_requests(&self, sent: &[Sent], runs: &[Run]) {
        self.write("\nrequests: sent at, kind, id, to, ended at, end");
        for s in sent {
            let vm = self
                .vm_at(s.to)
                .map_or("?", |vm| self.vms[vm].spec.name.as_str());
            let end = match &s.end {
                End::Answered(status, Some(stamp)) => format!("{status} stamp {stamp}"),
                End::Answered(status, None) => format!("{status} without a stamp"),
                End::Broken(reason) => format!("no complete answer: {reason}"),
                End::NoConnection => "no connection".to_owned(),
            };
            let (at, to) = (self.secs(s.at), self.secs(s.ended_at));
            self.write(&format!(
                "{at:8.3}  {}  {}  {vm}  {to:8.3}  {end}",
                s.kind, s.id
            ));
        }
        self.write("\nruns: begun at, upstream, service, id, tenant");
        for r in runs {
            let at = self.secs(r.at);
            self.write(&format!(
                "{at:8.3}  {}  {}  {}  {}",
                r.upstream, r.service, r.request, r.tenant
            ));
        }
    }
}

impl Drop for Scene {
    fn drop(&mut self) {
        for vm in &mut self.vms {
            vm.kill();
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.logs);
        } else {
            println!("logs of the daemons: {}", self.logs.display());
        }
    }
}

fn is_ready(vm: &Edge) -> bool {
    let deadline = Instant::now() + Duration::from_secs(1);
    let connection = Connection::open(vm.spec.ready(), Duration::from_secs(1));
    let answer = connection.and_then(|mut connection| {
        connection.call("GET", "/api/ready", &[("Host", "ready")], &[], deadline)
    });
    answer.is_ok_and(|answer| answer.status == 200)
}

fn region_of(zone: &str) -> &str {
    zone.split('-').next().unwrap_or(zone)
}

fn zone_list(zones: &[&str]) -> String {
    let mut known: Vec<_> = zones.to_vec();
    known.sort_unstable();
    known.dedup();
    let pairs: Vec<_> = known
        .iter()
        .map(|zone| format!("{zone}={}", region_of(zone)))
        .collect();
    pairs.join(",")
}

/// Upstreams of a service, in turn in the zones.
pub fn upstreams(service: &str, count: usize, zones: &[&str], work: Duration) -> Vec<Spec> {
    let upstream = |i: usize| Spec {
        id: format!("i-{service}-{i:03}"),
        service: service.to_owned(),
        zone: zones[i % zones.len()].to_owned(),
        slots: 9,
        work,
        crashes_on: None,
    };
    (0..count).map(upstream).collect()
}

/// A route of a configuration.
pub struct Route<'a> {
    pub name: &'a str,
    pub prefix: &'a str,
    pub kind: &'a str,
    pub service: &'a str,
}

/// A tenant with one key, which is `key-NAME`.
pub struct Tenant<'a> {
    pub name: &'a str,
    pub rate: u32,
    pub burst: u32,
}

/// A configuration as the operator writes it, in the shape that deploy/wire.toml asks for.
pub fn config(version: u32, routes: &[Route], services: &[&str], tenants: &[Tenant]) -> Json {
    let text = Json::text;
    let table = |columns: &[&str], rows: Vec<Vec<Json>>| {
        let columns = columns.iter().map(|column| text(column)).collect();
        let rows = rows.into_iter().map(Json::List).collect();
        Json::object([("columns", Json::List(columns)), ("rows", Json::List(rows))])
    };
    let routes = routes.iter().map(|route| {
        vec![
            text(route.name),
            text(HOST),
            text(route.prefix),
            text(route.kind),
            Json::number(2500),
            Json::number(400),
            Json::number(1),
            Json::Null,
            Json::number(2),
            Json::Bool(false),
            Json::Bool(true),
            Json::List(Vec::new()),
            text(route.service),
        ]
    });
    let services = services.iter().map(|service| {
        vec![
            text(service),
            text("/health"),
            Json::number(660),
            text("h1"),
            Json::Bool(false),
            Json::number("3.0"),
            Json::number("18.0"),
        ]
    });
    let tenants = tenants.iter().map(|tenant| {
        vec![
            text(tenant.name),
            Json::List(vec![text(&format!("key-{}", tenant.name))]),
            Json::number(0),
            Json::number(tenant.rate),
            Json::number(tenant.burst),
            Json::List(Vec::new()),
        ]
    });
    let route_columns = [
        "name",
        "host",
        "pathPrefix",
        "kind",
        "timeoutMs",
        "targetLatencyMs",
        "priority",
        "trafficSplit",
        "maxAttempts",
        "anonymous",
        "sessionAffinity",
        "homeRegions",
        "service",
    ];
    let service_columns = [
        "name",
        "healthPath",
        "maxConns",
        "protocol",
        "tls",
        "coldS",
        "coldPerS",
    ];
    let tenant_columns = [
        "name",
        "apiKeys",
        "priority",
        "ratePerS",
        "burst",
        "homeRegions",
    ];
    Json::object([
        ("configVersion", Json::number(version)),
        ("routes", table(&route_columns, routes.collect())),
        ("services", table(&service_columns, services.collect())),
        (
            "limits",
            Json::object([
                ("maxHeaderBytes", Json::number(16384)),
                ("maxBodyBytes", Json::number(67_108_864)),
                ("headerTimeoutMs", Json::number(3000)),
                ("idleTimeoutMs", Json::number(15000)),
            ]),
        ),
        ("tenants", table(&tenant_columns, tenants.collect())),
    ])
}
