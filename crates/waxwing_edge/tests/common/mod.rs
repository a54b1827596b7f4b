//! Fixtures.

use waxwing_edge::{ColdStartLimit, TargetCriteria, TargetPool, VmLocation};
use waxwing_records::{Registration, TargetState};
use waxwing_types::{Incarnation, Millis, RegionId, ServiceId};

/// Two regions `r1` and `r2` of two failure domains each.
pub(crate) fn pool() -> TargetPool {
    let domains = [("a", "r1"), ("b", "r1"), ("c", "r2"), ("d", "r2")];
    let place = VmLocation {
        domain: "a".into(),
        region: "r1".into(),
        domain_regions: domains
            .into_iter()
            .map(|(d, r)| (d.into(), r.into()))
            .collect(),
    };
    let mut pool = TargetPool::new("vm", place);
    let rule = ColdStartLimit {
        rate: 10_000,
        duration: Millis::from_secs(3),
    };
    pool.set_cold_start_limit(&"s".into(), rule);
    pool
}

/// A target of service `s` with four slots.
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

/// What a request about an object wants.
pub(crate) fn want<'a>(
    service: &'a ServiceId,
    object: u64,
    allowed: &'a dyn Fn(&RegionId) -> bool,
) -> TargetCriteria<'a> {
    TargetCriteria {
        service,
        affinity_hash: Some(object),
        large_body: false,
        region_allowed: allowed,
        tried: &[],
        time_left: Millis(700),
        latency_objective: Millis(400),
    }
}
