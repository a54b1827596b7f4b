//! Quarantine of requests that crash targets.
//!
//! A request is identified by its fingerprint, a hash that is the same for each retry of the request. A broken connection
//! alone is no crash: the target may be slow, or may have reset the connection. It makes the request a suspect until there
//! is a sign that the process of the target has ended without having left, or that it is alive.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};
use waxwing_types::{Incarnation, Millis, TargetId, common_derives};

use crate::hash::{hash_bytes, mix64};

/// Number of crashed processes after which a request is refused. The platform allows three crashed targets.
const CRASHES_TO_QUARANTINE: usize = 2;
/// Time for which a request stays a suspect. A target that crashed is back after some seconds.
const SUSPECT_TIME: Millis = Millis::from_secs(10);
/// Time for which a request stays quarantined after the last crash. Callers stop retrying a request earlier.
const QUARANTINE_TIME: Millis = Millis::from_secs(60);
/// Greatest number of suspects.
const MAX_SUSPECTS: usize = 512;
/// Greatest number of requests of which crashes are remembered.
const MAX_RECORDS: usize = 4096;

common_derives! {
    copy
    /// One process of a target, the same on every VM.
    #[derive(Hash, Default, Serialize, Deserialize)]
    #[serde(transparent)]
    pub struct TargetProcess(u64);
}

impl TargetProcess {
    /// The process of a target that registered with this incarnation.
    pub fn new(id: &TargetId, incarnation: Incarnation) -> Self {
        Self(mix64(hash_bytes(id.as_str().as_bytes()), incarnation.0))
    }

    /// The lower 32 bits, by which VMs name processes in datagrams that name many.
    pub fn short(self) -> u32 {
        u32::try_from(self.0 & u64::from(u32::MAX)).unwrap_or_default()
    }
}

/// A request whose connection broke while a target ran it.
struct Suspect {
    fingerprint: u64,
    process: TargetProcess,
    broken_at: Millis,
}

/// The processes that crashed while one request was running.
#[derive(Default)]
struct CrashRecord {
    processes: Vec<TargetProcess>,
    last_crash: Millis,
}

impl CrashRecord {
    fn is_quarantined(&self, now: Millis) -> bool {
        self.processes.len() >= CRASHES_TO_QUARANTINE
            && now.since(self.last_crash) < QUARANTINE_TIME
    }
}

/// Requests that are refused because they crashed targets, by fingerprint.
#[derive(Default)]
pub struct Quarantine {
    suspects: Vec<Suspect>,
    crash_records: HashMap<u64, CrashRecord>,
}

/// Queries.
impl Quarantine {
    /// Whether a request is quarantined.
    pub fn contains(&self, now: Millis, fingerprint: u64) -> bool {
        let record = self.crash_records.get(&fingerprint);
        record.is_some_and(|record| record.is_quarantined(now))
    }

    /// Number of quarantined requests.
    pub fn count(&self, now: Millis) -> usize {
        let records = self.crash_records.values();
        records.filter(|record| record.is_quarantined(now)).count()
    }
}

/// Commands.
impl Quarantine {
    /// Records that the connection to a process broke while it ran a request. Returns whether this is the first suspect of the
    /// process, so that the caller must find out whether the process is alive.
    pub fn on_connection_broken(
        &mut self,
        now: Millis,
        fingerprint: u64,
        process: TargetProcess,
    ) -> bool {
        self.suspects
            .retain(|suspect| now.since(suspect.broken_at) < SUSPECT_TIME);
        let is_first = self.suspects.iter().all(|s| s.process != process);
        if self.suspects.len() < MAX_SUSPECTS {
            self.suspects.push(Suspect {
                fingerprint,
                process,
                broken_at: now,
            });
        }
        is_first
    }

    /// Drops the suspects of a process: what broke its connections was no crash.
    pub fn clear_suspects(&mut self, process: TargetProcess) {
        self.suspects.retain(|suspect| suspect.process != process);
    }

    /// Records that a target has answered a request successfully: the request does not crash targets.
    pub fn on_success(&mut self, fingerprint: u64) {
        self.crash_records.remove(&fingerprint);
    }

    /// Records that a process has crashed, and returns the fingerprints of the requests that it was running.
    pub fn on_process_crash(&mut self, now: Millis, process: TargetProcess) -> Vec<u64> {
        let mut running = Vec::new();
        self.suspects.retain(|suspect| {
            let is_running = suspect.process == process;
            if is_running && now.since(suspect.broken_at) < SUSPECT_TIME {
                running.push(suspect.fingerprint);
            }
            !is_running
        });
        running.sort_unstable();
        running.dedup();
        for fingerprint in &running {
            self.on_crash_report(now, *fingerprint, process);
        }
        running
    }

    /// Records that a process crashed while it was running a request, as this VM or another one has found.
    pub fn on_crash_report(&mut self, now: Millis, fingerprint: u64, process: TargetProcess) {
        self.crash_records
            .retain(|_, record| now.since(record.last_crash) < QUARANTINE_TIME);
        if self.crash_records.len() >= MAX_RECORDS && !self.crash_records.contains_key(&fingerprint)
        {
            return;
        }
        let record = self.crash_records.entry(fingerprint).or_default();
        record.last_crash = now;
        // Each VM with a request at the process reports its crash.
        if !record.processes.contains(&process) {
            record.processes.push(process);
        }
    }
}
