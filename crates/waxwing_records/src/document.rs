//! A record with its kind, name and schema version, as the store holds it.

use std::fmt;

use smol_str::SmolStr;
use waxwing_types::common_derives;

use crate::{Blocks, Findings, Key, Region, Service, Shift, Workspace, wire};

/// Greatest size of a record as JSON. The store holds values up to a megabyte.
pub const MAX_RECORD_BYTES: usize = 1_000_000;

common_derives! {
    key
    /// The kinds of record.
    pub enum Kind {
        /// A workspace.
        Workspace,
        /// A caller's key.
        Key,
        /// A service.
        Service,
        /// A region.
        Region,
        /// A planned shift of traffic.
        Shift,
        /// A part of the table of client blocks.
        Blocks,
    }
}

impl Kind {
    /// Every kind.
    pub const ALL: &'static [Self] = &[
        Self::Workspace,
        Self::Key,
        Self::Service,
        Self::Region,
        Self::Shift,
        Self::Blocks,
    ];

    /// The kind as records and paths name it.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Workspace => "workspace",
            Self::Key => "key",
            Self::Service => "service",
            Self::Region => "region",
            Self::Shift => "shift",
            Self::Blocks => "blocks",
        }
    }

    /// The paths of all fields of `spec` in a schema version, such as `spec.routes[].method`.
    /// `None`: the kind has no such version.
    pub fn field_paths(self, schema: u32) -> Option<Vec<String>> {
        wire::field_paths(self, schema)
    }

    /// The kind with this name.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.iter().copied().find(|k| k.as_str() == name)
    }
}

common_derives! {
    /// Kind and name of a record, unique in a deployment.
    #[derive(PartialOrd, Ord, Hash)]
    pub struct RecordName {
        /// Kind of the record.
        pub kind: Kind,
        /// Name within the kind.
        pub name: SmolStr,
    }
}

impl RecordName {
    /// The record's path in the store, `config/{kind}/{name}`.
    pub fn path(&self) -> String {
        format!("config/{self}")
    }

    /// Reads a path in the store.
    pub fn from_path(path: &str) -> Option<Self> {
        let (kind, name) = path.strip_prefix("config/")?.split_once('/')?;
        Some(Self {
            kind: Kind::from_name(kind)?,
            name: SmolStr::new(name),
        })
    }
}

impl fmt::Display for RecordName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind.as_str(), self.name)
    }
}

common_derives! {
    /// The content of a record.
    pub enum Record {
        /// A workspace.
        Workspace(Workspace),
        /// A caller's key.
        Key(Key),
        /// A service.
        Service(Service),
        /// A region.
        Region(Region),
        /// A planned shift of traffic.
        Shift(Shift),
        /// A part of the table of client blocks.
        Blocks(Blocks),
    }
}

common_derives! {
    /// A record with its name, or the mark that it was withdrawn.
    pub struct Document {
        /// Kind and name.
        pub id: RecordName,
        /// Schema version in which it was written.
        pub schema: u32,
        /// The content. `None`: withdrawn.
        pub record: Option<Record>,
    }
}

impl Document {
    /// Reads and checks a record from JSON.
    ///
    /// # Errors
    /// All faults found, each with its place in the record.
    pub fn parse(json: &[u8]) -> Result<Self, Findings> {
        wire::parse(json)
    }

    /// The mark that the record was withdrawn, as JSON.
    pub fn withdrawal(id: &RecordName) -> Vec<u8> {
        wire::withdrawal(id)
    }
}
