//! Records before and after they are applied.

use waxwing_records::{Document, Findings, RecordName};
use waxwing_types::Revision;

use crate::VersionedRecord;

/// The result of parsing and validating a record.
///
/// Invalid records are passed to [`super::Config::apply`] as well, which does not activate them but
/// keeps them for peers.
///
/// Parsing is a separate step, which the daemon performs before it locks the configuration.
#[derive(Clone, Debug)]
pub struct ParsedRecord {
    pub(super) record: VersionedRecord,
    /// The parsed content, or the reasons why the record is invalid.
    pub(super) document: Result<Document, Findings>,
}

impl ParsedRecord {
    /// Parses and validates a record.
    pub fn parse(record: VersionedRecord) -> Self {
        let document = Document::parse(&record.value).and_then(|d| check_path(&record.path, d));
        Self { record, document }
    }

    pub(super) fn version(&self) -> Revision {
        self.record.version
    }
}

/// Checks that the kind and the name in the document match the path of the record.
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

/// The newest known version of a record.
#[derive(Debug)]
pub(super) struct Entry {
    pub(super) version: Revision,
    /// The newest valid version, if any. It is lower than `version` if `version` is invalid. If it
    /// is a withdrawal, no version of the record is active.
    pub(super) newest_valid_version: Option<Revision>,
    pub(super) value: Value,
    /// The reasons why `version` is invalid, `None` if it is valid.
    pub(super) findings: Option<Findings>,
}

/// The value of a record, in the form in which it is kept for replies to peers.
#[derive(Debug)]
pub(super) enum Value {
    /// The value as it was received.
    Raw(Vec<u8>),
    /// The value is not kept, but rendered from [`crate::BlockRecords`] when it is needed. These
    /// take a quarter of the space of the JSON.
    Blocks,
}
