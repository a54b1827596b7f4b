//! What an owner granted of one limit, and to whom.

use std::collections::BTreeMap;

use waxwing_types::{Incarnation, Millis, VmId, common_derives};

use super::bucket::Quota;

/// A process of a VM.
pub(crate) type Process = (VmId, Incarnation);

common_derives! {
    copy
    /// A grant whose quota lease may not have ended yet.
    struct Given {
        seq: u64,
        quota: Quota,
        /// End of the lease with its margin on the owner's clock.
        until: Millis,
    }
}

common_derives! {
    /// A process that borrows.
    struct Borrower {
        /// Whether it belongs to another failure domain.
        cross: bool,
        want: Quota,
        /// When `want` is forgotten.
        want_until: Millis,
        given: Vec<Given>,
    }
}

common_derives! {
    /// The commitments of an owner for one limit.
    #[derive(Default)]
    pub(crate) struct Commitments {
        /// By process, because the quota of an earlier process may have been lent on to VMs that go
        /// on spending it.
        borrowers: BTreeMap<Process, Borrower>,
        last_seq: u64,
    }
}

impl Commitments {
    /// Notes what a process wants, and drops the grants that its newer one in force replaced. False
    /// if a later process of the VM has borrowed.
    pub(crate) fn note(
        &mut self,
        process: &Process,
        cross: bool,
        (want, want_until): (Quota, Millis),
        in_force: u64,
    ) -> bool {
        for ((vm, incarnation), other) in &mut self.borrowers {
            if *vm == process.0 && *incarnation > process.1 {
                return false;
            }
            if *vm == process.0 && *incarnation < process.1 {
                other.want = Quota::ZERO;
            }
        }
        let borrower = self
            .borrowers
            .entry(process.clone())
            .or_insert_with(|| Borrower {
                cross,
                want,
                want_until,
                given: Vec::new(),
            });
        borrower.cross = cross;
        borrower.want = want;
        borrower.want_until = want_until;
        borrower.given.retain(|g| g.seq >= in_force);
        true
    }

    /// Records a grant to a known borrower and returns its sequence number, which lies above
    /// those of all earlier epochs of the shard.
    pub(crate) fn add(
        &mut self,
        process: &Process,
        epoch: u64,
        quota: Quota,
        until: Millis,
    ) -> u64 {
        self.last_seq = (self.last_seq + 1).max(epoch << 32);
        let seq = self.last_seq;
        if let Some(borrower) = self.borrowers.get_mut(process) {
            borrower.given.push(Given { seq, quota, until });
        }
        seq
    }

    /// Forgets what ended.
    pub(crate) fn expire(&mut self, now: Millis) {
        self.borrowers.retain(|_, b| {
            b.given.retain(|g| g.until > now);
            !b.given.is_empty() || b.want_until > now
        });
    }
}

impl Commitments {
    pub(crate) fn total(&self, at: Millis) -> Quota {
        let of_each = self.borrowers.values().map(|b| committed(b, at));
        of_each.fold(Quota::ZERO, Quota::plus)
    }

    /// The commitment to one borrower: the maximum over its grants that have not ended.
    pub(crate) fn of(&self, at: Millis, process: &Process) -> Quota {
        self.borrowers
            .get(process)
            .map_or(Quota::ZERO, |b| committed(b, at))
    }

    /// Wants of the borrowers inside or outside the failure domain.
    pub(crate) fn wants(&self, now: Millis, cross: bool) -> Vec<Quota> {
        let current = |b: &&Borrower| b.cross == cross && b.want_until > now;
        self.borrowers
            .values()
            .filter(current)
            .map(|b| b.want)
            .collect()
    }

    /// First end of a grant after `at`.
    pub(crate) fn next_end(&self, at: Millis) -> Millis {
        let given = self.borrowers.values().flat_map(|b| &b.given);
        let ends = given.map(|g| g.until).filter(|&u| u > at);
        ends.min().unwrap_or(Millis::MAX)
    }

    /// Last end of a grant.
    pub(crate) fn last_end(&self) -> Millis {
        let given = self.borrowers.values().flat_map(|b| &b.given);
        given.map(|g| g.until).max().unwrap_or(Millis::ZERO)
    }
}

fn committed(borrower: &Borrower, at: Millis) -> Quota {
    let current = borrower.given.iter().filter(|g| g.until > at);
    current.map(|g| g.quota).fold(Quota::ZERO, Quota::max)
}
