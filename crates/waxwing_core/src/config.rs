//! The replica of the configuration records that each VM holds.

mod active;
mod cross_check;
mod entry;
mod limits;
mod page;
mod query;

use std::collections::{BTreeMap, BTreeSet};

use smol_str::SmolStr;
use waxwing_records::{Findings, Kind, Record};
use waxwing_types::{Millis, Revision, common_derives};

use crate::block::BlockRecords;
use active::ActiveRecords;
use entry::{Entry, Value};

pub use active::ActiveShift;
pub use entry::ParsedRecord;
pub use page::{ConfigDelta, RecordPage};

common_derives! {
    /// The result of applying a record that the store or a peer sent.
    pub enum ApplyOutcome {
        /// The record is now active.
        Applied,
        /// The record is a withdrawal: no version of it is active any more.
        Withdrawn,
        /// The record was ignored: its version is not higher than the version held.
        NotNewer,
        /// The record is invalid. A version that was active before stays active.
        Rejected(Findings),
    }
}

common_derives! {
    copy
    /// Numbers of applied and rejected records since the process started.
    #[derive(Default)]
    pub struct ConfigCounts {
        /// Records that became active, including withdrawals.
        pub applied: u64,
        /// Records that failed validation.
        pub rejected: u64,
    }
}

common_derives! {
    copy
    /// A transfer of several pages from peers that is not complete.
    struct PeerTransfer {
        /// Version up to which every record that the sender holds has arrived.
        cursor: Revision,
        /// Highest revision among the peers that sent a page of the transfer.
        ///
        /// Only a peer at this revision or a higher one can complete the transfer. A record that is
        /// replaced between two pages gets a version after the cursor. A peer without the
        /// replacement still holds the old version, before the cursor, so that it sends neither.
        goal: Revision,
    }
}

/// All records by path, with the indexes that answer queries.
///
/// The replica may hold single records that are newer than its revision. They are active at once,
/// but the revision rises only when a transfer is complete.
#[derive(Debug, Default)]
pub struct Config {
    entries: BTreeMap<SmolStr, Entry>,
    by_version: BTreeSet<(Revision, SmolStr)>,
    active: ActiveRecords,
    blocks: BlockRecords,
    /// Version of the newest region record that became active or was withdrawn.
    newest_region_version: Revision,
    /// Newest revision of which every record is held.
    revision: Revision,
    /// Transfer from peers, if one is not complete.
    peer_transfer: Option<PeerTransfer>,
    /// End of the last page from the store, if more pages follow.
    store_page_end: Option<Revision>,
    /// Latest time, in milliseconds of this process's clock, at which the store is known to have
    /// held nothing newer than `revision`. It is negative if it lies before the start of the
    /// process.
    current_as_of: Option<i64>,
    counts: ConfigCounts,
}

impl Config {
    /// Creates a replica without records.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies a page of records from the store.
    ///
    /// `as_of` is a time at which the store had not yet replied. This is the time at which the call
    /// was sent or, if a long poll ended without changes, that time plus the requested wait.
    pub fn apply_store_page(
        &mut self,
        now: Millis,
        as_of: Millis,
        page: RecordPage,
    ) -> Vec<ApplyOutcome> {
        let outcomes = self.apply_all(now, page.records);
        if page.after > self.store_cursor() {
            return outcomes;
        }
        if page.more {
            // The revision must not rise yet. A record that belongs to it may be missing, because
            // it was replaced since and the replacement comes on a later page.
            self.store_page_end = self.store_page_end.max(Some(page.revision));
            return outcomes;
        }
        self.store_page_end = None;
        self.raise_revision(page.revision);
        self.confirm_current(signed(as_of));
        outcomes
    }

    /// Applies a page of records from a peer, in reply to a pull that was sent at `sent`.
    pub fn apply_peer_page(
        &mut self,
        now: Millis,
        sent: Millis,
        page: RecordPage,
    ) -> Vec<ApplyOutcome> {
        let last = page.records.last().map(ParsedRecord::version);
        let outcomes = self.apply_all(now, page.records);
        if page.after > self.peer_cursor() {
            return outcomes;
        }
        if page.more {
            self.advance_peer_transfer(last.unwrap_or_default(), page.revision);
            return outcomes;
        }
        match self.peer_transfer {
            // This peer cannot complete the transfer that another peer started. If it is still
            // ahead of this replica, the transfer starts again, because the other peer may be gone.
            Some(transfer) if page.revision < transfer.goal => {
                self.peer_transfer = self
                    .peer_transfer
                    .filter(|_| page.revision <= self.revision);
            }
            Some(_) | None => self.raise_revision(page.revision),
        }
        if self.revision >= page.revision && page.age != Millis::MAX {
            self.confirm_current(signed(sent).saturating_sub(signed(page.age)));
        }
        outcomes
    }

    /// Applies one record if its version is higher than the version held.
    pub fn apply(&mut self, now: Millis, parsed: ParsedRecord) -> ApplyOutcome {
        let path = parsed.record.path.clone();
        let version = parsed.record.version;
        let held = self.entries.get(&path).map(|e| e.version);
        if held.is_some_and(|held| version <= held) {
            return ApplyOutcome::NotNewer;
        }
        if let Some(held) = held {
            self.by_version.remove(&(held, path.clone()));
        }
        self.by_version.insert((version, path.clone()));
        let (value, outcome) = self.activate(now, parsed);
        let findings = match &outcome {
            ApplyOutcome::Rejected(findings) => Some(findings.clone()),
            ApplyOutcome::Applied | ApplyOutcome::Withdrawn | ApplyOutcome::NotNewer => None,
        };
        let active_version = match (&findings, self.entries.get(&path)) {
            (None, _) => Some(version),
            (Some(_), held) => held.and_then(|e| e.active_version),
        };
        let entry = Entry {
            version,
            active_version,
            value,
            findings,
        };
        self.entries.insert(path, entry);
        outcome
    }

    fn apply_all(&mut self, now: Millis, records: Vec<ParsedRecord>) -> Vec<ApplyOutcome> {
        records.into_iter().map(|r| self.apply(now, r)).collect()
    }

    /// Updates the active records. Returns the value to keep for peers and the outcome.
    fn activate(&mut self, now: Millis, parsed: ParsedRecord) -> (Value, ApplyOutcome) {
        let version = parsed.record.version;
        let raw = parsed.record.value;
        let document = match parsed.document {
            Ok(document) => document,
            Err(findings) => return self.reject(raw, findings),
        };
        match document.record {
            Some(Record::Blocks(blocks)) => {
                if let Err(findings) = self.blocks.insert(&document.id.name, &blocks) {
                    return self.reject(raw, findings);
                }
                self.counts.applied += 1;
                (Value::Blocks, ApplyOutcome::Applied)
            }
            Some(record) => {
                self.update_region_version(document.id.kind, version);
                self.active.insert(now, &document.id.name, record);
                self.counts.applied += 1;
                (Value::Raw(raw), ApplyOutcome::Applied)
            }
            None => {
                self.update_region_version(document.id.kind, version);
                self.blocks.remove(&document.id);
                self.active.remove(&document.id);
                self.counts.applied += 1;
                (Value::Raw(raw), ApplyOutcome::Withdrawn)
            }
        }
    }

    fn reject(&mut self, raw: Vec<u8>, findings: Findings) -> (Value, ApplyOutcome) {
        self.counts.rejected += 1;
        (Value::Raw(raw), ApplyOutcome::Rejected(findings))
    }

    fn update_region_version(&mut self, kind: Kind, version: Revision) {
        if kind == Kind::Region {
            self.newest_region_version = self.newest_region_version.max(version);
        }
    }

    /// Moves the cursor of the peer transfer to the version of the last record of a page. Starts a
    /// transfer if there is none.
    fn advance_peer_transfer(&mut self, last: Revision, goal: Revision) {
        let transfer = self.peer_transfer.unwrap_or(PeerTransfer {
            cursor: self.revision,
            goal: Revision::default(),
        });
        self.peer_transfer = Some(PeerTransfer {
            cursor: transfer.cursor.max(last),
            goal: transfer.goal.max(goal),
        });
    }

    /// Raises the revision, and ends the transfers that it makes complete.
    fn raise_revision(&mut self, revision: Revision) {
        self.revision = self.revision.max(revision);
        self.store_page_end = self.store_page_end.filter(|c| *c > self.revision);
        let incomplete = self.peer_transfer.filter(|t| t.goal > self.revision);
        self.peer_transfer = incomplete.map(|t| PeerTransfer {
            cursor: t.cursor.max(self.revision),
            ..t
        });
    }

    /// Records that the store held nothing newer than the revision at the time `as_of`.
    fn confirm_current(&mut self, as_of: i64) {
        self.current_as_of = self.current_as_of.max(Some(as_of));
    }
}

/// Converts a time or a duration to a signed number. Differences may be negative, because the age
/// that a peer reports may exceed the time since this process started.
fn signed(time: Millis) -> i64 {
    i64::try_from(time.0).unwrap_or(i64::MAX)
}
