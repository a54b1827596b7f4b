//! The record of a planned shift of traffic from one region to another.

use waxwing_types::{Millis, RegionId, ServiceId, common_derives};

use crate::Findings;

common_derives! {
    /// A planned shift. It is in force from the moment the record is.
    pub struct Shift {
        /// The service whose traffic moves.
        pub service: ServiceId,
        /// The region that the traffic leaves.
        pub from: RegionId,
        /// The region that the traffic enters.
        pub to: RegionId,
        /// Share of the traffic of `from` that moves, in percent.
        pub percent: u8,
        /// Cap on moved requests a second, over all VMs.
        pub cap_rate: u64,
        /// Cap on requests moved at once, over all VMs.
        pub cap_burst: u64,
        /// Time over which the share grows from zero, for caches that start cold.
        pub ramp: Millis,
    }
}

impl Shift {
    pub(crate) fn check(&self, place: &str, findings: &mut Findings) {
        if self.from == self.to {
            findings.add(
                format!("{place}.to"),
                "expected a region other than \"from\"",
            );
        }
        if self.percent > 100 {
            findings.add(
                format!("{place}.percent"),
                format!("expected 0 to 100, got {}", self.percent),
            );
        }
        if self.cap_rate == 0 || self.cap_burst == 0 {
            findings.add(
                format!("{place}.cap_rate"),
                "expected a cap rate and a cap burst of at least 1",
            );
        }
    }
}
