//! The two deployments of section 1.1 of the design page, and their records.

use serde_json::{Value, json};
use waxwing_core::Vm;
use waxwing_records::KeyHash;

/// Failure domains; two of each region.
pub(super) const DOMAINS: usize = 6;
/// Regions.
pub(super) const REGIONS: usize = 3;
/// Workspaces.
pub(super) const WORKSPACES: usize = 8;
/// The workspace that sends five times its rate in a spike.
pub(super) const SPIKER: usize = 1;
/// Parts of the capacity that the workspaces may spend, in percent. The sum exceeds 100, as
/// operators grant more than all can use at once.
const SHARES: [u64; WORKSPACES] = [34, 30, 10, 9, 8, 8, 7, 4];
/// Part of its rate that each workspace sends, in percent.
pub(super) const DEMAND: u64 = 50;
/// Cap of the planned shift a second, and at once.
pub(super) const CAP: (u64, u64) = (25, 25);
/// Requests a second that other regions may send to a region, and at once.
pub(super) const SPARE: (u64, u64) = (60, 60);

/// Sizes of a deployment.
#[derive(Debug)]
pub struct Size {
    /// Name of the deployment.
    pub name: &'static str,
    /// Entry VMs.
    pub vms: usize,
    /// Targets of each service.
    pub targets: [usize; 3],
    /// Slots of the targets, in turn.
    pub slots: &'static [usize],
    /// Mean time in ms for which a request of each service runs.
    pub hold: [u64; 3],
}

/// Both deployments.
pub const DEPLOYMENTS: [Size; 2] = [
    Size {
        name: "kain_bersih",
        vms: 18,
        targets: [12, 13, 14],
        slots: &[6, 5, 9, 7, 4, 6, 3, 8],
        hold: [80, 300, 300],
    },
    Size {
        name: "kerlann",
        vms: 17,
        targets: [12, 14, 16],
        slots: &[4, 5, 3, 6, 5, 4],
        hold: [50, 250, 250],
    },
];

/// Methods and prefixes of the services: a status query, a confirmation that needs an idempotency
/// key, and an upload that may be repeated.
pub(super) const ROUTES: [(&str, &str); 3] =
    [("GET", "/status"), ("POST", "/confirm"), ("PUT", "/upload")];
/// Time in ms that the routes allow.
pub(super) const TIMEOUTS: [u64; 3] = [2_000, 4_000, 4_000];

impl Size {
    /// Slots of a target.
    pub(super) fn slots_of(&self, target: usize) -> usize {
        self.slots[target % self.slots.len()]
    }

    /// Requests a second that the slots of a service could run.
    pub(super) fn capacity(&self, service: usize) -> u64 {
        let slots: usize = (0..self.targets[service]).map(|t| self.slots_of(t)).sum();
        slots as u64 * 1000 / self.hold[service]
    }

    /// Slots of a service in a region.
    pub(super) fn region_slots(&self, service: usize, region: usize) -> usize {
        let targets = 0..self.targets[service];
        let near = targets.filter(|t| t % DOMAINS / 2 == region);
        near.map(|t| self.slots_of(t)).sum()
    }

    /// Requests a second that a workspace may send.
    pub(super) fn rate(&self, workspace: usize) -> u64 {
        let all: u64 = (0..3).map(|s| self.capacity(s)).sum();
        all * SHARES[workspace] / 100
    }

    /// Requests that a workspace may send at once.
    pub(super) fn burst(&self, workspace: usize) -> u64 {
        self.rate(workspace) * 2
    }

    /// The record of a service. `leaving`: index of a target that leaves.
    pub(super) fn service(&self, service: usize, leaving: Option<usize>) -> Value {
        let targets: Vec<_> = (0..self.targets[service])
            .map(|t| {
                json!({"name": format!("t{t}"), "domain": domain(t % DOMAINS),
                    "address": format!("10.{}.0.{}:80", service + 1, t + 1),
                    "slots": self.slots_of(t), "leaving": leaving == Some(t)})
            })
            .collect();
        let (method, prefix) = ROUTES[service];
        let once = service == 1;
        let route = json!({"method": method, "prefix": prefix, "idempotent": !once,
            "key_required": once, "timeout_ms": TIMEOUTS[service]});
        record(
            "service",
            &format!("s{service}"),
            &json!({"routes": [route], "targets": targets}),
        )
    }

    /// The records at the start.
    pub(super) fn records(&self) -> Vec<Value> {
        let mut all: Vec<_> = (0..REGIONS).map(region_record).collect();
        for w in 0..WORKSPACES {
            let spec = json!({"rate": self.rate(w), "burst": self.burst(w)});
            all.push(record("workspace", &format!("w{w}"), &spec));
            all.push(key(w, false));
        }
        all.extend((0..3).map(|s| self.service(s, None)));
        let blocks = (0..DOMAINS).map(|d| format!("10.9.{d}.0/24 site{d}"));
        let blocks: Vec<_> = blocks.collect();
        all.push(record("blocks", "callers", &json!({"blocks": blocks})));
        all
    }

    /// The platform's list of VMs.
    pub(super) fn list(&self) -> Vec<Vm> {
        let address = |vm: usize, port: u16| ([10, 0, 1, u8::try_from(vm).unwrap_or(0)], port);
        (0..self.vms)
            .map(|vm| Vm {
                id: vm_name(vm).as_str().into(),
                domain: domain(vm % DOMAINS).as_str().into(),
                client: address(vm, 1).into(),
                peer: address(vm, 2).into(),
                peer_http: address(vm, 3).into(),
                leaving: false,
            })
            .collect()
    }
}

pub(super) fn vm_name(vm: usize) -> String {
    format!("vm{vm}")
}

pub(super) fn domain(domain: usize) -> String {
    format!("d{domain}")
}

pub(super) fn region(region: usize) -> String {
    format!("r{region}")
}

/// The number at the end of a name such as `vm12`.
pub(super) fn number(name: &str) -> usize {
    let digits = name.trim_start_matches(|c: char| !c.is_ascii_digit());
    digits.parse().unwrap_or(0)
}

fn record(kind: &str, name: &str, spec: &Value) -> Value {
    json!({"schema": 1, "kind": kind, "name": name, "spec": spec})
}

fn region_record(index: usize) -> Value {
    let domains: Vec<_> = [2 * index, 2 * index + 1]
        .iter()
        .map(|d| json!({"name": domain(*d), "sites": [format!("site{d}")]}))
        .collect();
    let others = (0..REGIONS).filter(|r| *r != index);
    let links: Vec<_> = others
        .map(|r| json!({"to": region(r), "mbits": 4000}))
        .collect();
    let spec = json!({"domains": domains, "spare_rate": SPARE.0, "spare_burst": SPARE.1,
        "links": links});
    record("region", &region(index), &spec)
}

/// The record of a workspace's key.
pub(super) fn key(workspace: usize, withdrawn: bool) -> Value {
    let name = format!("k{workspace}");
    if withdrawn {
        return json!({"schema": 1, "kind": "key", "name": name, "withdrawn": true});
    }
    let hash = key_hash(workspace).to_string();
    let spec = json!({"workspace": format!("w{workspace}"), "sha256": hash});
    record("key", &name, &spec)
}

pub(super) fn key_hash(workspace: usize) -> KeyHash {
    KeyHash::of(&format!("k{workspace}.secret"))
}

/// The planned shift of a third of the first service's traffic from the first region.
pub(super) fn shift() -> Value {
    let spec = json!({"service": "s0", "from": "r0", "to": "r1", "percent": 30,
        "cap_rate": CAP.0, "cap_burst": CAP.1, "ramp_ms": 10_000});
    record("shift", "move", &spec)
}
