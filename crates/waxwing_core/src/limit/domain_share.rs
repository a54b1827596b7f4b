//! The share of a limit that belongs to this VM's failure domain.

use waxwing_types::{DomainId, Revision, common_derives};

use super::LimitSpec;
use super::bucket::Quota;

common_derives! {
    /// The share of a limit that this failure domain may spend.
    ///
    /// When the domains of a limit change, another domain may still spend under an earlier spec.
    /// Until all domains confirm the new one, this domain spends at most the smaller of its shares.
    pub(crate) struct DomainShare {
        /// The newest spec of the limit.
        spec: LimitSpec,
        /// The share that is in force in this domain.
        share: Quota,
        /// Domains of earlier specs under which a VM may still spend.
        earlier_domains: Vec<DomainId>,
        /// Whether the full share under `spec` is in force.
        fully_in_force: bool,
    }
}

impl DomainShare {
    /// Creates the share of a limit that appeared while this process was running. No earlier spec
    /// of the limit is in force in any domain, so the full share applies at once.
    pub(crate) fn of_new_limit(
        spec: LimitSpec,
        own: &DomainId,
        max_clock_drift_permille: u64,
    ) -> Self {
        Self {
            share: share_of(&spec, own, max_clock_drift_permille),
            spec,
            earlier_domains: Vec::new(),
            fully_in_force: true,
        }
    }

    /// Creates the share of a limit that existed when this process started. An earlier spec may
    /// still be in force in other domains, so the share is zero until they confirm this one.
    pub(crate) fn of_existing_limit(spec: LimitSpec) -> Self {
        Self {
            share: Quota::ZERO,
            spec,
            earlier_domains: Vec::new(),
            fully_in_force: false,
        }
    }

    /// Applies a changed spec. A lower share applies at once. A higher share applies at once only
    /// if the domains stay the same and the present share is fully in force; otherwise it waits for
    /// `apply_full_share`.
    pub(crate) fn update_spec(
        &mut self,
        spec: LimitSpec,
        own: &DomainId,
        max_clock_drift_permille: u64,
    ) {
        let share = share_of(&spec, own, max_clock_drift_permille);
        let same_domains = spec.domains.len() == self.spec.domains.len()
            && spec.domains.iter().all(|d| self.spec.domains.contains(d));
        if self.fully_in_force && same_domains {
            self.share = share;
        } else {
            self.earlier_domains.append(&mut self.spec.domains);
            self.earlier_domains.sort();
            self.earlier_domains.dedup();
            self.share = self.share.min(share);
            self.fully_in_force = false;
        }
        self.spec = spec;
    }

    /// Puts the full share under the newest spec in force, after all domains have confirmed it.
    pub(crate) fn apply_full_share(&mut self, own: &DomainId, max_clock_drift_permille: u64) {
        self.share = share_of(&self.spec, own, max_clock_drift_permille);
        self.earlier_domains.clear();
        self.fully_in_force = true;
    }

    /// Removes the limit from all domains, as of configuration revision `revision`.
    pub(crate) fn withdraw(&mut self, own: &DomainId, revision: Revision) {
        if !self.is_withdrawn() {
            let mut spec = self.spec.clone();
            spec.domains.clear();
            spec.revision = revision;
            self.update_spec(spec, own, 0);
        }
    }
}

impl DomainShare {
    /// The share that is in force in this domain.
    pub(crate) fn quota(&self) -> Quota {
        self.share
    }

    pub(crate) fn is_fully_in_force(&self) -> bool {
        self.fully_in_force
    }

    pub(crate) fn is_withdrawn(&self) -> bool {
        self.spec.domains.is_empty()
    }

    pub(crate) fn spec(&self) -> &LimitSpec {
        &self.spec
    }

    /// Whether `domain` may hold a share under the newest spec or one that may still be in force.
    pub(crate) fn involves(&self, domain: &DomainId) -> bool {
        self.earlier_domains.contains(domain) || self.spec.domains.contains(domain)
    }
}

/// Computes the share of domain `own`, rounded down.
///
/// A clock may run fast by the drift bound, so the rate is lowered by that bound. Clocks count
/// whole milliseconds, so a bucket may refill for one millisecond more than has passed; the burst
/// is lowered by the refill of that millisecond.
fn share_of(spec: &LimitSpec, own: &DomainId, max_clock_drift_permille: u64) -> Quota {
    if !spec.domains.contains(own) {
        return Quota::ZERO;
    }
    let domain_count = spec.domains.len() as u64;
    let slowed_rate =
        u128::from(spec.rate.0) * u128::from(1000 - max_clock_drift_permille.min(1000)) / 1000;
    let rate = u64::try_from(slowed_rate).unwrap_or(u64::MAX) / domain_count;
    Quota {
        rate,
        burst: (spec.burst.0 / domain_count).saturating_sub(rate.div_ceil(1000)),
    }
}
