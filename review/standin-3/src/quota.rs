//! QUOTA: requests of a tenant that run in five seconds, on all daemons together.

use std::path::Path;
use std::sync::atomic::Ordering;
use std::thread::sleep;
use std::time::Duration;

use crate::scene::{Scene, Terms};

/// `quotaWindowS`, `quotaOvershoot` in percent and `quotaSlack` of the users' deployments.
const WINDOW_S: u64 = 5;
const OVERSHOOT_PERCENT: u64 = 10;
const SLACK: u64 = 20;

/// The daemon that coordinates the tenant's quota: it follows from the names of the daemons and of the tenant.
const COORDINATOR: usize = 1;

fn allowed(rate: u64, burst: u64) -> u64 {
    (rate * WINDOW_S + burst) * (100 + OVERSHOOT_PERCENT) / 100 + SLACK
}

/// Compares the busiest window with the rule, and ends the case.
fn verdict(scene: &mut Scene, terms: &Terms, folder: &Path) -> i32 {
    let (most, start) = scene.most_in_window(WINDOW_S * 1000);
    let limit = allowed(terms.rate, terms.burst);
    let broken = most as u64 > limit;
    scene.record.note(format!(
        "busiest window of {WINDOW_S} s, from {start} ms: {most} requests were sent and run; allowed {limit}: {}",
        if broken { "QUOTA is broken" } else { "QUOTA holds" }
    ));
    scene.record.write(&folder.join("record.txt"));
    scene.end();
    i32::from(broken)
}

/// The daemon that coordinates the tenant's quota is cut off from the store and from the other daemons for 12 s, and the tenant
/// sends many times its usual in that time.
pub fn cut(folder: &Path, trouble: bool) -> i32 {
    let terms = Terms {
        daemons: 4,
        rate: 40,
        burst: 200,
        work: Duration::from_millis(5),
        clients: 48,
        extra: String::new(),
        upstreams: 3,
    };
    let Some(mut scene) = Scene::start(&terms) else { return 2 };
    let index = COORDINATOR;
    scene.record.note("the tenant sends some 10 requests a second");
    scene.traffic.pause_ms.store(400, Ordering::Relaxed);
    scene.traffic.active.store(4, Ordering::Relaxed);
    sleep(Duration::from_secs(12));
    if trouble {
        scene.record.note(format!("{} is cut off from the store and from the other daemons", scene.daemons[index].name));
        scene.store.set_cut(index, true);
        scene.links.set_cut(index, true);
    }
    sleep(Duration::from_millis(9500));
    scene.record.note("the tenant sends many times its usual");
    scene.traffic.pause_ms.store(20, Ordering::Relaxed);
    scene.traffic.active.store(terms.clients, Ordering::Relaxed);
    sleep(Duration::from_millis(2500));
    if trouble {
        scene.record.note("the cut ends");
        scene.store.set_cut(index, false);
        scene.links.set_cut(index, false);
    }
    sleep(Duration::from_millis(3500));
    scene.traffic.active.store(0, Ordering::Relaxed);
    sleep(Duration::from_millis(2500));
    verdict(&mut scene, &terms, folder)
}

/// One daemon, which coordinates the tenant's quota, is killed and starts again right after the tenant has used its burst.
pub fn restart(folder: &Path, trouble: bool) -> i32 {
    let terms = Terms {
        daemons: 4,
        rate: 30,
        burst: 600,
        work: Duration::from_millis(5),
        clients: 48,
        extra: String::new(),
        upstreams: 3,
    };
    let Some(mut scene) = Scene::start(&terms) else { return 2 };
    scene.record.note("the tenant sends nothing, and its burst fills up");
    sleep(Duration::from_secs(22));
    scene.record.note("the tenant sends many times its usual");
    scene.traffic.pause_ms.store(5, Ordering::Relaxed);
    scene.traffic.active.store(terms.clients, Ordering::Relaxed);
    sleep(Duration::from_millis(1800));
    if trouble {
        let daemon = &mut scene.daemons[COORDINATOR];
        scene.record.note(format!("{} is killed and starts again", daemon.name));
        daemon.kill();
        daemon.start();
    }
    sleep(Duration::from_millis(5000));
    scene.traffic.active.store(0, Ordering::Relaxed);
    sleep(Duration::from_millis(2500));
    verdict(&mut scene, &terms, folder)
}
