//! Model of a target: slots, a short backlog, shedding, and run times.

use std::collections::VecDeque;

use super::vm::Link;

/// A request at a target.
#[derive(Clone, Copy, Debug)]
pub(super) struct Job {
    pub(super) at: Link,
    pub(super) root: usize,
    pub(super) started: u64,
}

#[derive(Debug)]
pub(super) struct Target {
    pub(super) slots: usize,
    pub(super) domain: usize,
    pub(super) running: Vec<Job>,
    pub(super) backlog: VecDeque<Job>,
    pub(super) alive: bool,
    /// Factor on run times.
    pub(super) factor: f64,
    /// Slots that other work takes.
    pub(super) busy: usize,
    /// Whether it reports itself as idle.
    pub(super) lies: bool,
    /// Requests of other regions until its caches are warm.
    pub(super) cold: u32,
    /// Microseconds of slots in use since the measurement began.
    pub(super) area: u64,
    changed: u64,
    pub(super) leaving_since: Option<u64>,
    /// Time of the last run's end after it was marked as leaving, and the longest of these runs.
    pub(super) drained: (u64, u64),
}

/// What becomes of a request that reaches a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Entry {
    Run,
    Wait,
    Shed,
}

impl Target {
    pub(super) fn new(slots: usize, domain: usize) -> Self {
        Self {
            slots,
            domain,
            running: Vec::new(),
            backlog: VecDeque::new(),
            alive: true,
            factor: 1.0,
            busy: 0,
            lies: false,
            cold: 0,
            area: 0,
            changed: 0,
            leaving_since: None,
            drained: (0, 0),
        }
    }

    /// Accounts for the slots in use up to now.
    pub(super) fn account(&mut self, now: u64) {
        self.area += (self.running.len() + self.busy) as u64 * (now - self.changed);
        self.changed = now;
    }

    pub(super) fn enter(&mut self, now: u64, job: Job) -> Entry {
        if self.running.len() + self.busy < self.slots {
            self.account(now);
            self.running.push(job);
            return Entry::Run;
        }
        if self.backlog.len() < self.slots {
            self.backlog.push_back(job);
            return Entry::Wait;
        }
        Entry::Shed
    }

    /// Ends a run. Returns the job of the backlog that gets the slot.
    pub(super) fn leave(&mut self, now: u64, at: Link) -> (Option<Job>, Option<Job>) {
        let place = self.running.iter().position(|j| j.at == at);
        let Some(place) = place else {
            self.backlog.retain(|j| j.at != at);
            return (None, None);
        };
        self.account(now);
        let ended = self.running.swap_remove(place);
        if self.leaving_since.is_some() {
            self.drained = (now, self.drained.1.max(now - ended.started));
        }
        let next = self.backlog.pop_front();
        let next = next.map(|job| Job {
            started: now,
            ..job
        });
        self.running.extend(next);
        (Some(ended), next)
    }

    /// Ends the process. Returns the requests that it held.
    pub(super) fn crash(&mut self, now: u64) -> Vec<Job> {
        self.account(now);
        self.alive = false;
        let mut jobs: Vec<_> = self.backlog.drain(..).collect();
        jobs.append(&mut self.running);
        jobs
    }

    /// Its report in thousandths of the slots.
    pub(super) fn report(&self) -> u32 {
        let used = self.running.len() + self.backlog.len() + self.busy;
        let used = u32::try_from(used * 1000 / self.slots).unwrap_or(u32::MAX);
        if self.lies { 0 } else { used }
    }
}
