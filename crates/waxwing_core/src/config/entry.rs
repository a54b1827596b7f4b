//! Records before and after they are applied.

use waxwing_records::{Document, Findings, RecordName};
use waxwing_types::Revision;

use crate::VersionedRecord;

/// A record that was parsed and validated. An invalid one can be applied too, and is then rejected.
///
/// Parsing is separate from [`super::Config::apply`] so that the daemon parses records before it
/// locks the configuration.
#[derive(Clone, Debug)]
pub struct ParsedRecord {
    pub(super) record: VersionedRecord,
    /// The content, or the reasons why it is invalid.
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
    /// The active version, if any. It is lower than `version` if `version` is invalid.
    pub(super) active_version: Option<Revision>,
    pub(super) value: Value,
    /// Why `version` is invalid, if it is.
    pub(super) findings: Option<Findings>,
}

/// The value of a record, kept so that it can be sent to peers.
#[derive(Debug)]
pub(super) enum Value {
    /// The value as it was received.
    Raw(Vec<u8>),
    /// The value is rendered from [`crate::BlockRecords`], which take a quarter of the space of the
    /// JSON.
    Blocks,
}
