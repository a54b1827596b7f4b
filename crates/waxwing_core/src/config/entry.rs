//! One record as it is held.

use waxwing_records::{Document, Findings, RecordName};
use waxwing_types::Revision;

use crate::VersionedRecord;

/// A record that was read and checked, ready for adoption.
///
/// Reading is separate from adoption so that the daemon parses before it locks the table.
#[derive(Clone, Debug)]
pub struct ParsedRecord {
    pub(super) record: VersionedRecord,
    pub(super) parsed: Result<Document, Findings>,
}

impl ParsedRecord {
    /// Reads and checks a record.
    pub fn parse(record: VersionedRecord) -> Self {
        let parsed = Document::parse(&record.value).and_then(|d| check_path(&record.path, d));
        Self { record, parsed }
    }

    pub(super) fn version(&self) -> Revision {
        self.record.version
    }
}

fn check_path(path: &str, document: Document) -> Result<Document, Findings> {
    let mut findings = Findings::default();
    if RecordName::from_path(path).as_ref() != Some(&document.id) {
        findings.add(
            document.id.to_string(),
            format!("expected path {}, got {path}", document.id.path()),
        );
    }
    findings.or_ok(document)
}

/// The newest version of a record that is known.
#[derive(Debug)]
pub(super) struct Entry {
    pub(super) version: Revision,
    /// The version that is in force, if any. Lower than `version` if that one is invalid.
    pub(super) in_force: Option<Revision>,
    pub(super) value: Value,
    pub(super) findings: Option<Findings>,
}

/// The value as it travels to peers.
#[derive(Debug)]
pub(super) enum Value {
    /// The value as it was received.
    Raw(Vec<u8>),
    /// Written again from the table of blocks, which takes a quarter of the space of the JSON.
    Blocks,
}
