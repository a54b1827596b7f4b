//! Pages of records, which replicas exchange and read from the store.

use waxwing_types::{Millis, Revision, common_derives};

use super::{Config, ParsedRecord, Value, signed};
use crate::{PullReply, PullRequest, VersionedRecord};

common_derives! {
    /// The part of a [`PullReply`] that concerns the configuration: the records that changed after
    /// a revision.
    pub struct ConfigDelta {
        /// Newest revision of which the sender holds every record.
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
    /// Newest revision of which the peer holds every record, or the revision up to which the store
    /// has sent every record.
    pub revision: Revision,
    /// Age of the peer's configuration. It is zero for a page from the store.
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

    /// Parses the records of a reply from a peer. Takes them out of the reply.
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
    /// The revision after which to request records from the store next: the end of the last page if
    /// more pages follow, else the revision of this replica.
    pub fn store_cursor(&self) -> Revision {
        self.store_page_end.unwrap_or(self.revision)
    }

    /// The revision after which to request records from peers next: the end of the last page if a
    /// transfer is not complete, else the revision of this replica.
    ///
    /// Any peer can continue a transfer, but the peer that started it completes it fastest.
    pub fn peer_cursor(&self) -> Revision {
        self.peer_transfer.map_or(self.revision, |t| t.cursor)
    }

    /// Returns the records that changed after the revision `after`, for a reply to a peer. They
    /// have at most `max_bytes` of paths and values, unless the first record alone is larger.
    ///
    /// A replica that holds records newer than its revision returns none. It may have replaced a
    /// record with a newer version, so that it can no longer send the version that belongs to its
    /// revision.
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
            // The age belongs to the actual revision and must not be combined with this one.
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
    /// the revision of this replica, from the store itself or from peers.
    ///
    /// Returns [`Millis::MAX`] if that was never known.
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
