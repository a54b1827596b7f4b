//! Quarantine of requests that crash targets.
//!
//! A broken connection alone is no crash: the target may be slow, or may have reset the connection. It makes the request a
//! suspect until there is a sign that the process of the target has ended without having left, or that it is alive.
//!
//! A crash breaks the connections of all requests that its process was running, so that each of them is recorded. A request is
//! quarantined after two crashes of which at least one cannot be the work of another one with as many records. If a target
//! answers a request, that request caused none of the crashes that are known by then: they are excused, and reports of them
//! that arrive later, or once more, have no effect.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};
use waxwing_types::{Incarnation, Millis, TargetId, common_derives};

use crate::RequestName;
use crate::hash::{hash_bytes, mix64};

/// Number of crashed processes after which a request is refused. The platform allows three crashed targets.
const CRASHES_TO_QUARANTINE: usize = 2;
/// Number of crashed processes after which a request is refused even if others ran at the same processes.
const CRASHES_WITHOUT_DOUBT: usize = 4;
/// Time for which a request stays a suspect. A target that crashed is back after some seconds.
const SUSPECT_TIME: Millis = Millis::from_secs(10);
/// Time for which a record is kept after the last crash, report or refused copy.
const RECORD_TIME: Millis = Millis::from_secs(60);
/// Time for which a request stays quarantined after its second crash while copies of it arrive. Then one of them is sent, in
/// case it did not cause the crashes or targets no longer crash.
const FIRST_QUARANTINE: Millis = Millis::from_secs(60);
/// Each further crash quarantines the request again, and this many times as long.
const QUARANTINE_GROWTH: u64 = 4;
/// Shortest time between two reports of the same record to the other VMs.
const REPORT_PERIOD: Millis = Millis::from_secs(1);
/// Greatest number of suspects.
const MAX_SUSPECTS: usize = 4096;
/// Greatest number of requests of which crashes are remembered.
const MAX_RECORDS: usize = 4096;
/// Greatest number of crashes, and of excused ones, in a record. The oldest are dropped.
const MAX_CRASHES: usize = 16;

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

common_derives! {
    copy
    /// A process that crashed while it was running a request.
    pub struct Crash {
        /// The process.
        pub process: TargetProcess,
        /// When the crash was found.
        pub at: Millis,
    }
}

/// A request whose connection broke while a target ran it.
struct Suspect {
    name: RequestName,
    process: TargetProcess,
    broken_at: Millis,
}

/// The processes that crashed while one request was running.
#[derive(Default)]
struct CrashRecord {
    crashes: Vec<Crash>,
    /// Crashed processes after whose crash a target answered the request.
    excused: Vec<TargetProcess>,
    /// Time of the last crash, report or refused copy.
    last_seen: Millis,
    /// When this VM last told the other VMs of the record.
    reported_at: Option<Millis>,
}

impl CrashRecord {
    /// Whether the request ran at enough processes to be the cause of their crashes.
    fn is_candidate(&self) -> bool {
        self.crashes.len() >= CRASHES_TO_QUARANTINE
    }

    /// End of the quarantine. To be called for a candidate.
    fn quarantine_end(&self) -> Millis {
        let further_crashes = self.crashes.len() - CRASHES_TO_QUARANTINE;
        let last = self.crashes.iter().map(|crash| crash.at).max();
        let time = (0..further_crashes).fold(FIRST_QUARANTINE, |time, _| {
            Millis(time.0 * QUARANTINE_GROWTH)
        });
        last.unwrap_or_default() + time
    }

    fn contains(&self, process: TargetProcess) -> bool {
        self.crashes.iter().any(|crash| crash.process == process)
    }

    fn add_crash(&mut self, crash: Crash) {
        if self.excused.contains(&crash.process) || self.contains(crash.process) {
            return;
        }
        if self.crashes.len() >= MAX_CRASHES {
            self.crashes.remove(0);
        }
        self.crashes.push(crash);
    }

    fn excuse(&mut self, process: TargetProcess) {
        self.crashes.retain(|crash| crash.process != process);
        if self.excused.contains(&process) {
            return;
        }
        if self.excused.len() >= MAX_CRASHES {
            self.excused.remove(0);
        }
        self.excused.push(process);
    }

    /// Whether the other VMs may be told of the record again. Counts as told if so.
    fn take_report_turn(&mut self, now: Millis) -> bool {
        let is_due = self
            .reported_at
            .is_none_or(|at| now.since(at) >= REPORT_PERIOD);
        if is_due {
            self.reported_at = Some(now);
        }
        is_due
    }
}

/// Requests that are refused because they crashed targets, by name.
#[derive(Default)]
pub struct Quarantine {
    suspects: Vec<Suspect>,
    records: HashMap<RequestName, CrashRecord>,
}

/// Queries.
impl Quarantine {
    /// Whether a request is quarantined. No request is for a partial name.
    pub fn contains(&self, now: Millis, name: RequestName) -> bool {
        let record = self.records.get(&name);
        record.is_some_and(|record| self.is_quarantined(now, name, record))
    }

    /// Whether a crash is recorded for a name, which may be partial.
    pub fn has_crashed(&self, name: RequestName) -> bool {
        let record = self.records.get(&name);
        record.is_some_and(|record| !record.crashes.is_empty())
    }

    /// Number of quarantined requests.
    pub fn count(&self, now: Millis) -> usize {
        let records = self.records.iter();
        records
            .filter(|(name, record)| self.is_quarantined(now, **name, record))
            .count()
    }

    fn is_quarantined(&self, now: Millis, name: RequestName, record: &CrashRecord) -> bool {
        if name.is_partial() || !record.is_candidate() || now >= record.quarantine_end() {
            return false;
        }
        // A sound request may run beside a fatal one twice. Each crash of the sound one is then also one of the fatal one.
        record.crashes.len() >= CRASHES_WITHOUT_DOUBT
            || record
                .crashes
                .iter()
                .any(|crash| !self.is_explained(name, crash.process))
    }

    /// Whether another request may be the cause of a crash.
    fn is_explained(&self, name: RequestName, process: TargetProcess) -> bool {
        self.records.iter().any(|(other, record)| {
            *other != name
                && !other.is_partial()
                && record.is_candidate()
                && record.contains(process)
        })
    }
}

/// Commands.
impl Quarantine {
    /// Records that the connection to a process broke while it ran a request with these names. Returns whether this is the
    /// first suspect of the process, so that the caller must find out whether the process is alive.
    pub fn on_connection_broken(
        &mut self,
        now: Millis,
        names: &[RequestName],
        process: TargetProcess,
    ) -> bool {
        self.suspects
            .retain(|suspect| now.since(suspect.broken_at) < SUSPECT_TIME);
        let is_first = self.suspects.iter().all(|s| s.process != process);
        for name in names.iter().copied() {
            if self.suspects.len() >= MAX_SUSPECTS {
                self.drop_suspect();
            }
            self.suspects.push(Suspect {
                name,
                process,
                broken_at: now,
            });
        }
        is_first
    }

    /// Drops the oldest suspect without a crash, or else the oldest one.
    fn drop_suspect(&mut self) {
        let records = &self.records;
        let is_unknown = |suspect: &Suspect| !records.contains_key(&suspect.name);
        let index = self.suspects.iter().position(is_unknown);
        self.suspects.remove(index.unwrap_or_default());
    }

    /// Drops the suspects of a process: what broke its connections was no crash.
    pub fn clear_suspects(&mut self, process: TargetProcess) {
        self.suspects.retain(|suspect| suspect.process != process);
    }

    /// Records that a target has answered a request. Returns the processes whose crashes are excused by it if the other VMs
    /// must be told, because they may have quarantined the request.
    pub fn on_answer(&mut self, name: RequestName) -> Vec<TargetProcess> {
        let Some(record) = self.records.get_mut(&name) else {
            return Vec::new();
        };
        let must_tell = record.is_candidate();
        let processes: Vec<_> = record.crashes.iter().map(|crash| crash.process).collect();
        for process in &processes {
            record.excuse(*process);
        }
        if must_tell { processes } else { Vec::new() }
    }

    /// Records that another VM has excused crashes of a request.
    pub fn on_excuse_report(
        &mut self,
        now: Millis,
        name: RequestName,
        processes: &[TargetProcess],
    ) {
        let record = self.record(now, name);
        for process in processes {
            record.excuse(*process);
        }
    }

    /// Records that a copy of a quarantined request was refused. Returns the crashes to report to the other VMs again: a report
    /// may have been lost, and a VM that has just started knows none.
    pub fn on_copy_refused(&mut self, now: Millis, name: RequestName) -> Vec<Crash> {
        let Some(record) = self.records.get_mut(&name) else {
            return Vec::new();
        };
        record.last_seen = now;
        if record.take_report_turn(now) {
            return record.crashes.clone();
        }
        Vec::new()
    }

    /// Records that a process has crashed, and returns the names of the requests that it was running.
    pub fn on_process_crash(&mut self, now: Millis, process: TargetProcess) -> Vec<RequestName> {
        let mut running = Vec::new();
        self.suspects.retain(|suspect| {
            let is_running = suspect.process == process;
            if is_running && now.since(suspect.broken_at) < SUSPECT_TIME {
                running.push(suspect.name);
            }
            !is_running
        });
        running.sort_unstable();
        running.dedup();
        for name in &running {
            self.record(now, *name)
                .add_crash(Crash { process, at: now });
        }
        running
    }

    /// Records that a process crashed while it was running a request, as another VM has found. Returns the excused crashes of
    /// the request if the other VM does not know that a target has answered it since.
    pub fn on_crash_report(
        &mut self,
        now: Millis,
        name: RequestName,
        crash: Crash,
    ) -> Vec<TargetProcess> {
        let record = self.record(now, name);
        record.add_crash(crash);
        if record.excused.contains(&crash.process) && record.take_report_turn(now) {
            return record.excused.clone();
        }
        Vec::new()
    }

    /// The record of a name, which is created if there is none.
    fn record(&mut self, now: Millis, name: RequestName) -> &mut CrashRecord {
        if !self.records.contains_key(&name) && self.records.len() >= MAX_RECORDS {
            self.make_room(now);
        }
        let record = self.records.entry(name).or_default();
        record.last_seen = now;
        record
    }

    /// Drops the records whose time is over, and in any case the newest half of those that quarantine nothing: when many targets
    /// fail at once, the requests that they were running do not displace one that has crashed a target before.
    fn make_room(&mut self, now: Millis) {
        self.drop_expired(now);
        let records = self.records.iter();
        let mut lesser: Vec<_> = records
            .filter(|(_, record)| !record.is_candidate())
            .map(|(name, record)| (record.last_seen, *name))
            .collect();
        lesser.sort_unstable();
        for (_, name) in lesser.split_off(lesser.len() / 2) {
            self.records.remove(&name);
        }
        // All quarantine a request: the oldest one makes room.
        if self.records.len() >= MAX_RECORDS {
            let oldest = self.records.iter().min_by_key(|(_, r)| r.last_seen);
            if let Some(name) = oldest.map(|(name, _)| *name) {
                self.records.remove(&name);
            }
        }
    }

    /// Drops the records whose time is over. To be called now and then.
    pub fn drop_expired(&mut self, now: Millis) {
        self.records
            .retain(|_, record| now.since(record.last_seen) < RECORD_TIME);
    }
}
