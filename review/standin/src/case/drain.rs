//! An upstream leaves right after the processes were killed that watch the newest state of the store.

use std::path::Path;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{Ask, End, Sent};
use crate::scene::{Failure, Route, Scene, Tenant, config, upstreams};
use crate::store::Store;
use crate::{is_troubled, stale_age};

/// The machines of the region `klang` of the site file.
const ZONES: [&str; 6] = [
    "klang-a", "klang-a", "klang-a", "klang-a", "klang-b", "klang-b",
];
/// `drainMs`.
const DRAIN: Duration = Duration::from_millis(2500);
/// The upstream goes on serving for `drainMs` and this time.
const LONGER: Duration = Duration::from_millis(500);
/// Time without a process after a kill.
const DOWN: Duration = Duration::from_millis(3500);
const CLIENTS: usize = 48;

pub fn play(record: &Path) -> Result<usize, Failure> {
    let store = Store::new(stale_age(), 500);
    let routes = [Route {
        name: "r-1",
        prefix: "/xapu221/",
        kind: "unsafe",
        service: "tukar",
    }];
    let tenants = [Tenant {
        name: "yefi830",
        rate: 1000,
        burst: 1000,
    }];
    let config = config(7, &routes, &["tukar"], &tenants);
    let specs = upstreams(
        "tukar",
        6,
        &["klang-a", "klang-b"],
        Duration::from_millis(100),
    );
    let mut scene = Scene::start(record, store, config, &specs, &ZONES)?;
    scene.note("traffic begins");
    let clients = scene.clients("klang-a");
    let mut threads = Vec::new();
    for client in 0..CLIENTS {
        thread::sleep(Duration::from_millis(5));
        threads.push(clients.spawn(Duration::from_millis(300), move |n| Ask {
            kind: "exchange-confirm",
            method: "POST",
            path: format!("/xapu221/{client}-{n}"),
            key: "key-yefi830".into(),
            deadline: Duration::from_millis(2500),
            body: vec![b'x'; 2000],
        }));
    }
    thread::sleep(Duration::from_secs(5));
    let readers = [0..4, 4..6].map(|zone| scene.store.latest_reader(&zone.collect::<Vec<_>>()));
    let readers: Vec<_> = readers.into_iter().flatten().collect();
    if readers.len() != 2 {
        return Err("the VMs that watch the newest state are not known".into());
    }
    if is_troubled() {
        for vm in &readers {
            scene.kill(*vm);
        }
    }
    let killed = Instant::now();
    thread::sleep(Duration::from_millis(100));
    let leaving = scene.upstreams[0].spec.id.clone();
    let acknowledged = scene.upstreams[0].register(&scene.store, "draining");
    scene.note(&format!(
        "the store has acknowledged that {leaving} is draining"
    ));
    let exit = acknowledged + DRAIN + LONGER;
    thread::sleep(exit.saturating_duration_since(Instant::now()));
    scene.upstreams[0].exit();
    scene.store.remove("servers", &leaving);
    scene.note(&format!("{leaving} exits"));
    thread::sleep((killed + DOWN).saturating_duration_since(Instant::now()));
    if is_troubled() {
        for vm in &readers {
            scene.restart(*vm)?;
        }
    }
    thread::sleep(Duration::from_secs(3));
    clients.stopped.store(true, Ordering::SeqCst);
    for thread in threads {
        let _ = thread.join();
    }
    let ended = scene.ended();
    if !ended.is_empty() {
        return Err(format!("ended by themselves: {ended:?}").into());
    }

    let sent = clients.sent.lock().unwrap().clone();
    let runs = scene.runs.lock().unwrap().clone();
    let find = |id: &str| sent.iter().find(|s| s.id == id);
    let mut late = 0;
    for run in runs
        .iter()
        .filter(|r| r.upstream == leaving && r.at > acknowledged + DRAIN)
    {
        let Some((request, vm)) = find(&run.request).and_then(|s| Some((s, scene.vm_at(s.to)?)))
        else {
            continue;
        };
        if scene.is_in_touch(vm, request.at) {
            late += 1;
            let after = (run.at - acknowledged).as_millis();
            let name = &scene.vms[vm].spec.name;
            let end = &request.end;
            scene.note(&format!(
                "broken: request {} reached {leaving} {after} ms after the acknowledgement, by {name}; the client got {end:?}",
                run.request
            ));
        }
    }
    let is_lost = |s: &&Sent| !matches!(s.end, End::Answered(200, _)) && s.end != End::NoConnection;
    let near = sent
        .iter()
        .filter(|s| s.at < exit && s.ended_at > exit)
        .filter(is_lost)
        .count();
    scene.note(&format!(
        "{near} requests that ran when {leaving} exited have no success"
    ));
    scene.write_requests(&sent, &runs);
    Ok(late)
}
