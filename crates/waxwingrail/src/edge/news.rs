//! How far each family of entries has been followed, here and elsewhere.
//!
//! One VM of each failure domain watches the newest state and tells the others of the region which
//! revisions it has reached. They watch an older state, which costs the store a tenth, and read the newest
//! one when the older state does not reach what they were told.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;

use async_channel::{Receiver, Sender};
use waxwing_store::{Family, Freshness};
use waxwing_types::{Millis, Revision, common_derives};

/// Time for which a process hears who else is there before it may be the one that reads the newest state.
/// Bounds count for a process that has run for 4 s.
const SETTLE: Millis = Millis(2500);
/// Time for which an older state may lack what others have seen. With the time for which the reader's
/// changes gather, 0.9 s, two ticks of 250 ms and a call it stays below the least bound, 2.5 s.
const LAG: Millis = Millis(400);

/// Time without a message of a reader after which a VM reads the newest state itself. Readers send one each
/// second while the store answers them, and datagrams may be lost.
const SILENCE: Millis = Millis(3500);

common_derives! {
    copy
    /// How a family is to be watched next.
    pub(crate) enum Mode {
        /// The newest state, as long as the history allows.
        Newest,
        /// An older state.
        Older,
        /// An older state for the time until the process knows the others.
        Settling(Millis),
        /// The newest state, whose changes others have seen.
        CatchUp,
    }
}

impl Mode {
    pub(crate) const fn freshness(self) -> Freshness {
        match self {
            Self::Newest | Self::CatchUp => Freshness::Latest,
            Self::Older | Self::Settling(_) => Freshness::Recent,
        }
    }
}

/// One family.
struct Followed {
    /// Revision up to which changes are known.
    reached: Revision,
    /// Revision of the last answer that brought changes.
    changed: Revision,
    /// Greatest revision that another VM has seen, and when it was told.
    told: (Revision, Millis),
    /// When the present watch began and what it reads, none between two watches.
    watch: Option<(Millis, Freshness)>,
    wake: Sender<()>,
}

impl Followed {
    fn is_behind(&self) -> bool {
        self.told.0 > self.reached
    }
}

/// All families.
pub(crate) struct News {
    started: Millis,
    /// When another VM last told what it has seen.
    heard: Millis,
    families: BTreeMap<Family, Followed>,
}

impl News {
    pub(crate) fn new(now: Millis) -> Self {
        Self {
            started: now,
            heard: now,
            families: BTreeMap::new(),
        }
    }

    /// Begins to follow a family. The receiver gets a message when its watch is to be given up.
    pub(crate) fn follow(&mut self, family: Family) -> Receiver<()> {
        let (wake, woken) = async_channel::bounded(1);
        let followed = Followed {
            reached: Revision::default(),
            changed: Revision::default(),
            told: (Revision::default(), Millis::ZERO),
            watch: None,
            wake,
        };
        self.families.insert(family, followed);
        woken
    }

    /// How the family is to be watched next, by a VM that is the reader or not.
    pub(crate) fn mode(&self, now: Millis, family: Family, reader: bool) -> Mode {
        let behind = self
            .families
            .get(&family)
            .is_some_and(|followed| followed.is_behind() && now.since(followed.told.1) >= LAG);
        let age = now.since(self.started);
        if behind {
            Mode::CatchUp
        } else if age < SETTLE {
            Mode::Settling(SETTLE - age)
        } else if self.reads_newest(now, reader) {
            Mode::Newest
        } else {
            Mode::Older
        }
    }

    /// Whether this VM cannot leave it to another one to read the newest state.
    fn reads_newest(&self, now: Millis, reader: bool) -> bool {
        reader || now.since(self.heard) >= SILENCE
    }

    /// A watch begins.
    pub(crate) fn began(&mut self, now: Millis, family: Family, mode: Mode) {
        if let Some(followed) = self.families.get_mut(&family) {
            followed.watch = Some((now, mode.freshness()));
        }
    }

    /// A watch ended or was given up.
    pub(crate) fn ended(&mut self, family: Family) {
        if let Some(followed) = self.families.get_mut(&family) {
            followed.watch = None;
        }
    }

    /// A watch or list reached a revision, and brought changes or not. Returns whether others are to be told.
    pub(crate) fn reached(&mut self, family: Family, revision: Revision, changed: bool) -> bool {
        let Some(followed) = self.families.get_mut(&family) else {
            return false;
        };
        followed.reached = followed.reached.max(revision);
        let newer = changed && revision > followed.changed;
        if newer {
            followed.changed = revision;
        }
        newer
    }

    /// The newest state was read: it holds all that others have told of.
    pub(crate) fn caught_up(&mut self, family: Family) {
        if let Some(followed) = self.families.get_mut(&family) {
            followed.reached = followed.reached.max(followed.told.0);
        }
    }

    /// Another VM has seen these revisions, in the order of the families.
    pub(crate) fn heard(&mut self, now: Millis, seen: &[Revision]) {
        self.heard = now;
        for (family, revision) in Family::ALL.iter().zip(seen) {
            if let Some(followed) = self.families.get_mut(family)
                && *revision > followed.told.0
            {
                followed.told = (*revision, now);
            }
        }
    }

    /// The revisions of the last changes, in the order of the families.
    pub(crate) fn seen(&self) -> Vec<Revision> {
        let changed = |family| {
            let followed = self.families.get(family);
            followed.map_or(Revision::default(), |followed| followed.changed)
        };
        Family::ALL.iter().map(changed).collect()
    }

    /// Gives up watches that lack what others have seen, and those of an older state of a VM that has
    /// become the reader or hears none. Returns the families.
    pub(crate) fn wake(&self, now: Millis, reader: bool) -> Vec<Family> {
        let settled = now.since(self.started) >= SETTLE;
        let mut woken = Vec::new();
        for (family, followed) in &self.families {
            let Some((since, freshness)) = followed.watch else {
                continue;
            };
            let late = now.since(since.max(followed.told.1)) >= LAG;
            let promoted =
                settled && self.reads_newest(now, reader) && freshness == Freshness::Recent;
            if ((followed.is_behind() && late) || promoted) && followed.wake.try_send(()).is_ok() {
                woken.push(*family);
            }
        }
        woken
    }
}
