//! The revision up to which this VM knows each family of registry entries, compared with other VMs.
//!
//! A family is one kind of entries, such as targets or VMs. In each failure domain one VM, the store reader,
//! watches the latest state of the store. The reader reports the revisions of changes to the other VMs of the
//! region. These VMs watch a recent state, which may lag by some seconds and costs the store a tenth. They read
//! the latest state when the recent state lacks a reported revision.

#[cfg(test)]
mod tests;

use std::cmp::Ordering;
use std::collections::BTreeMap;

use async_channel::{Receiver, Sender};
use waxwing_store::{Family, Freshness};
use waxwing_types::{Millis, Revision, StoreEpoch, common_derives};

use super::restore::AnswerEpoch;

/// Time after startup in which a VM learns of the other VMs and does not act as the store reader yet. The limits
/// on the delay of changes, `max_apply_delay` and `max_drain_delay`, apply only to processes that have run for
/// 4 s.
const STARTUP_TIME: Millis = Millis(2500);
/// Time for which a recent state may lack a revision that another VM reported. The shortest limit on the delay of
/// changes is 2.5 s, which must cover the sum of four times: the time for which the reader batches changes of
/// targets (0.9 s), this constant, two periods (250 ms each) of the check for outdated watches, and one call to the
/// store.
pub(super) const MAX_LAG: Millis = Millis(400);
/// Time for which a recent state may lack a reported revision of the entries of VMs. No limit on the delay of changes
/// depends on these entries: heartbeats show which VMs are live. When a large fleet starts, recent states lag by 4 s and more.
const MAX_VMS_LAG: Millis = Millis::from_secs(8);

/// Time without a report from a store reader after which a VM watches the latest state itself. A reader sends a
/// report every second while its calls to the store succeed. Reports are datagrams, which may be lost.
const READER_TIMEOUT: Millis = Millis(3500);
/// Time after a restore of the store for which this VM watches the latest state. A recent state may be that of before the
/// restore.
const RESTORE_TIME: Millis = Millis::from_secs(8);

common_derives! {
    copy
    /// Which state of the store the next watch of a family reads, and for how long it waits.
    pub(crate) enum WatchMode {
        /// The latest state, for as long as a silence of the store may last unnoticed.
        Latest,
        /// The latest state, for as long as the history of the store allows: after a restore, when a recent state may be that
        /// of before.
        Restored,
        /// A recent state, for as long as the history of the store allows.
        Recent,
        /// The latest state, without waiting, to fetch changes that other VMs have reported.
        CatchUp,
    }
}

/// Time for which a recent state of a family may lack a reported revision.
const fn max_lag(family: Family) -> Millis {
    match family {
        Family::Vms => MAX_VMS_LAG,
        Family::Deployment | Family::Targets | Family::Evacuations => MAX_LAG,
    }
}

impl WatchMode {
    pub(crate) const fn freshness(self) -> Freshness {
        match self {
            Self::Latest | Self::Restored | Self::CatchUp => Freshness::Latest,
            Self::Recent => Freshness::Recent,
        }
    }
}

/// The revisions of one family that this VM and other VMs know.
struct FamilyProgress {
    /// Epoch of the store in which the family was listed. In another epoch, the revisions are void.
    epoch: Option<StoreEpoch>,
    /// Revision up to which this VM knows all changes.
    known_revision: Revision,
    /// Revision of the last change of the family that this VM has read.
    last_change: Revision,
    /// Highest revision of a change that another VM has reported, and the time of this report.
    reported: (Revision, Millis),
    /// Last time at which this VM was known to have all changes.
    confirmed_at: Millis,
    /// Whether the last call of [`WatchProgress::take_age_changes`] found the state too old.
    is_outdated: bool,
    /// Start and mode of the running watch, `None` between two watches.
    current_watch: Option<(Millis, WatchMode)>,
    /// Channel on which the running watch is interrupted.
    interruptions: Sender<()>,
}

impl FamilyProgress {
    fn is_behind(&self) -> bool {
        self.reported.0 > self.known_revision
    }
}

/// The revisions of all families that this VM and other VMs know, and the watches that run.
pub(crate) struct WatchProgress {
    started_at: Millis,
    /// Time of the last report of another VM.
    last_report_at: Millis,
    /// Highest epoch that an answer of the store has stated, `None` before the first one.
    epoch: Option<StoreEpoch>,
    /// Whether another VM has reported a higher epoch.
    is_later_epoch_reported: bool,
    /// Time at which this VM learned of the last restore of the store.
    restored_at: Option<Millis>,
    families: BTreeMap<Family, FamilyProgress>,
}

impl WatchProgress {
    pub(crate) fn new(now: Millis) -> Self {
        Self {
            started_at: now,
            last_report_at: now,
            epoch: None,
            is_later_epoch_reported: false,
            restored_at: None,
            families: BTreeMap::new(),
        }
    }

    /// Adds a family and returns the receiver of its interruptions: a message arrives when the running watch of
    /// the family must end.
    pub(crate) fn add_family(&mut self, family: Family) -> Receiver<()> {
        let (interruptions, receiver) = async_channel::bounded(1);
        let progress = FamilyProgress {
            epoch: self.epoch,
            known_revision: Revision::default(),
            last_change: Revision::default(),
            reported: (Revision::default(), Millis::ZERO),
            confirmed_at: self.started_at,
            is_outdated: false,
            current_watch: None,
            interruptions,
        };
        self.families.insert(family, progress);
        receiver
    }

    /// The mode of the next watch of a family.
    pub(crate) fn next_mode(
        &self,
        now: Millis,
        family: Family,
        is_store_reader: bool,
    ) -> WatchMode {
        let must_catch_up = self.families.get(&family).is_some_and(|progress| {
            progress.is_behind() && now.since(progress.reported.1) >= max_lag(family)
        });
        if must_catch_up || self.is_later_epoch_reported {
            WatchMode::CatchUp
        } else if self.must_watch_latest(now, is_store_reader) {
            WatchMode::Latest
        } else if self.is_recent_state_void(now) {
            WatchMode::Restored
        } else {
            WatchMode::Recent
        }
    }

    /// Whether this VM must watch the latest state, either as the store reader or because no reader sends
    /// reports. Not in the startup: a watch of a recent state that still waits at its end is interrupted then.
    fn must_watch_latest(&self, now: Millis, is_store_reader: bool) -> bool {
        let startup_ended = now.since(self.started_at) >= STARTUP_TIME;
        startup_ended && (is_store_reader || now.since(self.last_report_at) >= READER_TIMEOUT)
    }

    /// Whether a recent state may still be that of before a restore of the store.
    fn is_recent_state_void(&self, now: Millis) -> bool {
        self.restored_at
            .is_some_and(|restored_at| now.since(restored_at) < RESTORE_TIME)
    }

    /// How new an answer has to be for which a recent state is enough.
    pub(crate) fn recent_freshness(&self, now: Millis) -> Freshness {
        if self.is_recent_state_void(now) {
            Freshness::Latest
        } else {
            Freshness::Recent
        }
    }

    /// Whether the store was restored since the family was listed, so that it must be listed again.
    pub(crate) fn must_list(&self, family: Family) -> bool {
        let progress = self.families.get(&family);
        progress.is_some_and(|progress| progress.epoch != self.epoch)
    }

    /// Highest epoch that an answer of the store has stated, `None` before the first one.
    pub(crate) fn epoch(&self) -> Option<StoreEpoch> {
        self.epoch
    }

    /// Records the epoch that an answer of the store states. After a restore, all revisions are void, and all running watches
    /// are interrupted.
    pub(crate) fn record_epoch(&mut self, now: Millis, stated: Option<StoreEpoch>) -> AnswerEpoch {
        let Some(stated) = stated else {
            return AnswerEpoch::Current;
        };
        let Some(known) = self.epoch else {
            self.epoch = Some(stated);
            for progress in self.families.values_mut() {
                progress.epoch = Some(stated);
            }
            return AnswerEpoch::Current;
        };
        match stated.cmp(&known) {
            Ordering::Less => AnswerEpoch::Earlier,
            Ordering::Equal => AnswerEpoch::Current,
            Ordering::Greater => {
                self.epoch = Some(stated);
                self.is_later_epoch_reported = false;
                self.restored_at = Some(now);
                for progress in self.families.values_mut() {
                    progress.known_revision = Revision::default();
                    progress.last_change = Revision::default();
                    progress.reported = (Revision::default(), Millis::ZERO);
                    // A message that waits already interrupts the watch as well.
                    let _ = progress.interruptions.try_send(());
                }
                AnswerEpoch::Restored(known)
            }
        }
    }

    /// Records the first list of a family after a restore, with the epoch that the answer stated.
    pub(crate) fn record_restored_list(
        &mut self,
        family: Family,
        epoch: Option<StoreEpoch>,
        revision: Revision,
    ) {
        let current_epoch = self.epoch;
        if let Some(progress) = self.families.get_mut(&family) {
            progress.epoch = epoch.or(current_epoch);
            progress.known_revision = revision;
            progress.last_change = Revision::default();
        }
    }

    /// Records the start of a watch.
    pub(crate) fn watch_started(&mut self, now: Millis, family: Family, mode: WatchMode) {
        if let Some(progress) = self.families.get_mut(&family) {
            progress.current_watch = Some((now, mode));
        }
    }

    /// Records that a watch ended or was interrupted.
    pub(crate) fn watch_ended(&mut self, family: Family) {
        if let Some(progress) = self.families.get_mut(&family) {
            progress.current_watch = None;
        }
    }

    /// Records the revision of the response to a watch or list, and the revision of the last change in it; `None` if it
    /// contained no changes. Returns whether the changes are new and must be reported to other VMs.
    pub(crate) fn record_and_check_new_change(
        &mut self,
        family: Family,
        revision: Revision,
        last_change: Option<Revision>,
    ) -> bool {
        let Some(progress) = self.families.get_mut(&family) else {
            return false;
        };
        progress.known_revision = progress.known_revision.max(revision);
        match last_change {
            Some(last_change) if last_change > progress.last_change => {
                progress.last_change = last_change;
                true
            }
            Some(_) | None => false,
        }
    }

    /// Records that the latest state was read in the known epoch. This state contains all reported revisions, and the store has
    /// no later epoch.
    pub(crate) fn record_catch_up(&mut self, family: Family) {
        self.is_later_epoch_reported = false;
        if let Some(progress) = self.families.get_mut(&family) {
            progress.known_revision = progress.known_revision.max(progress.reported.0);
        }
    }

    /// Records that the store has answered with the latest state of a family.
    pub(crate) fn record_latest_state(&mut self, now: Millis, family: Family) {
        if let Some(progress) = self.families.get_mut(&family) {
            progress.confirmed_at = now;
        }
    }

    /// Records a report of another VM: the revision of the last change of each family, in the order of
    /// [`Family::ALL`], and the epoch in which they hold. Revisions of another epoch cannot be compared.
    pub(crate) fn record_report(
        &mut self,
        now: Millis,
        epoch: Option<StoreEpoch>,
        revisions: &[Revision],
    ) {
        if epoch != self.epoch {
            self.is_later_epoch_reported |= self.epoch.is_some() && epoch > self.epoch;
            return;
        }
        self.last_report_at = now;
        for (family, revision) in Family::ALL.iter().zip(revisions) {
            let Some(progress) = self.families.get_mut(family) else {
                continue;
            };
            if *revision > progress.reported.0 {
                progress.reported = (*revision, now);
            }
            let is_listed = progress.epoch == epoch;
            if is_listed && !progress.is_behind() {
                progress.confirmed_at = now;
            }
        }
    }

    /// Time since this VM was last known to have all changes of a family: by an answer of the store with the latest
    /// state, or by a report of a store reader, which is older than the report by up to one watch of the reader.
    pub(crate) fn state_age(&self, now: Millis, family: Family) -> Millis {
        let progress = self.families.get(&family);
        progress.map_or(Millis::ZERO, |progress| now.since(progress.confirmed_at))
    }

    /// Whether the failure of a watch shows that the store cannot be reached now. A long watch may have met a silence of the
    /// store long ago. If a store reader has confirmed the state since, only that watch has failed.
    pub(crate) fn shows_outage(&self, now: Millis, family: Family, mode: WatchMode) -> bool {
        let is_long = matches!(mode, WatchMode::Recent | WatchMode::Restored);
        !is_long || self.state_age(now, family) >= READER_TIMEOUT
    }

    /// Returns the families whose state has become older than `max_age`, or younger again, since the last call, with
    /// whether it is too old now.
    pub(crate) fn take_age_changes(&mut self, now: Millis, max_age: Millis) -> Vec<(Family, bool)> {
        let mut age_changes = Vec::new();
        for (family, progress) in &mut self.families {
            let is_outdated = now.since(progress.confirmed_at) > max_age;
            if std::mem::replace(&mut progress.is_outdated, is_outdated) != is_outdated {
                age_changes.push((*family, is_outdated));
            }
        }
        age_changes
    }

    /// Time for which the running watch of a family has waited, zero between two watches.
    pub(crate) fn watch_age(&self, now: Millis, family: Family) -> Millis {
        let progress = self.families.get(&family);
        let watch = progress.and_then(|progress| progress.current_watch);
        watch.map_or(Millis::ZERO, |(started_at, _)| now.since(started_at))
    }

    /// The revision of the last change of each family that this VM knows, in the order of [`Family::ALL`].
    pub(crate) fn last_change_revisions(&self) -> Vec<Revision> {
        let last_change_revision = |family| {
            let progress = self.families.get(family);
            progress.map_or(Revision::default(), |progress| progress.last_change)
        };
        Family::ALL.iter().map(last_change_revision).collect()
    }

    /// Interrupts watches that have lacked a reported revision for too long, or all if a later epoch was reported. Also
    /// interrupts long watches if this VM must now poll the latest state, and watches of a recent state after a restore.
    /// Returns the families of the interrupted watches.
    pub(crate) fn interrupt_outdated(&self, now: Millis, is_store_reader: bool) -> Vec<Family> {
        let mut interrupted_families = Vec::new();
        for (family, progress) in &self.families {
            let Some((watch_started_at, mode)) = progress.current_watch else {
                continue;
            };
            let lag_exceeded =
                now.since(watch_started_at.max(progress.reported.1)) >= max_lag(*family);
            let is_long = matches!(mode, WatchMode::Recent | WatchMode::Restored);
            let must_switch = is_long && self.must_watch_latest(now, is_store_reader)
                || mode == WatchMode::Recent && self.is_recent_state_void(now);
            let must_end = progress.is_behind() && lag_exceeded || self.is_later_epoch_reported;
            if (must_end || must_switch) && progress.interruptions.try_send(()).is_ok() {
                interrupted_families.push(*family);
            }
        }
        interrupted_families
    }
}
