//! The share of a limit that belongs to this VM's failure domain.

use waxwing_types::{DomainId, Revision, common_derives};

use super::LimitSpec;
use super::bucket::Quota;

common_derives! {
    /// The share of a limit that this failure domain may spend.
    ///
    /// When the domains of a limit change, another domain may still spend under an earlier spec.
    /// Until all other domains have confirmed the new spec, this domain spends at most the smaller
    /// of its shares under the earlier and the new spec. After that, the full share under the new
    /// spec is in force.
    pub(crate) struct DomainShare {
        /// The newest spec of the limit.
        spec: LimitSpec,
        /// The share that is in force in this domain.
        share: Quota,
        /// Domains of earlier specs under which a VM of another domain may still spend.
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
        own_domain: &DomainId,
        max_clock_drift_permille: u64,
    ) -> Self {
        Self {
            share: share_of(&spec, own_domain, max_clock_drift_permille),
            spec,
            earlier_domains: Vec::new(),
            fully_in_force: true,
        }
    }

    /// Creates the share of a limit that existed when this process started. An earlier spec may
    /// still be in force in other domains, so the share is zero until these domains confirm `spec`.
    pub(crate) fn of_existing_limit(spec: LimitSpec) -> Self {
        Self {
            share: Quota::ZERO,
            spec,
            earlier_domains: Vec::new(),
            fully_in_force: false,
        }
    }

    /// Applies a changed spec. A lower share applies at once. A higher share applies at once only
    /// if the domains stay the same and the full share under the present spec is in force.
    /// Otherwise `apply_full_share` puts the higher share in force.
    pub(crate) fn update_spec(
        &mut self,
        spec: LimitSpec,
        own_domain: &DomainId,
        max_clock_drift_permille: u64,
    ) {
        let share = share_of(&spec, own_domain, max_clock_drift_permille);
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
    pub(crate) fn apply_full_share(
        &mut self,
        own_domain: &DomainId,
        max_clock_drift_permille: u64,
    ) {
        self.share = share_of(&self.spec, own_domain, max_clock_drift_permille);
        self.earlier_domains.clear();
        self.fully_in_force = true;
    }

    /// Replaces the spec by a spec without domains, as of configuration revision `revision`.
    pub(crate) fn withdraw(&mut self, own_domain: &DomainId, revision: Revision) {
        if !self.is_withdrawn() {
            let mut spec = self.spec.clone();
            spec.domains.clear();
            spec.revision = revision;
            // Without domains, the share is zero for any drift bound.
            self.update_spec(spec, own_domain, 0);
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

    /// Whether `domain` has a share under the newest spec, or under an earlier spec that may still
    /// be in force.
    pub(crate) fn may_have_share(&self, domain: &DomainId) -> bool {
        self.earlier_domains.contains(domain) || self.spec.domains.contains(domain)
    }
}

/// Computes the share of domain `own_domain`, rounded down.
///
/// A clock may run fast by the drift bound, so the rate is lowered by that bound. Clocks count
/// whole milliseconds, so a bucket may be refilled for one millisecond more than has passed. The
/// burst is lowered by the refill of that millisecond.
fn share_of(spec: &LimitSpec, own_domain: &DomainId, max_clock_drift_permille: u64) -> Quota {
    if !spec.domains.contains(own_domain) {
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
