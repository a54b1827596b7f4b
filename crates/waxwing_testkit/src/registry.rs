//! The registry double in process.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use async_io::Timer;
use smol_str::SmolStr;
use waxwing_records::VmEntry;
use waxwing_store::{
    Change, Entry, Family, Freshness, ListOutcome, Pending, Registry, WatchOutcome, WriteOutcome,
};
use waxwing_types::{Millis, Revision};

/// Pause between two looks of a waiting watch.
const LOOK: Millis = Millis(5);

#[derive(Default)]
struct State {
    entries: BTreeMap<(Family, SmolStr), Entry>,
    /// Every change with its revision.
    history: Vec<(Revision, Family, Change)>,
    /// Changes at or below this revision are forgotten.
    forgotten: Revision,
    revision: Revision,
    down: bool,
    /// Whether calls get no answer, and the number of silences so far. A call that meets a silence gets none for good.
    silent: bool,
    silences: u64,
    /// The lists that were asked for.
    lists: Vec<(Family, Freshness)>,
    /// The watches that were asked for, with their longest waits.
    watches: Vec<(Family, Freshness, Millis)>,
    /// Revision beyond which an older state shows nothing.
    lag: Option<Revision>,
}

/// The registry double. Clones share one set of entries.
#[derive(Clone, Default)]
pub struct MemoryRegistry {
    state: Arc<Mutex<State>>,
}

/// Commands.
impl MemoryRegistry {
    /// Creates or replaces an entry.
    pub fn put(&self, family: Family, name: &str, entry: Entry) {
        self.lock().change(family, name, Some(entry));
    }

    /// Removes an entry.
    pub fn remove(&self, family: Family, name: &str) {
        self.lock().change(family, name, None);
    }

    /// Removes an entry without a change that watches see, as an expiry during an outage.
    pub fn expire(&self, family: Family, name: &str) {
        let mut state = self.lock();
        state.entries.remove(&(family, name.into()));
    }

    /// Forgets the history.
    pub fn forget(&self) {
        let mut state = self.lock();
        state.forgotten = state.revision;
        state.history.clear();
    }

    /// Holds the older state at the present revision, or lets it follow the newest one.
    pub fn set_lag(&self, lag: bool) {
        let mut state = self.lock();
        state.lag = lag.then_some(state.revision);
    }

    /// Starts or ends an outage.
    pub fn set_down(&self, down: bool) {
        self.lock().down = down;
    }

    /// Starts or ends a time in which calls are accepted and get no answer. Their connections stay silent afterwards.
    pub fn set_silent(&self, silent: bool) {
        let mut state = self.lock();
        state.silent = silent;
        state.silences += u64::from(silent);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Queries.
impl MemoryRegistry {
    /// How new the lists of a family had to be, in the order in which they were asked for.
    pub fn lists(&self, family: Family) -> Vec<Freshness> {
        let state = self.lock();
        let lists = state.lists.iter().filter(|(of, _)| *of == family);
        lists.map(|(_, freshness)| *freshness).collect()
    }

    /// How new the watches of a family had to be, in the order in which they were asked for.
    pub fn watches(&self, family: Family) -> Vec<Freshness> {
        let state = self.lock();
        let watches = state.watches.iter().filter(|(of, _, _)| *of == family);
        watches.map(|(_, freshness, _)| *freshness).collect()
    }

    /// Number of reads of the latest state of a family that returned at once, without waiting for a change.
    pub fn catch_ups(&self, family: Family) -> usize {
        let state = self.lock();
        let catch_up = (family, Freshness::Latest, Millis::ZERO);
        state.watches.iter().filter(|w| **w == catch_up).count()
    }

    /// Whether an entry exists.
    pub fn contains(&self, family: Family, name: &str) -> bool {
        self.lock().entries.contains_key(&(family, name.into()))
    }
}

impl State {
    fn change(&mut self, family: Family, name: &str, entry: Option<Entry>) {
        self.revision = Revision(self.revision.0 + 1);
        let key = (family, SmolStr::new(name));
        match &entry {
            Some(entry) => {
                self.entries.insert(key, entry.clone());
            }
            None => {
                self.entries.remove(&key);
            }
        }
        let change = Change {
            name: name.into(),
            entry,
            revision: self.revision,
        };
        self.history.push((self.revision, family, change));
    }

    /// The revision up to which lists and watches see changes.
    fn reached(&self, freshness: Freshness) -> Revision {
        match (freshness, self.lag) {
            (Freshness::Recent, Some(lag)) => lag,
            (Freshness::Recent, None) | (Freshness::Latest, _) => self.revision,
        }
    }

    /// The entries of a family at a revision, as changes from nothing. An older revision is rebuilt from the history.
    fn entries_at(&self, family: Family, revision: Revision) -> Vec<Change> {
        if revision == self.revision {
            let entries = self.entries.iter().filter(|((of, _), _)| *of == family);
            let change = |((_, name), entry): (&(Family, SmolStr), &Entry)| Change {
                name: name.clone(),
                entry: Some(entry.clone()),
                revision,
            };
            return entries.map(change).collect();
        }
        let history = self.history.iter();
        let history = history.filter(|(at, of, _)| *at <= revision && *of == family);
        let mut entries = BTreeMap::new();
        for (_, _, change) in history {
            if change.entry.is_some() {
                entries.insert(change.name.clone(), change.clone());
            } else {
                entries.remove(&change.name);
            }
        }
        entries.into_values().collect()
    }

    /// What a watch would answer now, `None` while there is nothing to tell.
    fn watched(
        &self,
        family: Family,
        after: Revision,
        freshness: Freshness,
    ) -> Option<WatchOutcome> {
        if self.down {
            return Some(WatchOutcome::Unreachable("down".into()));
        }
        if after < self.forgotten {
            return Some(WatchOutcome::HistoryGone);
        }
        let reached = self.reached(freshness);
        let news = self.history.iter();
        let news = news.filter(|(at, of, _)| *at > after && *at <= reached && *of == family);
        let changes: Vec<_> = news.map(|(_, _, change)| change.clone()).collect();
        (!changes.is_empty()).then_some(WatchOutcome::Changed {
            changes,
            revision: reached,
        })
    }
}

impl MemoryRegistry {
    /// Waits out the time of a call if it gets no answer, and returns whether that is so.
    async fn is_unanswered(&self, time: Millis) -> bool {
        let silent = self.lock().silent;
        if silent {
            Timer::after(time.duration()).await;
        }
        silent
    }
}

fn no_answer(time: Millis) -> String {
    format!("no answer within {time}")
}

impl Registry for MemoryRegistry {
    fn list(
        &self,
        family: Family,
        freshness: Freshness,
        timeout: Millis,
    ) -> Pending<'_, ListOutcome> {
        Box::pin(async move {
            if self.is_unanswered(timeout).await {
                return ListOutcome::Unreachable(no_answer(timeout));
            }
            let mut state = self.lock();
            state.lists.push((family, freshness));
            if state.down {
                return ListOutcome::Unreachable("down".into());
            }
            let revision = state.reached(freshness);
            ListOutcome::Listed {
                entries: state.entries_at(family, revision),
                revision,
            }
        })
    }

    fn watch(
        &self,
        family: Family,
        after: Revision,
        freshness: Freshness,
        wait: Millis,
        timeout: Millis,
    ) -> Pending<'_, WatchOutcome> {
        Box::pin(async move {
            let silences = {
                let mut state = self.lock();
                state.watches.push((family, freshness, wait));
                state.silences
            };
            if self.is_unanswered(wait + timeout).await {
                return WatchOutcome::Unreachable(no_answer(wait + timeout));
            }
            let mut left = wait;
            loop {
                if self.lock().silences != silences {
                    Timer::after((left + timeout).duration()).await;
                    return WatchOutcome::Unreachable(no_answer(wait + timeout));
                }
                let outcome = self.lock().watched(family, after, freshness);
                if let Some(outcome) = outcome {
                    return outcome;
                }
                if left == Millis::ZERO {
                    return WatchOutcome::Changed {
                        changes: Vec::new(),
                        revision: after,
                    };
                }
                Timer::after(LOOK.duration()).await;
                left = left - LOOK;
            }
        })
    }

    fn announce<'a>(&'a self, vm: &'a VmEntry, timeout: Millis) -> Pending<'a, WriteOutcome> {
        Box::pin(async move {
            if self.is_unanswered(timeout).await {
                return WriteOutcome::Unknown(no_answer(timeout));
            }
            let mut state = self.lock();
            if state.down {
                return WriteOutcome::Unreachable("down".into());
            }
            state.change(Family::Vms, vm.id.as_str(), Some(Entry::Vm(vm.clone())));
            WriteOutcome::Updated(state.revision)
        })
    }

    fn withdraw<'a>(&'a self, vm: &'a VmEntry, timeout: Millis) -> Pending<'a, WriteOutcome> {
        Box::pin(async move {
            if self.is_unanswered(timeout).await {
                return WriteOutcome::Unknown(no_answer(timeout));
            }
            let mut state = self.lock();
            if state.down {
                return WriteOutcome::Unreachable("down".into());
            }
            state.change(Family::Vms, vm.id.as_str(), None);
            WriteOutcome::Updated(state.revision)
        })
    }
}
