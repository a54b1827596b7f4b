//! Limits as the configuration states them, and the ledger's settings.

use waxwing_types::{DomainId, Incarnation, Micros, Millis, Revision, VmId, common_derives};

use crate::LimitKey;

common_derives! {
    /// A limit over all VMs.
    pub struct LimitSpec {
        /// The limit.
        pub key: LimitKey,
        /// Millionths a second.
        pub rate: Micros,
        /// Most that may be spent at once.
        pub burst: Micros,
        /// Failure domains over which rate and burst are divided.
        pub domains: Vec<DomainId>,
        /// Version of the newest record from which the other fields derive.
        pub revision: Revision,
    }
}

common_derives! {
    copy
    /// How an owner renews its shard leases.
    pub enum LeaseMode {
        /// By the acknowledgements of a standby; the store is needed only for changes.
        Standby,
        /// By writes to the store only.
        Store,
    }
}

common_derives! {
    /// Identity of the VM and durations of the leases.
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
        /// Least time between two periodic asks to the same owner.
        pub borrow_interval: Millis,
        /// Added to the borrow period for each VM of the domain beyond what the least time covers.
        pub borrow_interval_per_vm: Millis,
        /// Term of a quota lease between domains, and the longest of any. A successor waits for it.
        pub max_quota_lease_term: Millis,
        /// Least time between two asks for the same limit.
        pub min_borrow_interval: Millis,
        /// The same between domains.
        pub min_cross_domain_borrow_interval: Millis,
        /// Time without a change of its entry after which an orphaned shard is taken over.
        pub orphan_timeout: Millis,
        /// Time after which an owner rewrites its entry.
        pub entry_rewrite_interval: Millis,
        /// Bound of the rate error of any VM's clock, in thousandths.
        pub max_clock_drift_permille: u64,
        /// Part of a lease's margin that does not depend on its term.
        pub fixed_lease_margin: Millis,
    }
}

impl RateLimiterSettings {
    /// The settings for domains of up to eleven VMs.
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

    /// Raises the longest term for domains of up to `vms` VMs. All VMs of a deployment must use the
    /// same value, because a successor waits for it.
    #[must_use]
    pub fn with_domain_size(mut self, vms: usize) -> Self {
        let term = Millis(self.period(vms).0.saturating_mul(3));
        self.max_quota_lease_term = self.max_quota_lease_term.max(term);
        self
    }

    /// What is added to a term of another VM's clock before it counts as over on the own clock.
    ///
    /// Two clocks may err in opposite directions, by more than twice the bound relative to each
    /// other, hence the factor 5/2.
    pub(crate) fn margin(&self, term: Millis) -> Millis {
        let drift = term
            .0
            .saturating_mul(self.max_clock_drift_permille)
            .saturating_mul(5)
            / 2000;
        Millis(drift + 1) + self.fixed_lease_margin
    }

    /// Time between periodic asks to the same owner in a domain of `vms` VMs.
    pub(crate) fn period(&self, vms: usize) -> Millis {
        let scaled = self.borrow_interval_per_vm.0.saturating_mul(vms as u64);
        self.borrow_interval.max(Millis(scaled))
    }

    /// Term of quota leases inside a domain of `vms` VMs: three periods, but not beyond
    /// `max_quota_lease_term`, for which a successor waits whatever the number of VMs was.
    pub(crate) fn quota_term(&self, vms: usize) -> Millis {
        Millis(self.period(vms).0 * 3).min(self.max_quota_lease_term)
    }

    /// The term with its margin.
    pub(crate) fn with_margin(&self, term: Millis) -> Millis {
        term + self.margin(term)
    }
}
