//! The record of a workspace.

use waxwing_types::{DomainId, Millis, common_derives};

use crate::Findings;

/// Greatest rate of a workspace, in requests a second.
pub(crate) const MAX_RATE: u64 = 10_000_000;
/// Greatest weight in fair queueing.
pub(crate) const MAX_WEIGHT: u32 = 1000;

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
    pub(crate) fn check(&self, place: &str, findings: &mut Findings) {
        if self.rate == 0 || self.rate > MAX_RATE {
            findings.add(
                format!("{place}.rate"),
                format!(
                    "expected 1 to {MAX_RATE} requests a second, got {}",
                    self.rate
                ),
            );
        }
        if self.burst == 0 || self.burst > MAX_RATE {
            findings.add(
                format!("{place}.burst"),
                format!("expected 1 to {MAX_RATE} requests, got {}", self.burst),
            );
        }
        if self.weight == 0 || self.weight > MAX_WEIGHT {
            findings.add(
                format!("{place}.weight"),
                format!("expected 1 to {MAX_WEIGHT}, got {}", self.weight),
            );
        }
    }
}
