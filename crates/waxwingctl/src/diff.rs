//! The difference between two versions of a record, field by field.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use serde::Serialize;
use serde_json::Value;

/// Most differences that are printed of one record; tables of blocks change by thousands.
const MAX_PRINTED: usize = 50;

/// A field that differs. `None`: it is missing on that side.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(crate) struct Difference {
    pub(crate) field: String,
    pub(crate) old: Option<Value>,
    pub(crate) new: Option<Value>,
}

/// The fields that differ, in the order of their names.
pub(crate) fn differences(old: &Value, new: &Value) -> Vec<Difference> {
    let (mut old_fields, mut new_fields) = (BTreeMap::new(), BTreeMap::new());
    flatten("", old, &mut old_fields);
    flatten("", new, &mut new_fields);
    let names: BTreeSet<&String> = old_fields.keys().chain(new_fields.keys()).collect();
    let difference = |name: &String| {
        let (old, new) = (old_fields.get(name), new_fields.get(name));
        (old != new).then(|| Difference {
            field: name.clone(),
            old: old.map(|v| (*v).clone()),
            new: new.map(|v| (*v).clone()),
        })
    };
    names.into_iter().filter_map(difference).collect()
}

fn flatten<'a>(place: &str, value: &'a Value, out: &mut BTreeMap<String, &'a Value>) {
    match value {
        Value::Object(fields) if !fields.is_empty() => {
            for (name, value) in fields {
                let dot = if place.is_empty() { "" } else { "." };
                flatten(&format!("{place}{dot}{name}"), value, out);
            }
        }
        Value::Array(items) if !items.is_empty() => {
            for (i, value) in items.iter().enumerate() {
                flatten(&format!("{place}[{}]", label(i, value)), value, out);
            }
        }
        value => {
            out.insert(place.to_owned(), value);
        }
    }
}

/// What identifies an element of a list: its name where it has one, so that an element inserted in
/// the middle does not make all later ones differ.
fn label(index: usize, item: &Value) -> String {
    let text = |field| item.get(field).and_then(Value::as_str);
    match (text("name").or(text("to")), text("method"), text("prefix")) {
        (Some(name), _, _) => name.to_owned(),
        (None, Some(method), Some(prefix)) => format!("{method} {prefix}"),
        (None, Some(_) | None, _) => match item.as_str() {
            Some(text) => text.to_owned(),
            None => index.to_string(),
        },
    }
}

/// Differences as indented lines.
pub(crate) struct Lines<'a>(pub(crate) &'a [Difference]);

impl fmt::Display for Lines<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for d in self.0.iter().take(MAX_PRINTED) {
            match (&d.old, &d.new) {
                (Some(old), Some(new)) => write!(f, "\n    {}: {old} -> {new}", d.field)?,
                (None, Some(new)) => write!(f, "\n    {}: added {new}", d.field)?,
                (Some(old), None) => write!(f, "\n    {}: removed {old}", d.field)?,
                (None, None) => {}
            }
        }
        if self.0.len() > MAX_PRINTED {
            write!(f, "\n    and {} further fields", self.0.len() - MAX_PRINTED)?;
        }
        Ok(())
    }
}
