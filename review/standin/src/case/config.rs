//! A route moves to another service while the processes that watch the newest state of the store start again.

use std::path::Path;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{Ask, End};
use crate::scene::{Failure, Route, Scene, Tenant, config, upstreams};
use crate::store::Store;
use crate::{is_troubled, stale_age};

const ZONES: [&str; 6] = [
    "klang-a", "klang-a", "klang-a", "klang-a", "klang-b", "klang-b",
];
/// `configApplyMs`.
const APPLY: Duration = Duration::from_millis(2500);
/// Time without a process after a kill.
const DOWN: Duration = Duration::from_secs(1);
const CLIENTS: usize = 24;

pub fn play(record: &Path) -> Result<usize, Failure> {
    let store = Store::new(stale_age(), 500);
    let services = ["tukar", "rekod"];
    let tenants = [Tenant {
        name: "yefi830",
        rate: 1000,
        burst: 1000,
    }];
    let route = |name, prefix, service| Route {
        name,
        prefix,
        kind: "unsafe",
        service,
    };
    let old = [route("r-1", "/xapu221/", "tukar")];
    let new = [
        route("r-1", "/xapu221/", "rekod"),
        route("r-2", "/fiti832/", "rekod"),
    ];
    let zones = ["klang-a", "klang-b"];
    let mut specs = upstreams("tukar", 6, &zones, Duration::from_millis(200));
    specs.extend(upstreams("rekod", 6, &zones, Duration::from_millis(200)));
    let first = config(7, &old, &services, &tenants);
    let mut scene = Scene::start(record, store, first, &specs, &ZONES)?;
    scene.note("traffic begins");
    let clients = scene.clients("klang-a");
    let ask = |kind, path: String| Ask {
        kind,
        method: "POST",
        path,
        key: "key-yefi830".into(),
        deadline: Duration::from_millis(2500),
        body: vec![b'x'; 2000],
    };
    let mut threads = Vec::new();
    for client in 0..CLIENTS {
        thread::sleep(Duration::from_millis(5));
        let next = move |n| ask("moved-route", format!("/xapu221/{client}-{n}"));
        threads.push(clients.spawn(Duration::from_millis(300), next));
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
    thread::sleep(Duration::from_millis(300));
    let acknowledged = scene
        .store
        .put("config", "main", config(11, &new, &services, &tenants));
    scene.note(
        "the store has acknowledged configuration 11: r-1 moves from tukar to rekod, r-2 is added",
    );
    thread::sleep((killed + DOWN).saturating_duration_since(Instant::now()));
    if is_troubled() {
        for vm in &readers {
            scene.restart(*vm)?;
        }
    }
    // A few requests straight to each VM, on the route that was added.
    while Instant::now() < acknowledged + Duration::from_secs(10) {
        thread::sleep(Duration::from_millis(500));
        for vm in scene.vms.iter().filter(|vm| vm.is_running()) {
            clients.probe(
                vm.spec.front(),
                &ask("added-route", "/fiti832/probe".into()),
            );
        }
    }
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
    let late = sent.iter().filter(|s| s.at > acknowledged + APPLY);
    let mut broken = Vec::new();
    for request in late {
        let Some(vm) = scene
            .vm_at(request.to)
            .filter(|vm| scene.is_in_touch(*vm, request.at))
        else {
            continue;
        };
        let name = &scene.vms[vm].spec.name;
        let after = (request.at - acknowledged).as_millis();
        let run = runs.iter().find(|r| r.request == request.id);
        if run.is_some_and(|run| run.service == "tukar") {
            broken.push(format!("request {} sent to {name} {after} ms after the acknowledgement was run by the old service", request.id));
        } else if request.kind == "added-route" && matches!(request.end, End::Answered(404, _)) {
            broken.push(format!("request {} sent to {name} {after} ms after the acknowledgement got 404 on the added route", request.id));
        }
    }
    for line in &broken {
        scene.note(&format!("broken: {line}"));
    }
    scene.write_requests(&sent, &runs);
    Ok(broken.len())
}
