//! What this VM knows of one family of registry entries, and what other VMs have reported of it.

use async_channel::Sender;
use waxwing_types::{Millis, Revision, StoreEpoch};

use super::WatchMode;

/// The revisions of one family that this VM and other VMs know, and as of when.
pub(super) struct FamilyProgress {
    /// Epoch of the store in which the family was listed. In another epoch, the revisions are void.
    pub(super) epoch: Option<StoreEpoch>,
    /// Whether the family was listed in this epoch.
    pub(super) is_listed: bool,
    /// Revision up to which this VM knows all changes.
    pub(super) known_revision: Revision,
    /// Revision of the last change of the family that this VM has read.
    pub(super) last_change: Revision,
    /// Highest revision of a change that another VM has reported, and the time of this report.
    pub(super) reported: (Revision, Millis),
    /// Time up to which a VM that knows the reported revision has all changes.
    reported_as_of: Option<Millis>,
    /// Time up to which this VM is known to have all changes, `None` if it never was.
    pub(super) confirmed_at: Option<Millis>,
    /// Whether the last call of `WatchProgress::take_age_changes` found the state too old.
    pub(super) is_outdated: bool,
    /// The running watch, `None` between two watches.
    pub(super) current_watch: Option<RunningWatch>,
    /// Channel on which the running watch is interrupted.
    pub(super) interruptions: Sender<()>,
}

/// A call to the store that waits for changes.
#[derive(Clone, Copy)]
pub(super) struct RunningWatch {
    pub(super) started_at: Millis,
    pub(super) mode: WatchMode,
    /// Highest revision that had been reported at its start. An answer of the latest state contains it.
    reported: Revision,
}

/// Queries.
impl FamilyProgress {
    /// Whether another VM has reported a change that this VM may not know.
    pub(super) fn is_behind(&self) -> bool {
        self.reported.0 > self.known_revision
    }
}

/// Commands.
impl FamilyProgress {
    pub(super) fn new(epoch: Option<StoreEpoch>, interruptions: Sender<()>) -> Self {
        Self {
            epoch,
            is_listed: false,
            known_revision: Revision::default(),
            last_change: Revision::default(),
            reported: (Revision::default(), Millis::ZERO),
            reported_as_of: None,
            confirmed_at: None,
            is_outdated: false,
            current_watch: None,
            interruptions,
        }
    }

    /// Forgets all revisions, which a restore of the store has made void, and interrupts the running watch.
    pub(super) fn void(&mut self) {
        self.is_listed = false;
        self.known_revision = Revision::default();
        self.last_change = Revision::default();
        self.reported = (Revision::default(), Millis::ZERO);
        self.reported_as_of = None;
        self.confirmed_at = None;
        // A message that waits already interrupts the watch as well.
        let _ = self.interruptions.try_send(());
    }

    pub(super) fn watch_started(&mut self, now: Millis, mode: WatchMode) {
        self.current_watch = Some(RunningWatch {
            started_at: now,
            mode,
            reported: self.reported.0,
        });
    }

    /// Records the revision up to which all changes are known.
    pub(super) fn record_known(&mut self, revision: Revision) {
        self.is_listed = true;
        self.known_revision = self.known_revision.max(revision);
        self.confirm_by_report();
    }

    /// Records that the running watch, which has read the latest state, has ended: this state contains all revisions that had
    /// been reported at its start.
    pub(super) fn record_catch_up(&mut self) {
        if let Some(watch) = self.current_watch {
            self.record_known(watch.reported);
        }
    }

    /// Records that this VM has all changes up to a time.
    pub(super) fn confirm(&mut self, as_of: Millis) {
        self.confirmed_at = self.confirmed_at.max(Some(as_of));
    }

    /// Records a report: the revision of the last change, and the time up to which a VM that knows it has all changes.
    pub(super) fn record_report(&mut self, now: Millis, revision: Revision, as_of: Option<Millis>) {
        if revision > self.reported.0 {
            self.reported = (revision, now);
        }
        self.reported_as_of = self.reported_as_of.max(as_of);
        self.confirm_by_report();
    }

    fn confirm_by_report(&mut self) {
        if self.is_listed
            && !self.is_behind()
            && let Some(as_of) = self.reported_as_of
        {
            self.confirm(as_of);
        }
    }
}
