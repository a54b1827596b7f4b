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
pub(crate) enum RequestKind {
    /// Not idempotent, with an idempotency key.
    Confirm,
    /// Not idempotent, without an idempotency key.
    Approve,
    /// Idempotent.
    Check,
    /// Idempotent, on a public route.
    Public,
}

/// Request that callers send. Equal values are copies of the same request, which may be sent more
/// than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Request {
    /// Index of the workspace whose API key the caller sends.
    pub(crate) workspace: usize,
    pub(crate) kind: RequestKind,
    /// Number that tells apart requests of the same workspace and kind.
    pub(crate) number: u64,
    /// Whether the request crashes each target that runs it.
    pub(crate) poison: bool,
}

/// Region of the VM. `r0` has the VMs 0 and 1, `r1` has VM 2.
pub(crate) fn region_of_vm(vm: usize) -> &'static str {
    if vm == 2 { "r1" } else { "r0" }
}

/// Hash of the API key of a workspace.
pub(crate) fn key_hash(workspace: usize) -> KeyHash {
    KeyHash::of(&format!("k{workspace}.secret"))
}

/// Adds a configuration record to the configuration of a daemon.
pub(crate) fn apply_record(config: &mut Config, now_ms: u64, version: u64, record: &Value) {
    let path = format!(
        "config/{}/{}",
        record["kind"].as_str().expect("kind"),
        record["name"].as_str().expect("name")
    );
    let parsed_record = ParsedRecord::parse(VersionedRecord {
        path: path.as_str().into(),
        version: Revision(version),
        value: record.to_string().into_bytes(),
    });
    let outcome = config.apply(Millis(now_ms), parsed_record);
    assert!(
        !matches!(outcome, waxwing_core::ApplyOutcome::Rejected(_)),
        "{outcome:?}"
    );
}

/// Record of the API key of a workspace, or its tombstone if the key is withdrawn.
pub(crate) fn key_record(workspace: usize, withdrawn: bool) -> Value {
    let name = format!("k{workspace}");
    if withdrawn {
        return json!({"schema": 1, "kind": "key", "name": name, "withdrawn": true});
    }
    let spec =
        json!({"workspace": format!("w{workspace}"), "sha256": key_hash(workspace).to_string()});
    json!({"schema": 1, "kind": "key", "name": name, "spec": spec})
}

/// Record of the service `s`. `leaving` tells for each target whether the target is leaving.
pub(crate) fn service_record(leaving: [bool; TARGETS]) -> Value {
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

/// Records that do not change during a test: workspaces, regions and a traffic shift.
pub(crate) fn fixed_records() -> Vec<Value> {
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

/// The VMs of the model deployment.
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

/// The request as the daemon receives it from a caller.
pub(crate) fn incoming_request(request: Request) -> IncomingRequest {
    let (method, path) = match request.kind {
        RequestKind::Confirm => ("POST", "/confirm"),
        RequestKind::Approve => ("POST", "/approve"),
        RequestKind::Check => ("GET", "/check"),
        RequestKind::Public => ("GET", "/public"),
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
        idempotency_key: (request.kind == RequestKind::Confirm).then(|| {
            format!("i{}{}", request.number, request.poison)
                .as_str()
                .into()
        }),
        requested_timeout: None,
        body_length: Some(100),
        client_ip: [127, 0, 0, 1].into(),
        body_hash: Some(request.number + u64::from(request.poison) * 1000),
        forwarded: None,
    }
}
