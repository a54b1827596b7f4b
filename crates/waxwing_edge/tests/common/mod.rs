//! Fixtures.

use waxwing_edge::{ColdRule, Place, TargetPool, Want};
use waxwing_records::{Registration, TargetState};
use waxwing_types::{Incarnation, Millis, RegionId, ServiceId};

/// Two regions `r1` and `r2` of two failure domains each.
pub(crate) fn pool() -> TargetPool {
    let domains = [("a", "r1"), ("b", "r1"), ("c", "r2"), ("d", "r2")];
    let place = Place {
        domain: "a".into(),
        region: "r1".into(),
        regions: domains
            .into_iter()
            .map(|(d, r)| (d.into(), r.into()))
            .collect(),
    };
    let mut pool = TargetPool::new("vm", place);
    let rule = ColdRule {
        rate: 10_000,
        time: Millis::from_secs(3),
    };
    pool.set_cold(&"s".into(), rule);
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
) -> Want<'a> {
    Want {
        service,
        object: Some(object),
        bulky: false,
        allowed,
        tried: &[],
        within: Millis(700),
        objective: Millis(400),
    }
}
