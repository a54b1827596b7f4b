//! Records as JSON: one type for each kind and schema version.

use std::net::SocketAddr;

use serde::Deserialize;
use serde_json::Value;
use smol_str::SmolStr;
use waxwing_types::{DomainId, Millis, RegionId, ServiceId, SiteId, TargetId, WorkspaceId};

use crate::{
    Block, Blocks, Document, Domain, Findings, Key, KeyHash, Kind, Link, MAX_RECORD_BYTES, Record,
    RecordName, Region, Route, Service, Shift, Target, Workspace,
};

/// Greatest length of a record's name in bytes.
const MAX_NAME_BYTES: usize = 128;
/// Bytes a second in a megabit a second.
const BYTES_PER_MBIT: u64 = 125_000;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Envelope {
    schema: u32,
    kind: SmolStr,
    name: SmolStr,
    #[serde(default)]
    withdrawn: bool,
    spec: Option<Value>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct WorkspaceV1 {
    rate: u64,
    burst: u64,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct LimitV2 {
    rate: u64,
    burst: u64,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct WorkspaceV2 {
    limit: LimitV2,
    #[serde(default = "one")]
    weight: u32,
    #[serde(default)]
    domains: Vec<DomainId>,
    key_staleness_ms: Option<Millis>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct KeyV1 {
    workspace: WorkspaceId,
    sha256: SmolStr,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RouteV1 {
    method: SmolStr,
    prefix: SmolStr,
    #[serde(default)]
    idempotent: bool,
    #[serde(default)]
    key_required: bool,
    #[serde(default)]
    public: bool,
    #[serde(default = "one")]
    cost: u32,
    timeout_ms: Millis,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct TargetV1 {
    name: TargetId,
    domain: DomainId,
    address: SocketAddr,
    slots: u32,
    #[serde(default)]
    leaving: bool,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ServiceV1 {
    #[serde(default)]
    workspaces: Vec<WorkspaceId>,
    routes: Vec<RouteV1>,
    #[serde(default)]
    targets: Vec<TargetV1>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct DomainV1 {
    name: DomainId,
    #[serde(default)]
    sites: Vec<SiteId>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct LinkV1 {
    to: RegionId,
    mbits: u64,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RegionV1 {
    domains: Vec<DomainV1>,
    spare_rate: u64,
    spare_burst: u64,
    #[serde(default)]
    links: Vec<LinkV1>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ShiftV1 {
    service: ServiceId,
    from: RegionId,
    to: RegionId,
    percent: u8,
    cap_rate: u64,
    cap_burst: u64,
    #[serde(default)]
    ramp_ms: Millis,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct BlocksV1 {
    /// Each entry is `ADDRESS/BITS SITE`.
    blocks: Vec<SmolStr>,
}

fn one() -> u32 {
    1
}

pub(crate) fn withdrawal(id: &RecordName) -> Vec<u8> {
    serde_json::json!({
        "schema": 1, "kind": id.kind.as_str(), "name": id.name, "withdrawn": true
    })
    .to_string()
    .into_bytes()
}

pub(crate) fn parse(json: &[u8]) -> Result<Document, Findings> {
    let mut findings = Findings::default();
    if json.len() > MAX_RECORD_BYTES {
        findings.add(
            "record",
            format!(
                "expected at most {MAX_RECORD_BYTES} bytes, got {}",
                json.len()
            ),
        );
        return Err(findings);
    }
    let envelope: Envelope = match serde_json::from_slice(json) {
        Ok(envelope) => envelope,
        Err(error) => {
            findings.add("record", error.to_string());
            return Err(findings);
        }
    };
    let Some(kind) = Kind::from_name(&envelope.kind) else {
        findings.add("kind", format!("unknown kind \"{}\"", envelope.kind));
        return Err(findings);
    };
    let id = RecordName {
        kind,
        name: envelope.name,
    };
    check_name(&id, &mut findings);
    let record = if envelope.withdrawn {
        if envelope.spec.is_some() {
            findings.add(format!("{id}: spec"), "expected none in a withdrawn record");
        }
        None
    } else {
        let spec = envelope.spec.unwrap_or(Value::Null);
        parse_spec(&id, envelope.schema, spec, &mut findings)
    };
    findings.or_ok(Document {
        id,
        schema: envelope.schema,
        record,
    })
}

fn check_name(id: &RecordName, findings: &mut Findings) {
    let valid = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_');
    if id.name.is_empty() || id.name.len() > MAX_NAME_BYTES || !id.name.bytes().all(valid) {
        findings.add(
            format!("{id}: name"),
            format!("expected 1 to {MAX_NAME_BYTES} letters, digits, \"-\" or \"_\""),
        );
    }
}

fn parse_spec(id: &RecordName, schema: u32, spec: Value, out: &mut Findings) -> Option<Record> {
    let place = format!("{id}: spec");
    let record = match (id.kind, schema) {
        (Kind::Workspace, 1) => {
            read::<WorkspaceV1>(spec, &place, out).map(|w| Record::Workspace(w.into()))
        }
        (Kind::Workspace, 2) => {
            read::<WorkspaceV2>(spec, &place, out).map(|w| Record::Workspace(w.into()))
        }
        (Kind::Key, 1) => read::<KeyV1>(spec, &place, out)
            .and_then(|k| key(k, &place, out))
            .map(Record::Key),
        (Kind::Service, 1) => {
            read::<ServiceV1>(spec, &place, out).map(|s| Record::Service(s.into()))
        }
        (Kind::Region, 1) => read::<RegionV1>(spec, &place, out).map(|r| Record::Region(r.into())),
        (Kind::Shift, 1) => read::<ShiftV1>(spec, &place, out).map(|s| Record::Shift(s.into())),
        (Kind::Blocks, 1) => {
            read::<BlocksV1>(spec, &place, out).map(|b| Record::Blocks(blocks(&b, &place, out)))
        }
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
        Record::Workspace(w) => w.check(&place, out),
        Record::Service(s) => s.check(&place, out),
        Record::Region(r) => r.check(&place, out),
        Record::Shift(s) => s.check(&place, out),
        Record::Key(_) | Record::Blocks(_) => {}
    }
    Some(record)
}

fn read<T: serde::de::DeserializeOwned>(spec: Value, place: &str, out: &mut Findings) -> Option<T> {
    match serde_json::from_value(spec) {
        Ok(value) => Some(value),
        Err(error) => {
            out.add(place, error.to_string());
            None
        }
    }
}

fn key(wire: KeyV1, place: &str, out: &mut Findings) -> Option<Key> {
    let Some(hash) = KeyHash::from_hex(&wire.sha256) else {
        out.add(format!("{place}.sha256"), "expected 64 hexadecimal digits");
        return None;
    };
    Some(Key {
        workspace: wire.workspace,
        hash,
    })
}

fn blocks(wire: &BlocksV1, place: &str, out: &mut Findings) -> Blocks {
    let mut blocks = Vec::with_capacity(wire.blocks.len());
    for (i, text) in wire.blocks.iter().enumerate() {
        match block(text) {
            Some(block) => blocks.push(block),
            None => out.add(
                format!("{place}.blocks[{i}]"),
                format!("expected \"ADDRESS/BITS SITE\", got \"{text}\""),
            ),
        }
    }
    Blocks { blocks }
}

fn block(text: &str) -> Option<Block> {
    let (prefix, site) = text.split_once(' ')?;
    let (base, bits) = prefix.split_once('/')?;
    let base: std::net::IpAddr = base.parse().ok()?;
    let bits: u8 = bits.parse().ok()?;
    let most = if base.is_ipv4() { 32 } else { 128 };
    (bits <= most && !site.is_empty()).then(|| Block {
        base,
        bits,
        site: SiteId::from(site),
    })
}

impl From<WorkspaceV1> for Workspace {
    fn from(wire: WorkspaceV1) -> Self {
        Self {
            rate: wire.rate,
            burst: wire.burst,
            weight: 1,
            domains: Vec::new(),
            key_staleness: None,
        }
    }
}

impl From<WorkspaceV2> for Workspace {
    fn from(wire: WorkspaceV2) -> Self {
        Self {
            rate: wire.limit.rate,
            burst: wire.limit.burst,
            weight: wire.weight,
            domains: wire.domains,
            key_staleness: wire.key_staleness_ms,
        }
    }
}

impl From<ServiceV1> for Service {
    fn from(wire: ServiceV1) -> Self {
        Self {
            workspaces: wire.workspaces,
            routes: wire.routes.into_iter().map(Route::from).collect(),
            targets: wire.targets.into_iter().map(Target::from).collect(),
        }
    }
}

impl From<RouteV1> for Route {
    fn from(wire: RouteV1) -> Self {
        Self {
            method: wire.method,
            prefix: wire.prefix,
            idempotent: wire.idempotent,
            key_required: wire.key_required,
            public: wire.public,
            cost: wire.cost,
            timeout: wire.timeout_ms,
        }
    }
}

impl From<TargetV1> for Target {
    fn from(wire: TargetV1) -> Self {
        Self {
            name: wire.name,
            domain: wire.domain,
            address: wire.address,
            slots: wire.slots,
            leaving: wire.leaving,
        }
    }
}

impl From<RegionV1> for Region {
    fn from(wire: RegionV1) -> Self {
        let domain = |d: DomainV1| Domain {
            name: d.name,
            sites: d.sites,
        };
        let link = |l: LinkV1| {
            let rate = l.mbits.saturating_mul(BYTES_PER_MBIT);
            Link {
                to: l.to,
                rate,
                burst: rate,
            }
        };
        Self {
            domains: wire.domains.into_iter().map(domain).collect(),
            spare_rate: wire.spare_rate,
            spare_burst: wire.spare_burst,
            links: wire.links.into_iter().map(link).collect(),
        }
    }
}

impl From<ShiftV1> for Shift {
    fn from(wire: ShiftV1) -> Self {
        Self {
            service: wire.service,
            from: wire.from,
            to: wire.to,
            percent: wire.percent,
            cap_rate: wire.cap_rate,
            cap_burst: wire.cap_burst,
            ramp: wire.ramp_ms,
        }
    }
}
