//! A small deployment of one zone: a store, upstreams, daemons and clients.

use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, AtomicUsize};
use std::sync::Arc;
use std::time::Duration;

use crate::client::{self, Traffic};
use crate::daemon::{release_ports, wait_until_ready, Daemon};
use crate::links::Links;
use crate::record::Record;
use crate::store::Store;
use crate::upstream::Upstream;

pub const ZONE: &str = "klang-a";
pub const REGION: &str = "klang";
pub const HOST: &str = "jepu9.example";
pub const SERVICE: &str = "tukar";
pub const TENANT: &str = "yefi830";

pub struct Scene {
    pub record: Arc<Record>,
    pub store: Store,
    pub links: Arc<Links>,
    pub daemons: Vec<Daemon>,
    pub traffic: Arc<Traffic>,
    logs: PathBuf,
}

pub struct Terms {
    pub daemons: usize,
    pub rate: u64,
    pub burst: u64,
    pub work: Duration,
    pub clients: usize,
    /// Upstreams that the scene starts.
    pub upstreams: usize,
    /// A further header line of the answers of one upstream, with its end of line.
    pub extra: String,
}

/// The configuration of the operator.
fn config(rate: u64, burst: u64) -> String {
    format!(
        "{{\"configVersion\":7,\"routes\":{{\"columns\":[\"name\",\"host\",\"pathPrefix\",\"kind\",\"timeoutMs\",\
         \"targetLatencyMs\",\"priority\",\"maxAttempts\",\"anonymous\",\"sessionAffinity\",\"service\"],\"rows\":[[\
         \"r-e9itfrz\",\"{HOST}\",\"/xapu221/\",\"unsafe\",1500,600,1,2,false,false,\"{SERVICE}\"],\
         [\"r-6sz9frg\",\"{HOST}\",\"/lepu270/\",\"upload\",4000,600,1,2,false,false,\"{SERVICE}\"]]}},\
         \"services\":{{\"columns\":[\"name\",\"healthPath\",\"maxConns\",\"coldS\",\"coldPerS\"],\"rows\":[[\
         \"{SERVICE}\",\"/health\",660,3.0,6.9]]}},\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\
         \"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\"tenants\":{{\"columns\":[\"name\",\"apiKeys\",\"priority\",\
         \"ratePerS\",\"burst\"],\"rows\":[[\"{TENANT}\",[\"tnfzs989anu6wsjnbanf\"],0,{rate},{burst}]]}}}}"
    )
}

impl Scene {
    /// Starts everything. `None` if the daemons do not get ready.
    pub fn start(terms: &Terms) -> Option<Self> {
        let record = Arc::new(Record::new());
        let logs = std::env::temp_dir().join(format!("standin-3-{}", std::process::id()));
        std::fs::create_dir_all(&logs).ok()?;
        let store = Store::new(terms.daemons);
        store.put("config", "main", &config(terms.rate, terms.burst));
        for number in 0..terms.upstreams {
            let id = format!("i-{number}");
            let extra = if number == 0 { terms.extra.as_str() } else { "" };
            let upstream = Upstream::start(&id, 60, terms.work, extra, &record);
            store.put("servers", &id, &upstream.entry(SERVICE, ZONE));
        }
        let domains = format!("{ZONE}={REGION}");
        let mut daemons: Vec<Daemon> = (0..terms.daemons)
            .map(|index| {
                let name = format!("front-{ZONE}-{}", index + 1);
                Daemon::new(&name, ZONE, REGION, &domains, &store.serve(index), &logs)
            })
            .collect();
        let peers: Vec<String> = daemons.iter().map(|daemon| daemon.peer.clone()).collect();
        let links = Links::start(&peers, |daemon, other, known_as| {
            store.set_peer(daemon, &peers[other], known_as);
        });
        release_ports();
        for daemon in &mut daemons {
            daemon.start();
        }
        let traffic = Arc::new(Traffic {
            record: Arc::clone(&record),
            host: HOST.into(),
            path: "/xapu221/1".into(),
            method: "POST".into(),
            body: "an order".into(),
            key: "tnfzs989anu6wsjnbanf".into(),
            pause_ms: AtomicU64::new(100),
            active: AtomicUsize::new(0),
            ids: AtomicU64::new(1),
        });
        if !wait_until_ready(&daemons, Duration::from_secs(20)) {
            record.note("the daemons did not get ready");
            drop(daemons);
            let _ = std::fs::remove_dir_all(&logs);
            return None;
        }
        record.note(format!("{} daemons are ready", daemons.len()));
        for client in 0..terms.clients {
            let nearest = client % daemons.len();
            let mut directories: Vec<String> = daemons.iter().map(|daemon| daemon.directory.clone()).collect();
            directories.rotate_left(nearest);
            let traffic = Arc::clone(&traffic);
            std::thread::spawn(move || client::run(&traffic, client, directories, ZONE, REGION));
        }
        Some(Self { record, store, links, daemons, traffic, logs })
    }

    /// Ends all processes, and removes their logs.
    pub fn end(&mut self) {
        for daemon in &mut self.daemons {
            daemon.kill();
        }
        let _ = std::fs::remove_dir_all(&self.logs);
    }

    /// Most requests of the tenant that were both sent and run inside a window, with the start of the window.
    pub fn most_in_window(&self, window_ms: u64) -> (usize, u64) {
        let sent = self.record.sent.lock().unwrap();
        let sent_at: std::collections::HashMap<&str, u64> = sent.iter().map(|s| (s.id.as_str(), s.sent_ms)).collect();
        let runs = self.record.runs.lock().unwrap();
        let runs: Vec<(u64, u64)> = runs
            .iter()
            .filter(|run| run.tenant == TENANT)
            .filter_map(|run| Some((*sent_at.get(run.id.as_str())?, run.at_ms)))
            .collect();
        let mut most = (0, 0);
        for (start, _) in &runs {
            let count = runs.iter().filter(|(sent, at)| sent >= start && *at < start + window_ms).count();
            if count > most.0 {
                most = (count, *start);
            }
        }
        most
    }
}
