//! All limits of one VM.

use waxwing_types::{DomainId, Micros, Millis, Revision, VmId};

use super::{LedgerAction, LedgerSettings, LimitSpec, OwnersTable, WriteOutcome};
use crate::{BorrowReply, BorrowRequest, LimitKey, RenewReply, RenewRequest};

/// All limits of one VM: shards owned, quota leases given and held, admission.
#[derive(Debug)]
pub struct Ledger {
    settings: LedgerSettings,
}

impl Ledger {
    /// A ledger that starts at `now` with no limits, no tokens and no shards.
    pub fn new(settings: LedgerSettings, _now: Millis) -> Self {
        Self { settings }
    }

    /// Takes over the limits of the configuration at `revision`, up to which it is complete.
    pub fn configure(&mut self, _now: Millis, _revision: Revision, _specs: Vec<LimitSpec>) {}

    /// Takes over the live VMs of the own domain, this one included, without leaving ones.
    pub fn on_members(&mut self, _now: Millis, _live: &[VmId]) {}

    /// Takes the costs from all limits or from none.
    ///
    /// # Errors
    /// The first limit that has too few tokens.
    pub fn admit(&mut self, _now: Millis, costs: &[(LimitKey, Micros)]) -> Result<(), LimitKey> {
        costs.first().map_or(Ok(()), |(key, _)| Err(key.clone()))
    }

    /// Takes an amount that was spent already; what the limit lacks is taken from later tokens.
    pub fn charge(&mut self, _now: Millis, _key: &LimitKey, _amount: Micros) {}

    /// Answers a VM that borrows.
    pub fn on_borrow(&mut self, _now: Millis, _request: &BorrowRequest) -> BorrowReply {
        BorrowReply { grants: Vec::new() }
    }

    /// Takes over grants of `owner` in reply to a request sent at `sent_at`.
    pub fn on_grants(&mut self, _now: Millis, _sent_at: Millis, _owner: &VmId, _: &BorrowReply) {}

    /// Answers an owner that renews its shard leases.
    pub fn on_renew(&mut self, _now: Millis, _request: &RenewRequest) -> RenewReply {
        RenewReply { acked: Vec::new() }
    }

    /// Takes over the acknowledgement by `standby` of a renewal sent at `sent_at`.
    pub fn on_renewed(&mut self, _now: Millis, _sent_at: Millis, _standby: &VmId, _: &RenewReply) {}

    /// Takes over the table of owners of a domain as read from the store.
    pub fn on_owners(
        &mut self,
        _now: Millis,
        _domain: &DomainId,
        _version: Revision,
        _table: &OwnersTable,
    ) {
    }

    /// The store holds no table for the own domain.
    pub fn on_owners_absent(&mut self, _now: Millis) {}

    /// The outcome of the last `WriteOwners`, which was sent at `sent_at`.
    pub fn on_owners_written(&mut self, _now: Millis, _sent_at: Millis, _outcome: WriteOutcome) {}

    /// Does what is due. Call it at least every 100 ms, and after an admission that leaves
    /// `wants_tick` true.
    pub fn tick(&mut self, _now: Millis) -> Vec<LedgerAction> {
        Vec::new()
    }

    /// Stops granting and hands the shards over. Ticks go on until `is_released`.
    pub fn stop(&mut self, _now: Millis) {}
}

impl Ledger {
    /// Whether a tick would ask for tokens at once.
    pub fn wants_tick(&self) -> bool {
        false
    }

    /// Whether the VM owns no shard.
    pub fn is_released(&self) -> bool {
        true
    }

    /// What `admit` could take at `now`.
    pub fn available(&self, _now: Millis, _key: &LimitKey) -> Micros {
        Micros::ZERO
    }

    /// Identity and durations.
    pub fn settings(&self) -> &LedgerSettings {
        &self.settings
    }

    /// Asserts what must hold after every call.
    ///
    /// # Panics
    /// An invariant does not hold.
    pub fn check_invariants(&self, _now: Millis) {}
}
