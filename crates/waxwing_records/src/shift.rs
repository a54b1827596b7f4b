//! The record of a planned shift of traffic from one region to another.

use waxwing_types::{Millis, RegionId, ServiceId, common_derives};

use crate::Findings;
use crate::check::{check_name, check_range};
use crate::workspace::MAX_RATE;

/// Longest time over which a shift grows to its share.
pub(crate) const MAX_RAMP: Millis = Millis::from_secs(24 * 3600);

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
    pub(crate) fn check(&self, place: &str, out: &mut Findings) {
        check_name(&format!("{place}.service"), self.service.as_str(), out);
        check_name(&format!("{place}.from"), self.from.as_str(), out);
        check_name(&format!("{place}.to"), self.to.as_str(), out);
        if self.from == self.to {
            out.add(
                format!("{place}.to"),
                "expected a region other than \"from\"",
            );
        }
        check_range(
            &format!("{place}.percent"),
            0,
            100,
            self.percent.into(),
            out,
        );
        check_range(
            &format!("{place}.cap_rate"),
            1,
            MAX_RATE,
            self.cap_rate,
            out,
        );
        check_range(
            &format!("{place}.cap_burst"),
            1,
            MAX_RATE,
            self.cap_burst,
            out,
        );
        check_range(&format!("{place}.ramp_ms"), 0, MAX_RAMP.0, self.ramp.0, out);
    }
}
