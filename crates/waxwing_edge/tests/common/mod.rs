//! Fixtures for the tests of the selection of targets.

use waxwing_edge::{ColdStartLimit, TargetCriteria, TargetPool, VmLocation};
use waxwing_records::{Registration, TargetState};
use waxwing_types::{Incarnation, Millis, RegionId, ServiceId};

/// An empty pool of a VM in failure domain `a`. The region `r1` has the failure domains `a` and `b`, and `r2`
/// has `c` and `d`.
pub(crate) fn pool() -> TargetPool {
    let domains = [("a", "r1"), ("b", "r1"), ("c", "r2"), ("d", "r2")];
    let location = VmLocation {
        domain: "a".into(),
        region: "r1".into(),
        domain_regions: domains
            .into_iter()
            .map(|(d, r)| (d.into(), r.into()))
            .collect(),
    };
    let mut pool = TargetPool::new("vm", location);
    let limit = ColdStartLimit {
        rate: 10_000,
        duration: Millis::from_secs(3),
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

/// The criteria of a request to a service with a given affinity hash.
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
    }
}
