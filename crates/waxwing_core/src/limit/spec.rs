//! Configured limits, and the settings of the rate limiter.

use waxwing_types::{DomainId, Incarnation, Micros, Millis, Revision, VmId, common_derives};

use crate::LimitKey;

common_derives! {
    /// A limit on what all VMs together may spend.
    pub struct LimitSpec {
        /// What the limit applies to.
        pub key: LimitKey,
        /// Refill rate of all domains together, in millionths of a token per second.
        pub rate: Micros,
        /// Most that may be spent at once, in millionths of a token.
        pub burst: Micros,
        /// Failure domains among which rate and burst are divided equally.
        pub domains: Vec<DomainId>,
        /// Highest version among the configuration records from which the other fields are
        /// computed.
        pub revision: Revision,
    }
}

common_derives! {
    copy
    /// How the owner of a shard renews its shard lease.
    pub enum LeaseMode {
        /// By acknowledgements of a standby, a VM that takes the shard over if the renewals stop.
        /// The store is needed only to change the owner or the standby.
        Standby,
        /// By a write of the shard's entry in the store for each renewal. There is no standby.
        Store,
    }
}

common_derives! {
    /// Identity of the VM, lease terms and request intervals.
    pub struct RateLimiterSettings {
        /// This VM.
        pub vm: VmId,
        /// Incarnation of this process. A later process of the same VM has a higher value.
        pub incarnation: Incarnation,
        /// Failure domain of this VM.
        pub domain: DomainId,
        /// How shard leases are renewed.
        pub lease_mode: LeaseMode,
        /// Term of a shard lease.
        pub shard_lease_term: Millis,
        /// Time between renewals of a shard lease.
        pub shard_renew_interval: Millis,
        /// Lower bound of the regular time between borrow requests to a shard owner in the same
        /// domain.
        pub borrow_interval: Millis,
        /// Increase of that time per VM. The regular time between borrow requests is this value
        /// times the number of VMs in the domain, and at least `borrow_interval`.
        pub borrow_interval_per_vm: Millis,
        /// Term of a quota lease granted to another domain, and upper bound of the terms of all
        /// quota leases. A new shard owner waits this long before it grants, so that the leases of
        /// the previous owner have expired.
        pub max_quota_lease_term: Millis,
        /// Shortest time between two borrow requests for the same limit inside a domain.
        pub min_borrow_interval: Millis,
        /// Shortest time between two borrow requests for the same limit to another domain.
        pub min_remote_borrow_interval: Millis,
        /// Time without a change of a shard's entry after which the shard counts as orphaned, that
        /// is, its owner and its standby may both be gone. The VM that ranks first by rendezvous
        /// hashing then takes the shard over, even if the VM is not the standby.
        pub orphan_timeout: Millis,
        /// Time after which an owner rewrites an unchanged entry in standby mode, so that the shard
        /// does not count as orphaned.
        pub entry_rewrite_interval: Millis,
        /// Upper bound of the relative rate error of any VM's clock, in thousandths.
        pub max_clock_drift_permille: u64,
        /// Part of a lease's safety margin that is the same for all terms.
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
            min_remote_borrow_interval: Millis(200),
            orphan_timeout: Millis::from_secs(6 * 3600),
            entry_rewrite_interval: Millis::from_secs(1800),
            max_clock_drift_permille: 10,
            fixed_lease_margin: Millis(50),
        }
    }

    /// Raises `max_quota_lease_term` to three borrow intervals of a domain with `vms` VMs. All VMs
    /// of a deployment must pass the same number, because a new shard owner waits for the longest
    /// term that its predecessor could grant.
    #[must_use]
    pub fn with_domain_size(mut self, vms: usize) -> Self {
        let term = Millis(self.borrow_interval_for(vms).0.saturating_mul(3));
        self.max_quota_lease_term = self.max_quota_lease_term.max(term);
        self
    }

    /// Safety margin of a lease. A term that another VM measures is over once the term plus this
    /// margin has passed on this VM's clock.
    ///
    /// Two clocks may err in opposite directions. They then differ by slightly more than twice the
    /// drift bound, hence the factor 5/2.
    pub(crate) fn lease_margin(&self, term: Millis) -> Millis {
        let drift_ms = term
            .0
            .saturating_mul(self.max_clock_drift_permille)
            .saturating_mul(5)
            / 2000;
        Millis(drift_ms + 1) + self.fixed_lease_margin
    }

    /// Regular time between borrow requests to the same owner in a domain of `vms` VMs.
    pub(crate) fn borrow_interval_for(&self, vms: usize) -> Millis {
        let scaled_ms = self.borrow_interval_per_vm.0.saturating_mul(vms as u64);
        self.borrow_interval.max(Millis(scaled_ms))
    }

    /// Term of quota leases inside a domain of `vms` VMs: three borrow intervals, but at most
    /// `max_quota_lease_term`. A new shard owner waits for `max_quota_lease_term`, because it does
    /// not know how many VMs its predecessor counted.
    pub(crate) fn quota_lease_term(&self, vms: usize) -> Millis {
        Millis(self.borrow_interval_for(vms).0 * 3).min(self.max_quota_lease_term)
    }

    /// Whether quota leases end with the shard lease of the VM that grants them, so that a standby
    /// that takes the shard over need not wait for their expiry. A shard lease that is renewed
    /// regularly lasts for half of its term or longer; borrowers must renew their leases within that
    /// time, which they do once in a third of the longest quota lease term.
    pub(crate) fn nests_leases(&self) -> bool {
        self.lease_mode == LeaseMode::Standby
            && self.max_quota_lease_term.0 / 3 <= self.shard_lease_term.0 / 2
    }

    /// Term of a quota lease, at most `term`, if the shard lease of its owner ends after
    /// `shard_lease_left`.
    pub(crate) fn nested_term(&self, term: Millis, shard_lease_left: Millis) -> Millis {
        if self.nests_leases() {
            term.min(shard_lease_left)
        } else {
            term
        }
    }

    /// The term plus its safety margin.
    pub(crate) fn with_margin(&self, term: Millis) -> Millis {
        term + self.lease_margin(term)
    }
}
