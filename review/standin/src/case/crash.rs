//! A request that crashes each upstream that runs it comes again and again, in an hour with little other traffic.

use std::collections::{BTreeMap, HashSet};
use std::path::Path;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{Ask, End};
use crate::is_troubled;
use crate::scene::{Failure, Route, STABLE_WINDOW, Scene, Tenant, config, upstreams};
use crate::store::Store;

const ZONES: [&str; 4] = ["klang-a", "klang-a", "klang-b", "klang-b"];
/// Age of what the store returns to calls that allow it.
const STALE_AGE: Duration = Duration::from_millis(300);
const POISON: &str = "/lepu270/poison";
/// Time from one arrival of the request to the next one.
const POISON_PAUSE: Duration = Duration::from_millis(2500);
/// Time until an upstream that crashed is back.
const BACK_AFTER: Duration = Duration::from_secs(3);
/// Retries that the rule allows after the third crash and `stableWindowMs`.
const ALLOWED_RETRIES: usize = 3;
const TIME: Duration = Duration::from_secs(50);

pub fn play(record: &Path) -> Result<usize, Failure> {
    let store = Store::new(STALE_AGE, 500);
    let routes = [Route {
        name: "r-1",
        prefix: "/lepu270/",
        kind: "safe",
        service: "pantau",
    }];
    let tenants = [Tenant {
        name: "yefi830",
        rate: 307,
        burst: 307,
    }];
    let config = config(7, &routes, &["pantau"], &tenants);
    let zones = ["klang-a", "klang-b"];
    let mut specs = upstreams("pantau", 8, &zones, Duration::from_millis(360));
    for spec in &mut specs {
        spec.crashes_on = is_troubled().then_some(POISON);
    }
    let mut scene = Scene::start(record, store, config, &specs, &ZONES)?;
    scene.note(
        "traffic begins: one request in four seconds, and one that crashes upstreams every 2.5 s",
    );
    let clients = zones.map(|zone| scene.clients(zone));
    let ask = |kind, path: String| Ask {
        kind,
        method: "GET",
        path,
        key: "key-yefi830".into(),
        deadline: Duration::from_millis(2000),
        body: Vec::new(),
    };
    let mut threads = Vec::new();
    for client in 0..2 {
        let next = move |n| ask("status-check", format!("/lepu270/{client}-{n}"));
        threads.push(clients[client % 2].spawn(Duration::from_secs(8), next));
    }
    let start = Instant::now();
    let mut next_poison = start + POISON_PAUSE;
    let mut poison_count = 0;
    let mut back: BTreeMap<usize, Instant> = BTreeMap::new();
    let mut crashes = Vec::new();
    while start.elapsed() < TIME {
        thread::sleep(Duration::from_millis(2));
        let now = Instant::now();
        for i in 0..scene.upstreams.len() {
            if scene.upstreams[i].has_crashed() && !back.contains_key(&i) {
                scene.upstreams[i].exit();
                scene.note(&format!("{} has crashed", scene.upstreams[i].spec.id));
                crashes.push(now);
                back.insert(i, now + BACK_AFTER);
            }
        }
        let due: Vec<_> = back
            .iter()
            .filter(|(_, at)| **at <= now)
            .map(|(i, _)| *i)
            .collect();
        for i in due {
            back.remove(&i);
            let runs = std::sync::Arc::clone(&scene.runs);
            scene.upstreams[i].restart(&runs)?;
            scene.upstreams[i].register(&scene.store, "ready");
        }
        if now >= next_poison {
            next_poison += POISON_PAUSE;
            // At any VM, in turn.
            let to = scene.vms[poison_count % scene.vms.len()].spec.front();
            poison_count += 1;
            let clients = std::sync::Arc::clone(&clients[0]);
            let poison = ask("poison", POISON.to_owned());
            thread::spawn(move || clients.probe(to, &poison));
        }
    }
    for clients in &clients {
        clients.stopped.store(true, Ordering::SeqCst);
    }
    for thread in threads {
        let _ = thread.join();
    }
    thread::sleep(Duration::from_secs(2));
    let ended = scene.ended();
    if !ended.is_empty() {
        return Err(format!("ended by themselves: {ended:?}").into());
    }

    let sent = clients
        .iter()
        .flat_map(|clients| clients.sent.lock().unwrap().clone());
    let sent: Vec<_> = sent.collect();
    let runs = scene.runs.lock().unwrap().clone();
    let poison: HashSet<_> = sent
        .iter()
        .filter(|s| s.kind == "poison")
        .map(|s| s.id.as_str())
        .collect();
    // Retries are the arrivals beyond the first one of a request of a client.
    let mut seen = HashSet::new();
    let mut retries = Vec::new();
    for run in runs
        .iter()
        .filter(|run| poison.contains(run.request.as_str()))
    {
        if !seen.insert(run.request.as_str()) {
            retries.push(run.at);
        }
    }
    let binds_from = crashes.get(2).map(|third| *third + STABLE_WINDOW);
    let late = binds_from.map_or(0, |from| retries.iter().filter(|at| **at > from).count());
    let lost = sent
        .iter()
        .filter(|s| s.kind == "status-check" && !matches!(s.end, End::Answered(200, _)));
    scene.note(&format!(
        "{poison_count} arrivals at the VMs, {} crashes, {} retries, {late} of these later than 4 s after the third crash; {} of {} other requests had no success",
        crashes.len(),
        retries.len(),
        lost.count(),
        sent.iter().filter(|s| s.kind == "status-check").count(),
    ));
    scene.write_requests(&sent, &runs);
    Ok(if late > ALLOWED_RETRIES { late } else { 0 })
}
