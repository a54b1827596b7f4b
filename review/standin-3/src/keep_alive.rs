//! LOST: connections that end without an answer to a request that an upstream has run.

use std::collections::{HashMap, HashSet};
use std::path::Path;
use std::sync::atomic::Ordering;
use std::thread::sleep;
use std::time::Duration;

use crate::scene::{Scene, Terms};

/// Connections without an answer that the rule allows.
const ALLOWED: usize = 3;

/// One of three upstreams keeps idle connections without a limit, and states the greatest number of seconds that it knows.
pub fn run(folder: &Path, trouble: bool) -> i32 {
    let seconds = if trouble { i64::MAX } else { 10 };
    let terms = Terms {
        daemons: 2,
        rate: 0,
        burst: 0,
        work: Duration::from_millis(20),
        clients: 8,
        extra: format!("Keep-Alive: timeout={seconds}\r\n"),
        upstreams: 3,
    };
    let Some(mut scene) = Scene::start(&terms) else { return 2 };
    // Daemons are in touch 4 s after their start.
    sleep(Duration::from_secs(5));
    scene.record.note(format!("clients send orders; upstream i-0 states Keep-Alive: timeout={seconds}"));
    scene.traffic.pause_ms.store(50, Ordering::Relaxed);
    scene.traffic.active.store(terms.clients, Ordering::Relaxed);
    sleep(Duration::from_secs(10));
    scene.traffic.active.store(0, Ordering::Relaxed);
    sleep(Duration::from_millis(2500));
    let lost = {
        let runs = scene.record.runs.lock().unwrap();
        let ran: HashSet<&str> = runs.iter().map(|run| run.id.as_str()).collect();
        let mut sent = scene.record.sent.lock().unwrap();
        sent.sort_by_key(|s| s.sent_ms);
        // Whether the last request of a client was answered on a connection that both sides kept.
        let mut keeps: HashMap<usize, bool> = HashMap::new();
        let mut lost = 0;
        for s in sent.iter() {
            let was_kept = keeps.insert(s.client, s.end == "200").unwrap_or(false);
            let has_no_answer = s.end.starts_with("closed") || s.end.starts_with("no answer");
            lost += usize::from(was_kept && has_no_answer && ran.contains(s.id.as_str()));
        }
        lost
    };
    let broken = lost > ALLOWED;
    scene.record.note(format!(
        "{lost} requests from kept connections ran at an upstream, and their connections ended without an answer; allowed \
         {ALLOWED}: {}",
        if broken { "LOST is broken" } else { "LOST holds" }
    ));
    scene.record.write(&folder.join("record.txt"));
    scene.end();
    i32::from(broken)
}
