//! The VMs of a zone are stopped and started in turn while a tenant asks for more than its limit.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{Ask, Clients, End};
use crate::is_troubled;
use crate::scene::{Failure, Route, Scene, Tenant, config, upstreams};
use crate::store::Store;

/// The machines of the zone `klang-a` of the site file.
const ZONES: [&str; 4] = ["klang-a"; 4];
/// Age of what the store returns to calls that allow it.
const STALE_AGE: Duration = Duration::from_millis(300);
const TENANT: &str = "yefi830";
/// `ratePerS` and `burst`.
const LIMIT: (u32, u32) = (100, 20);
/// Requests that the tenant sends in a second while it is hot: 7.5 times its usual, which is the rate / 1.6.
const HOT_RATE: usize = 470;
const CLIENTS: usize = 94;
/// `quotaWindowS`, `quotaOvershoot` and `quotaSlack`.
const WINDOW: Duration = Duration::from_secs(5);
const OVERSHOOT: f64 = 0.1;
const SLACK: f64 = 20.0;
/// Time from the first request of the tenant to the first stop.
const HOT_BEFORE: Duration = Duration::from_secs(6);
/// Time from one stop to the next one.
const GAP: Duration = Duration::from_secs(1);
/// Time without a process after its end.
const DOWN: Duration = Duration::from_millis(500);

fn begin(clients: &Arc<Clients>) -> Vec<thread::JoinHandle<()>> {
    let pause = Duration::from_millis((CLIENTS * 1000 / HOT_RATE) as u64);
    let client = |client| {
        clients.spawn(pause, move |n| Ask {
            kind: "exchange-confirm",
            method: "POST",
            path: format!("/xapu221/{client}-{n}"),
            key: format!("key-{TENANT}"),
            deadline: Duration::from_millis(2500),
            body: vec![b'x'; 500],
        })
    };
    (0..CLIENTS).map(client).collect()
}

pub fn play(record: &Path) -> Result<usize, Failure> {
    let store = Store::new(STALE_AGE, 500);
    let routes = [Route {
        name: "r-1",
        prefix: "/xapu221/",
        kind: "unsafe",
        service: "tukar",
    }];
    let tenants = [Tenant {
        name: TENANT,
        rate: LIMIT.0,
        burst: LIMIT.1,
    }];
    let specs = upstreams("tukar", 8, &["klang-a"], Duration::from_millis(40));
    let config = config(7, &routes, &["tukar"], &tenants);
    let mut scene = Scene::start(record, store, config, &specs, &ZONES)?;
    let clients = scene.clients("klang-a");
    scene.note(&format!(
        "the tenant begins to send about {HOT_RATE} requests a second"
    ));
    let threads = begin(&clients);
    thread::sleep(HOT_BEFORE);
    let start = Instant::now();
    let mut stopped = 0;
    let mut restarts: Vec<(usize, Instant)> = Vec::new();
    while start.elapsed() < Duration::from_secs(14) {
        thread::sleep(Duration::from_millis(20));
        if !is_troubled() {
            continue;
        }
        if stopped < scene.vms.len() && start.elapsed() >= GAP * stopped as u32 {
            scene.stop(stopped);
            stopped += 1;
        }
        for vm in 0..stopped {
            if scene.vms[vm].reap() {
                scene.note(&format!("{} has ended", scene.vms[vm].spec.name));
                restarts.push((vm, Instant::now() + DOWN));
            }
        }
        while let Some(i) = restarts.iter().position(|(_, at)| *at <= Instant::now()) {
            let (vm, _) = restarts.remove(i);
            scene.restart(vm)?;
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
    let allowed = (f64::from(LIMIT.0) * WINDOW.as_secs_f64() + f64::from(LIMIT.1))
        * (1.0 + OVERSHOOT)
        + SLACK;
    // Counted are requests that were sent and arrived inside the window.
    let sent_at = |id: &str| sent.iter().find(|s| s.id == id).map(|s| s.at);
    let times: Vec<_> = runs
        .iter()
        .filter_map(|r| Some((sent_at(&r.request)?, r.at)))
        .collect();
    let in_window = |from: Instant| {
        times
            .iter()
            .filter(|(sent, run)| *sent >= from && *run < from + WINDOW)
            .count()
    };
    let windows = times.iter().map(|(sent, _)| (in_window(*sent), *sent));
    let (most, from) = windows.max().ok_or("nothing was run")?;
    scene.note(&format!(
        "at most {allowed:.0} requests may be sent and run in a window; most: {most}, in the window from {:.3} s",
        scene.secs(from)
    ));
    for (i, vm) in scene.vms.iter().enumerate() {
        let to = vm.spec.front();
        let run = sent.iter().filter(|s| {
            s.to == to
                && s.at >= from
                && s.at < from + WINDOW
                && matches!(s.end, End::Answered(200, _))
        });
        scene.note(&format!(
            "of these by {}: about {}",
            scene.vms[i].spec.name,
            run.count()
        ));
    }
    scene.write_requests(&sent, &runs);
    #[allow(clippy::cast_precision_loss)]
    let is_broken = most as f64 > allowed;
    Ok(usize::from(is_broken))
}
