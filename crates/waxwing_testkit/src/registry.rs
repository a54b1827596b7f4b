//! The registry double in process.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use async_io::Timer;
use smol_str::SmolStr;
use waxwing_records::VmEntry;
use waxwing_store::{
    Answer, Change, Entry, Family, Freshness, ListOutcome, Pending, Registry, WatchOutcome,
    WriteOutcome,
};
use waxwing_types::{Millis, Revision, StoreEpoch};

/// Pause between two looks of a waiting watch.
const LOOK: Millis = Millis(5);

/// What the store holds.
#[derive(Clone, Default)]
struct Contents {
    /// Entries with the revisions of their last changes.
    entries: BTreeMap<(Family, SmolStr), (Entry, Revision)>,
    /// Every change with its revision.
    history: Vec<(Revision, Family, Change)>,
    /// Changes at or below this revision are forgotten.
    forgotten: Revision,
    revision: Revision,
    epoch: StoreEpoch,
}

/// A copy of what the store held at some moment.
#[derive(Clone)]
pub struct RegistryCopy(Contents);

#[derive(Default)]
struct State {
    latest: Contents,
    /// The older state, if it is held.
    held: Option<Contents>,
    down: bool,
    /// Whether calls get no answer, and the number of silences so far. A call that meets a silence gets none for good.
    silent: bool,
    silences: u64,
    /// Time that one record of the deployment takes on the way to a caller.
    transfer_time: Millis,
    /// The lists that were asked for, and the families of those that were answered.
    lists: Vec<(Family, Freshness)>,
    answered_lists: Vec<Family>,
    /// The watches that were asked for, with their longest waits.
    watches: Vec<(Family, Freshness, Millis)>,
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
        self.lock().latest.change(family, name, Some(entry));
    }

    /// Removes an entry.
    pub fn remove(&self, family: Family, name: &str) {
        self.lock().latest.change(family, name, None);
    }

    /// Removes an entry without a change that watches see, as an expiry during an outage.
    pub fn expire(&self, family: Family, name: &str) {
        let mut state = self.lock();
        state.latest.entries.remove(&(family, name.into()));
    }

    /// Forgets the history.
    pub fn forget(&self) {
        let mut state = self.lock();
        state.latest.forgotten = state.latest.revision;
        state.latest.history.clear();
    }

    /// Holds the older state as the newest one is now, also beyond a restore, or lets it follow the newest one.
    pub fn set_lag(&self, lag: bool) {
        let mut state = self.lock();
        state.held = lag.then(|| state.latest.clone());
    }

    /// Goes back to a copy and raises the epoch. Waiting watches are cut off, and revisions above that of the copy are given
    /// out again.
    pub fn restore(&self, copy: &RegistryCopy) {
        let mut state = self.lock();
        let epoch = StoreEpoch(state.latest.epoch.0 + 1);
        state.latest = Contents {
            epoch,
            ..copy.0.clone()
        };
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

    /// Sets the time that one record of the deployment takes on the way to a caller. A version in an answer is one record.
    pub fn set_transfer_time(&self, time: Millis) {
        self.lock().transfer_time = time;
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

    /// Number of lists of a family that were answered.
    pub fn answered_lists(&self, family: Family) -> usize {
        let state = self.lock();
        state
            .answered_lists
            .iter()
            .filter(|of| **of == family)
            .count()
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
        let state = self.lock();
        state.latest.entries.contains_key(&(family, name.into()))
    }

    /// Revision of the last change.
    pub fn revision(&self) -> Revision {
        self.lock().latest.revision
    }

    /// A copy of what the store holds now.
    pub fn copy(&self) -> RegistryCopy {
        RegistryCopy(self.lock().latest.clone())
    }
}

impl Contents {
    fn change(&mut self, family: Family, name: &str, entry: Option<Entry>) {
        self.revision = Revision(self.revision.0 + 1);
        let key = (family, SmolStr::new(name));
        match &entry {
            Some(entry) => {
                self.entries.insert(key, (entry.clone(), self.revision));
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

    /// The entries of a family as changes from nothing.
    fn list(&self, family: Family) -> Vec<Change> {
        let entries = self.entries.iter().filter(|((of, _), _)| *of == family);
        let change =
            |((_, name), (entry, revision)): (&(Family, SmolStr), &(Entry, Revision))| Change {
                name: name.clone(),
                entry: Some(entry.clone()),
                revision: *revision,
            };
        entries.map(change).collect()
    }

    fn answer<T>(&self, outcome: T) -> Answer<T> {
        Answer {
            outcome,
            epoch: Some(self.epoch),
            bytes: 0,
        }
    }
}

impl State {
    fn contents(&self, freshness: Freshness) -> &Contents {
        match (freshness, &self.held) {
            (Freshness::Recent, Some(held)) => held,
            (Freshness::Recent, None) | (Freshness::Latest, _) => &self.latest,
        }
    }

    /// What a watch that began in `epoch` would answer now, `None` while there is nothing to tell.
    fn watched(
        &self,
        family: Family,
        after: Revision,
        freshness: Freshness,
        epoch: StoreEpoch,
    ) -> Option<Answer<WatchOutcome>> {
        if self.down || self.latest.epoch != epoch {
            return Some(unanswered(WatchOutcome::Unreachable("down".into())));
        }
        let contents = self.contents(freshness);
        let outcome = if after < contents.forgotten || after > self.latest.revision {
            WatchOutcome::HistoryGone
        } else {
            let news = contents.history.iter();
            let news = news.filter(|(at, of, _)| *at > after && *of == family);
            let changes: Vec<_> = news.map(|(_, _, change)| change.clone()).collect();
            if changes.is_empty() {
                return None;
            }
            WatchOutcome::Changed {
                changes,
                revision: contents.revision,
            }
        };
        Some(contents.answer(outcome))
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

impl MemoryRegistry {
    /// Waits while an answer with some records of a family is on its way.
    async fn transfer(&self, family: Family, records: usize) {
        let time = self.lock().transfer_time;
        if family == Family::Deployment && time > Millis::ZERO {
            let records = u32::try_from(records).unwrap_or(u32::MAX);
            Timer::after(time.duration() * records).await;
        }
    }
}

fn no_answer(time: Millis) -> String {
    format!("no answer within {time}")
}

const fn unanswered<T>(outcome: T) -> Answer<T> {
    Answer {
        outcome,
        epoch: None,
        bytes: 0,
    }
}

impl Registry for MemoryRegistry {
    fn list(
        &self,
        family: Family,
        freshness: Freshness,
        timeout: Millis,
    ) -> Pending<'_, Answer<ListOutcome>> {
        Box::pin(async move {
            if self.is_unanswered(timeout).await {
                return unanswered(ListOutcome::Unreachable(no_answer(timeout)));
            }
            let (answer, records) = {
                let mut state = self.lock();
                state.lists.push((family, freshness));
                if state.down {
                    return unanswered(ListOutcome::Unreachable("down".into()));
                }
                state.answered_lists.push(family);
                let contents = state.contents(freshness);
                let entries = contents.list(family);
                let records = entries.len();
                let revision = contents.revision;
                let listed = ListOutcome::Listed { entries, revision };
                (contents.answer(listed), records)
            };
            self.transfer(family, records).await;
            answer
        })
    }

    fn watch(
        &self,
        family: Family,
        after: Revision,
        freshness: Freshness,
        wait: Millis,
        timeout: Millis,
    ) -> Pending<'_, Answer<WatchOutcome>> {
        Box::pin(async move {
            let (epoch, silences) = {
                let mut state = self.lock();
                state.watches.push((family, freshness, wait));
                (state.latest.epoch, state.silences)
            };
            if self.is_unanswered(wait + timeout).await {
                return unanswered(WatchOutcome::Unreachable(no_answer(wait + timeout)));
            }
            let mut left = wait;
            loop {
                if self.lock().silences != silences {
                    Timer::after((left + timeout).duration()).await;
                    return unanswered(WatchOutcome::Unreachable(no_answer(wait + timeout)));
                }
                let answer = self.lock().watched(family, after, freshness, epoch);
                if let Some(answer) = answer {
                    if let WatchOutcome::Changed { changes, .. } = &answer.outcome {
                        self.transfer(family, changes.len()).await;
                    }
                    return answer;
                }
                if left == Millis::ZERO {
                    let state = self.lock();
                    let contents = state.contents(freshness);
                    return contents.answer(WatchOutcome::Changed {
                        changes: Vec::new(),
                        revision: contents.revision.max(after),
                    });
                }
                Timer::after(LOOK.duration()).await;
                left = left - LOOK;
            }
        })
    }

    fn announce<'a>(
        &'a self,
        vm: &'a VmEntry,
        timeout: Millis,
    ) -> Pending<'a, Answer<WriteOutcome>> {
        Box::pin(async move {
            if self.is_unanswered(timeout).await {
                return unanswered(WriteOutcome::Unknown(no_answer(timeout)));
            }
            let mut state = self.lock();
            if state.down {
                return unanswered(WriteOutcome::Unreachable("down".into()));
            }
            let latest = &mut state.latest;
            latest.change(Family::Vms, vm.id.as_str(), Some(Entry::Vm(vm.clone())));
            latest.answer(WriteOutcome::Updated(latest.revision))
        })
    }

    fn withdraw<'a>(
        &'a self,
        vm: &'a VmEntry,
        timeout: Millis,
    ) -> Pending<'a, Answer<WriteOutcome>> {
        Box::pin(async move {
            if self.is_unanswered(timeout).await {
                return unanswered(WriteOutcome::Unknown(no_answer(timeout)));
            }
            let mut state = self.lock();
            if state.down {
                return unanswered(WriteOutcome::Unreachable("down".into()));
            }
            let latest = &mut state.latest;
            latest.change(Family::Vms, vm.id.as_str(), None);
            latest.answer(WriteOutcome::Updated(latest.revision))
        })
    }
}
