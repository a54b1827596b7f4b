//! Claim on the idempotency record of a request. The record ensures that at most one copy of a
//! request with an idempotency key runs.
//!
//! Copies of a request, which may arrive at several VMs, share one record in the store. The record
//! holds the random token of the claim that owns the record. Only the owner may run the request,
//! and at the end the owner writes the final state, which tells the outcome. Every change is a
//! conditional write: at most one claim owns the record, no matter which responses of the store are
//! lost. A claim that ends without writing a final state leaves the record `in_flight`. This blocks
//! the idempotency key, but never allows a second run.

mod record;

use std::fmt::Write;

use sha2::{Digest, Sha256};
use waxwing_types::{Revision, ServiceId, WorkspaceId, common_derives};

use crate::StoreOutcome;

pub use record::{ClaimRecord, ClaimState};

/// Number of store calls without a response after which a claim gives up acquiring the record.
const MAX_FAILED_CALLS: u32 = 3;

common_derives! {
    /// Store call on the idempotency record.
    pub enum StoreCall {
        /// Create the record with this value if it does not exist.
        Create(Vec<u8>),
        /// Read the record.
        Read,
        /// Set this value if the record has this version.
        Update(Revision, Vec<u8>),
    }
}

common_derives! {
    /// Next step of a claim after the outcome of a store call.
    pub enum ClaimStep {
        /// Make this store call.
        Call(StoreCall),
        /// The claim owns the record. The request may run.
        Acquired,
        /// Another copy of the request claimed the record, which is in this state.
        Duplicate(ClaimState),
        /// The store does not respond, so the record cannot be claimed. A write may still take
        /// effect.
        Unavailable,
        /// The store did not respond to a call that finalizes the record. Call
        /// [`Claim::retry_finalize`] later.
        FinalizeFailed,
        /// The final state is written, or the claim does not own the record. No store call remains.
        Finalized,
    }
}

/// Kind of the store call whose outcome the claim expects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PendingCall {
    Create,
    Read,
    Update,
    None,
}

/// Claim of one copy of a request on its idempotency record.
#[derive(Debug)]
pub struct Claim {
    path: String,
    /// Random number that identifies this claim in the record.
    token: u128,
    /// Version of the record. `None` if the claim does not own the record.
    version: Option<Revision>,
    /// State to write at the end. Set by [`Claim::finalize`].
    final_state: Option<ClaimState>,
    pending_call: PendingCall,
    /// Number of store calls without a response since the claim started, acquired the record or got
    /// its final state.
    failed_calls: u32,
}

impl Claim {
    /// Creates a claim that has made no store call yet. `token` must be random, because equal
    /// tokens would let two claims own the record.
    pub fn new(
        workspace: Option<&WorkspaceId>,
        service: &ServiceId,
        idempotency_key: &str,
        token: u128,
    ) -> Self {
        Self {
            path: record_path(workspace, service, idempotency_key),
            token,
            version: None,
            final_state: None,
            pending_call: PendingCall::None,
            failed_calls: 0,
        }
    }

    /// Starts to claim the record. Returns the first store call.
    pub fn start(&mut self) -> StoreCall {
        self.create_call()
    }

    /// Sets the final state to write. The request must not be sent after this. Returns the store
    /// call to make, or `None` if a call is pending, whose outcome then triggers the write.
    pub fn finalize(&mut self, state: ClaimState) -> Option<StoreCall> {
        self.final_state = Some(state);
        self.failed_calls = 0;
        match self.pending_call {
            PendingCall::None => Some(self.retry_finalize()),
            PendingCall::Create | PendingCall::Read | PendingCall::Update => None,
        }
    }

    /// Tries again to write the final state after [`ClaimStep::FinalizeFailed`].
    pub fn retry_finalize(&mut self) -> StoreCall {
        match (self.version, self.final_state) {
            (Some(version), Some(final_state)) => self.update_call(version, final_state),
            _ => self.read_call(),
        }
    }

    /// Handles the outcome of the pending store call and returns the next step.
    pub fn on_store_outcome(&mut self, outcome: StoreOutcome) -> ClaimStep {
        let pending_call = std::mem::replace(&mut self.pending_call, PendingCall::None);
        match outcome {
            StoreOutcome::Created(version) => self.on_acquired(version),
            StoreOutcome::Updated(version) if self.version.is_none() => self.on_acquired(version),
            StoreOutcome::Updated(_) => ClaimStep::Finalized,
            StoreOutcome::Exists(version, value) | StoreOutcome::Read(version, value) => {
                self.on_existing_record(version, &value)
            }
            StoreOutcome::NotFound => self.on_no_record(),
            StoreOutcome::Conflict => {
                self.version = None;
                ClaimStep::Call(self.read_call())
            }
            StoreOutcome::NoResponse => self.on_no_response(pending_call),
        }
    }

    /// The claim now owns the record. Writes the final state if it is already known.
    fn on_acquired(&mut self, version: Revision) -> ClaimStep {
        self.version = Some(version);
        self.failed_calls = 0;
        match self.final_state {
            Some(final_state) => ClaimStep::Call(self.update_call(version, final_state)),
            None => ClaimStep::Acquired,
        }
    }

    /// Handles a record that already exists. The record may be the claim's own, if the response to
    /// the write was lost.
    fn on_existing_record(&mut self, version: Revision, value: &[u8]) -> ClaimStep {
        let record = ClaimRecord::parse(value);
        if record.token == Some(self.token) && record.state == ClaimState::InFlight {
            return self.on_acquired(version);
        }
        if self.final_state.is_some() {
            return ClaimStep::Finalized;
        }
        match record.state {
            ClaimState::Released => {
                ClaimStep::Call(self.update_call(version, ClaimState::InFlight))
            }
            ClaimState::InFlight | ClaimState::Answered(_) | ClaimState::Unknown => {
                ClaimStep::Duplicate(record.state)
            }
        }
    }

    fn on_no_record(&mut self) -> ClaimStep {
        if self.final_state.is_some() {
            return ClaimStep::Finalized;
        }
        ClaimStep::Call(self.create_call())
    }

    fn on_no_response(&mut self, pending_call: PendingCall) -> ClaimStep {
        self.failed_calls += 1;
        if self.final_state.is_some() {
            return ClaimStep::FinalizeFailed;
        }
        if self.failed_calls >= MAX_FAILED_CALLS {
            return ClaimStep::Unavailable;
        }
        // A write may have taken effect. The record is read before the next write.
        match pending_call {
            PendingCall::Create | PendingCall::Update | PendingCall::Read | PendingCall::None => {
                ClaimStep::Call(self.read_call())
            }
        }
    }

    fn create_call(&mut self) -> StoreCall {
        self.pending_call = PendingCall::Create;
        StoreCall::Create(self.record_value(ClaimState::InFlight))
    }

    fn read_call(&mut self) -> StoreCall {
        self.pending_call = PendingCall::Read;
        StoreCall::Read
    }

    fn update_call(&mut self, version: Revision, state: ClaimState) -> StoreCall {
        self.pending_call = PendingCall::Update;
        StoreCall::Update(version, self.record_value(state))
    }
}

impl Claim {
    /// Path of the record in the store.
    pub fn path(&self) -> &str {
        &self.path
    }

    fn record_value(&self, state: ClaimState) -> Vec<u8> {
        ClaimRecord {
            state,
            token: Some(self.token),
        }
        .to_bytes()
    }
}

/// Path of the record in the store: a hash of workspace, service and idempotency key. The length of
/// each part is hashed too: otherwise `ab` and `c` would have the same path as `a` and `bc`.
fn record_path(
    workspace: Option<&WorkspaceId>,
    service: &ServiceId,
    idempotency_key: &str,
) -> String {
    let workspace = workspace.map_or("", WorkspaceId::as_str);
    let mut hash = Sha256::new();
    for part in [workspace, service.as_str(), idempotency_key] {
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
