//! Reports between VMs: what the sender knows of the registry, and as of when.

use waxwing_edge::StateReport;
use waxwing_store::Family;
use waxwing_types::{Millis, Revision, StoreEpoch};

use super::family::FamilyProgress;
use super::{RESUMPTION_TIME, WatchProgress};

impl WatchProgress {
    /// What this VM reports to other VMs: nothing of a family that it has not listed in this epoch.
    pub(crate) fn report(&self, now: Millis) -> StateReport {
        let families = || {
            let progress = |family| self.families.get(family);
            let is_listed = |progress: &&FamilyProgress| progress.epoch == self.epoch;
            Family::ALL
                .iter()
                .map(move |family| progress(family).filter(is_listed))
        };
        let age = |progress: &FamilyProgress| progress.confirmed_at.map(|at| now.since(at));
        StateReport {
            epoch: self.epoch,
            revisions: families()
                .map(|progress| progress.map_or(Revision::default(), |p| p.last_change))
                .collect(),
            floors: families()
                .map(|progress| progress.map_or(Revision::default(), |p| p.floor))
                .collect(),
            ages: families().map(|progress| progress.and_then(age)).collect(),
        }
    }

    /// The epoch, and the revision of the last change of the deployment that this VM has read in it. `None` if the deployment
    /// was not listed in this epoch.
    pub(crate) fn listed_deployment(&self) -> Option<(Option<StoreEpoch>, Revision)> {
        let progress = self.families.get(&Family::Deployment)?;
        let is_listed = progress.is_listed && progress.epoch == self.epoch;
        is_listed.then_some((self.epoch, progress.last_change))
    }

    /// Records that this VM has the deployment as of a change that another VM has read.
    pub(crate) fn record_patch(&mut self, epoch: Option<StoreEpoch>, revision: Revision) {
        let is_current = self
            .listed_deployment()
            .is_some_and(|(known, _)| known == epoch);
        if let (true, Some(progress)) = (is_current, self.families.get_mut(&Family::Deployment)) {
            // Reports of this VM have to name the change too: they confirm the state of VMs that lost the patch.
            progress.last_change = progress.last_change.max(revision);
            progress.record_known(revision);
        }
    }

    /// Records a report of another VM. Revisions of another epoch cannot be compared. A report that does not state from
    /// which revision and as of when its sender knows the changes confirms nothing.
    pub(crate) fn record_report(&mut self, now: Millis, report: &StateReport) {
        if report.epoch != self.epoch {
            self.is_later_epoch_reported |= self.epoch.is_some() && report.epoch > self.epoch;
            return;
        }
        let may_be_old = self.is_suspended(now)
            || self
                .resumed_at
                .is_some_and(|resumed_at| now.since(resumed_at) < RESUMPTION_TIME);
        for (i, (family, revision)) in Family::ALL.iter().zip(&report.revisions).enumerate() {
            let Some(progress) = self.families.get_mut(family) else {
                continue;
            };
            if progress.epoch != report.epoch {
                continue;
            }
            progress.record_reported_change(now, *revision);
            let age = report.ages.get(i).copied().flatten();
            if let (Some(floor), Some(age), false) = (report.floors.get(i), age, may_be_old) {
                progress.record_confirmation(now, *floor, now - age);
            }
        }
    }
}
