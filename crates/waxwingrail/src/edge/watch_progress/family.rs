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
    /// Revision from which on this VM knows the changes: that of the list that it started from. The list may contain changes
    /// that the list of another VM lacks.
    pub(super) floor: Revision,
    /// Highest revision of a change that another VM has reported, and the time since which this VM has lacked one.
    pub(super) reported: (Revision, Millis),
    /// Highest floor that another VM has reported, and the time of this report or of the last probe after it.
    pub(super) reported_floor: (Revision, Millis),
    /// Time up to which a VM that knows the reported revision and the reported floor has all changes.
    reported_as_of: Option<Millis>,
    /// Time up to which this VM is known to have all changes, `None` if it never was.
    pub(super) confirmed_at: Option<Millis>,
    /// Whether the last call of `WatchProgress::take_age_changes` found the state too old.
    pub(super) is_outdated: bool,
    /// Start and mode of the running watch, `None` between two watches.
    pub(super) current_watch: Option<(Millis, WatchMode)>,
    /// Channel on which the running watch is interrupted.
    pub(super) interruptions: Sender<()>,
}

/// Queries.
impl FamilyProgress {
    /// Whether another VM has reported a change that this VM may not know.
    pub(super) fn is_behind(&self) -> bool {
        self.reported.0 > self.known_revision
    }

    /// Time up to which a VM that knows all reported changes has all changes, `None` before the first report.
    pub(super) fn reported_as_of(&self) -> Option<Millis> {
        self.reported_as_of
    }

    /// Whether another VM started from a list that may contain changes which this VM lacks.
    pub(super) fn is_below_floor(&self) -> bool {
        self.reported_floor.0 > self.known_revision
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
            floor: Revision::default(),
            reported: (Revision::default(), Millis::ZERO),
            reported_floor: (Revision::default(), Millis::ZERO),
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
        self.floor = Revision::default();
        self.reported = (Revision::default(), Millis::ZERO);
        self.reported_floor = (Revision::default(), Millis::ZERO);
        self.reported_as_of = None;
        self.confirmed_at = None;
        // A message that waits already interrupts the watch as well.
        let _ = self.interruptions.try_send(());
    }

    /// Records the start of a watch, and returns the highest revision or floor that has been reported. An answer of the latest
    /// state contains it.
    pub(super) fn watch_started(&mut self, now: Millis, mode: WatchMode) -> Revision {
        if mode == WatchMode::Probe {
            self.reported_floor.1 = now;
        }
        self.current_watch = Some((now, mode));
        self.reported.0.max(self.reported_floor.0)
    }

    /// Records a list that replaces all that was known. Changes up to its revision may be missing elsewhere.
    pub(super) fn record_new_list(&mut self, revision: Revision) {
        self.is_listed = true;
        self.floor = revision;
        self.known_revision = revision;
        self.last_change = Revision::default();
        self.confirm_by_report();
    }

    /// Records the revision up to which all changes are known.
    pub(super) fn record_known(&mut self, revision: Revision) {
        if !self.is_listed {
            self.is_listed = true;
            self.floor = revision;
        }
        self.known_revision = self.known_revision.max(revision);
        self.confirm_by_report();
    }

    /// Records that this VM has all changes up to a time.
    pub(super) fn confirm(&mut self, as_of: Millis) {
        self.confirmed_at = self.confirmed_at.max(Some(as_of));
    }

    /// Records the revision of the last change that another VM reports.
    pub(super) fn record_reported_change(&mut self, now: Millis, revision: Revision) {
        if revision > self.reported.0 {
            // The time counts from the first change that is missing, however often later ones are reported.
            let missing_since = if self.is_behind() {
                self.reported.1
            } else {
                now
            };
            self.reported = (revision, missing_since);
        }
    }

    /// Records the statement of another VM that it has all changes up to a time, and knows them from a floor on.
    pub(super) fn record_confirmation(&mut self, now: Millis, floor: Revision, as_of: Millis) {
        if floor > self.reported_floor.0 {
            self.reported_floor = (floor, now);
        }
        self.reported_as_of = self.reported_as_of.max(Some(as_of));
        self.confirm_by_report();
    }

    fn confirm_by_report(&mut self) {
        if self.is_listed
            && !self.is_behind()
            && !self.is_below_floor()
            && let Some(as_of) = self.reported_as_of
        {
            self.confirm(as_of);
        }
    }
}
