//! Pages of records, which a replica reads from the store and exchanges with other replicas.

use waxwing_types::{Millis, Revision, common_derives};

use super::{Config, ParsedRecord, Value, signed};
use crate::{PullReply, PullRequest, VersionedRecord};

common_derives! {
    /// The part of a [`PullReply`] that concerns the configuration: the records that changed after
    /// a revision.
    pub struct ConfigDelta {
        /// Highest revision up to which the sender holds every record.
        pub revision: Revision,
        /// Age of the sender's configuration, as [`Config::age`] returns it.
        pub age: Millis,
        /// Whether more records follow on the next page.
        pub more: bool,
        /// The changed records, in the order of their versions.
        pub records: Vec<VersionedRecord>,
    }
}

/// A page of parsed records from a peer or from the store.
#[derive(Clone, Debug)]
pub struct RecordPage {
    /// The revision after which the records were requested.
    pub after: Revision,
    /// In a page from a peer, the highest revision up to which the peer holds every record. In a
    /// page from the store, the revision up to which the store has sent every record.
    pub revision: Revision,
    /// Age of the peer's configuration, as [`Config::age`] returns it: [`Millis::MAX`] if the peer
    /// does not know the age. Zero in a page from the store.
    pub age: Millis,
    /// Whether more records follow on the next page.
    pub more: bool,
    /// The records, in the order of their versions.
    pub records: Vec<ParsedRecord>,
}

impl RecordPage {
    /// Parses the records that the store sent.
    pub fn from_store(
        after: Revision,
        revision: Revision,
        more: bool,
        records: Vec<VersionedRecord>,
    ) -> Self {
        Self {
            after,
            revision,
            age: Millis::ZERO,
            more,
            records: records.into_iter().map(ParsedRecord::parse).collect(),
        }
    }

    /// Takes the records out of a reply from a peer, and parses them.
    pub fn from_reply(after: Revision, reply: &mut PullReply) -> Self {
        let records = std::mem::take(&mut reply.records);
        Self {
            after,
            revision: reply.revision,
            age: reply.age,
            more: reply.more,
            records: records.into_iter().map(ParsedRecord::parse).collect(),
        }
    }
}

impl Config {
    /// The revision after which to request records from the store next. This is the revision of the
    /// last page if more pages follow, else the revision of this replica.
    pub fn store_cursor(&self) -> Revision {
        self.store_transfer_cursor.unwrap_or(self.revision)
    }

    /// The revision after which to request records from peers next. This is the cursor of the
    /// running transfer, or the revision of this replica if no transfer runs.
    ///
    /// Any peer can send the next page of a transfer, but the transfer is complete soonest if all
    /// pages come from the peer that sent the first page.
    pub fn peer_cursor(&self) -> Revision {
        self.peer_transfer.map_or(self.revision, |t| t.cursor)
    }

    /// Returns the records that changed after the revision `after`, for a reply to a peer. Their
    /// paths and values have at most `max_bytes` together, unless the first record alone is larger.
    ///
    /// A replica that holds records newer than its revision returns no records and revision 0. Such
    /// a record may have replaced the version that the store held at the replica's revision, and
    /// the replaced version can no longer be sent.
    pub fn delta(&self, now: Millis, after: Revision, max_bytes: usize) -> ConfigDelta {
        let mut delta = ConfigDelta {
            revision: self.revision,
            age: self.age(now),
            more: false,
            records: Vec::new(),
        };
        if after >= self.revision {
            return delta;
        }
        if self.newest_version() > self.revision {
            // The age refers to the actual revision, and does not hold for the reported revision 0.
            delta.revision = Revision::default();
            delta.age = Millis::MAX;
            return delta;
        }
        let mut bytes = 0;
        let start = (Revision(after.0.saturating_add(1)), "".into());
        for (version, path) in self.by_version.range(start..) {
            let value = self.value(path);
            bytes += value.len() + path.len();
            if bytes > max_bytes && !delta.records.is_empty() {
                delta.more = true;
                break;
            }
            delta.records.push(VersionedRecord {
                path: path.clone(),
                version: *version,
                value,
            });
        }
        delta
    }

    /// Whether the peer that sent the request holds a newer revision than this replica.
    pub fn is_behind(&self, request: &PullRequest) -> bool {
        request.after > self.revision
    }

    /// Age of the configuration: the time since the store was last known to hold nothing newer than
    /// the revision of this replica. The last page from the store, or a reply of a peer, updates
    /// that time.
    ///
    /// Returns [`Millis::MAX`] before the first such update.
    pub fn age(&self, now: Millis) -> Millis {
        let Some(as_of) = self.current_as_of else {
            return Millis::MAX;
        };
        let age = signed(now).saturating_sub(as_of);
        Millis(u64::try_from(age).unwrap_or(0))
    }

    /// The highest version of any record held.
    fn newest_version(&self) -> Revision {
        self.by_version.last().map(|(v, _)| *v).unwrap_or_default()
    }

    /// The value of the record at a path, to send to a peer.
    fn value(&self, path: &str) -> Vec<u8> {
        match self.entries.get(path).map(|e| &e.value) {
            Some(Value::Raw(raw)) => raw.clone(),
            Some(Value::Blocks) => self.blocks.to_json(path),
            None => Vec::new(),
        }
    }
}
