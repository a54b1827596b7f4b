//! How far this VM has followed each family of entries, compared with other VMs.
//!
//! In each failure domain one VM, the reader, watches the latest state of the store and reports the
//! revisions of changes to the other VMs of the region. These watch a recent state, which may lag and costs
//! the store a tenth, and read the latest state when the recent one lacks a reported revision.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;

use async_channel::{Receiver, Sender};
use waxwing_store::{Family, Freshness};
use waxwing_types::{Millis, Revision, common_derives};

/// Time after startup in which a VM learns of the other VMs before it may become the reader. The limits on
/// the delay of changes apply only to processes that have run for 4 s.
const STARTUP_TIME: Millis = Millis(2500);
/// Time for which a recent state may lack a revision that another VM reported. Together with the reader's
/// batch time of 0.9 s, two ticks of 250 ms and one call to the store, it stays below the shortest limit on
/// the delay of changes, 2.5 s.
const MAX_LAG: Millis = Millis(400);

/// Time without a report from a reader after which a VM watches the latest state itself. Readers send a
/// report every second while the store answers them, and datagrams may be lost.
const READER_TIMEOUT: Millis = Millis(3500);

common_derives! {
    copy
    /// Which state of the store the next watch of a family reads, and for how long it waits.
    pub(crate) enum WatchMode {
        /// The latest state, for as long as the history of the store allows.
        Latest,
        /// A recent state, for as long as the history of the store allows.
        Recent,
        /// A recent state, until [`STARTUP_TIME`] has passed.
        Starting(Millis),
        /// The latest state, without waiting, to fetch changes that other VMs have reported.
        CatchUp,
    }
}

impl WatchMode {
    pub(crate) const fn freshness(self) -> Freshness {
        match self {
            Self::Latest | Self::CatchUp => Freshness::Latest,
            Self::Recent | Self::Starting(_) => Freshness::Recent,
        }
    }
}

/// How far one family has been followed.
struct FamilyProgress {
    /// Revision up to which this VM knows all changes.
    known: Revision,
    /// Revision of the last response of the store that contained changes.
    last_change: Revision,
    /// Highest revision that another VM has reported, and when it did.
    reported: (Revision, Millis),
    /// Start and freshness of the running watch, `None` between two watches.
    current_watch: Option<(Millis, Freshness)>,
    /// Interrupts the running watch.
    interrupt: Sender<()>,
}

impl FamilyProgress {
    fn is_behind(&self) -> bool {
        self.reported.0 > self.known
    }
}

/// How far this VM has followed all families.
pub(crate) struct WatchProgress {
    started: Millis,
    /// When another VM last sent a report.
    last_report: Millis,
    families: BTreeMap<Family, FamilyProgress>,
}

impl WatchProgress {
    pub(crate) fn new(now: Millis) -> Self {
        Self {
            started: now,
            last_report: now,
            families: BTreeMap::new(),
        }
    }

    /// Adds a family. The returned receiver gets a message when the running watch must be interrupted.
    pub(crate) fn add_family(&mut self, family: Family) -> Receiver<()> {
        let (interrupt, interrupted) = async_channel::bounded(1);
        let progress = FamilyProgress {
            known: Revision::default(),
            last_change: Revision::default(),
            reported: (Revision::default(), Millis::ZERO),
            current_watch: None,
            interrupt,
        };
        self.families.insert(family, progress);
        interrupted
    }

    /// The mode of the next watch of a family.
    pub(crate) fn next_mode(&self, now: Millis, family: Family, is_reader: bool) -> WatchMode {
        let must_catch_up = self.families.get(&family).is_some_and(|progress| {
            progress.is_behind() && now.since(progress.reported.1) >= MAX_LAG
        });
        let age = now.since(self.started);
        if must_catch_up {
            WatchMode::CatchUp
        } else if age < STARTUP_TIME {
            WatchMode::Starting(STARTUP_TIME - age)
        } else if self.must_watch_latest(now, is_reader) {
            WatchMode::Latest
        } else {
            WatchMode::Recent
        }
    }

    /// Whether this VM must watch the latest state, as the reader or because no reader sends reports.
    fn must_watch_latest(&self, now: Millis, is_reader: bool) -> bool {
        is_reader || now.since(self.last_report) >= READER_TIMEOUT
    }

    /// Records the start of a watch.
    pub(crate) fn watch_started(&mut self, now: Millis, family: Family, mode: WatchMode) {
        if let Some(progress) = self.families.get_mut(&family) {
            progress.current_watch = Some((now, mode.freshness()));
        }
    }

    /// Records that a watch ended or was interrupted.
    pub(crate) fn watch_ended(&mut self, family: Family) {
        if let Some(progress) = self.families.get_mut(&family) {
            progress.current_watch = None;
        }
    }

    /// Records the revision that a watch or list reached, and whether it brought changes. Returns whether
    /// there is a new change to report to other VMs.
    pub(crate) fn record_revision(
        &mut self,
        family: Family,
        revision: Revision,
        changed: bool,
    ) -> bool {
        let Some(progress) = self.families.get_mut(&family) else {
            return false;
        };
        progress.known = progress.known.max(revision);
        let is_new = changed && revision > progress.last_change;
        if is_new {
            progress.last_change = revision;
        }
        is_new
    }

    /// Records that the latest state was read, which contains all reported revisions.
    pub(crate) fn record_catch_up(&mut self, family: Family) {
        if let Some(progress) = self.families.get_mut(&family) {
            progress.known = progress.known.max(progress.reported.0);
        }
    }

    /// Records the last changes that another VM reports, in the order of [`Family::ALL`].
    pub(crate) fn record_report(&mut self, now: Millis, revisions: &[Revision]) {
        self.last_report = now;
        for (family, revision) in Family::ALL.iter().zip(revisions) {
            if let Some(progress) = self.families.get_mut(family)
                && *revision > progress.reported.0
            {
                progress.reported = (*revision, now);
            }
        }
    }

    /// The revisions of the last changes that this VM knows, in the order of [`Family::ALL`].
    pub(crate) fn last_changes(&self) -> Vec<Revision> {
        let last_change = |family| {
            let progress = self.families.get(family);
            progress.map_or(Revision::default(), |progress| progress.last_change)
        };
        Family::ALL.iter().map(last_change).collect()
    }

    /// Interrupts watches that have lacked a reported revision for [`MAX_LAG`], and watches of a recent state
    /// if this VM must now watch the latest one. Returns the families.
    pub(crate) fn interrupt_outdated(&self, now: Millis, is_reader: bool) -> Vec<Family> {
        let startup_over = now.since(self.started) >= STARTUP_TIME;
        let mut interrupted = Vec::new();
        for (family, progress) in &self.families {
            let Some((started, freshness)) = progress.current_watch else {
                continue;
            };
            let lag_exceeded = now.since(started.max(progress.reported.1)) >= MAX_LAG;
            let must_switch = startup_over
                && self.must_watch_latest(now, is_reader)
                && freshness == Freshness::Recent;
            if ((progress.is_behind() && lag_exceeded) || must_switch)
                && progress.interrupt.try_send(()).is_ok()
            {
                interrupted.push(*family);
            }
        }
        interrupted
    }
}
