//! Bodies and header values of the store protocol (design page, section 2.3).

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use waxwing_types::Revision;

use crate::{ChangesOutcome, Object, Vm};

/// One object in the answer to `GET /v1/changes`.
#[derive(Debug, Serialize, Deserialize)]
pub struct ObjectBody {
    /// Path in the store.
    pub path: SmolStr,
    /// Version of its last write.
    pub version: Revision,
    /// The value, which is UTF-8.
    pub value: String,
}

/// The answer to `GET /v1/changes`.
#[derive(Debug, Serialize, Deserialize)]
pub struct ChangesBody {
    /// Objects in the order of their versions.
    pub objects: Vec<ObjectBody>,
    /// Everything up to this revision has been reported.
    pub revision: Revision,
    /// Whether further objects follow.
    #[serde(default)]
    pub more: bool,
}

/// The answer to `GET /v1/vms`.
#[derive(Debug, Serialize, Deserialize)]
pub struct VmsBody {
    /// The list.
    pub vms: Vec<Vm>,
}

impl From<ChangesBody> for ChangesOutcome {
    fn from(body: ChangesBody) -> Self {
        let object = |o: ObjectBody| Object {
            path: o.path,
            version: o.version,
            value: o.value.into_bytes(),
        };
        Self::Changes {
            objects: body.objects.into_iter().map(object).collect(),
            revision: body.revision,
            more: body.more,
        }
    }
}

/// The value of `ETag` and `If-Match` for a version.
pub fn etag(version: Revision) -> String {
    format!("\"{version}\"")
}

/// The version in the value of `ETag` or `If-Match`.
pub fn parse_etag(text: &str) -> Option<Revision> {
    let digits = text.strip_prefix('"')?.strip_suffix('"')?;
    digits.parse().ok().map(Revision)
}
