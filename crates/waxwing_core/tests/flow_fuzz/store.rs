//! Model of the platform's store with conditional writes, delays, outages and lost responses.

use std::collections::BTreeMap;

use fastrand::Rng;
use waxwing_core::{FlowAction, StoreOutcome};
use waxwing_types::Revision;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StoreMode {
    Healthy,
    /// Executes calls after up to 100 ms, which may exceed the timeout of a call.
    Slow,
    /// Is as slow as `Slow`, and loses one third of the calls and one third of the responses.
    Lossy,
    /// Executes no calls.
    Down,
}

pub(crate) struct Store {
    pub(crate) mode: StoreMode,
    /// Version of the object that was written last.
    revision: u64,
    /// Version and value of each object, by path.
    objects: BTreeMap<String, (u64, Vec<u8>)>,
}

/// Delays in ms until a call takes effect and until its response arrives. `None`: never.
pub(crate) struct CallPlan {
    pub(crate) effect_delay_ms: Option<u64>,
    pub(crate) response_delay_ms: Option<u64>,
}

/// Time in ms after which the daemon stops waiting for the response to a call.
pub(crate) const CALL_TIMEOUT_MS: u64 = 50;

impl Store {
    pub(crate) fn new() -> Self {
        Self {
            mode: StoreMode::Healthy,
            revision: 0,
            objects: BTreeMap::new(),
        }
    }

    /// Chooses when a call takes effect and when its response arrives, at random.
    pub(crate) fn plan_call(&self, rng: &mut Rng) -> CallPlan {
        let effect_delay_ms = match self.mode {
            StoreMode::Healthy => rng.u64(1..4),
            // A call may take effect after the daemon stopped waiting for it.
            StoreMode::Slow | StoreMode::Lossy => rng.u64(1..100),
            StoreMode::Down => {
                return CallPlan {
                    effect_delay_ms: None,
                    response_delay_ms: None,
                };
            }
        };
        let is_lossy = self.mode == StoreMode::Lossy;
        CallPlan {
            effect_delay_ms: (!is_lossy || rng.u8(..3) > 0).then_some(effect_delay_ms),
            response_delay_ms: (!is_lossy || rng.u8(..3) > 0)
                .then(|| effect_delay_ms + rng.u64(1..4)),
        }
    }

    /// Executes a store call and returns the outcome.
    pub(crate) fn execute(&mut self, call: &FlowAction) -> StoreOutcome {
        match call {
            FlowAction::CreateRecord { path, value } => match self.objects.get(path) {
                Some((version, old)) => StoreOutcome::Exists(Revision(*version), old.clone()),
                None => StoreOutcome::Created(self.write(path, value)),
            },
            FlowAction::ReadRecord { path } => match self.objects.get(path) {
                Some((version, old)) => StoreOutcome::Read(Revision(*version), old.clone()),
                None => StoreOutcome::NotFound,
            },
            FlowAction::UpdateRecord {
                path,
                version,
                value,
            } => match self.objects.get(path) {
                Some((current, _)) if Revision(*current) == *version => {
                    StoreOutcome::Updated(self.write(path, value))
                }
                Some(_) | None => StoreOutcome::Conflict,
            },
            other => panic!("{other:?} is not a store call"),
        }
    }

    fn write(&mut self, path: &str, value: &[u8]) -> Revision {
        self.revision += 1;
        let object = (self.revision, value.to_vec());
        self.objects.insert(path.to_owned(), object);
        Revision(self.revision)
    }
}
