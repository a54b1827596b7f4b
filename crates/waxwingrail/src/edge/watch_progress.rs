//! The revision up to which this VM knows each family of registry entries, compared with other VMs.
//!
//! A family is one kind of entries, such as targets or VMs. In each failure domain one VM, the store reader,
//! watches the latest state of the store. The reader reports the revisions of changes to the other VMs of the
//! region, with the time up to which it has read all changes. These VMs watch a recent state, which may lag by some
//! seconds and costs the store a tenth. They read the latest state when the recent state lacks a reported revision, or when
//! nothing has confirmed for too long that they have all changes.

mod deployment;
mod family;
mod mode;
mod report;
#[cfg(test)]
mod tests;

use std::cmp::Ordering;
use std::collections::BTreeMap;

use async_channel::Receiver;
use waxwing_edge::READER_STARTUP_TIME;
use waxwing_store::{Family, Freshness};
use waxwing_types::{Millis, Revision, StoreEpoch};

use super::deployment::ReadCost;
use super::restore::AnswerEpoch;
use super::state_age::AgeLimits;
use family::FamilyProgress;
pub(crate) use mode::WatchMode;

/// Time for which a recent state may lack a revision that another VM reported.
pub(super) const MAX_LAG: Millis = Millis(400);
/// Time for which a recent state may lack a reported revision of the entries of VMs. No limit on the delay of changes
/// depends on these entries: heartbeats show which VMs are live. When a large fleet starts, recent states lag by 4 s and more.
const MAX_VMS_LAG: Millis = Millis::from_secs(8);

/// Time without a tick after which this VM counts as suspended meanwhile, and time after its resumption in which reports
/// confirm nothing: they may have waited in the socket.
const SUSPENSION_TIME: Millis = Millis(1000);
const RESUMPTION_TIME: Millis = Millis(250);
/// Time after a restore of the store for which this VM watches the latest state. A recent state may be that of before the
/// restore.
const RESTORE_TIME: Millis = Millis::from_secs(8);

/// Time for which a recent state of a family may lack a reported revision.
const fn max_lag(family: Family) -> Millis {
    match family {
        Family::Vms => MAX_VMS_LAG,
        Family::Deployment | Family::Targets | Family::Evacuations => MAX_LAG,
    }
}

/// The revisions of all families that this VM and other VMs know, and the watches that run.
pub(crate) struct WatchProgress {
    started_at: Millis,
    limits: AgeLimits,
    /// Time of the last tick, and end of the last suspension.
    last_tick: Millis,
    resumed_at: Option<Millis>,
    /// Highest epoch that an answer of the store has stated, `None` before the first one.
    epoch: Option<StoreEpoch>,
    /// Whether another VM has reported a higher epoch.
    is_later_epoch_reported: bool,
    /// Time at which this VM learned of the last restore of the store.
    restored_at: Option<Millis>,
    families: BTreeMap<Family, FamilyProgress>,
    /// What the last read of the deployment as a whole cost.
    deployment_read: ReadCost,
    /// Number of registered VMs.
    vms: u64,
}

impl WatchProgress {
    pub(crate) fn new(now: Millis, limits: AgeLimits) -> Self {
        Self {
            started_at: now,
            limits,
            last_tick: now,
            resumed_at: None,
            epoch: None,
            is_later_epoch_reported: false,
            restored_at: None,
            families: BTreeMap::new(),
            deployment_read: ReadCost::default(),
            vms: 0,
        }
    }

    /// Adds a family and returns the receiver of its interruptions: a message arrives when the running watch of
    /// the family must end.
    pub(crate) fn add_family(&mut self, family: Family) -> Receiver<()> {
        let (interruptions, receiver) = async_channel::bounded(1);
        let progress = FamilyProgress::new(self.epoch, interruptions);
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
        } else if self.is_unconfirmed(now, family) {
            WatchMode::CatchUp
        } else if family == Family::Deployment && now >= self.started_at + self.limits.startup {
            self.deployment_mode(now)
        } else if self.is_recent_state_void(now) {
            WatchMode::Restored
        } else if self.must_probe(now, family) {
            WatchMode::Probe
        } else {
            WatchMode::Recent
        }
    }

    /// Whether this VM must watch the latest state as the store reader. Not in the startup: a watch of a recent state that
    /// still waits at its end is interrupted then.
    fn must_watch_latest(&self, now: Millis, is_store_reader: bool) -> bool {
        is_store_reader && now.since(self.started_at) >= READER_STARTUP_TIME
    }

    /// Whether it is due to find out if a recent state has reached the list that another VM started from.
    fn must_probe(&self, now: Millis, family: Family) -> bool {
        self.families.get(&family).is_some_and(|progress| {
            progress.is_below_floor() && now.since(progress.reported_floor.1) >= MAX_LAG
        })
    }

    /// Whether neither the store nor a report has confirmed for too long that this VM has all changes of a family.
    fn is_unconfirmed(&self, now: Millis, family: Family) -> bool {
        now >= self.next_read(family, false)
    }

    /// Time at which the latest state of a family must be read next, unless it is confirmed before.
    pub(crate) fn next_read(&self, family: Family, is_store_reader: bool) -> Millis {
        let ages = self.limits.of(family);
        let (max_age, startup) = if is_store_reader {
            (ages.confirm, READER_STARTUP_TIME)
        } else {
            (ages.max, self.limits.startup.max(READER_STARTUP_TIME))
        };
        let progress = self.families.get(&family);
        let confirmed_at = progress.and_then(|progress| progress.confirmed_at);
        let due = confirmed_at.map_or(Millis::ZERO, |confirmed_at| confirmed_at + max_age);
        due.max(self.started_at + startup)
    }

    /// Records a tick. A long time without one shows that this VM was suspended.
    pub(crate) fn record_tick(&mut self, now: Millis) {
        if self.is_suspended(now) {
            self.resumed_at = Some(now);
        }
        self.last_tick = now;
    }

    fn is_suspended(&self, now: Millis) -> bool {
        now.since(self.last_tick) >= SUSPENSION_TIME
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
                    progress.void();
                }
                AnswerEpoch::Restored(known)
            }
        }
    }

    /// Records the first list of a family after a restore, with the epoch that the answer stated and the time up to which it
    /// holds all changes.
    pub(crate) fn record_restored_list(
        &mut self,
        family: Family,
        epoch: Option<StoreEpoch>,
        revision: Revision,
        as_of: Option<Millis>,
    ) {
        let current_epoch = self.epoch;
        if let Some(progress) = self.families.get_mut(&family) {
            progress.epoch = epoch.or(current_epoch);
            progress.record_new_list(revision);
            if let Some(as_of) = as_of {
                progress.confirm(as_of);
            }
        }
    }

    /// The revision up to which this VM knows all changes of a family.
    pub(crate) fn known_revision(&self, family: Family) -> Revision {
        let progress = self.families.get(&family);
        progress.map_or(Revision::default(), |progress| progress.known_revision)
    }

    /// Records the start of a watch. Returns the highest revision that other VMs have reported before, which the latest state
    /// contains.
    pub(crate) fn watch_started(
        &mut self,
        now: Millis,
        family: Family,
        mode: WatchMode,
    ) -> Revision {
        let progress = self.families.get_mut(&family);
        progress.map_or(Revision::default(), |p| p.watch_started(now, mode))
    }

    /// Records that a watch ended or was interrupted.
    pub(crate) fn watch_ended(&mut self, family: Family) {
        if let Some(progress) = self.families.get_mut(&family) {
            progress.current_watch = None;
        }
    }

    /// Records the revision of the response to a watch or list, the revision of the last change in it, `None` if it contained
    /// no changes, and the time up to which it holds all changes, `None` if it is of a recent state. Returns whether the
    /// changes are new and must be reported to other VMs.
    pub(crate) fn record_answer(
        &mut self,
        family: Family,
        revision: Revision,
        last_change: Option<Revision>,
        as_of: Option<Millis>,
    ) -> bool {
        let Some(progress) = self.families.get_mut(&family) else {
            return false;
        };
        progress.record_known(revision);
        if let Some(as_of) = as_of {
            progress.confirm(as_of);
        }
        match last_change {
            Some(last_change) if last_change > progress.last_change => {
                progress.last_change = last_change;
                true
            }
            Some(_) | None => false,
        }
    }

    /// Records that the latest state was read in the known epoch. This state contains all revisions that had been reported
    /// when its watch started, and the store has no later epoch.
    pub(crate) fn record_catch_up(&mut self, family: Family, reported: Revision) {
        self.is_later_epoch_reported = false;
        if let Some(progress) = self.families.get_mut(&family) {
            progress.record_known(reported);
        }
    }

    /// Time since which this VM is known to have all changes of a family, by an answer of the store with the latest state or by
    /// a report of a store reader; since the start of the process if it never was.
    pub(crate) fn state_age(&self, now: Millis, family: Family) -> Millis {
        let progress = self.families.get(&family);
        let confirmed_at = progress.and_then(|progress| progress.confirmed_at);
        now.since(confirmed_at.unwrap_or(self.started_at))
    }

    /// Whether the failure of a watch shows that the store cannot be reached now. A long watch may have met a silence of the
    /// store long ago. If a store reader has confirmed the state since, only that watch has failed.
    pub(crate) fn shows_outage(&self, now: Millis, family: Family, mode: WatchMode) -> bool {
        let is_long = matches!(mode, WatchMode::Recent | WatchMode::Restored);
        !is_long || self.state_age(now, family) >= self.limits.of(family).max
    }

    /// Returns the families whose state has become older than `max_age`, or younger again, since the last call, with
    /// whether it is too old now.
    pub(crate) fn take_age_changes(&mut self, now: Millis, max_age: Millis) -> Vec<(Family, bool)> {
        let mut age_changes = Vec::new();
        for (family, progress) in &mut self.families {
            let confirmed_at = progress.confirmed_at.unwrap_or(self.started_at);
            let is_outdated = now.since(confirmed_at) > max_age;
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

    /// Interrupts watches that have lacked a reported revision for too long, or all if a later epoch was reported. Also
    /// interrupts long watches if this VM must now read the latest state, and watches of a recent state after a restore.
    /// Returns the families of the interrupted watches.
    pub(crate) fn interrupt_outdated(&self, now: Millis, is_store_reader: bool) -> Vec<Family> {
        let mut interrupted_families = Vec::new();
        for (family, progress) in &self.families {
            let Some((watch_started_at, mode)) = progress.current_watch else {
                continue;
            };
            if !mode.waits() {
                continue;
            }
            // A recent state of the deployment is read within the time that a report may lack.
            let missing_since = match family {
                Family::Deployment => progress.reported.1,
                _ => watch_started_at.max(progress.reported.1),
            };
            let lag_exceeded = now.since(missing_since) >= max_lag(*family);
            let is_long = matches!(
                mode,
                WatchMode::Recent | WatchMode::Restored | WatchMode::Reported
            );
            let must_read_latest =
                self.must_watch_latest(now, is_store_reader) || self.is_unconfirmed(now, *family);
            let must_replace_recent = match mode {
                WatchMode::Recent => {
                    self.must_probe(now, *family) || self.is_recent_state_void(now)
                }
                WatchMode::Reported => self.must_probe(now, *family) || self.must_read_recent(now),
                _ => false,
            };
            let must_switch = is_long && must_read_latest || must_replace_recent;
            let must_end = progress.is_behind() && lag_exceeded || self.is_later_epoch_reported;
            if (must_end || must_switch) && progress.interruptions.try_send(()).is_ok() {
                interrupted_families.push(*family);
            }
        }
        interrupted_families
    }
}
