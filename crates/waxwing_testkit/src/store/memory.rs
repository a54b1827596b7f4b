//! The store double in process.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use async_channel::{Receiver, Sender};
use async_io::Timer;
use futures_lite::FutureExt;
use waxwing_store::{
    ChangesOutcome, Condition, Pending, ReadOutcome, Store, VmsOutcome, WriteOutcome,
};
use waxwing_types::{Clock, Millis, MonotonicClock, Revision};

use super::state::State;
use super::{Control, Stats};

struct Shared {
    state: Mutex<State>,
    waiters: Mutex<Vec<Sender<()>>>,
    clock: MonotonicClock,
}

/// The store double in process. Clones share one set of objects.
#[derive(Clone)]
pub struct MemoryStore {
    shared: Arc<Shared>,
}

impl Default for MemoryStore {
    fn default() -> Self {
        Self::new()
    }
}

impl MemoryStore {
    /// A store without objects, VMs and faults.
    pub fn new() -> Self {
        Self {
            shared: Arc::new(Shared {
                state: Mutex::default(),
                waiters: Mutex::default(),
                clock: MonotonicClock::new(),
            }),
        }
    }

    /// Changes the double's behaviour.
    pub fn control(&self, control: Control) {
        let now = self.shared.clock.now();
        self.state().control(now, control);
        self.wake();
    }

    /// Calls counted since the start.
    pub fn stats(&self) -> Stats {
        self.state().stats
    }

    fn state(&self) -> MutexGuard<'_, State> {
        lock(&self.shared.state)
    }

    fn wake(&self) {
        lock(&self.shared.waiters).clear();
    }

    fn waiter(&self) -> Receiver<()> {
        let (sender, receiver) = async_channel::bounded(1);
        let mut waiters = lock(&self.shared.waiters);
        waiters.retain(|w| !w.is_closed());
        waiters.push(sender);
        receiver
    }

    fn write(
        &self,
        path: &str,
        apply: impl FnOnce(&mut State) -> WriteOutcome,
    ) -> (WriteOutcome, Millis) {
        let mut state = self.state();
        if state.outage {
            state.stats.failed += 1;
            return (WriteOutcome::Unreachable("outage".into()), Millis::ZERO);
        }
        let outcome = apply(&mut state);
        let delay = state.delay;
        self.wake();
        if state.loses_answer(path) {
            return (WriteOutcome::Unknown("answer lost".into()), delay);
        }
        (outcome, delay)
    }

    async fn answer_write(
        &self,
        outcome: WriteOutcome,
        delay: Millis,
        timeout: Millis,
    ) -> WriteOutcome {
        Timer::after(delay.min(timeout).duration()).await;
        if delay > timeout {
            return WriteOutcome::Unknown(format!("no answer within {timeout}"));
        }
        outcome
    }

    /// Waits out the delay. `Err` says why a read has no answer.
    async fn answer_read(&self, timeout: Millis) -> Result<(), String> {
        let delay = {
            let mut state = self.state();
            if state.outage {
                state.stats.failed += 1;
                return Err("outage".into());
            }
            state.delay
        };
        Timer::after(delay.min(timeout).duration()).await;
        if delay > timeout {
            return Err(format!("no answer within {timeout}"));
        }
        Ok(())
    }

    async fn wait_for_changes(
        &self,
        prefix: &str,
        after: Revision,
        wait: Millis,
    ) -> ChangesOutcome {
        let until = self.shared.clock.now() + wait;
        loop {
            // Registered before the look, so that a write in between is not missed.
            let waiter = self.waiter();
            let page = {
                let mut state = self.state();
                if state.outage {
                    state.stats.failed += 1;
                    return ChangesOutcome::Unreachable("outage".into());
                }
                state.changes(prefix, after)
            };
            let left = until.since(self.shared.clock.now());
            if !page.objects.is_empty() || left == Millis::ZERO {
                return ChangesOutcome::Changes {
                    objects: page.objects,
                    revision: page.revision,
                    more: page.more,
                };
            }
            let woken = async {
                let _closed = waiter.recv().await;
            };
            let timeout = async {
                Timer::after(left.duration()).await;
            };
            woken.or(timeout).await;
        }
    }
}

impl Store for MemoryStore {
    fn get<'a>(&'a self, path: &'a str, timeout: Millis) -> Pending<'a, ReadOutcome> {
        Box::pin(async move {
            self.state().stats.gets += 1;
            if let Err(reason) = self.answer_read(timeout).await {
                return ReadOutcome::Unreachable(reason);
            }
            match self.state().get(path) {
                Some(object) => ReadOutcome::Found(object),
                None => ReadOutcome::Absent,
            }
        })
    }

    fn put<'a>(
        &'a self,
        path: &'a str,
        value: Vec<u8>,
        condition: Condition,
        timeout: Millis,
    ) -> Pending<'a, WriteOutcome> {
        Box::pin(async move {
            self.state().stats.puts += 1;
            let (outcome, delay) = self.write(path, |s| s.put(path, value, condition));
            self.answer_write(outcome, delay, timeout).await
        })
    }

    fn delete<'a>(
        &'a self,
        path: &'a str,
        version: Revision,
        timeout: Millis,
    ) -> Pending<'a, WriteOutcome> {
        Box::pin(async move {
            self.state().stats.deletes += 1;
            let (outcome, delay) = self.write(path, |s| s.delete(path, version));
            self.answer_write(outcome, delay, timeout).await
        })
    }

    fn changes<'a>(
        &'a self,
        prefix: &'a str,
        after: Revision,
        wait: Millis,
        timeout: Millis,
    ) -> Pending<'a, ChangesOutcome> {
        Box::pin(async move {
            self.state().stats.changes += 1;
            if let Err(reason) = self.answer_read(timeout).await {
                return ChangesOutcome::Unreachable(reason);
            }
            self.wait_for_changes(prefix, after, wait).await
        })
    }

    fn vms(&self, timeout: Millis) -> Pending<'_, VmsOutcome> {
        Box::pin(async move {
            self.state().stats.vms += 1;
            if let Err(reason) = self.answer_read(timeout).await {
                return VmsOutcome::Unreachable(reason);
            }
            let now = self.shared.clock.now();
            VmsOutcome::Listed(self.state().vms(now))
        })
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
