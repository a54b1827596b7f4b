//! Turns wire objects into the types that the rest of the system uses.

use waxwing_types::SiteId;

use super::objects::{
    BlocksV1, DomainV1, KeyV1, LINK_BURST, RegionV1, RegionV2, RouteV1, ServiceV1, ShiftV1,
    TargetV1, WorkspaceV1, WorkspaceV2,
};
use super::read::Place;
use crate::region::BYTES_PER_MBIT;
use crate::{
    Block, Blocks, Domain, Findings, Key, KeyHash, Link, Region, Route, Service, Shift, Target,
    Workspace,
};

pub(super) fn key(wire: KeyV1, place: &Place<'_>, out: &mut Findings) -> Option<Key> {
    let Some(hash) = KeyHash::from_hex(&wire.sha256) else {
        let place = Place::Field(place, "sha256");
        out.add(place.to_string(), "expected 64 hexadecimal digits");
        return None;
    };
    Some(Key {
        workspace: wire.workspace,
        hash,
    })
}

pub(super) fn blocks(wire: &BlocksV1, place: &Place<'_>, out: &mut Findings) -> Blocks {
    let mut blocks = Vec::with_capacity(wire.blocks.len());
    let list = Place::Field(place, "blocks");
    for (i, text) in wire.blocks.iter().enumerate() {
        match block(text) {
            Some(block) => blocks.push((i, block)),
            None => out.add(
                Place::Item(&list, i).to_string(),
                format!("expected \"ADDRESS/BITS SITE\", got \"{text}\""),
            ),
        }
    }
    Blocks::check(&list, &blocks, out);
    Blocks {
        blocks: blocks.into_iter().map(|(_, block)| block).collect(),
    }
}

fn block(text: &str) -> Option<Block> {
    let (prefix, site) = text.split_once(' ')?;
    let (base, bits) = prefix.split_once('/')?;
    let base: std::net::IpAddr = base.parse().ok()?;
    let bits: u8 = bits.parse().ok()?;
    let most = if base.is_ipv4() { 32 } else { 128 };
    (bits <= most).then(|| Block {
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

impl From<DomainV1> for Domain {
    fn from(wire: DomainV1) -> Self {
        Self {
            name: wire.name,
            sites: wire.sites,
        }
    }
}

impl From<RegionV1> for Region {
    fn from(wire: RegionV1) -> Self {
        let links = wire.links.into_iter();
        Self {
            domains: wire.domains.into_iter().map(Domain::from).collect(),
            spare_rate: wire.spare_rate,
            spare_burst: wire.spare_burst,
            links: links.map(|l| link(l.to, l.mbits, LINK_BURST.0)).collect(),
        }
    }
}

impl From<RegionV2> for Region {
    fn from(wire: RegionV2) -> Self {
        let links = wire.links.into_iter();
        Self {
            domains: wire.domains.into_iter().map(Domain::from).collect(),
            spare_rate: wire.spare.rate,
            spare_burst: wire.spare.burst,
            links: links.map(|l| link(l.to, l.mbits, l.burst_ms.0)).collect(),
        }
    }
}

fn link(to: waxwing_types::RegionId, mbits: u64, burst_ms: u64) -> Link {
    let rate = mbits.saturating_mul(BYTES_PER_MBIT);
    Link {
        to,
        rate,
        burst: rate.saturating_mul(burst_ms) / 1000,
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
