//! How a VM that is no store reader learns of changes of the deployment, whose record may be large.

use waxwing_store::Family;
use waxwing_types::Millis;

use super::super::deployment::ReadCost;
use super::family::FamilyProgress;
use super::{WatchMode, WatchProgress};

/// Time from a report of a change of the deployment in which a patch should arrive.
const PATCH_TIME: Millis = Millis(150);

impl WatchProgress {
    /// The mode of a VM that is no store reader, for the deployment. Each change of it returns the record as a whole, so that a
    /// watch at every VM would take its size for each change and each VM from the store.
    pub(super) fn deployment_mode(&self, now: Millis) -> WatchMode {
        let family = Family::Deployment;
        let max_age = self.limits.of(family).max;
        let progress = self.families.get(&family);
        let reported_as_of = progress.and_then(FamilyProgress::reported_as_of);
        if reported_as_of.is_none_or(|as_of| now >= as_of + max_age) {
            WatchMode::Latest
        } else if self.must_probe(now, family) {
            WatchMode::Probe
        } else if self.must_read_recent(now) {
            WatchMode::Recent
        } else {
            WatchMode::Reported
        }
    }

    /// Whether a VM that was not sent a change of the deployment looks for it in a recent state. Not if the record is large.
    pub(super) fn must_read_recent(&self, now: Millis) -> bool {
        let is_not_sent = self
            .families
            .get(&Family::Deployment)
            .is_some_and(|p| p.is_behind() && now.since(p.reported.1) >= PATCH_TIME);
        is_not_sent && self.allows_recent_read() && !self.is_recent_state_void(now)
    }

    /// Whether the record of the deployment is so small that VMs may read a recent state of it in vain.
    pub(crate) fn allows_recent_read(&self) -> bool {
        self.deployment_read.allows_recent_read(self.vms)
    }

    /// Records the number of registered VMs.
    pub(crate) fn record_vms(&mut self, vms: u64) {
        self.vms = vms;
    }

    /// Records what a read of the deployment as a whole cost.
    pub(crate) fn record_deployment_read(&mut self, read: ReadCost) {
        self.deployment_read = read;
    }

    /// Records the size of a version of the deployment that a watch or the first list returned.
    pub(crate) fn record_deployment_size(&mut self, bytes: u64) {
        self.deployment_read.bytes = bytes;
    }

    /// What the last read of the deployment as a whole cost, nothing before the first one.
    pub(crate) fn deployment_read(&self) -> ReadCost {
        self.deployment_read
    }
}
