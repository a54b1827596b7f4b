//! Configuration records of the model deployment: two regions, three VMs, six targets.

use serde_json::{Value, json};
use waxwing_core::{Config, IncomingRequest, ParsedRecord, PresentedKey, VersionedRecord, Vm};
use waxwing_records::KeyHash;
use waxwing_types::{Millis, Revision};

pub(crate) const VMS: usize = 3;
pub(crate) const TARGETS: usize = 6;
pub(crate) const WORKSPACES: usize = 3;
/// Failure domain of each VM.
pub(crate) const VM_DOMAINS: [&str; VMS] = ["d0", "d1", "d2"];
/// Failure domain of each target.
const TARGET_DOMAINS: [&str; TARGETS] = ["d0", "d0", "d1", "d1", "d2", "d2"];

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Kind {
    /// Not idempotent, with a key.
    Confirm,
    /// Not idempotent, without a key.
    Approve,
    Check,
    Public,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Request {
    pub(crate) workspace: usize,
    pub(crate) kind: Kind,
    pub(crate) number: u64,
    /// Crashes each target that runs it.
    pub(crate) poison: bool,
}

pub(crate) fn region_of_vm(vm: usize) -> &'static str {
    if vm == 2 { "r1" } else { "r0" }
}

pub(crate) fn key_hash(workspace: usize) -> KeyHash {
    KeyHash::of(&format!("k{workspace}.secret"))
}

pub(crate) fn adopt(config: &mut Config, now: u64, version: u64, record: &Value) {
    let path = format!(
        "config/{}/{}",
        record["kind"].as_str().expect("kind"),
        record["name"].as_str().expect("name")
    );
    let candidate = ParsedRecord::parse(VersionedRecord {
        path: path.as_str().into(),
        version: Revision(version),
        value: record.to_string().into_bytes(),
    });
    let adoption = config.apply(Millis(now), candidate);
    assert!(
        !matches!(adoption, waxwing_core::ApplyOutcome::Rejected(_)),
        "{adoption:?}"
    );
}

pub(crate) fn key(workspace: usize, withdrawn: bool) -> Value {
    let name = format!("k{workspace}");
    if withdrawn {
        return json!({"schema": 1, "kind": "key", "name": name, "withdrawn": true});
    }
    let spec =
        json!({"workspace": format!("w{workspace}"), "sha256": key_hash(workspace).to_string()});
    json!({"schema": 1, "kind": "key", "name": name, "spec": spec})
}

pub(crate) fn service(leaving: [bool; TARGETS]) -> Value {
    let targets: Vec<_> = (0..TARGETS)
        .map(|i| {
            json!({"name": format!("t{i}"), "domain": TARGET_DOMAINS[i], "slots": 3,
                "address": format!("10.0.0.{}:80", i + 1), "leaving": leaving[i]})
        })
        .collect();
    let routes = json!([
        {"method": "POST", "prefix": "/confirm", "key_required": true, "timeout_ms": 400},
        {"method": "POST", "prefix": "/approve", "timeout_ms": 400},
        {"method": "GET", "prefix": "/check", "idempotent": true, "timeout_ms": 400, "cost": 2},
        {"method": "GET", "prefix": "/public", "idempotent": true, "public": true, "timeout_ms": 400}
    ]);
    json!({"schema": 1, "kind": "service", "name": "s", "spec": {"routes": routes, "targets": targets}})
}

/// Records that stay as they are.
pub(crate) fn fixed() -> Vec<Value> {
    let mut records: Vec<_> = (0..WORKSPACES)
        .map(|i| {
            json!({"schema": 1, "kind": "workspace", "name": format!("w{i}"),
                "spec": {"rate": 1000, "burst": 1000}})
        })
        .collect();
    for (name, domains, to) in [("r0", vec!["d0", "d1"], "r1"), ("r1", vec!["d2"], "r0")] {
        let domains: Vec<_> = domains.iter().map(|d| json!({"name": d})).collect();
        records.push(json!({"schema": 1, "kind": "region", "name": name, "spec":
            {"domains": domains, "spare_rate": 100, "spare_burst": 100,
             "links": [{"to": to, "mbits": 1000}]}}));
    }
    records.push(json!({"schema": 1, "kind": "shift", "name": "move", "spec":
        {"service": "s", "from": "r0", "to": "r1", "percent": 30, "cap_rate": 10, "cap_burst": 10}}));
    records
}

pub(crate) fn vm_list() -> Vec<Vm> {
    let address = |i: usize, port: u16| ([10, 0, 1, u8::try_from(i).unwrap_or(0)], port).into();
    (0..VMS)
        .map(|i| Vm {
            id: format!("vm{i}").as_str().into(),
            domain: VM_DOMAINS[i].into(),
            client: address(i, 1),
            peer: address(i, 2),
            peer_http: address(i, 3),
            leaving: false,
        })
        .collect()
}

pub(crate) fn arrival(request: Request) -> IncomingRequest {
    let (method, path) = match request.kind {
        Kind::Confirm => ("POST", "/confirm"),
        Kind::Approve => ("POST", "/approve"),
        Kind::Check => ("GET", "/check"),
        Kind::Public => ("GET", "/public"),
    };
    let workspace = request.workspace;
    IncomingRequest {
        service: "s".into(),
        method: method.into(),
        path: format!("{path}/{}", request.number).as_str().into(),
        api_key: Some(PresentedKey {
            id: format!("k{workspace}").as_str().into(),
            hash: key_hash(workspace),
        }),
        idempotency_key: (request.kind == Kind::Confirm).then(|| {
            format!("i{}{}", request.number, request.poison)
                .as_str()
                .into()
        }),
        requested_timeout: None,
        body_length: Some(100),
        client_ip: [127, 0, 0, 1].into(),
        body_prefix_hash: request.number + u64::from(request.poison) * 1000,
        forwarded: None,
    }
}
