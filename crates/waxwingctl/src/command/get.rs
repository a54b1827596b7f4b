//! `get`.

use std::fmt;

use serde::Serialize;
use serde_json::Value;
use waxwing_records::{Kind, RecordName};
use waxwing_store::{Object, ReadOutcome, Store};
use waxwing_types::{Millis, Revision};

use super::{list, title, unreachable_store};
use crate::Exit;
use crate::report::{Console, columns};

/// A record as the store holds it. `apply` reads this too, and then writes only over this version.
#[derive(Serialize)]
struct Stored {
    #[serde(skip)]
    title: String,
    version: Revision,
    record: Value,
}

/// Prints one record.
pub(crate) async fn get_one(
    console: &mut Console<'_>,
    store: &dyn Store,
    id: &RecordName,
    timeout: Millis,
) -> Exit {
    match store.get(&id.path(), timeout).await {
        ReadOutcome::Found(object) => {
            console.report(&Stored::of(&object));
            Exit::Done
        }
        ReadOutcome::Absent => console.fail(Exit::Absent, &[format!("{id}: no such record")]),
        ReadOutcome::Unreachable(reason) => {
            console.fail(Exit::Failed, &[unreachable_store(&reason)])
        }
    }
}

/// Prints the records of a kind, or of all kinds.
pub(crate) async fn get_all(
    console: &mut Console<'_>,
    store: &dyn Store,
    kind: Option<Kind>,
    timeout: Millis,
) -> Exit {
    let prefix = kind.map_or("config/".into(), |k| format!("config/{}/", k.as_str()));
    match list(store, &prefix, Revision(0), timeout).await {
        Ok((mut objects, _)) => {
            objects.sort_by(|a, b| a.path.cmp(&b.path));
            console.report(&Table(objects.iter().map(Stored::of).collect()));
            Exit::Done
        }
        Err(reason) => console.fail(Exit::Failed, &[reason]),
    }
}

impl Stored {
    fn of(object: &Object) -> Self {
        Self {
            title: title(&object.path),
            version: object.version,
            record: serde_json::from_slice(&object.value).unwrap_or(Value::Null),
        }
    }

    fn state(&self) -> &'static str {
        match self.record.get("withdrawn").and_then(Value::as_bool) {
            Some(true) => "withdrawn",
            Some(false) | None => "in force",
        }
    }
}

impl fmt::Display for Stored {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let json = serde_json::to_string_pretty(&self.record).unwrap_or_default();
        write!(f, "{} (version {})\n{json}", self.title, self.version)
    }
}

#[derive(Serialize)]
#[serde(transparent)]
struct Table(Vec<Stored>);

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let cells = |row: [&str; 4]| row.map(str::to_owned).to_vec();
        let mut rows = vec![cells(["RECORD", "SCHEMA", "VERSION", "STATE"])];
        for stored in &self.0 {
            let schema = stored
                .record
                .get("schema")
                .map_or("?".into(), Value::to_string);
            let version = stored.version.to_string();
            rows.push(cells([&stored.title, &schema, &version, stored.state()]));
        }
        f.write_str(&columns(&rows))
    }
}
