//! `entries`.

use std::fmt;

use serde::Serialize;
use serde_json::{Value, json};
use waxwing_records::Deployment;
use waxwing_store::{Change, Entry, Family, Freshness, ListOutcome, Registry};
use waxwing_types::Millis;

use super::unreachable_store;
use crate::Exit;
use crate::report::{Console, columns};

/// An entry of the registry without the keys of workspaces.
#[derive(Serialize)]
struct Shown {
    name: String,
    entry: Value,
}

#[derive(Serialize)]
#[serde(transparent)]
struct Table(Vec<Shown>);

/// Prints the entries of a family, or the one of a name.
pub(crate) async fn entries(
    console: &mut Console<'_>,
    registry: &dyn Registry,
    family: Family,
    name: Option<&str>,
    timeout: Millis,
) -> Exit {
    let answer = registry.list(family, Freshness::Latest, timeout).await;
    let listed = match answer.outcome {
        ListOutcome::Listed { entries, .. } => entries,
        ListOutcome::Unreachable(reason) => {
            return console.fail(Exit::Failed, &[unreachable_store(&reason)]);
        }
    };
    let wanted = |change: &Change| name.is_none_or(|name| change.name == name);
    let shown: Vec<Shown> = listed.into_iter().filter(wanted).map(Shown::of).collect();
    if let (Some(name), true) = (name, shown.is_empty()) {
        let reason = format!("{} {name}: no such entry", family.as_str());
        return console.fail(Exit::Absent, &[reason]);
    }
    console.report(&Table(shown));
    Exit::Done
}

impl Shown {
    fn of(change: Change) -> Self {
        let entry = match change.entry {
            Some(Entry::Deployment(record)) => deployment(&record),
            Some(Entry::Target(target)) => json!(target),
            Some(Entry::Evacuation(domain)) => json!({"domain": domain}),
            Some(Entry::Vm(vm)) => json!(vm),
            Some(Entry::Unreadable(reason)) => json!({"unreadable": reason}),
            None => Value::Null,
        };
        Self {
            name: change.name.to_string(),
            entry,
        }
    }
}

/// A deployment with the number of keys of each workspace in place of the keys.
fn deployment(record: &Deployment) -> Value {
    let mut value = json!(record);
    let workspaces = value.get_mut("workspaces").and_then(Value::as_array_mut);
    for workspace in workspaces.into_iter().flatten() {
        let count = workspace["keys"].as_array().map_or(0, Vec::len);
        workspace["keys"] = json!(count);
    }
    value
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut rows = vec![vec!["NAME".to_owned(), "ENTRY".to_owned()]];
        for shown in &self.0 {
            rows.push(vec![shown.name.clone(), shown.entry.to_string()]);
        }
        f.write_str(&columns(&rows))
    }
}
