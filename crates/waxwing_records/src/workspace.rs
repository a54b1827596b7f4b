//! The record of a workspace.

use waxwing_types::{DomainId, Millis, common_derives};

use crate::Findings;
use crate::check::{check_names, check_range};

/// Greatest rate in requests a second, and greatest burst in requests, of any limit.
pub(crate) const MAX_RATE: u64 = 10_000_000;
/// Greatest weight in fair queueing.
pub(crate) const MAX_WEIGHT: u32 = 1000;
/// Shortest time after which keys are refused for want of news. The age of the configuration
/// reaches this without any fault while a watch of the store is renewed.
pub(crate) const MIN_KEY_STALENESS: Millis = Millis::from_secs(1);
/// Longest time after which keys are refused for want of news.
pub(crate) const MAX_KEY_STALENESS: Millis = Millis::from_secs(7 * 24 * 3600);

common_derives! {
    /// A workspace: what its callers may spend together.
    pub struct Workspace {
        /// Requests a second over all VMs.
        pub rate: u64,
        /// Requests that may be admitted at once, over all VMs.
        pub burst: u64,
        /// Share in fair queueing relative to other workspaces.
        pub weight: u32,
        /// Failure domains over which rate and burst are divided. Empty: all.
        pub domains: Vec<DomainId>,
        /// Greatest age of the configuration at which the keys are accepted. `None`: any age.
        pub key_staleness: Option<Millis>,
    }
}

impl Workspace {
    pub(crate) fn check(&self, place: &str, out: &mut Findings) {
        check_range(&format!("{place}.rate"), 1, MAX_RATE, self.rate, out);
        check_range(&format!("{place}.burst"), 1, MAX_RATE, self.burst, out);
        let weight = u64::from(self.weight);
        check_range(
            &format!("{place}.weight"),
            1,
            MAX_WEIGHT.into(),
            weight,
            out,
        );
        check_names(&format!("{place}.domains"), &self.domains, out);
        if let Some(age) = self.key_staleness {
            let (least, most) = (MIN_KEY_STALENESS.0, MAX_KEY_STALENESS.0);
            check_range(
                &format!("{place}.key_staleness_ms"),
                least,
                most,
                age.0,
                out,
            );
        }
    }
}
