//! The limit of a tenant is lowered while the tenant sends nothing; later it sends again.

use std::path::Path;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use crate::client::Ask;
use crate::is_troubled;
use crate::scene::{Failure, Route, STABLE_WINDOW, Scene, Tenant, config, upstreams};
use crate::store::Store;

const ZONES: [&str; 4] = ["klang-a", "klang-a", "klang-b", "klang-b"];
/// Age of what the store returns to calls that allow it.
const STALE_AGE: Duration = Duration::from_millis(300);
const TENANT: &str = "yefi830";
/// `ratePerS` and `burst`, before and after.
const OLD: (u32, u32) = (100, 100);
const NEW: (u32, u32) = (10, 10);
/// `quotaWindowS`, `quotaOvershoot`, `quotaSlack` and `configApplyMs`.
const WINDOW: Duration = Duration::from_secs(5);
const OVERSHOOT: f64 = 0.1;
const SLACK: f64 = 20.0;
const APPLY: Duration = Duration::from_millis(2500);

pub fn play(record: &Path) -> Result<usize, Failure> {
    let store = Store::new(STALE_AGE, 500);
    let routes = [Route {
        name: "r-1",
        prefix: "/lepu270/",
        kind: "safe",
        service: "pantau",
    }];
    let version = |number, (rate, burst)| {
        config(
            number,
            &routes,
            &["pantau"],
            &[Tenant {
                name: TENANT,
                rate,
                burst,
            }],
        )
    };
    let specs = upstreams(
        "pantau",
        8,
        &["klang-a", "klang-b"],
        Duration::from_millis(50),
    );
    let mut scene = Scene::start(record, store, version(7, OLD), &specs, &ZONES)?;
    let clients = ["klang-a", "klang-b"].map(|zone| scene.clients(zone));
    let begin = |count: usize, pause: u64| {
        for clients in &clients {
            clients.stopped.store(false, Ordering::SeqCst);
        }
        let ask = |n| Ask {
            kind: "status-check",
            method: "GET",
            path: format!("/lepu270/{n}"),
            key: format!("key-{TENANT}"),
            deadline: Duration::from_millis(2000),
            body: Vec::new(),
        };
        let pause = Duration::from_millis(pause);
        (0..count)
            .map(|i| clients[i % clients.len()].spawn(pause, ask))
            .collect::<Vec<_>>()
    };
    let end = |threads: Vec<thread::JoinHandle<()>>| {
        for clients in &clients {
            clients.stopped.store(true, Ordering::SeqCst);
        }
        for thread in threads {
            let _ = thread.join();
        }
    };
    scene.note("the tenant sends about 20 requests a second");
    let threads = begin(20, 1000);
    thread::sleep(Duration::from_secs(5));
    end(threads);
    scene.note("the tenant sends nothing for a while");
    let limit = if is_troubled() { NEW } else { OLD };
    let mut acknowledged = Instant::now();
    if is_troubled() {
        acknowledged = scene.store.put("config", "main", version(11, NEW));
        scene.note(&format!(
            "the store has acknowledged the limit {NEW:?} in place of {OLD:?}"
        ));
    }
    // From here on the lower limit binds, wherever the windows lie.
    let binds_from = acknowledged + STABLE_WINDOW + APPLY + WINDOW;
    thread::sleep((binds_from + Duration::from_secs(2)).saturating_duration_since(Instant::now()));
    scene.note("the tenant comes back and sends about 30 requests a second");
    let threads = begin(30, 1000);
    thread::sleep(Duration::from_secs(7));
    end(threads);
    let ended = scene.ended();
    if !ended.is_empty() {
        return Err(format!("ended by themselves: {ended:?}").into());
    }

    let sent = clients
        .iter()
        .flat_map(|clients| clients.sent.lock().unwrap().clone());
    let sent: Vec<_> = sent.collect();
    let runs = scene.runs.lock().unwrap().clone();
    let allowed = (f64::from(limit.0) * WINDOW.as_secs_f64() + f64::from(limit.1))
        * (1.0 + OVERSHOOT)
        + SLACK;
    let times: Vec<_> = runs
        .iter()
        .map(|run| run.at)
        .filter(|at| *at >= binds_from)
        .collect();
    let most = times.iter().map(|from| {
        times
            .iter()
            .filter(|at| **at >= *from && **at < *from + WINDOW)
            .count()
    });
    let most = most.max().unwrap_or(0);
    let total_sent = sent.iter().filter(|s| s.at >= binds_from).count();
    scene.note(&format!(
        "limit {limit:?}: at most {allowed:.0} runs in a window are allowed; most runs in a window: {most}; sent since the limit binds: {total_sent}"
    ));
    scene.write_requests(&sent, &runs);
    #[allow(clippy::cast_precision_loss)]
    let is_broken = most as f64 > allowed;
    Ok(usize::from(is_broken))
}
