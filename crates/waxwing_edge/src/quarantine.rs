//! Quarantine of requests that crash targets.
//!
//! A request is identified by its fingerprint, a hash that is the same for each retry of the request.

use std::collections::HashMap;

use slotmap::Key as _;
use waxwing_types::Millis;

use crate::TargetKey;

/// Number of crashes after which a request is refused. The platform allows three crashed targets.
const CRASHES_TO_QUARANTINE: usize = 2;
/// Longest time between a broken connection and the finding that its target is down. If the time is longer,
/// the request on the connection doesn't count as running at the crash.
const CRASH_DETECTION_TIME: Millis = Millis(1500);
/// Time for which a request stays quarantined after the last crash. Callers stop retrying a request earlier.
const QUARANTINE_TIME: Millis = Millis::from_secs(60);
/// Greatest number of broken connections that are kept to be matched with a target that is found to be down.
const MAX_BROKEN_CONNECTIONS: usize = 512;

/// A connection to a target that broke while the target ran a request.
struct BrokenConnection {
    /// Fingerprint of the request.
    fingerprint: u64,
    /// [`TargetKey`] of the target as an integer.
    target_bits: u64,
    at: Millis,
}

/// The crashes of targets that happened while one request was running.
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
    /// Records that the connection to a target broke while the target ran a request.
    pub fn on_connection_broken(&mut self, now: Millis, fingerprint: u64, target: TargetKey) {
        self.broken_connections
            .retain(|b| now.since(b.at) < CRASH_DETECTION_TIME);
        if self.broken_connections.len() < MAX_BROKEN_CONNECTIONS {
            self.broken_connections.push(BrokenConnection {
                fingerprint,
                target_bits: target.data().as_ffi(),
                at: now,
            });
        }
    }

    /// Records that a target is down, and returns the fingerprints of the requests that were running when
    /// it crashed.
    pub fn on_target_down(&mut self, now: Millis, target: TargetKey) -> Vec<u64> {
        let target_bits = target.data().as_ffi();
        let mut running = Vec::new();
        self.broken_connections.retain(|b| {
            let matches = b.target_bits == target_bits && now.since(b.at) < CRASH_DETECTION_TIME;
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

    /// Records that a request was running when a target crashed. Either this VM or another VM has observed
    /// the crash.
    pub fn on_target_crash(&mut self, now: Millis, fingerprint: u64) {
        self.crash_records
            .retain(|_, r| now.since(r.last_crash) < QUARANTINE_TIME);
        let record = self.crash_records.entry(fingerprint).or_default();
        record.crashes += 1;
        record.last_crash = now;
    }
}
