//! A store in virtual time that keeps its history for the oracle.

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
    /// All accepted writes, oldest first.
    pub history: Vec<Write>,
    /// Index of the newest write of each path in `history`.
    newest: BTreeMap<SmolStr, usize>,
}

impl Store {
    /// Writes an object if the version of its path is `expected_version`. Version 0 means that the
    /// path must not exist yet. Returns the new version, or `None` on a conflict.
    pub fn put(
        &mut self,
        at: Millis,
        path: &SmolStr,
        value: Vec<u8>,
        expected_version: Revision,
    ) -> Option<Revision> {
        if self.version(path) != expected_version {
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

    /// The current version of a path, or 0 if the path does not exist.
    pub fn version(&self, path: &str) -> Revision {
        let index = self.newest.get(path);
        index.map_or(Revision(0), |i| self.history[*i].version)
    }

    pub fn paths(&self) -> impl Iterator<Item = &SmolStr> {
        self.newest.keys()
    }

    /// Simulates a write of an object that is not a record. Only raises the store's revision.
    pub fn write_unrelated_object(&mut self) {
        self.revision.0 += 1;
    }

    /// The current records with a version above `after`, in the order of their versions.
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

    /// The version of each path when the store was at `revision`.
    pub fn versions_at_revision(&self, revision: Revision) -> BTreeMap<&SmolStr, Revision> {
        let included = self.history.iter().take_while(|w| w.version <= revision);
        included.map(|w| (&w.path, w.version)).collect()
    }

    /// The last version written before `at`, or 0 if nothing was written before.
    pub fn last_version_before(&self, at: Millis) -> Revision {
        let before = self.history.iter().take_while(|w| w.at < at);
        before.last().map_or(Revision(0), |w| w.version)
    }

    /// The write that produced `version`.
    pub fn find_write(&self, version: Revision) -> &Write {
        let index = self.history.binary_search_by_key(&version, |w| w.version);
        &self.history[index.expect("the version was written")]
    }
}
