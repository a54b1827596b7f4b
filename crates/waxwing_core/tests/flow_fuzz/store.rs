//! Model of the platform's store: versions, conditional writes, delay, outage, lost answers.

use std::collections::BTreeMap;

use fastrand::Rng;
use waxwing_core::{FlowAction, StoreOutcome};
use waxwing_types::Revision;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StoreMode {
    Good,
    Slow,
    /// Answers are lost, before or after the call took effect.
    Lossy,
    Down,
}

pub(crate) struct Store {
    pub(crate) mode: StoreMode,
    revision: u64,
    objects: BTreeMap<String, (u64, Vec<u8>)>,
}

/// When a call takes effect, if it does, and when its answer arrives, if it does.
pub(crate) struct Fate {
    pub(crate) effect: Option<u64>,
    pub(crate) answer: Option<u64>,
}

/// Time after which the daemon gives a call up.
pub(crate) const CALL_TIMEOUT: u64 = 50;

impl Store {
    pub(crate) fn new() -> Self {
        Self {
            mode: StoreMode::Good,
            revision: 0,
            objects: BTreeMap::new(),
        }
    }

    pub(crate) fn fate(&self, rng: &mut Rng) -> Fate {
        let effect = match self.mode {
            StoreMode::Good => rng.u64(1..4),
            // May take effect after the daemon gave the call up.
            StoreMode::Slow | StoreMode::Lossy => rng.u64(1..100),
            StoreMode::Down => {
                return Fate {
                    effect: None,
                    answer: None,
                };
            }
        };
        let lost = self.mode == StoreMode::Lossy;
        Fate {
            effect: (!lost || rng.u8(..3) > 0).then_some(effect),
            answer: (!lost || rng.u8(..3) > 0).then(|| effect + rng.u64(1..4)),
        }
    }

    pub(crate) fn perform(&mut self, call: &FlowAction) -> StoreOutcome {
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
                Some((held, _)) if Revision(*held) == *version => {
                    StoreOutcome::Updated(self.write(path, value))
                }
                Some(_) | None => StoreOutcome::Conflict,
            },
            other => panic!("{other:?} is no store call"),
        }
    }

    fn write(&mut self, path: &str, value: &[u8]) -> Revision {
        self.revision += 1;
        let object = (self.revision, value.to_vec());
        self.objects.insert(path.to_owned(), object);
        Revision(self.revision)
    }
}
