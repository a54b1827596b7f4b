//! Objects, versions and faults of the store double, without I/O.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use waxwing_store::{Condition, MAX_VALUE_BYTES, Object, Vm, WriteOutcome};
use waxwing_types::{Millis, Revision};

use super::Control;

/// Most bytes of values in one answer to a list or a watch.
const MAX_PAGE_BYTES: usize = 4_000_000;

/// Number of calls since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stats {
    /// Reads of one object.
    pub gets: u64,
    /// Conditional writes, whether or not they took effect.
    pub puts: u64,
    /// Deletions.
    pub deletes: u64,
    /// Lists and watches.
    pub changes: u64,
    /// Lists of VMs.
    pub vms: u64,
    /// Calls that failed because of an outage.
    pub failed: u64,
    /// Answers that were lost on command.
    pub lost: u64,
}

/// One page of a list or a watch.
pub(super) struct Page {
    pub(super) objects: Vec<Object>,
    pub(super) revision: Revision,
    pub(super) more: bool,
}

#[derive(Default)]
pub(super) struct State {
    objects: BTreeMap<String, (Revision, Vec<u8>)>,
    by_version: BTreeMap<Revision, String>,
    revision: Revision,
    vms: Vec<Vm>,
    pending_vms: Vec<(Millis, Vec<Vm>)>,
    vms_lag: Millis,
    pub(super) delay: Millis,
    pub(super) outage: bool,
    lose_answers: u32,
    lose_prefix: String,
    pub(super) stats: Stats,
}

/// Queries.
impl State {
    pub(super) fn get(&self, path: &str) -> Option<Object> {
        let (version, value) = self.objects.get(path)?;
        Some(Object {
            path: path.into(),
            version: *version,
            value: value.clone(),
        })
    }

    pub(super) fn changes(&self, prefix: &str, after: Revision) -> Page {
        let mut objects = Vec::new();
        let mut bytes = 0;
        for (_, path) in self.by_version.range(Revision(after.0 + 1)..) {
            if !path.starts_with(prefix) {
                continue;
            }
            let Some(object) = self.get(path) else {
                continue;
            };
            bytes += object.value.len();
            if bytes > MAX_PAGE_BYTES && !objects.is_empty() {
                let revision = objects.last().map_or(after, |o: &Object| o.version);
                return Page {
                    objects,
                    revision,
                    more: true,
                };
            }
            objects.push(object);
        }
        Page {
            objects,
            revision: self.revision.max(after),
            more: false,
        }
    }
}

/// Commands.
impl State {
    pub(super) fn put(&mut self, path: &str, value: Vec<u8>, condition: Condition) -> WriteOutcome {
        if value.len() > MAX_VALUE_BYTES {
            return WriteOutcome::Rejected {
                status: 413,
                message: format!("value exceeds {MAX_VALUE_BYTES} bytes"),
            };
        }
        if std::str::from_utf8(&value).is_err() {
            return WriteOutcome::Rejected {
                status: 400,
                message: "value is not UTF-8".into(),
            };
        }
        let current = self.objects.get(path).map(|(version, _)| *version);
        match (condition, current) {
            (Condition::Absent, None) => WriteOutcome::Created(self.write(path, value)),
            (Condition::Version(_), None) => WriteOutcome::Absent,
            (Condition::Version(want), Some(have)) if want == have => {
                WriteOutcome::Updated(self.write(path, value))
            }
            (Condition::Absent | Condition::Version(_), Some(_)) => WriteOutcome::Conflict(current),
        }
    }

    pub(super) fn delete(&mut self, path: &str, version: Revision) -> WriteOutcome {
        match self.objects.get(path).map(|(have, _)| *have) {
            None => WriteOutcome::Absent,
            Some(have) if have != version => WriteOutcome::Conflict(Some(have)),
            Some(have) => {
                self.objects.remove(path);
                self.by_version.remove(&have);
                self.revision.0 += 1;
                WriteOutcome::Updated(self.revision)
            }
        }
    }

    pub(super) fn vms(&mut self, now: Millis) -> Vec<Vm> {
        let due = self.pending_vms.partition_point(|(at, _)| *at <= now);
        if let Some((_, list)) = self.pending_vms.drain(..due).next_back() {
            self.vms = list;
        }
        self.vms.clone()
    }

    pub(super) fn control(&mut self, now: Millis, control: Control) {
        self.delay = control.delay_ms.map_or(self.delay, Millis);
        self.vms_lag = control.vms_lag_ms.map_or(self.vms_lag, Millis);
        self.outage = control.outage.unwrap_or(self.outage);
        self.lose_answers = control.lose_answers.unwrap_or(self.lose_answers);
        if let Some(prefix) = control.lose_prefix {
            self.lose_prefix = prefix;
        }
        if let Some(vms) = control.vms {
            self.pending_vms.push((now + self.vms_lag, vms));
            // A shorter lag lets a later list overtake an earlier one, which is then obsolete.
            let due = now + self.vms_lag;
            self.pending_vms.retain(|(at, _)| *at <= due);
        }
    }

    /// Whether the answer to a write of `path` is to be lost. Counts the loss.
    pub(super) fn loses_answer(&mut self, path: &str) -> bool {
        let lost = self.lose_answers > 0 && path.starts_with(&self.lose_prefix);
        if lost {
            self.lose_answers -= 1;
            self.stats.lost += 1;
        }
        lost
    }

    fn write(&mut self, path: &str, value: Vec<u8>) -> Revision {
        self.revision.0 += 1;
        let version = self.revision;
        if let Some((old, _)) = self.objects.insert(path.to_owned(), (version, value)) {
            self.by_version.remove(&old);
        }
        self.by_version.insert(version, path.to_owned());
        version
    }
}
