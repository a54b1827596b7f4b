//! The idempotency record of one request: at most one attempt at a time may run it.
//!
//! A record is owned by the attempt whose random token it holds. Every change is a conditional
//! write, so of two attempts at most one owns a record, whichever responses are lost. An attempt
//! that ends without a final write leaves `in_flight` behind, which blocks the key but never lets
//! a second run through.

mod record;

use std::fmt::Write;

use sha2::{Digest, Sha256};
use waxwing_types::{Revision, ServiceId, WorkspaceId, common_derives};

use crate::StoreOutcome;

pub use record::{ClaimRecord, ClaimState};

/// Store calls that may fail in a row before the store counts as out of reach.
const MAX_FAILURES: u32 = 3;

common_derives! {
    /// A call to the store.
    pub enum StoreCall {
        /// Create if absent.
        Create(Vec<u8>),
        /// Read.
        Read,
        /// Update if the version matches.
        Update(Revision, Vec<u8>),
    }
}

common_derives! {
    /// What follows from a store outcome.
    pub enum ClaimStep {
        /// The next store call.
        Call(StoreCall),
        /// This attempt owns the record and may run the request.
        Acquired,
        /// Another attempt owns the record, which is in this state.
        Duplicate(ClaimState),
        /// The store is out of reach while the record is claimed. A write may still take effect.
        Unavailable,
        /// The store is out of reach while the final state is written. Call [`Claim::retry_finalize`] later.
        FinalizeFailed,
        /// Nothing is left to be written.
        Finalized,
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Pending {
    Create,
    Read,
    Update,
    None,
}

/// The idempotency record of one attempt.
#[derive(Debug)]
pub struct Claim {
    path: String,
    token: u128,
    version: Option<Revision>,
    goal: Option<ClaimState>,
    pending: Pending,
    failures: u32,
}

impl Claim {
    /// A claim that has written nothing yet. `token` must be random.
    pub fn new(
        workspace: Option<&WorkspaceId>,
        service: &ServiceId,
        idempotency: &str,
        token: u128,
    ) -> Self {
        Self {
            path: path(workspace, service, idempotency),
            token,
            version: None,
            goal: None,
            pending: Pending::None,
            failures: 0,
        }
    }

    /// Begins to claim the record.
    pub fn start(&mut self) -> StoreCall {
        self.create()
    }

    /// Sets the final state. The request must not be sent any more. Returns the call to make, or
    /// `None` if a call is pending, whose outcome leads on.
    pub fn finalize(&mut self, state: ClaimState) -> Option<StoreCall> {
        self.goal = Some(state);
        self.failures = 0;
        match self.pending {
            Pending::None => Some(self.retry_finalize()),
            Pending::Create | Pending::Read | Pending::Update => None,
        }
    }

    /// Continues to write the final state after [`ClaimStep::FinalizeFailed`].
    pub fn retry_finalize(&mut self) -> StoreCall {
        match (self.version, self.goal) {
            (Some(version), Some(goal)) => self.update(version, goal),
            _ => self.read(),
        }
    }

    /// Takes in the outcome of the pending call.
    pub fn on_store_outcome(&mut self, outcome: StoreOutcome) -> ClaimStep {
        let pending = std::mem::replace(&mut self.pending, Pending::None);
        match outcome {
            StoreOutcome::Created(version) => self.on_held(version),
            StoreOutcome::Updated(version) if self.version.is_none() => self.on_held(version),
            StoreOutcome::Updated(_) => ClaimStep::Finalized,
            StoreOutcome::Exists(version, value) | StoreOutcome::Read(version, value) => {
                self.on_record(version, &value)
            }
            StoreOutcome::NotFound => self.on_absent(),
            StoreOutcome::Conflict => {
                self.version = None;
                ClaimStep::Call(self.read())
            }
            StoreOutcome::NoResponse => self.on_unreachable(pending),
        }
    }

    fn on_held(&mut self, version: Revision) -> ClaimStep {
        self.version = Some(version);
        self.failures = 0;
        match self.goal {
            Some(goal) => ClaimStep::Call(self.update(version, goal)),
            None => ClaimStep::Acquired,
        }
    }

    fn on_record(&mut self, version: Revision, value: &[u8]) -> ClaimStep {
        let record = ClaimRecord::parse(value);
        if record.token == Some(self.token) && record.state == ClaimState::InFlight {
            return self.on_held(version);
        }
        if self.goal.is_some() {
            return ClaimStep::Finalized;
        }
        match record.state {
            ClaimState::Released => ClaimStep::Call(self.update(version, ClaimState::InFlight)),
            ClaimState::InFlight | ClaimState::Answered(_) | ClaimState::Unknown => {
                ClaimStep::Duplicate(record.state)
            }
        }
    }

    fn on_absent(&mut self) -> ClaimStep {
        if self.goal.is_some() {
            return ClaimStep::Finalized;
        }
        ClaimStep::Call(self.create())
    }

    fn on_unreachable(&mut self, pending: Pending) -> ClaimStep {
        self.failures += 1;
        if self.goal.is_some() {
            return ClaimStep::FinalizeFailed;
        }
        if self.failures >= MAX_FAILURES {
            return ClaimStep::Unavailable;
        }
        match pending {
            Pending::Create | Pending::Update | Pending::Read | Pending::None => {
                ClaimStep::Call(self.read())
            }
        }
    }

    fn create(&mut self) -> StoreCall {
        self.pending = Pending::Create;
        StoreCall::Create(self.value(ClaimState::InFlight))
    }

    fn read(&mut self) -> StoreCall {
        self.pending = Pending::Read;
        StoreCall::Read
    }

    fn update(&mut self, version: Revision, state: ClaimState) -> StoreCall {
        self.pending = Pending::Update;
        StoreCall::Update(version, self.value(state))
    }
}

impl Claim {
    /// The record's path in the store.
    pub fn path(&self) -> &str {
        &self.path
    }

    fn value(&self, state: ClaimState) -> Vec<u8> {
        ClaimRecord {
            state,
            token: Some(self.token),
        }
        .to_bytes()
    }
}

/// The path covers workspace, service and idempotency key, each with its length, so that no two
/// different triples share a path.
fn path(workspace: Option<&WorkspaceId>, service: &ServiceId, idempotency: &str) -> String {
    let workspace = workspace.map_or("", WorkspaceId::as_str);
    let mut hash = Sha256::new();
    for part in [workspace, service.as_str(), idempotency] {
        hash.update((part.len() as u64).to_be_bytes());
        hash.update(part.as_bytes());
    }
    let mut path = String::from("claims/");
    for byte in hash.finalize() {
        // Writing to a string cannot fail.
        let _ = write!(path, "{byte:02x}");
    }
    path
}
