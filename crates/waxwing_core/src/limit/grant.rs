//! What an owner granted of one limit, and to whom.

use std::collections::BTreeMap;

use waxwing_types::{Incarnation, Millis, VmId, common_derives};

use super::bucket::Quota;

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
    /// A VM that borrows.
    struct Borrower {
        incarnation: Incarnation,
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
        borrowers: BTreeMap<VmId, Borrower>,
        last_seq: u64,
    }
}

impl Commitments {
    /// Notes what `vm` wants, and drops the grants that its newer one in force replaced. False if
    /// the request comes from an earlier process of the VM.
    pub(crate) fn note(
        &mut self,
        vm: &VmId,
        incarnation: Incarnation,
        cross: bool,
        (want, want_until): (Quota, Millis),
        in_force: u64,
    ) -> bool {
        let borrower = self
            .borrowers
            .entry(vm.clone())
            .or_insert_with(|| Borrower {
                incarnation,
                cross,
                want,
                want_until,
                given: Vec::new(),
            });
        if incarnation < borrower.incarnation {
            return false;
        }
        borrower.incarnation = incarnation;
        borrower.cross = cross;
        borrower.want = want;
        borrower.want_until = want_until;
        borrower.given.retain(|g| g.seq >= in_force);
        true
    }

    /// Records a grant to a known borrower and returns its sequence number, which lies above
    /// those of all earlier epochs of the shard.
    pub(crate) fn add(&mut self, vm: &VmId, epoch: u64, quota: Quota, until: Millis) -> u64 {
        self.last_seq = (self.last_seq + 1).max(epoch << 32);
        let seq = self.last_seq;
        if let Some(borrower) = self.borrowers.get_mut(vm) {
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
    pub(crate) fn of(&self, at: Millis, vm: &VmId) -> Quota {
        self.borrowers
            .get(vm)
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
