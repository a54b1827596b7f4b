//! Records as JSON: one type for each kind and schema version.

mod convert;
mod objects;
mod read;
mod unique;

use serde_json::Value;

use self::objects::{
    BlocksV1, Envelope, KeyV1, RegionV1, RegionV2, ServiceV1, ShiftV1, WorkspaceV1, WorkspaceV2,
};
pub(crate) use self::read::Place;
use self::read::Wire;
pub(crate) use self::unique::Unique;
use crate::check::check_name;
use crate::{Document, Findings, Kind, MAX_RECORD_BYTES, Record, RecordName};

pub(crate) fn withdrawal(id: &RecordName) -> Vec<u8> {
    serde_json::json!({
        "schema": 1, "kind": id.kind.as_str(), "name": id.name, "withdrawn": true
    })
    .to_string()
    .into_bytes()
}

pub(crate) fn field_paths(kind: Kind, schema: u32) -> Option<Vec<String>> {
    let mut out = Vec::new();
    let paths = match (kind, schema) {
        (Kind::Workspace, 1) => WorkspaceV1::paths,
        (Kind::Workspace, 2) => WorkspaceV2::paths,
        (Kind::Key, 1) => KeyV1::paths,
        (Kind::Service, 1) => ServiceV1::paths,
        (Kind::Region, 1) => RegionV1::paths,
        (Kind::Region, 2) => RegionV2::paths,
        (Kind::Shift, 1) => ShiftV1::paths,
        (Kind::Blocks, 1) => BlocksV1::paths,
        (
            Kind::Workspace | Kind::Key | Kind::Service | Kind::Region | Kind::Shift | Kind::Blocks,
            _,
        ) => return None,
    };
    paths("spec", &mut out);
    Some(out)
}

pub(crate) fn parse(json: &[u8]) -> Result<Document, Findings> {
    let mut findings = Findings::default();
    let document = parse_into(json, &mut findings);
    match document {
        Some(document) => findings.or_ok(document),
        None => Err(findings),
    }
}

/// Returns `None` only after adding a finding.
fn parse_into(json: &[u8], out: &mut Findings) -> Option<Document> {
    if json.len() > MAX_RECORD_BYTES {
        let got = json.len();
        out.add(
            "record",
            format!("expected at most {MAX_RECORD_BYTES} bytes, got {got}"),
        );
        return None;
    }
    let Unique(value) = match serde_json::from_slice(json) {
        Ok(value) => value,
        Err(error) => {
            out.add("record", error.to_string());
            return None;
        }
    };
    let title = title(&value);
    let envelope = Envelope::read(value, &Place::Root(&title), out)?;
    let Some(kind) = Kind::from_name(&envelope.kind) else {
        let known: Vec<_> = Kind::ALL.iter().map(|k| k.as_str()).collect();
        let known = known.join(", ");
        out.add(
            format!("{title}.kind"),
            format!(
                "unknown kind \"{}\", expected one of {known}",
                envelope.kind
            ),
        );
        return None;
    };
    let id = RecordName {
        kind,
        name: envelope.name,
    };
    check_name(&format!("{id}: name"), &id.name, out);
    let record = match (envelope.withdrawn, envelope.spec) {
        (true, None) => None,
        (true, Some(_)) => {
            out.add(format!("{id}: spec"), "expected none in a withdrawn record");
            None
        }
        (false, None) => {
            out.add(format!("{id}: spec"), "missing");
            None
        }
        (false, Some(spec)) => parse_spec(&id, envelope.schema, spec.0, out),
    };
    Some(Document {
        id,
        schema: envelope.schema,
        record,
    })
}

/// Kind and name of a record as far as they can be read, for the place of findings.
fn title(value: &Value) -> String {
    let text = |field| value.get(field).and_then(Value::as_str);
    match (text("kind"), text("name")) {
        (Some(kind), Some(name)) => format!("{kind}/{name}: record"),
        (Some(_) | None, _) => "record".to_owned(),
    }
}

fn parse_spec(id: &RecordName, schema: u32, spec: Value, out: &mut Findings) -> Option<Record> {
    let text = format!("{id}: spec");
    let place = Place::Root(&text);
    let record = match (id.kind, schema) {
        (Kind::Workspace, 1) => {
            WorkspaceV1::read(spec, &place, out).map(|w| Record::Workspace(w.into()))
        }
        (Kind::Workspace, 2) => {
            WorkspaceV2::read(spec, &place, out).map(|w| Record::Workspace(w.into()))
        }
        (Kind::Key, 1) => KeyV1::read(spec, &place, out)
            .and_then(|k| convert::key(k, &place, out))
            .map(Record::Key),
        (Kind::Service, 1) => ServiceV1::read(spec, &place, out).map(|s| Record::Service(s.into())),
        (Kind::Region, 1) => RegionV1::read(spec, &place, out).map(|r| Record::Region(r.into())),
        (Kind::Region, 2) => RegionV2::read(spec, &place, out).map(|r| Record::Region(r.into())),
        (Kind::Shift, 1) => ShiftV1::read(spec, &place, out).map(|s| Record::Shift(s.into())),
        (Kind::Blocks, 1) => BlocksV1::read(spec, &place, out)
            .map(|b| Record::Blocks(convert::blocks(&b, &place, out))),
        (
            Kind::Workspace | Kind::Key | Kind::Service | Kind::Region | Kind::Shift | Kind::Blocks,
            _,
        ) => {
            out.add(
                format!("{id}: schema"),
                format!("unknown schema version {schema} of this kind"),
            );
            None
        }
    }?;
    match &record {
        Record::Workspace(w) => w.check(&text, out),
        Record::Key(k) => k.check(&text, out),
        Record::Service(s) => s.check(&text, out),
        Record::Region(r) => r.check(&id.name, &text, out),
        Record::Shift(s) => s.check(&text, out),
        // Checked while it was read.
        Record::Blocks(_) => {}
    }
    Some(record)
}
