//! `apply` and `withdraw`.

use std::collections::BTreeSet;
use std::fmt;
use std::io::Read;
use std::path::Path;

use serde::Serialize;
use serde_json::Value;
use waxwing_records::{Document, Kind, RecordName, check_references, split_records};
use waxwing_store::{ReadOutcome, Store};
use waxwing_types::{Millis, Revision};

use super::write::{Written, write};
use super::{referred, unreachable_store};
use crate::Exit;
use crate::diff::{Difference, Lines};
use crate::report::Console;

/// A record to write.
struct Item {
    document: Document,
    value: Value,
    /// The version on which the operator worked.
    base: Option<Revision>,
}

#[derive(Serialize)]
struct Entry {
    record: String,
    action: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    version: Option<Revision>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    differences: Vec<Difference>,
    #[serde(skip_serializing_if = "Option::is_none")]
    detail: Option<String>,
}

#[derive(Serialize)]
struct Report {
    records: Vec<Entry>,
}

/// Writes the records of files.
pub(crate) async fn apply(
    console: &mut Console<'_>,
    store: &dyn Store,
    files: &[impl AsRef<Path>],
    timeout: Millis,
) -> Exit {
    let mut faults = Vec::new();
    let mut items = Vec::new();
    for file in files {
        match load(file.as_ref()) {
            Ok(json) => items.extend(parse(file.as_ref(), &json, &mut faults)),
            Err(reason) => return console.fail(Exit::Failed, &[reason]),
        }
    }
    check_once(&items, &mut faults);
    match check_against(store, &items, timeout).await {
        Ok(found) => faults.extend(found),
        Err(reason) if faults.is_empty() => return console.fail(Exit::Failed, &[reason]),
        Err(reason) => faults.push(format!("references were not checked: {reason}")),
    }
    if !faults.is_empty() {
        return console.fail(Exit::Invalid, &faults);
    }
    items.sort_by_key(|item| rank(item.document.id.kind));
    write_all(console, store, &items, timeout).await
}

/// Marks a record as withdrawn.
pub(crate) async fn withdraw(
    console: &mut Console<'_>,
    store: &dyn Store,
    id: &RecordName,
    timeout: Millis,
) -> Exit {
    match store.get(&id.path(), timeout).await {
        ReadOutcome::Found(_) => {}
        ReadOutcome::Absent => {
            return console.fail(Exit::Absent, &[format!("{id}: no such record")]);
        }
        ReadOutcome::Unreachable(reason) => {
            return console.fail(Exit::Failed, &[unreachable_store(&reason)]);
        }
    }
    let value = serde_json::from_slice(&Document::withdrawal(id)).unwrap_or_default();
    let written = write(store, &id.path(), &value, None, timeout).await;
    let (mut entry, exit) = entry(id, written);
    if entry.action == "changed" {
        entry.action = "withdrawn";
        entry.differences.clear();
    }
    console.report(&Report {
        records: vec![entry],
    });
    exit
}

async fn write_all(
    console: &mut Console<'_>,
    store: &dyn Store,
    items: &[Item],
    timeout: Millis,
) -> Exit {
    let mut records = Vec::new();
    let mut exits = BTreeSet::new();
    for item in items {
        let id = &item.document.id;
        if exits.contains(&Exit::Failed) {
            records.push(Entry::new(id, "not attempted"));
            continue;
        }
        let written = write(store, &id.path(), &item.value, item.base, timeout).await;
        let (entry, exit) = entry(id, written);
        records.push(entry);
        exits.insert(exit);
    }
    console.report(&Report { records });
    let grave = [Exit::Conflict, Exit::Unknown, Exit::Failed];
    grave
        .into_iter()
        .find(|e| exits.contains(e))
        .unwrap_or(Exit::Done)
}

fn load(file: &Path) -> Result<Vec<u8>, String> {
    let mut json = Vec::new();
    let read = if file == Path::new("-") {
        std::io::stdin().read_to_end(&mut json).map(|_| ())
    } else {
        std::fs::read(file).map(|bytes| json = bytes)
    };
    read.map_err(|error| format!("{}: {error}", file.display()))?;
    Ok(json)
}

fn parse(file: &Path, json: &[u8], faults: &mut Vec<String>) -> Vec<Item> {
    let file = file.display();
    let values = match split_records(json) {
        Ok(values) => values,
        Err(found) => {
            faults.extend(found.0.iter().map(|f| format!("{file}: {f}")));
            return Vec::new();
        }
    };
    let mut items = Vec::new();
    for (i, value) in values.into_iter().enumerate() {
        let (value, base) = unwrap(value);
        match Document::parse(value.to_string().as_bytes()) {
            Ok(document) => items.push(Item {
                document,
                value,
                base,
            }),
            Err(found) => {
                let number = i + 1;
                faults.extend(
                    found
                        .0
                        .iter()
                        .map(|f| format!("{file}: record {number}: {f}")),
                );
            }
        }
    }
    items
}

/// Takes a record out of what `get --json` prints, with the version that the store held then.
fn unwrap(mut value: Value) -> (Value, Option<Revision>) {
    let base = value.get("version").and_then(Value::as_u64).map(Revision);
    match (base, value.get_mut("record")) {
        (Some(base), Some(record)) => (record.take(), Some(base)),
        (Some(_) | None, _) => (value, None),
    }
}

fn check_once(items: &[Item], faults: &mut Vec<String>) {
    let mut seen = BTreeSet::new();
    for item in items {
        if !seen.insert(&item.document.id) {
            faults.push(format!("{}: stands twice", item.document.id));
        }
    }
}

/// Checks references against what the store will hold.
async fn check_against(
    store: &dyn Store,
    items: &[Item],
    timeout: Millis,
) -> Result<Vec<String>, String> {
    let others = referred(store, timeout).await?;
    let applied: Vec<Document> = items.iter().map(|i| i.document.clone()).collect();
    let replaced: BTreeSet<&RecordName> = applied.iter().map(|d| &d.id).collect();
    let others: Vec<Document> = others
        .into_iter()
        .filter(|d| !replaced.contains(&d.id))
        .collect();
    let found = check_references(&applied, &others).err();
    Ok(found
        .iter()
        .flat_map(|f| f.0.iter().map(ToString::to_string))
        .collect())
}

/// Records that others refer to are written first.
fn rank(kind: Kind) -> u8 {
    match kind {
        Kind::Region => 0,
        Kind::Workspace => 1,
        Kind::Service => 2,
        Kind::Blocks => 3,
        Kind::Key => 4,
        Kind::Shift => 5,
    }
}

fn entry(id: &RecordName, written: Written) -> (Entry, Exit) {
    let mut entry = Entry::new(id, "");
    let exit = match written {
        Written::Created(version) => {
            (entry.action, entry.version) = ("created", Some(version));
            Exit::Done
        }
        Written::Changed(version, differences) => {
            (entry.action, entry.version) = ("changed", Some(version));
            entry.differences = differences;
            Exit::Done
        }
        Written::Unchanged(version) => {
            (entry.action, entry.version) = ("unchanged", Some(version));
            Exit::Done
        }
        Written::Lost(version, differences) => {
            (entry.action, entry.version) = ("conflict", version);
            entry.differences = differences;
            entry.detail = Some(match version {
                Some(_) => "another operator changed it first; the store's record -> yours".into(),
                None => "it was removed from the store".into(),
            });
            Exit::Conflict
        }
        Written::Unknown(reason) => {
            (entry.action, entry.detail) = ("unknown", Some(reason));
            Exit::Unknown
        }
        Written::Failed(reason) => {
            (entry.action, entry.detail) = ("failed", Some(reason));
            Exit::Failed
        }
    };
    (entry, exit)
}

impl Entry {
    fn new(id: &RecordName, action: &'static str) -> Self {
        Self {
            record: id.to_string(),
            action,
            version: None,
            differences: Vec::new(),
            detail: None,
        }
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, entry) in self.records.iter().enumerate() {
            let gap = if i > 0 { "\n" } else { "" };
            write!(f, "{gap}{}: {}", entry.record, entry.action)?;
            if let Some(version) = entry.version {
                write!(f, " (version {version})")?;
            }
            if let Some(detail) = &entry.detail {
                write!(f, ": {detail}")?;
            }
            write!(f, "{}", Lines(&entry.differences))?;
        }
        Ok(())
    }
}
