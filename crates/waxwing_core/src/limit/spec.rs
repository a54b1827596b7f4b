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
    pub struct LedgerSettings {
        /// This VM.
        pub vm: VmId,
        /// This process.
        pub incarnation: Incarnation,
        /// Failure domain of this VM.
        pub domain: DomainId,
        /// How shard leases are renewed.
        pub mode: LeaseMode,
        /// Term of a shard lease.
        pub shard_term: Millis,
        /// Time between renewals of a shard lease.
        pub renew_period: Millis,
        /// Least time between two periodic asks to the same owner.
        pub borrow_period: Millis,
        /// Added to the borrow period for each VM of the domain beyond what the least time covers.
        pub period_per_vm: Millis,
        /// Term of a quota lease between domains, and the longest of any. A successor waits for it.
        pub cross_term: Millis,
        /// Least time between two asks for the same limit.
        pub ask_gap: Millis,
        /// The same between domains.
        pub cross_gap: Millis,
        /// Time without a change of its entry after which an orphaned shard is taken over.
        pub orphan_term: Millis,
        /// Time after which an owner rewrites its entry.
        pub rewrite_period: Millis,
        /// Bound of the rate error of any VM's clock, in thousandths.
        pub drift_permille: u64,
        /// Part of a lease's margin that does not depend on its term.
        pub fixed_margin: Millis,
    }
}

impl LedgerSettings {
    /// The settings for domains of up to eleven VMs.
    pub fn new(vm: VmId, incarnation: Incarnation, domain: DomainId) -> Self {
        Self {
            vm,
            incarnation,
            domain,
            mode: LeaseMode::Standby,
            shard_term: Millis::from_secs(4),
            renew_period: Millis::from_secs(1),
            borrow_period: Millis::from_secs(1),
            period_per_vm: Millis(150),
            cross_term: Millis::from_secs(5),
            ask_gap: Millis(25),
            cross_gap: Millis(200),
            orphan_term: Millis::from_secs(6 * 3600),
            rewrite_period: Millis::from_secs(1800),
            drift_permille: 10,
            fixed_margin: Millis(50),
        }
    }

    /// Raises the longest term for domains of up to `vms` VMs. All VMs of a deployment must use the
    /// same value, because a successor waits for it.
    #[must_use]
    pub fn sized_for(mut self, vms: usize) -> Self {
        let term = Millis(self.period(vms).0.saturating_mul(3));
        self.cross_term = self.cross_term.max(term);
        self
    }

    /// What is added to a term of another VM's clock before it counts as over on the own clock.
    ///
    /// Two clocks may err in opposite directions, by more than twice the bound relative to each
    /// other, hence the factor 5/2.
    pub(crate) fn margin(&self, term: Millis) -> Millis {
        let drift = term.0.saturating_mul(self.drift_permille).saturating_mul(5) / 2000;
        Millis(drift + 1) + self.fixed_margin
    }

    /// Time between periodic asks to the same owner in a domain of `vms` VMs.
    pub(crate) fn period(&self, vms: usize) -> Millis {
        let scaled = self.period_per_vm.0.saturating_mul(vms as u64);
        self.borrow_period.max(Millis(scaled))
    }

    /// Term of quota leases inside a domain of `vms` VMs: three periods, but not beyond
    /// `cross_term`, for which a successor waits whatever the number of VMs was.
    pub(crate) fn quota_term(&self, vms: usize) -> Millis {
        Millis(self.period(vms).0 * 3).min(self.cross_term)
    }

    /// The term with its margin.
    pub(crate) fn with_margin(&self, term: Millis) -> Millis {
        term + self.margin(term)
    }
}
