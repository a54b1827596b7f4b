//! Fixtures for the tests of what targets say of themselves.
#![allow(dead_code, reason = "each test file uses only some of the items")]

use waxwing_edge::{SelectedTarget, Selection, TargetNotice, TargetPool, Warmth};
use waxwing_records::Registration;
use waxwing_types::{Incarnation, Millis, ServiceId};

use super::common::{criteria, target};

/// Time at which most tests select targets.
pub(crate) const NOW: Millis = Millis(10_000);
pub(crate) const LEAVING: TargetNotice = TargetNotice {
    leaving: true,
    pause: None,
};

/// Selects a target for a request to service `s`. All regions are allowed.
pub(crate) fn select(pool: &mut TargetPool, now: Millis) -> Selection {
    let service = ServiceId::from("s");
    let criteria = criteria(&service, 1, &|_| true);
    pool.select(now, &criteria, &mut fastrand::Rng::with_seed(1))
}

/// A process as it was selected for a request.
pub(crate) fn selected(registration: &Registration) -> SelectedTarget {
    SelectedTarget {
        id: registration.id.clone(),
        incarnation: registration.incarnation,
        address: registration.address,
        region: "r1".into(),
        expected_wait: Millis::ZERO,
        warmth: Warmth::Warm,
        selected_at: Millis::ZERO,
    }
}

/// A registration of target `t1`.
pub(crate) fn process(incarnation: u64) -> Registration {
    Registration {
        incarnation: Incarnation(incarnation),
        ..target("t1", "a")
    }
}
