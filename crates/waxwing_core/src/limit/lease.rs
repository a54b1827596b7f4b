//! Quota leases that a VM holds.

use waxwing_types::{Millis, VmId, common_derives};

use super::bucket::Quota;
use crate::Grant;

common_derives! {
    /// A quota lease in force.
    pub(crate) struct Lease {
        /// Who lent it.
        pub(crate) lender: VmId,
        /// Sequence number of the grant.
        pub(crate) seq: u64,
        /// What was lent.
        pub(crate) quota: Quota,
        /// Least that the lender offered since; new nested leases rest on no more than this.
        pub(crate) offered: Quota,
        /// End, counted from the moment the request was sent.
        pub(crate) until: Millis,
        /// Whether it replaced a greater one, which the lender reclaims once it is told.
        pub(crate) reduced: bool,
    }
}

common_derives! {
    /// All quota leases of one limit that a VM holds.
    #[derive(Default)]
    pub(crate) struct Leases {
        held: Vec<Lease>,
    }
}

impl Leases {
    /// Puts a grant in force and returns the tokens that come with it. Drops it if it is over, or
    /// not newer than the one in force.
    ///
    /// `committed` is what was lent on. A grant that is smaller than the lease in force and under
    /// which the commitments no longer fit is not put in force: the lender would reclaim quota
    /// that nested leases still spend. It only limits what is lent on from now.
    pub(crate) fn adopt(
        &mut self,
        now: Millis,
        sent_at: Millis,
        lender: &VmId,
        grant: &Grant,
        (base, committed): (Quota, Quota),
    ) -> u64 {
        let until = sent_at + grant.term;
        let quota = Quota::of(grant.rate, grant.burst);
        if until <= now {
            return 0;
        }
        let others = base.plus(self.total_except(now, lender));
        let Some(held) = self.held.iter_mut().find(|l| &l.lender == lender) else {
            self.held.push(Lease {
                lender: lender.clone(),
                seq: grant.seq,
                quota,
                offered: quota,
                until,
                reduced: false,
            });
            return grant.tokens.0;
        };
        // A reply to an older request may carry a newer grant; nested leases rest on the later end.
        if grant.seq <= held.seq || until < held.until {
            return 0;
        }
        let shrinks = held.until > now && !held.quota.fits(quota);
        if shrinks && !committed.fits(others.plus(quota)) {
            held.offered = held.offered.min(quota);
            return 0;
        }
        held.reduced = shrinks;
        held.seq = grant.seq;
        held.quota = quota;
        held.offered = quota;
        held.until = until;
        grant.tokens.0
    }

    /// Forgets leases that ended.
    pub(crate) fn expire(&mut self, now: Millis) {
        self.held.retain(|l| l.until > now);
    }
}

impl Leases {
    pub(crate) fn total(&self, at: Millis) -> Quota {
        self.sum(|l| l.until > at, |l| l.quota)
    }

    /// What new nested leases that end at `end` may rest on.
    pub(crate) fn outliving(&self, end: Millis) -> Quota {
        self.sum(|l| l.until > end, |l| l.offered)
    }

    pub(crate) fn of(&self, at: Millis, lender: &VmId) -> Option<&Lease> {
        self.held
            .iter()
            .find(|l| &l.lender == lender && l.until > at)
    }

    /// First end of a lease after `at`.
    pub(crate) fn next_end(&self, at: Millis) -> Millis {
        let ends = self.held.iter().map(|l| l.until).filter(|&u| u > at);
        ends.min().unwrap_or(Millis::MAX)
    }

    fn total_except(&self, at: Millis, lender: &VmId) -> Quota {
        self.sum(|l| l.until > at && &l.lender != lender, |l| l.quota)
    }

    fn sum(&self, which: impl Fn(&Lease) -> bool, part: impl Fn(&Lease) -> Quota) -> Quota {
        let parts = self.held.iter().filter(|l| which(l)).map(part);
        parts.fold(Quota::ZERO, Quota::plus)
    }
}
