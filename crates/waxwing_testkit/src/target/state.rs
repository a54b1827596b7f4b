//! Slots and runs of a target double, without I/O.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use hyper::http::request::Parts;
use waxwing_types::Millis;

use super::{Load, Run, RunEnd, Runs, TargetControl, TargetSettings};

/// Most runs that are kept, to bound memory under load.
const MAX_RUNS: usize = 10_000;

pub(super) struct State {
    pub(super) settings: TargetSettings,
    pub(super) started: Millis,
    running: u32,
    total: u64,
    shed: u64,
    runs: VecDeque<Run>,
}

/// Queries.
impl State {
    pub(super) fn load(&self) -> Load {
        Load {
            running: self.settings.reported.unwrap_or(self.running),
            slots: self.settings.slots,
            draining: self.settings.draining,
        }
    }

    pub(super) fn runs(&self) -> Runs {
        Runs {
            target: self.settings.name.clone(),
            total: self.total,
            shed: self.shed,
            runs: self.runs.iter().cloned().collect(),
        }
    }

    /// Time to run a request that starts now: three times the latency right after a start, falling
    /// to the latency over the time the target is cold.
    pub(super) fn latency(&self, now: Millis) -> Millis {
        let (latency, cold) = (self.settings.latency, self.settings.cold);
        let left = cold.since(now.since(self.started)).0;
        Millis(latency.0 + 2 * latency.0 * left / cold.0.max(1))
    }

    pub(super) fn is_poison(&self, text: &[u8]) -> bool {
        let Some(poison) = self.settings.poison.as_deref() else {
            return false;
        };
        text.windows(poison.len()).any(|w| w == poison.as_bytes())
    }
}

/// Commands.
impl State {
    pub(super) fn new(settings: TargetSettings, now: Millis) -> Self {
        Self {
            settings,
            started: now,
            running: 0,
            total: 0,
            shed: 0,
            runs: VecDeque::new(),
        }
    }

    pub(super) fn control(&mut self, control: &TargetControl) {
        self.settings.apply(control);
    }

    fn start(&mut self, head: &Parts) -> Option<u64> {
        if self.settings.draining || self.running >= self.settings.slots {
            self.shed += 1;
            return None;
        }
        self.running += 1;
        self.total += 1;
        if self.runs.len() >= MAX_RUNS {
            self.runs.pop_front();
        }
        self.runs.push_back(Run::new(self.total, head));
        Some(self.total)
    }

    fn run(&mut self, seq: u64) -> Option<&mut Run> {
        self.runs.iter_mut().rev().find(|r| r.seq == seq)
    }
}

/// A slot in use. Dropping it before its end counts as a cancellation.
pub(super) struct Slot {
    state: Arc<Mutex<State>>,
    seq: u64,
    end: RunEnd,
}

impl Slot {
    /// Takes a slot. `None`: the request is shed.
    pub(super) fn take(state: &Arc<Mutex<State>>, head: &Parts) -> Option<Self> {
        let seq = lock(state).start(head)?;
        Some(Self {
            state: Arc::clone(state),
            seq,
            end: RunEnd::Cancelled,
        })
    }

    pub(super) fn received(&self, bytes: u64) {
        if let Some(run) = lock(&self.state).run(self.seq) {
            run.body_bytes += bytes;
        }
    }

    pub(super) fn end(mut self, end: RunEnd) {
        self.end = end;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let mut state = lock(&self.state);
        state.running -= 1;
        let end = self.end;
        if let Some(run) = state.run(self.seq) {
            run.end = end;
        }
    }
}

pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
