//! Conditional writes of records.

use serde_json::Value;
use waxwing_store::{Condition, ReadOutcome, Store, WriteOutcome};
use waxwing_types::{Millis, Revision};

use super::unreachable_store;
use crate::diff::{Difference, differences};

/// Attempts at a write whose outcome stays unknown. Repeating is safe since each is conditional.
const ATTEMPTS: usize = 3;

/// What became of a record.
pub(crate) enum Written {
    /// There was none.
    Created(Revision),
    /// It was replaced.
    Changed(Revision, Vec<Difference>),
    /// The store already holds this.
    Unchanged(Revision),
    /// Somebody else changed it first. Carries the version in the store, if there is one, and the
    /// difference from it to what was to be written.
    Lost(Option<Revision>, Vec<Difference>),
    /// A write was sent and its outcome could not be found out.
    Unknown(String),
    /// Nothing was written.
    Failed(String),
}

struct Current {
    version: Revision,
    value: Value,
}

/// Writes a record unless the store already holds it. With a `base`, only if the store holds that
/// version.
pub(crate) async fn write(
    store: &dyn Store,
    path: &str,
    value: &Value,
    base: Option<Revision>,
    timeout: Millis,
) -> Written {
    let before = match read(store, path, timeout).await {
        Ok(current) => current,
        Err(reason) => return Written::Failed(reason),
    };
    if let Some(current) = &before
        && current.value == *value
    {
        return Written::Unchanged(current.version);
    }
    if base.is_some() && base != before.as_ref().map(|c| c.version) {
        return lost(before, value);
    }
    write_from(store, path, value, before, timeout).await
}

async fn write_from(
    store: &dyn Store,
    path: &str,
    value: &Value,
    before: Option<Current>,
    timeout: Millis,
) -> Written {
    let version = before.as_ref().map(|c| c.version);
    let condition = version.map_or(Condition::Absent, Condition::Version);
    let mut unknown = None;
    for _ in 0..ATTEMPTS {
        let bytes = value.to_string().into_bytes();
        match store.put(path, bytes, condition, timeout).await {
            WriteOutcome::Created(version) | WriteOutcome::Updated(version) => {
                return done(version, before.as_ref(), value);
            }
            WriteOutcome::Unreachable(reason) => {
                let reason = unreachable_store(&reason);
                return unknown.map_or(Written::Failed(reason), Written::Unknown);
            }
            WriteOutcome::Rejected { status, message } => {
                return Written::Failed(format!("store: status {status}: {message}"));
            }
            WriteOutcome::Unknown(reason) => unknown = Some(reason),
            WriteOutcome::Conflict(_) | WriteOutcome::Absent => {}
        }
        let current = match read(store, path, timeout).await {
            Ok(current) => current,
            Err(reason) => return Written::Unknown(reason),
        };
        match current {
            Some(current) if current.value == *value => {
                if unknown.is_none() {
                    return Written::Unchanged(current.version);
                }
                return done(current.version, before.as_ref(), value);
            }
            current if current.as_ref().map(|c| c.version) != version => {
                return lost(current, value);
            }
            Some(_) | None => {}
        }
    }
    Written::Unknown(unknown.unwrap_or_else(|| "the store contradicts itself".into()))
}

fn done(version: Revision, before: Option<&Current>, value: &Value) -> Written {
    match before {
        Some(before) => Written::Changed(version, differences(&before.value, value)),
        None => Written::Created(version),
    }
}

fn lost(current: Option<Current>, value: &Value) -> Written {
    match current {
        Some(current) => Written::Lost(Some(current.version), differences(&current.value, value)),
        None => Written::Lost(None, Vec::new()),
    }
}

async fn read(store: &dyn Store, path: &str, timeout: Millis) -> Result<Option<Current>, String> {
    match store.get(path, timeout).await {
        ReadOutcome::Found(object) => Ok(Some(Current {
            version: object.version,
            value: serde_json::from_slice(&object.value).unwrap_or(Value::Null),
        })),
        ReadOutcome::Absent => Ok(None),
        ReadOutcome::Unreachable(reason) => Err(unreachable_store(&reason)),
    }
}
