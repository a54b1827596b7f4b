//! This VM's replica of the configuration records.

mod entry;
mod facts;
mod index;
mod limits;
mod page;
mod query;

use std::collections::{BTreeMap, BTreeSet};

use smol_str::SmolStr;
use waxwing_records::{Findings, Kind, Record};
use waxwing_types::{Millis, Revision, common_derives};

use crate::block::BlockRecords;
use entry::{Entry, Value};
use index::Index;

pub use entry::ParsedRecord;
pub use index::ActiveShift;
pub use page::{ConfigDelta, RecordPage};

common_derives! {
    /// What became of a record that a store or peer sent.
    pub enum ApplyOutcome {
        /// It is in force.
        Applied,
        /// It ends the record that was in force.
        Withdrawn,
        /// Its version is not higher than the one held.
        NotNewer,
        /// It is invalid; the record that was in force stays.
        Rejected(Findings),
    }
}

common_derives! {
    copy
    /// Counts since the process started.
    #[derive(Default)]
    pub struct ConfigCounts {
        /// Records put in force, withdrawals included.
        pub applied: u64,
        /// Records that failed validation.
        pub rejected: u64,
    }
}

common_derives! {
    copy
    /// A transfer of several pages that is under way.
    struct Transfer {
        /// Every record that the sender holds at versions up to here has arrived.
        cursor: Revision,
        /// Highest revision of those who sent a page. Only a sender that holds at least this much
        /// can complete the transfer: a record replaced between two pages moves behind the cursor
        /// of whoever has not seen the replacement.
        goal: Revision,
    }
}

/// The records held, by path, with the indexes that answer queries.
#[derive(Debug, Default)]
pub struct Config {
    entries: BTreeMap<SmolStr, Entry>,
    by_version: BTreeSet<(Revision, SmolStr)>,
    index: Index,
    blocks: BlockRecords,
    /// Version of the newest region record put in force or withdrawn.
    regions_version: Revision,
    revision: Revision,
    transfer: Option<Transfer>,
    /// End of the last page of an answer of the store that goes on.
    store_cursor: Option<Revision>,
    /// Latest moment of this clock at which the store is known to have held no more than the
    /// records in force. Negative if the word is older than the process.
    heard: Option<i64>,
    counts: ConfigCounts,
}

impl Config {
    /// A replica that holds nothing yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adopts a page of an answer of the store.
    ///
    /// `as_of` is a moment at which the store had not answered yet: when the call was sent, or, if
    /// a long poll ended without news, that moment plus the time it was asked to wait.
    pub fn apply_store_page(
        &mut self,
        now: Millis,
        as_of: Millis,
        page: RecordPage,
    ) -> Vec<ApplyOutcome> {
        let adoptions = self.adopt_all(now, page.records);
        if page.after > self.store_cursor() {
            return adoptions;
        }
        if page.more {
            // Not in force yet: a record replaced by one of a later page is missing.
            self.store_cursor = self.store_cursor.max(Some(page.revision));
            return adoptions;
        }
        self.store_cursor = None;
        self.raise(page.revision);
        self.hear(signed(as_of));
        adoptions
    }

    /// Adopts a peer's answer to a pull that was sent at `sent`.
    pub fn apply_peer_page(
        &mut self,
        now: Millis,
        sent: Millis,
        page: RecordPage,
    ) -> Vec<ApplyOutcome> {
        let last = page.records.last().map(ParsedRecord::version);
        let adoptions = self.adopt_all(now, page.records);
        if page.after > self.peer_cursor() {
            return adoptions;
        }
        if page.more {
            self.advance(last.unwrap_or_default(), page.revision);
            return adoptions;
        }
        match self.transfer {
            // The sender cannot complete the transfer that another one began, but holds news. That
            // other one may be gone, so the transfer starts again.
            Some(transfer) if page.revision < transfer.goal => {
                self.transfer = self.transfer.filter(|_| page.revision <= self.revision);
            }
            Some(_) | None => self.raise(page.revision),
        }
        if self.revision >= page.revision && page.age != Millis::MAX {
            self.hear(signed(sent).saturating_sub(signed(page.age)));
        }
        adoptions
    }

    /// Adopts one record if its version is higher than the one held.
    pub fn apply(&mut self, now: Millis, candidate: ParsedRecord) -> ApplyOutcome {
        let path = candidate.record.path.clone();
        let version = candidate.record.version;
        let held = self.entries.get(&path).map(|e| e.version);
        if held.is_some_and(|held| version <= held) {
            return ApplyOutcome::NotNewer;
        }
        if let Some(held) = held {
            self.by_version.remove(&(held, path.clone()));
        }
        self.by_version.insert((version, path.clone()));
        let (value, adoption) = self.enforce(now, candidate);
        let findings = match &adoption {
            ApplyOutcome::Rejected(findings) => Some(findings.clone()),
            ApplyOutcome::Applied | ApplyOutcome::Withdrawn | ApplyOutcome::NotNewer => None,
        };
        let in_force = match (&findings, self.entries.get(&path)) {
            (None, _) => Some(version),
            (Some(_), held) => held.and_then(|e| e.in_force),
        };
        let entry = Entry {
            version,
            in_force,
            value,
            findings,
        };
        self.entries.insert(path, entry);
        adoption
    }

    fn adopt_all(&mut self, now: Millis, records: Vec<ParsedRecord>) -> Vec<ApplyOutcome> {
        records.into_iter().map(|c| self.apply(now, c)).collect()
    }

    fn enforce(&mut self, now: Millis, candidate: ParsedRecord) -> (Value, ApplyOutcome) {
        let version = candidate.record.version;
        let raw = candidate.record.value;
        let document = match candidate.parsed {
            Ok(document) => document,
            Err(findings) => return self.reject(raw, findings),
        };
        match document.record {
            Some(Record::Blocks(blocks)) => {
                if let Err(findings) = self.blocks.set(&document.id.name, &blocks) {
                    return self.reject(raw, findings);
                }
                self.counts.applied += 1;
                (Value::Blocks, ApplyOutcome::Applied)
            }
            Some(record) => {
                self.note_region(document.id.kind, version);
                self.index.set(now, &document.id.name, record);
                self.counts.applied += 1;
                (Value::Raw(raw), ApplyOutcome::Applied)
            }
            None => {
                self.note_region(document.id.kind, version);
                self.blocks.remove(&document.id);
                self.index.remove(&document.id);
                self.counts.applied += 1;
                (Value::Raw(raw), ApplyOutcome::Withdrawn)
            }
        }
    }

    fn reject(&mut self, raw: Vec<u8>, findings: Findings) -> (Value, ApplyOutcome) {
        self.counts.rejected += 1;
        (Value::Raw(raw), ApplyOutcome::Rejected(findings))
    }

    fn note_region(&mut self, kind: Kind, version: Revision) {
        if kind == Kind::Region {
            self.regions_version = self.regions_version.max(version);
        }
    }

    fn advance(&mut self, last: Revision, goal: Revision) {
        let transfer = self.transfer.unwrap_or(Transfer {
            cursor: self.revision,
            goal: Revision::default(),
        });
        self.transfer = Some(Transfer {
            cursor: transfer.cursor.max(last),
            goal: transfer.goal.max(goal),
        });
    }

    fn raise(&mut self, revision: Revision) {
        self.revision = self.revision.max(revision);
        self.store_cursor = self.store_cursor.filter(|c| *c > self.revision);
        let open = self.transfer.filter(|t| t.goal > self.revision);
        self.transfer = open.map(|t| Transfer {
            cursor: t.cursor.max(self.revision),
            ..t
        });
    }

    fn hear(&mut self, at: i64) {
        self.heard = self.heard.max(Some(at));
    }
}

/// A point or span as a signed number, since a peer's age may exceed this process's life.
fn signed(time: Millis) -> i64 {
    i64::try_from(time.0).unwrap_or(i64::MAX)
}
