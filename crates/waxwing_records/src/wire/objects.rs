//! The objects of each kind and schema version, as JSON has them.

use std::net::SocketAddr;

use smol_str::SmolStr;
use waxwing_types::{DomainId, Millis, RegionId, ServiceId, SiteId, TargetId, WorkspaceId};

use super::read::wire_objects;

/// Burst of a link as a time at its full rate, if the record does not set it.
pub(crate) const LINK_BURST: Millis = Millis::from_secs(1);

wire_objects! {
    Envelope {
        schema: u32,
        kind: SmolStr,
        name: SmolStr,
        withdrawn: bool = false,
        spec: Option<super::read::Raw> = None,
    }

    WorkspaceV1 {
        rate: u64,
        burst: u64,
    }

    /// A rate and a burst, as version 2 of the kinds groups them.
    LimitV2 {
        rate: u64,
        burst: u64,
    }

    WorkspaceV2 {
        limit: LimitV2,
        weight: u32 = 1,
        domains: Vec<DomainId> = Vec::new(),
        key_staleness_ms: Option<Millis> = None,
    }

    KeyV1 {
        workspace: WorkspaceId,
        sha256: SmolStr,
    }

    RouteV1 {
        method: SmolStr,
        prefix: SmolStr,
        idempotent: bool = false,
        key_required: bool = false,
        public: bool = false,
        cost: u32 = 1,
        timeout_ms: Millis,
    }

    TargetV1 {
        name: TargetId,
        domain: DomainId,
        address: SocketAddr,
        slots: u32,
        leaving: bool = false,
    }

    ServiceV1 {
        workspaces: Vec<WorkspaceId> = Vec::new(),
        routes: Vec<RouteV1>,
        targets: Vec<TargetV1> = Vec::new(),
    }

    DomainV1 {
        name: DomainId,
        sites: Vec<SiteId> = Vec::new(),
    }

    LinkV1 {
        to: RegionId,
        mbits: u64,
    }

    RegionV1 {
        domains: Vec<DomainV1>,
        spare_rate: u64,
        spare_burst: u64,
        links: Vec<LinkV1> = Vec::new(),
    }

    LinkV2 {
        to: RegionId,
        mbits: u64,
        burst_ms: Millis = LINK_BURST,
    }

    RegionV2 {
        domains: Vec<DomainV1>,
        spare: LimitV2,
        links: Vec<LinkV2> = Vec::new(),
    }

    ShiftV1 {
        service: ServiceId,
        from: RegionId,
        to: RegionId,
        percent: u8,
        cap_rate: u64,
        cap_burst: u64,
        ramp_ms: Millis = Millis::ZERO,
    }

    /// Each entry of `blocks` is `ADDRESS/BITS SITE`.
    BlocksV1 {
        blocks: Vec<SmolStr>,
    }
}
