//! The replica of the configuration records that each VM holds.
//!
//! The store counts its writes. A revision is a value of this counter. The version of a record is
//! the revision of the write that produced the record's current value.

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
        /// The record is a withdrawal: no version of the record is active any more.
        Withdrawn,
        /// The record was ignored, because the version held is as high or higher.
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
        /// Valid records that were applied, including withdrawals.
        pub applied: u64,
        /// Records that failed validation.
        pub rejected: u64,
    }
}

common_derives! {
    copy
    /// A transfer from peers that takes several pages and is not complete. The pages may come from
    /// different peers.
    struct PeerTransfer {
        /// Version after which the next page starts: the version of the last record that arrived,
        /// or the revision of this replica if the revision is higher.
        cursor: Revision,
        /// Lowest revision of a peer that can complete the transfer. This is the highest revision
        /// among the peers that sent a page of the transfer.
        ///
        /// A record may be replaced between two pages. Its old version is then at or before the
        /// cursor and is not sent any more, and its new version is after the cursor. A peer at a
        /// lower revision may lack the new version, and the record would be missing here.
        required_revision: Revision,
    }
}

/// All records by path, with the indexes that answer queries.
///
/// During a transfer the replica may hold some records that are newer than its revision. These
/// records become active immediately, but the revision rises only when the transfer is complete.
#[derive(Debug, Default)]
pub struct Config {
    entries: BTreeMap<SmolStr, Entry>,
    by_version: BTreeSet<(Revision, SmolStr)>,
    active: ActiveRecords,
    blocks: BlockRecords,
    /// Version of the newest region record that became active or was withdrawn.
    newest_region_version: Revision,
    /// Highest revision up to which this replica holds every record.
    revision: Revision,
    /// The running transfer from peers, if any.
    peer_transfer: Option<PeerTransfer>,
    /// Revision up to which the store has sent its records, if more pages follow.
    store_transfer_cursor: Option<Revision>,
    /// Latest time, in milliseconds of this process's clock, at which the store is known to have
    /// held nothing newer than `revision`. A time before the start of the process is negative.
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
    /// `as_of` is used if `page` is the last page. It is a time at which the store held no record
    /// newer than the revision of `page`. This is true of the time at which the call was sent,
    /// because the store replied later. If a long poll ended without changes, this is also true of
    /// the end of the requested wait, and the caller passes that time.
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
            // The revision must not rise yet. A record that the store held at `page.revision` may
            // have been replaced since. The record is then missing here until a later page brings
            // its new version.
            self.store_transfer_cursor = self.store_transfer_cursor.max(Some(page.revision));
            return outcomes;
        }
        self.store_transfer_cursor = None;
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
        let last_version = page.records.last().map(ParsedRecord::version);
        let outcomes = self.apply_all(now, page.records);
        if page.after > self.peer_cursor() {
            return outcomes;
        }
        if page.more {
            self.advance_peer_transfer(last_version.unwrap_or_default(), page.revision);
            return outcomes;
        }
        match self.peer_transfer {
            // This peer cannot complete the transfer. If the peer is not ahead of this replica, the
            // transfer is kept. Otherwise the transfer is dropped, because the peers at the
            // required revision may be gone. The next pull then starts from the revision of this
            // replica.
            Some(transfer) if page.revision < transfer.required_revision => {
                self.peer_transfer = self
                    .peer_transfer
                    .filter(|_| page.revision <= self.revision);
            }
            Some(_) | None => self.raise_revision(page.revision),
        }
        // A peer reports `Millis::MAX` if it does not know the age of its configuration.
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
        let (value, outcome) = self.update_active_records(now, parsed);
        let findings = match &outcome {
            ApplyOutcome::Rejected(findings) => Some(findings.clone()),
            ApplyOutcome::Applied | ApplyOutcome::Withdrawn | ApplyOutcome::NotNewer => None,
        };
        let newest_valid_version = match (&findings, self.entries.get(&path)) {
            (None, _) => Some(version),
            (Some(_), held) => held.and_then(|e| e.newest_valid_version),
        };
        let entry = Entry {
            version,
            newest_valid_version,
            value,
            findings,
        };
        self.entries.insert(path, entry);
        outcome
    }

    fn apply_all(&mut self, now: Millis, records: Vec<ParsedRecord>) -> Vec<ApplyOutcome> {
        records.into_iter().map(|r| self.apply(now, r)).collect()
    }

    /// Activates, withdraws or rejects a record. Returns the outcome, and the value of the record
    /// to keep for replies to peers.
    fn update_active_records(
        &mut self,
        now: Millis,
        parsed: ParsedRecord,
    ) -> (Value, ApplyOutcome) {
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
    fn advance_peer_transfer(&mut self, last_version: Revision, peer_revision: Revision) {
        let transfer = self.peer_transfer.unwrap_or(PeerTransfer {
            cursor: self.revision,
            required_revision: Revision::default(),
        });
        self.peer_transfer = Some(PeerTransfer {
            cursor: transfer.cursor.max(last_version),
            required_revision: transfer.required_revision.max(peer_revision),
        });
    }

    /// Raises the revision to at least `revision`. Ends the transfer from the store if its cursor
    /// is not above the new revision, and the transfer from peers if its required revision is not.
    fn raise_revision(&mut self, revision: Revision) {
        self.revision = self.revision.max(revision);
        self.store_transfer_cursor = self.store_transfer_cursor.filter(|c| *c > self.revision);
        let incomplete = self
            .peer_transfer
            .filter(|t| t.required_revision > self.revision);
        self.peer_transfer = incomplete.map(|t| PeerTransfer {
            cursor: t.cursor.max(self.revision),
            ..t
        });
    }

    /// Raises `current_as_of` to `as_of`, a time at which the store held nothing newer than the
    /// revision.
    fn confirm_current(&mut self, as_of: i64) {
        self.current_as_of = self.current_as_of.max(Some(as_of));
    }
}

/// Converts a time or a duration to a signed number of milliseconds. A time minus the age that a
/// peer reports may be negative, because the age may exceed the time since this process started.
fn signed(time: Millis) -> i64 {
    i64::try_from(time.0).unwrap_or(i64::MAX)
}
