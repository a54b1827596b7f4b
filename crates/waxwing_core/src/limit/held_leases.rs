//! Quota leases that this VM holds, that is, quota that it borrows.

use waxwing_types::{Millis, VmId, common_derives};

use super::bucket::Quota;
use crate::Grant;

common_derives! {
    /// A quota lease that this VM holds.
    pub(crate) struct HeldLease {
        pub(crate) lender: VmId,
        /// Sequence number of the grant.
        pub(crate) seq: u64,
        /// Quota that the lease allows this VM to spend itself or to lend to other VMs.
        pub(crate) quota: Quota,
        /// Lowest quota that the lender has offered since the lease took effect. This VM lends no
        /// more than this to other VMs.
        pub(crate) min_offered: Quota,
        /// Time of expiry: the time at which this VM sent the request, plus the granted term.
        pub(crate) expires_at: Millis,
        /// Whether this lease replaced a larger lease. The lender reclaims the difference once a
        /// request of this VM reports that the smaller lease is in force.
        pub(crate) reduced: bool,
    }
}

common_derives! {
    /// All quota leases that this VM holds for one limit, at most one per lender.
    #[derive(Default)]
    pub(crate) struct HeldLeases {
        leases: Vec<HeldLease>,
    }
}

impl HeldLeases {
    /// Puts a grant in force and returns the tokens that come with it. Ignores a grant that has
    /// expired or that does not replace the current lease.
    ///
    /// `own_share` is the quota that does not depend on leases, and `committed` the quota that this
    /// VM has lent to other VMs. A grant that is smaller than the current lease is not put in force
    /// if the committed quota would no longer be covered: the lender would reclaim quota that
    /// borrowers of this VM still spend. Such a grant lowers `min_offered`, so that this VM lends
    /// less to other VMs in later grants.
    pub(crate) fn accept_grant(
        &mut self,
        now: Millis,
        sent_at: Millis,
        lender: &VmId,
        grant: &Grant,
        (own_share, committed): (Quota, Quota),
    ) -> u64 {
        let expires_at = sent_at + grant.term;
        let quota = Quota::new(grant.rate, grant.burst);
        if expires_at <= now {
            return 0;
        }
        let other_quota = own_share.plus(self.total_except(now, lender));
        let Some(current) = self.leases.iter_mut().find(|l| &l.lender == lender) else {
            self.leases.push(HeldLease {
                lender: lender.clone(),
                seq: grant.seq,
                quota,
                min_offered: quota,
                expires_at,
                reduced: false,
            });
            return grant.tokens.0;
        };
        // Replies may arrive out of order, so a grant with a higher sequence number may answer an
        // older request and expire earlier than the current lease. This VM may have lent quota to
        // other VMs until the expiry of the current lease, so the current lease must stay.
        if grant.seq <= current.seq || expires_at < current.expires_at {
            return 0;
        }
        let shrinks = current.expires_at > now && !current.quota.fits_in(quota);
        if shrinks && !committed.fits_in(other_quota.plus(quota)) {
            current.min_offered = current.min_offered.min(quota);
            return 0;
        }
        current.reduced = shrinks;
        current.seq = grant.seq;
        current.quota = quota;
        current.min_offered = quota;
        current.expires_at = expires_at;
        grant.tokens.0
    }

    pub(crate) fn remove_expired(&mut self, now: Millis) {
        self.leases.retain(|l| l.expires_at > now);
    }
}

impl HeldLeases {
    /// Quota of all leases in force at `at`.
    pub(crate) fn total(&self, at: Millis) -> Quota {
        self.sum(|l| l.expires_at > at, |l| l.quota)
    }

    /// Held quota that this VM may lend to other VMs in leases that expire at `end`.
    pub(crate) fn lendable_until(&self, end: Millis) -> Quota {
        self.sum(|l| l.expires_at > end, |l| l.min_offered)
    }

    /// The lease from `lender` that is in force at `at`.
    pub(crate) fn get(&self, at: Millis, lender: &VmId) -> Option<&HeldLease> {
        self.leases
            .iter()
            .find(|l| &l.lender == lender && l.expires_at > at)
    }

    /// The first expiry of a lease after `at`.
    pub(crate) fn next_expiry(&self, at: Millis) -> Millis {
        let expiries = self
            .leases
            .iter()
            .map(|l| l.expires_at)
            .filter(|&expiry| expiry > at);
        expiries.min().unwrap_or(Millis::MAX)
    }

    fn total_except(&self, at: Millis, lender: &VmId) -> Quota {
        self.sum(|l| l.expires_at > at && &l.lender != lender, |l| l.quota)
    }

    fn sum(
        &self,
        include: impl Fn(&HeldLease) -> bool,
        quota: impl Fn(&HeldLease) -> Quota,
    ) -> Quota {
        let quotas = self.leases.iter().filter(|l| include(l)).map(quota);
        quotas.fold(Quota::ZERO, Quota::plus)
    }
}
