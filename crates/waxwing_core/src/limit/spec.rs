//! Configured limits, and the settings of the rate limiter.

use waxwing_types::{DomainId, Incarnation, Micros, Millis, Revision, VmId, common_derives};

use crate::LimitKey;

common_derives! {
    /// A limit on what all VMs together may spend.
    pub struct LimitSpec {
        /// What is limited.
        pub key: LimitKey,
        /// Refill rate, in millionths of a token per second.
        pub rate: Micros,
        /// Most that may be spent at once, in millionths of a token.
        pub burst: Micros,
        /// Failure domains among which rate and burst are divided equally.
        pub domains: Vec<DomainId>,
        /// Version of the newest record from which the other fields derive.
        pub revision: Revision,
    }
}

common_derives! {
    copy
    /// How the owner of a shard renews its shard lease.
    pub enum LeaseMode {
        /// By acknowledgements of a standby VM. The store is needed only to change the owner or the
        /// standby.
        Standby,
        /// By writes to the store.
        Store,
    }
}

common_derives! {
    /// Identity of the VM, lease terms and request intervals.
    pub struct RateLimiterSettings {
        /// This VM.
        pub vm: VmId,
        /// This process.
        pub incarnation: Incarnation,
        /// Failure domain of this VM.
        pub domain: DomainId,
        /// How shard leases are renewed.
        pub lease_mode: LeaseMode,
        /// Term of a shard lease.
        pub shard_lease_term: Millis,
        /// Time between renewals of a shard lease.
        pub shard_renew_interval: Millis,
        /// Shortest regular time between borrow requests to the owner in the same domain.
        pub borrow_interval: Millis,
        /// Time per VM of the domain: the regular time between borrow requests is this times the
        /// number of VMs, and at least `borrow_interval`.
        pub borrow_interval_per_vm: Millis,
        /// Term of a quota lease granted to another domain, and upper bound for all quota leases. A
        /// new shard owner waits this long before it grants.
        pub max_quota_lease_term: Millis,
        /// Shortest time between two borrow requests for the same limit inside a domain.
        pub min_borrow_interval: Millis,
        /// Shortest time between two borrow requests for the same limit to another domain.
        pub min_cross_domain_borrow_interval: Millis,
        /// Time without a change of a shard's entry after which the VM that ranks first takes the
        /// shard over, even if it is not the standby.
        pub orphan_timeout: Millis,
        /// Time after which an owner rewrites an unchanged entry in standby mode, so that the shard
        /// is not taken for orphaned.
        pub entry_rewrite_interval: Millis,
        /// Upper bound of the rate error of any VM's clock, in thousandths.
        pub max_clock_drift_permille: u64,
        /// Part of the safety margin of a lease that does not depend on its term.
        pub fixed_lease_margin: Millis,
    }
}

impl RateLimiterSettings {
    /// The default settings, for domains of up to eleven VMs.
    pub fn new(vm: VmId, incarnation: Incarnation, domain: DomainId) -> Self {
        Self {
            vm,
            incarnation,
            domain,
            lease_mode: LeaseMode::Standby,
            shard_lease_term: Millis::from_secs(4),
            shard_renew_interval: Millis::from_secs(1),
            borrow_interval: Millis::from_secs(1),
            borrow_interval_per_vm: Millis(150),
            max_quota_lease_term: Millis::from_secs(5),
            min_borrow_interval: Millis(25),
            min_cross_domain_borrow_interval: Millis(200),
            orphan_timeout: Millis::from_secs(6 * 3600),
            entry_rewrite_interval: Millis::from_secs(1800),
            max_clock_drift_permille: 10,
            fixed_lease_margin: Millis(50),
        }
    }

    /// Raises the longest quota lease term for domains of up to `vms` VMs. All VMs of a deployment
    /// must use the same value, because a new shard owner waits for that term.
    #[must_use]
    pub fn with_domain_size(mut self, vms: usize) -> Self {
        let term = Millis(self.borrow_interval_for(vms).0.saturating_mul(3));
        self.max_quota_lease_term = self.max_quota_lease_term.max(term);
        self
    }

    /// Time to add to a term measured by another VM's clock before it counts as over on this VM's
    /// clock.
    ///
    /// Two clocks may err in opposite directions, and then differ by slightly more than twice the
    /// bound relative to each other, hence the factor 5/2.
    pub(crate) fn lease_margin(&self, term: Millis) -> Millis {
        let drift = term
            .0
            .saturating_mul(self.max_clock_drift_permille)
            .saturating_mul(5)
            / 2000;
        Millis(drift + 1) + self.fixed_lease_margin
    }

    /// Regular time between borrow requests to the same owner in a domain of `vms` VMs.
    pub(crate) fn borrow_interval_for(&self, vms: usize) -> Millis {
        let scaled = self.borrow_interval_per_vm.0.saturating_mul(vms as u64);
        self.borrow_interval.max(Millis(scaled))
    }

    /// Term of quota leases inside a domain of `vms` VMs: three borrow intervals, but at most
    /// `max_quota_lease_term`, because that is how long a new shard owner waits, whatever number of
    /// VMs its predecessor counted.
    pub(crate) fn quota_lease_term(&self, vms: usize) -> Millis {
        Millis(self.borrow_interval_for(vms).0 * 3).min(self.max_quota_lease_term)
    }

    /// The term plus its safety margin.
    pub(crate) fn with_margin(&self, term: Millis) -> Millis {
        term + self.lease_margin(term)
    }
}
