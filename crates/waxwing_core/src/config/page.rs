//! Exchange of records between replicas.

use waxwing_types::{Millis, Revision, common_derives};

use super::{Config, ParsedRecord, Value, signed};
use crate::{PullReply, PullRequest, VersionedRecord};

common_derives! {
    /// The part of a [`PullReply`] that concerns the configuration.
    pub struct ConfigDelta {
        /// Revision that the sender holds in full.
        pub revision: Revision,
        /// Age of the sender's newest word from the store, [`Millis::MAX`] for none.
        pub age: Millis,
        /// Whether further records follow.
        pub more: bool,
        /// Records in the order of their versions.
        pub records: Vec<VersionedRecord>,
    }
}

/// An answer of a peer or of the store, read and checked.
#[derive(Clone, Debug)]
pub struct RecordPage {
    /// The revision after which the call asked.
    pub after: Revision,
    /// Revision that a peer holds in full, or up to which the store has reported everything.
    pub revision: Revision,
    /// Age of a peer's newest word from the store.
    pub age: Millis,
    /// Whether further records follow.
    pub more: bool,
    /// The records.
    pub records: Vec<ParsedRecord>,
}

impl RecordPage {
    /// Reads the objects of an answer of the store.
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

    /// Reads the records of a reply, which leaves the reply without them.
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
    /// Where the next call to the store starts: the revision in force, or the end of the last page.
    pub fn store_cursor(&self) -> Revision {
        self.store_cursor.unwrap_or(self.revision)
    }

    /// Where the next pull starts: the revision in force, or the end of the last page of a transfer
    /// under way. A transfer goes on fastest with the peer that began it.
    pub fn peer_cursor(&self) -> Revision {
        self.transfer.map_or(self.revision, |t| t.cursor)
    }

    /// The records that changed after `after`, up to about `max_bytes` of values but at least one.
    ///
    /// A replica that holds records above its revision in force offers nothing: a record that was
    /// replaced meanwhile would be missing at its earlier version.
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
        if self.newest() > self.revision {
            // Its age is that of the revision in force, not of the one it names here.
            delta.revision = Revision::default();
            delta.age = Millis::MAX;
            return delta;
        }
        let mut bytes = 0;
        let from = (Revision(after.0.saturating_add(1)), "".into());
        for (version, path) in self.by_version.range(from..) {
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

    /// Whether the sender of a pull holds news for this replica, which then pulls from it at once.
    pub fn is_behind(&self, request: &PullRequest) -> bool {
        request.after > self.revision
    }

    /// Time since the store, directly or through peers, was last known to hold nothing newer.
    /// [`Millis::MAX`] if that has never been known.
    pub fn age(&self, now: Millis) -> Millis {
        let Some(heard) = self.heard else {
            return Millis::MAX;
        };
        let age = signed(now).saturating_sub(heard);
        Millis(u64::try_from(age).unwrap_or(0))
    }

    fn newest(&self) -> Revision {
        self.by_version.last().map(|(v, _)| *v).unwrap_or_default()
    }

    fn value(&self, path: &str) -> Vec<u8> {
        match self.entries.get(path).map(|e| &e.value) {
            Some(Value::Raw(raw)) => raw.clone(),
            Some(Value::Blocks) => self.blocks.render(path),
            None => Vec::new(),
        }
    }
}
