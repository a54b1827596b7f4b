//! Faults of records, kind by kind.

use proptest::prelude::*;
use serde_json::{Value, json};
use waxwing_records::{Document, Kind, Record, RecordName, check_references, split_records};

fn record(kind: &str, schema: u32, spec: &Value) -> Value {
    json!({"schema": schema, "kind": kind, "name": "n", "spec": spec})
}

/// A valid spec of each kind and schema version.
fn valid() -> Vec<(&'static str, u32, Value)> {
    let route = json!({"method": "GET", "prefix": "/", "timeout_ms": 10});
    let target = json!({"name": "t", "domain": "d", "address": "127.0.0.1:1", "slots": 1});
    let sha = "0f".repeat(32);
    vec![
        ("workspace", 1, json!({"rate": 1, "burst": 2})),
        ("workspace", 2, json!({"limit": {"rate": 1, "burst": 2}})),
        ("key", 1, json!({"workspace": "w", "sha256": sha})),
        (
            "service",
            1,
            json!({"routes": [route], "targets": [target]}),
        ),
        (
            "region",
            1,
            json!({"domains": [{"name": "d"}], "spare_rate": 1, "spare_burst": 1,
                "links": [{"to": "r", "mbits": 1}]}),
        ),
        (
            "region",
            2,
            json!({"domains": [{"name": "d"}], "spare": {"rate": 1, "burst": 1},
                "links": [{"to": "r", "mbits": 1, "burst_ms": 5}]}),
        ),
        (
            "shift",
            1,
            json!({"service": "s", "from": "a", "to": "b", "percent": 5, "cap_rate": 1,
                "cap_burst": 1}),
        ),
        ("blocks", 1, json!({"blocks": ["10.0.0.0/8 s"]})),
    ]
}

/// The faults of a record, one a line. Empty: none.
fn faults(record: &Value) -> String {
    match Document::parse(record.to_string().as_bytes()) {
        Ok(_) => String::new(),
        Err(findings) => findings.to_string(),
    }
}

fn assert_fault(kind: &str, schema: u32, spec: &Value, expected: &[&str]) {
    let faults = faults(&record(kind, schema, spec));
    assert_eq!(faults.lines().count(), expected.len(), "{faults}");
    for place in expected {
        assert!(faults.contains(place), "{place} not in:\n{faults}");
    }
}

/// Guards against a valid record that is rejected, and against an invalid fixture in this file.
#[test]
fn valid_records_are_accepted() {
    for (kind, schema, spec) in valid() {
        assert_eq!(faults(&record(kind, schema, &spec)), "");
    }
}

/// Guards against an old record that loses force when the new schema version is introduced.
#[test]
fn both_schema_versions_of_a_kind_mean_the_same() {
    let parse = |kind, schema, spec| {
        let json = record(kind, schema, &spec).to_string();
        Document::parse(json.as_bytes()).unwrap().record.unwrap()
    };
    let old = parse("workspace", 1, json!({"rate": 7, "burst": 9}));
    let new = parse("workspace", 2, json!({"limit": {"rate": 7, "burst": 9}}));
    assert_eq!(old, new);
    let domains = json!([{"name": "d", "sites": ["s"]}]);
    let links = json!([{"to": "r", "mbits": 4000}]);
    let old = json!({"domains": domains, "spare_rate": 3, "spare_burst": 4, "links": links});
    let new = json!({"domains": domains, "spare": {"rate": 3, "burst": 4}, "links": links});
    let old = parse("region", 1, old);
    assert_eq!(old, parse("region", 2, new));
    let Record::Region(region) = old else {
        panic!("expected a region");
    };
    assert_eq!(region.links[0].rate, 500_000_000);
}

/// Guards against a misspelt field that is silently ignored, in any object of any kind.
#[test]
fn unknown_field_is_a_fault_with_its_place() {
    for (kind, schema, spec) in valid() {
        let mut spec = spec;
        spec["colour"] = json!("red");
        assert_fault(kind, schema, &spec, &["n: spec.colour: unknown field"]);
    }
    let mut spec = valid()[3].2.clone();
    spec["targets"][0]["slot"] = json!(4);
    assert_fault(
        "service",
        1,
        &spec,
        &["service/n: spec.targets[0].slot: unknown field"],
    );
    let mut spec = valid()[4].2.clone();
    spec["links"][0]["mbit"] = json!(4);
    assert_fault(
        "region",
        1,
        &spec,
        &["region/n: spec.links[0].mbit: unknown field"],
    );
    let mut whole = record("workspace", 1, &valid()[0].2);
    whole["comment"] = json!("");
    assert!(faults(&whole).contains("workspace/n: record.comment: unknown field"));
}

/// Guards against a version of the future that is read as a known one.
#[test]
fn unknown_schema_version_is_a_fault() {
    for kind in Kind::ALL {
        for schema in [0, 3] {
            let json = record(kind.as_str(), schema, &json!({}));
            assert!(faults(&json).contains("n: schema: unknown schema version"));
        }
    }
}

/// Guards against missing or malformed content that is accepted, and against a report that stops at
/// the first fault.
#[test]
fn malformed_content_is_a_fault_with_its_place() {
    for (kind, schema, _) in valid() {
        assert!(
            !faults(&record(kind, schema, &json!({}))).is_empty(),
            "{kind} {schema}"
        );
        assert_fault(kind, schema, &json!([1]), &["n: spec: expected an object"]);
    }
    assert_fault(
        "workspace",
        1,
        &json!({"rate": "x"}),
        &[
            "workspace/n: spec.rate: invalid type",
            "workspace/n: spec.burst: missing",
        ],
    );
    let route = json!({"method": "GET", "prefix": "/", "timeout_ms": -1});
    let target = json!({"name": "t", "domain": "d", "address": "localhost:1", "slots": 1.5});
    assert_fault(
        "service",
        1,
        &json!({"routes": [route], "targets": [target]}),
        &[
            "routes[0].timeout_ms: ",
            "targets[0].address: ",
            "targets[0].slots: ",
        ],
    );
    for sha in ["0f", &"+f".repeat(32), &"é".repeat(32)] {
        let spec = json!({"workspace": "w", "sha256": sha});
        assert_fault(
            "key",
            1,
            &spec,
            &["key/n: spec.sha256: expected 64 hexadecimal digits"],
        );
    }
}

/// Guards against values that parse and make no sense.
#[test]
fn senseless_content_is_a_fault_with_its_place() {
    let route = json!({"method": "get", "prefix": "a?b", "idempotent": true, "key_required": true,
        "cost": 0, "timeout_ms": 0});
    let target = json!({"name": "t/", "domain": "", "address": "0.0.0.0:0", "slots": 0});
    assert_fault(
        "service",
        1,
        &json!({"workspaces": ["w", "w"], "routes": [route, route], "targets": [target, target]}),
        &[
            "workspaces[1]: \"w\" stands twice",
            "routes[0].method",
            "routes[0].prefix",
            "routes[0].key_required",
            "routes[0].cost",
            "routes[0].timeout_ms",
            "routes[1].method",
            "routes[1].prefix",
            "routes[1].key_required",
            "routes[1].cost",
            "routes[1].timeout_ms",
            "routes[1]: \"get a?b\" stands twice",
            "targets[0].name",
            "targets[0].domain",
            "targets[0].address",
            "targets[0].slots",
            "targets[1].name: expected",
            "targets[1].domain",
            "targets[1].address: expected",
            "targets[1].slots",
            "targets[1].name: \"t/\" stands twice",
            "targets[1].address: \"0.0.0.0:0\" stands twice",
        ],
    );
    assert_fault(
        "region",
        2,
        &json!({"domains": [{"name": "d"}, {"name": "d", "sites": ["s", "s"]}],
            "spare": {"rate": 0, "burst": 1},
            "links": [{"to": "n", "mbits": 0}, {"to": "n", "mbits": 1, "burst_ms": 0}]}),
        &[
            "domains[1].name",
            "domains[1].sites[1]",
            "spec.spare_burst",
            "links[0].to",
            "links[0].mbits",
            "links[1].to: expected another",
            "links[1].to: \"n\" stands twice",
            "links[1].burst_ms",
        ],
    );
    assert_fault(
        "shift",
        1,
        &json!({"service": "s", "from": "a", "to": "a", "percent": 101, "cap_rate": 0,
            "cap_burst": 0, "ramp_ms": 86_400_001}),
        &[
            "spec.to",
            "spec.percent",
            "spec.cap_rate",
            "spec.cap_burst",
            "spec.ramp_ms",
        ],
    );
    assert_fault(
        "blocks",
        1,
        &json!({"blocks": ["10.0.0.0/8 s", "10.0.0.1/8 s", "10.0.0.0/33 s", "x", "10.0.0.0/8 t", "::/0  "]}),
        &[
            "blocks[2]: ",
            "blocks[3]: ",
            "blocks[1]: expected the block's first address, 10.0.0.0/8",
            "blocks[4]: \"10.0.0.0/8\" stands twice",
            "blocks[5]: expected 1 to 128",
        ],
    );
}

/// Guards against an envelope that is accepted without its parts, or with two values for one.
#[test]
fn faulty_envelope_is_a_fault() {
    let at = |json: &str| Document::parse(json.as_bytes()).unwrap_err().to_string();
    assert!(at("{").contains("record: EOF"));
    assert!(at("[]").contains("record: expected an object"));
    assert_eq!(at("{}").lines().count(), 3);
    let twice =
        r#"{"schema":1,"kind":"workspace","name":"n","spec":{"rate":1,"rate":2,"burst":1}}"#;
    assert!(at(twice).contains("\"rate\" stands twice"));
    assert!(at(r#"{"schema":1,"kind":"door","name":"n"}"#).contains("unknown kind \"door\""));
    assert!(at(r#"{"schema":1,"kind":"key","name":"a/b"}"#).contains("key/a/b: name: "));
    let both = r#"{"schema":1,"kind":"key","name":"n","withdrawn":true,"spec":{}}"#;
    assert!(at(both).contains("key/n: spec: expected none"));
}

/// Guards against a record that the store would refuse, and against endless reports.
#[test]
fn size_and_number_of_findings_are_bounded() {
    let oversized = record("blocks", 1, &json!({"blocks": [" ".repeat(1_000_000)]}));
    assert!(faults(&oversized).contains("record: expected at most 1000000 bytes"));
    let many = record("blocks", 1, &json!({"blocks": vec!["x"; 5000]}));
    assert_eq!(faults(&many).lines().count(), 101);
}

/// Guards against a mark of withdrawal that daemons cannot read.
#[test]
fn withdrawal_parses() {
    let id = RecordName::from_path("config/key/k1").unwrap();
    let document = Document::parse(&Document::withdrawal(&id)).unwrap();
    assert_eq!((document.id, document.record), (id, None));
}

fn any_json() -> impl Strategy<Value = Value> {
    let leaf = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<u64>().prop_map(Value::from),
        any::<f64>().prop_map(Value::from),
        "[a-z0-9:./ é]{0,12}".prop_map(Value::from),
    ];
    let name = "[a-z_]{1,12}";
    leaf.prop_recursive(3, 24, 4, move |inner| {
        prop_oneof![
            prop::collection::vec(inner.clone(), 0..4).prop_map(Value::from),
            prop::collection::btree_map(name, inner, 0..4)
                .prop_map(|fields| fields.into_iter().collect()),
        ]
    })
}

proptest! {
    /// Guards against a record that brings a daemon down.
    #[test]
    fn parse_never_panics_on_bytes(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = Document::parse(&bytes);
    }

    /// The same with one field of a valid record replaced by any JSON, so that the checks behind the
    /// parser are reached.
    #[test]
    fn parse_never_panics_on_replaced_fields(
        pick in any::<prop::sample::Index>(), field in any::<prop::sample::Index>(), value in any_json(),
    ) {
        let all = valid();
        let (kind, schema, mut spec) = pick.get(&all).clone();
        let paths = Kind::from_name(kind).unwrap().field_paths(schema).unwrap();
        let path = field.get(&paths).strip_prefix("spec").unwrap();
        let pointer = path.replace("[]", "/0").replace('.', "/");
        if let Some(place) = spec.pointer_mut(&pointer) {
            *place = value;
        }
        let _ = Document::parse(record(kind, schema, &spec).to_string().as_bytes());
    }
}

/// Guards against a file whose later records are dropped, or whose double fields are hidden.
#[test]
fn files_split_into_records() {
    let count = |json: &str| split_records(json.as_bytes()).map(|r| r.len()).ok();
    assert_eq!(count(""), Some(0));
    assert_eq!(count("{}\n{}\n"), Some(2));
    assert_eq!(count("[{}, {}] {} [{}]"), Some(4));
    assert_eq!(count("{} {\"a\": 1, \"a\": 2}"), None);
    assert_eq!(count("{} {"), None);
}

/// Guards against a record that refers to something that is not there, or that is withdrawn.
#[test]
fn references_are_checked_against_the_whole_deployment() {
    let mut all: Vec<Document> = valid()
        .iter()
        .map(|(kind, schema, spec)| {
            Document::parse(record(kind, *schema, spec).to_string().as_bytes()).unwrap()
        })
        .collect();
    let faults = check_references(&all, &[]).unwrap_err().to_string();
    let expected = [
        "key/n: spec.workspace: no workspace \"w\"",
        "region/n: spec.links[0].to: no region \"r\"",
        "region/n: spec.links[0].to: no region \"r\"",
        "shift/n: spec.service: no service \"s\"",
        "shift/n: spec.from: no region \"a\"",
        "shift/n: spec.to: no region \"b\"",
    ];
    assert_eq!(faults.lines().collect::<Vec<_>>(), expected);
    let service = all.remove(3);
    assert_eq!(
        check_references(std::slice::from_ref(&service), &all),
        Ok(())
    );
    for document in &mut all {
        document.record = None;
    }
    assert!(check_references(&[service], &all).is_err());
}

/// Guards against a failure domain in two regions, whose shares would be counted twice.
#[test]
fn failure_domain_of_two_regions_is_a_fault() {
    let region = |name: &str| {
        let mut json = record("region", 1, &valid()[4].2);
        json["name"] = json!(name);
        json["spec"]["links"] = json!([]);
        Document::parse(json.to_string().as_bytes()).unwrap()
    };
    let faults = check_references(&[region("b")], &[region("a")]).unwrap_err();
    assert!(
        faults
            .to_string()
            .contains("region/b: spec.domains[0].name: \"d\" also stands")
    );
}
