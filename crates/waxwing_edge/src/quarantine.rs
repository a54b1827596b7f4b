//! Quarantine of requests that crash the targets which run them.

use std::collections::HashMap;

use slotmap::Key as _;
use waxwing_types::Millis;

use crate::TargetKey;

/// Number of crashed targets after which a request is refused. The platform allows three.
const CRASHES_TO_QUARANTINE: usize = 2;
/// Time after a broken connection within which the target has to be found down, for the request on the
/// connection to count as running at a crash.
const CRASH_DETECTION_TIME: Millis = Millis(1500);
/// Time for which a request stays quarantined after the last crash: longer than callers retry it.
const QUARANTINE_TIME: Millis = Millis::from_secs(60);
/// Greatest number of broken connections that are remembered until their target is found to be down.
const MAX_BROKEN_CONNECTIONS: usize = 512;

/// The connection to a target broke while it ran a request.
struct BrokenConnection {
    fingerprint: u64,
    target: u64,
    at: Millis,
}

/// Crashes that happened while a request was running.
#[derive(Default)]
struct CrashRecord {
    crashes: usize,
    last_crash: Millis,
}

/// Requests that are refused because they crashed targets, by fingerprint.
#[derive(Default)]
pub struct Quarantine {
    broken_connections: Vec<BrokenConnection>,
    crash_records: HashMap<u64, CrashRecord>,
}

/// Queries.
impl Quarantine {
    /// Whether a request is quarantined.
    pub fn contains(&self, now: Millis, fingerprint: u64) -> bool {
        let record = self.crash_records.get(&fingerprint);
        record.is_some_and(|r| {
            r.crashes >= CRASHES_TO_QUARANTINE && now.since(r.last_crash) < QUARANTINE_TIME
        })
    }
}

/// Commands.
impl Quarantine {
    /// Records that the connection to a target broke while it ran a request.
    pub fn on_connection_broken(&mut self, now: Millis, fingerprint: u64, target: TargetKey) {
        self.broken_connections
            .retain(|b| now.since(b.at) < CRASH_DETECTION_TIME);
        if self.broken_connections.len() < MAX_BROKEN_CONNECTIONS {
            self.broken_connections.push(BrokenConnection {
                fingerprint,
                target: target.data().as_ffi(),
                at: now,
            });
        }
    }

    /// Records that a target is down, and returns the fingerprints of the requests that were running when
    /// it crashed.
    pub fn on_target_down(&mut self, now: Millis, target: TargetKey) -> Vec<u64> {
        let target = target.data().as_ffi();
        let mut running = Vec::new();
        self.broken_connections.retain(|b| {
            let matches = b.target == target && now.since(b.at) < CRASH_DETECTION_TIME;
            if matches {
                running.push(b.fingerprint);
            }
            !matches && now.since(b.at) < CRASH_DETECTION_TIME
        });
        for fingerprint in &running {
            self.on_target_crash(now, *fingerprint);
        }
        running
    }

    /// Records that a request was running when a target crashed, as seen by this VM or reported by another.
    pub fn on_target_crash(&mut self, now: Millis, fingerprint: u64) {
        self.crash_records
            .retain(|_, r| now.since(r.last_crash) < QUARANTINE_TIME);
        let record = self.crash_records.entry(fingerprint).or_default();
        record.crashes += 1;
        record.last_crash = now;
    }
}
