//! The platform's store in virtual time, with its history for the oracle.

use std::collections::BTreeMap;

use smol_str::SmolStr;
use waxwing_core::VersionedRecord;
use waxwing_types::{Millis, Revision};

/// One accepted write.
#[derive(Clone, Debug)]
pub struct Write {
    pub at: Millis,
    pub path: SmolStr,
    pub version: Revision,
    pub value: Vec<u8>,
}

#[derive(Debug, Default)]
pub struct Store {
    pub down: bool,
    pub revision: Revision,
    pub history: Vec<Write>,
    newest: BTreeMap<SmolStr, usize>,
}

impl Store {
    /// A conditional update; `expected` is 0 for a path that must not exist.
    pub fn put(
        &mut self,
        at: Millis,
        path: &SmolStr,
        value: Vec<u8>,
        expected: Revision,
    ) -> Option<Revision> {
        if self.version(path) != expected {
            return None;
        }
        self.revision.0 += 1;
        let version = self.revision;
        self.newest.insert(path.clone(), self.history.len());
        self.history.push(Write {
            at,
            path: path.clone(),
            version,
            value,
        });
        Some(version)
    }

    pub fn version(&self, path: &str) -> Revision {
        let newest = self.newest.get(path);
        newest.map_or(Revision(0), |i| self.history[*i].version)
    }

    pub fn paths(&self) -> impl Iterator<Item = &SmolStr> {
        self.newest.keys()
    }

    /// A write to another part of the store, which raises its revision.
    pub fn write_unrelated_object(&mut self) {
        self.revision.0 += 1;
    }

    pub fn changes_after(&self, after: Revision) -> Vec<VersionedRecord> {
        let newest = self.newest.values().map(|i| &self.history[*i]);
        let mut changed: Vec<_> = newest.filter(|w| w.version > after).collect();
        changed.sort_by_key(|w| w.version);
        let record = |w: &Write| VersionedRecord {
            path: w.path.clone(),
            version: w.version,
            value: w.value.clone(),
        };
        changed.into_iter().map(record).collect()
    }

    /// The version of each path once the store had reached a revision.
    pub fn versions_at_revision(&self, revision: Revision) -> BTreeMap<&SmolStr, Revision> {
        let reached = self.history.iter().take_while(|w| w.version <= revision);
        reached.map(|w| (&w.path, w.version)).collect()
    }

    /// The last version written before a moment.
    pub fn last_version_before(&self, at: Millis) -> Revision {
        let before = self.history.iter().take_while(|w| w.at < at);
        before.last().map_or(Revision(0), |w| w.version)
    }

    pub fn write_with_version(&self, version: Revision) -> &Write {
        let found = self.history.binary_search_by_key(&version, |w| w.version);
        &self.history[found.expect("a version that was written")]
    }
}
