//! Fixtures for the tests of the selection of targets.
#![allow(dead_code, reason = "each test file uses only some of the items")]

use waxwing_edge::{ColdStartLimit, TargetCriteria, TargetPool, Topology};
use waxwing_records::{Registration, TargetState};
use waxwing_types::{Incarnation, Millis, RegionId, ServiceId};

/// A pool without targets, of a VM in failure domain `a`. The region `r1` has the failure domains `a` and
/// `b`, and the region `r2` has `c` and `d`. A cold target of service `s` may get 10 requests per second and
/// stays cold for 3 s.
pub(crate) fn pool() -> TargetPool {
    pool_of("vm")
}

/// Like [`pool`], of a VM with this id.
pub(crate) fn pool_of(vm: &str) -> TargetPool {
    let domains = [("a", "r1"), ("b", "r1"), ("c", "r2"), ("d", "r2")];
    let topology = Topology {
        own_domain: "a".into(),
        own_region: "r1".into(),
        domain_regions: domains
            .into_iter()
            .map(|(domain, region)| (domain.into(), region.into()))
            .collect(),
    };
    let mut pool = TargetPool::new(vm, topology);
    let limit = ColdStartLimit {
        requests_per_1000_s: 10_000,
        cold_time: Millis::from_secs(3),
    };
    pool.set_cold_start_limit(&"s".into(), limit);
    pool
}

/// The registration of a ready target of service `s` with four slots.
pub(crate) fn target(id: &str, domain: &str) -> Registration {
    Registration {
        id: id.into(),
        incarnation: Incarnation(1),
        service: "s".into(),
        address: "127.0.0.1:1".parse().expect("an address"),
        domain: domain.into(),
        slots: 4,
        state: TargetState::Ready,
        cold_left: Millis::ZERO,
    }
}

/// The criteria of a request with the given affinity hash to a service.
pub(crate) fn criteria<'a>(
    service: &'a ServiceId,
    affinity_hash: u64,
    region_allowed: &'a dyn Fn(&RegionId) -> bool,
) -> TargetCriteria<'a> {
    TargetCriteria {
        service,
        affinity_hash: Some(affinity_hash),
        large_body: false,
        region_allowed,
        tried: &[],
        time_left: Millis(700),
        latency_objective: Millis(400),
        priority: (0, 0),
    }
}
