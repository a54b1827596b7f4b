//! Quota leases that this VM has granted as the owner of a shard.

use std::collections::BTreeMap;

use waxwing_types::{Incarnation, Millis, VmId, common_derives};

use super::bucket::Quota;

/// Identifies a process: its VM and incarnation.
pub(crate) type ProcessId = (VmId, Incarnation);

common_derives! {
    copy
    /// A quota lease that may still be in force at the borrower.
    struct GrantedLease {
        /// Sequence number of the grant.
        seq: u64,
        quota: Quota,
        /// Expiry on the owner's clock, including the safety margin for clock drift.
        expires_at: Millis,
    }
}

common_derives! {
    /// A process that borrows quota of one limit.
    struct Borrower {
        /// Whether the process belongs to another failure domain.
        is_remote: bool,
        /// Quota that the process asked for in its last request.
        wanted: Quota,
        /// Time from which `wanted` no longer counts.
        wanted_until: Millis,
        leases: Vec<GrantedLease>,
    }
}

common_derives! {
    /// All quota leases that an owner has granted for one limit.
    #[derive(Default)]
    pub(crate) struct GrantedLeases {
        /// Borrowers by process rather than by VM. An earlier process of a VM may have lent its
        /// quota to other VMs, and these may still spend it.
        borrowers: BTreeMap<ProcessId, Borrower>,
        last_seq: u64,
    }
}

impl GrantedLeases {
    /// Records the quota that a process wants. Drops its leases with a lower sequence number than
    /// `current_grant_seq`, the grant that the process now uses. Returns false, and does not record
    /// the request, if a later process of the same VM has borrowed.
    pub(crate) fn record_request(
        &mut self,
        process: &ProcessId,
        is_remote: bool,
        (wanted, wanted_until): (Quota, Millis),
        current_grant_seq: u64,
    ) -> bool {
        for ((vm, incarnation), borrower) in &mut self.borrowers {
            if *vm == process.0 && *incarnation > process.1 {
                return false;
            }
            if *vm == process.0 && *incarnation < process.1 {
                borrower.wanted = Quota::ZERO;
            }
        }
        let borrower = self
            .borrowers
            .entry(process.clone())
            .or_insert_with(|| Borrower {
                is_remote,
                wanted,
                wanted_until,
                leases: Vec::new(),
            });
        borrower.is_remote = is_remote;
        borrower.wanted = wanted;
        borrower.wanted_until = wanted_until;
        borrower.leases.retain(|l| l.seq >= current_grant_seq);
        true
    }

    /// Records a lease granted to a known borrower, and returns the lease's sequence number. The
    /// number is higher than all numbers that owners used in earlier epochs of the shard.
    pub(crate) fn record_grant(
        &mut self,
        process: &ProcessId,
        epoch: u64,
        quota: Quota,
        expires_at: Millis,
    ) -> u64 {
        self.last_seq = (self.last_seq + 1).max(epoch << 32);
        let seq = self.last_seq;
        if let Some(borrower) = self.borrowers.get_mut(process) {
            borrower.leases.push(GrantedLease {
                seq,
                quota,
                expires_at,
            });
        }
        seq
    }

    /// Removes expired leases, and borrowers whose last request no longer counts.
    pub(crate) fn remove_expired(&mut self, now: Millis) {
        self.borrowers.retain(|_, b| {
            b.leases.retain(|l| l.expires_at > now);
            !b.leases.is_empty() || b.wanted_until > now
        });
    }
}

impl GrantedLeases {
    /// Quota that is committed to all borrowers together.
    pub(crate) fn total(&self, at: Millis) -> Quota {
        let per_borrower = self.borrowers.values().map(|b| committed(b, at));
        per_borrower.fold(Quota::ZERO, Quota::plus)
    }

    /// Quota that is committed to one borrower.
    pub(crate) fn committed_to(&self, at: Millis, process: &ProcessId) -> Quota {
        self.borrowers
            .get(process)
            .map_or(Quota::ZERO, |b| committed(b, at))
    }

    /// Quotas that borrowers want. `is_remote` selects the borrowers of other failure domains,
    /// otherwise those of this domain count.
    pub(crate) fn wanted_quotas(&self, now: Millis, is_remote: bool) -> Vec<Quota> {
        let counts = |b: &&Borrower| b.is_remote == is_remote && b.wanted_until > now;
        self.borrowers
            .values()
            .filter(counts)
            .map(|b| b.wanted)
            .collect()
    }

    /// The first expiry of a lease after `at`.
    pub(crate) fn next_expiry(&self, at: Millis) -> Millis {
        let leases = self.borrowers.values().flat_map(|b| &b.leases);
        let expiries = leases.map(|l| l.expires_at).filter(|&expiry| expiry > at);
        expiries.min().unwrap_or(Millis::MAX)
    }

    /// The last expiry of any lease.
    pub(crate) fn last_expiry(&self) -> Millis {
        let leases = self.borrowers.values().flat_map(|b| &b.leases);
        leases.map(|l| l.expires_at).max().unwrap_or(Millis::ZERO)
    }
}

/// Quota that is committed to one borrower: the maximum over the borrower's unexpired leases,
/// because a borrower spends under only one lease at a time.
fn committed(borrower: &Borrower, at: Millis) -> Quota {
    let unexpired = borrower.leases.iter().filter(|l| l.expires_at > at);
    unexpired.map(|l| l.quota).fold(Quota::ZERO, Quota::max)
}
