//! `docs/RECORDS.md` against the types.

use std::collections::BTreeSet;

use waxwing_records::{Document, Kind};

const PAGE: &str = include_str!("../../../docs/RECORDS.md");

/// A section of the page about one schema version: its kind, version and text.
fn sections() -> Vec<(Kind, u32, &'static str)> {
    let section = |text: &'static str| {
        let title = text.lines().next()?;
        let (kind, schema) = title.split_once(", schema ")?;
        let kind = Kind::from_name(&kind.to_lowercase())?;
        Some((kind, schema.parse().ok()?, text))
    };
    PAGE.split("\n## ").filter_map(section).collect()
}

fn table_fields(section: &str) -> Vec<&str> {
    let rows = section.lines().filter_map(|l| l.strip_prefix("| `spec."));
    rows.filter_map(|row| row.split_once('`'))
        .map(|(f, _)| f)
        .collect()
}

fn examples(section: &str) -> Vec<&str> {
    let blocks = section.split("```json\n").skip(1);
    blocks
        .filter_map(|b| b.split_once("```"))
        .map(|(json, _)| json)
        .collect()
}

/// Guards against a field that the page does not describe, or describes although it is gone.
#[test]
fn page_describes_exactly_the_fields_of_each_schema_version() {
    for (kind, schema, text) in sections() {
        let fields = kind.field_paths(schema).expect("version exists");
        let fields: BTreeSet<_> = fields
            .iter()
            .filter_map(|f| f.strip_prefix("spec."))
            .collect();
        let rows = table_fields(text);
        let described: BTreeSet<_> = rows.iter().copied().collect();
        assert_eq!(described, fields, "{kind:?} schema {schema}");
        assert_eq!(
            rows.len(),
            described.len(),
            "{kind:?} schema {schema}: field twice"
        );
    }
}

/// Guards against a schema version without a section.
#[test]
fn page_has_a_section_for_each_schema_version() {
    let described: Vec<_> = sections().iter().map(|(k, s, _)| (*k, *s)).collect();
    let mut exist = Vec::new();
    for kind in Kind::ALL {
        exist.extend(
            (1..100)
                .take_while(|s| kind.field_paths(*s).is_some())
                .map(|s| (*kind, s)),
        );
    }
    assert_eq!(described, exist);
}

/// Guards against an example that a daemon would reject, or that shows another kind.
#[test]
fn examples_parse() {
    for (kind, schema, text) in sections() {
        let examples = examples(text);
        assert!(!examples.is_empty(), "{kind:?} schema {schema}: no example");
        for json in examples {
            let document = Document::parse(json.as_bytes()).unwrap_or_else(|f| panic!("{f}"));
            assert_eq!((document.id.kind, document.schema), (kind, schema));
        }
    }
}

/// Guards against bounds on the page that the checks do not keep. Each row names a bound as
/// `LEAST to MOST`; a value on either side of it must be rejected at the field.
#[test]
fn bounds_on_the_page_are_those_of_the_checks() {
    let mut checked = 0;
    for (kind, schema, text) in sections() {
        let example: serde_json::Value = serde_json::from_str(examples(text)[0]).unwrap();
        for row in text.lines().filter(|l| l.starts_with("| `spec.")) {
            let Some((field, least, most)) = bounds(row) else {
                continue;
            };
            for (value, valid) in [(least, true), (most, true), (most + 1, false)] {
                assert_eq!(
                    accepts(&example, field, value),
                    valid,
                    "{kind:?} {schema} {field} {value}"
                );
                checked += 1;
            }
            if least > 0 {
                assert!(
                    !accepts(&example, field, least - 1),
                    "{kind:?} {schema} {field} 0"
                );
            }
        }
    }
    assert!(checked > 50, "{checked} bounds found");
}

/// Field, least and greatest value of a numeric row.
fn bounds(row: &str) -> Option<(&str, u64, u64)> {
    let mut cells = row.split(" | ");
    let field = cells.next()?.strip_prefix("| `")?.strip_suffix('`')?;
    if cells.next()? != "number" {
        return None;
    }
    let unit = cells.nth(1)?;
    let (least, most) = unit
        .split(';')
        .next()?
        .rsplit_once(", ")
        .unwrap_or(("", unit))
        .1
        .split_once(" to ")?;
    let number = |t: &str| t.replace(',', "").parse().ok();
    Some((field, number(least)?, number(most)?))
}

/// Whether the example is accepted with a field set to a value. The other half of a rate and burst
/// that must be both zero or both not is set along with it.
fn accepts(example: &serde_json::Value, field: &str, value: u64) -> bool {
    let mut record = example.clone();
    set(&mut record, field, value);
    if value == 0 {
        for other in [
            "spec.spare_rate",
            "spec.spare_burst",
            "spec.spare.rate",
            "spec.spare.burst",
        ] {
            if field.starts_with("spec.spare") && at(&mut record, other).is_some() {
                set(&mut record, other, 0);
            }
        }
    }
    Document::parse(record.to_string().as_bytes()).is_ok()
}

fn set(record: &mut serde_json::Value, field: &str, value: u64) {
    *at(record, field).expect("example has the field's parents") = value.into();
}

/// The place of a field in the first element of each list. Inserts the last step if it is missing.
fn at<'a>(record: &'a mut serde_json::Value, field: &str) -> Option<&'a mut serde_json::Value> {
    let pointer = format!("/{}", field.replace("[]", "/0").replace('.', "/"));
    let (parent, last) = pointer.rsplit_once('/')?;
    let parent = record.pointer_mut(parent)?.as_object_mut()?;
    if last == "rate" || last == "burst" || last.starts_with("spare") {
        return parent.get_mut(last);
    }
    Some(parent.entry(last).or_insert(serde_json::Value::Null))
}
