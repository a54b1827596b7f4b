//! The share of a limit that belongs to the own failure domain.

use waxwing_types::{DomainId, Revision, common_derives};

use super::LimitSpec;
use super::bucket::Quota;

common_derives! {
    /// Division of a limit over failure domains, as far as it is in force in one of them.
    pub(crate) struct Division {
        spec: LimitSpec,
        /// The domain's share.
        share: Quota,
        /// Domains of all divisions that may still be in force elsewhere.
        former: Vec<DomainId>,
        /// Whether the share under `spec` is in force in full.
        settled: bool,
    }
}

impl Division {
    /// A limit first seen while the process is running: no other division is in force anywhere.
    pub(crate) fn created(spec: LimitSpec, own: &DomainId, max_clock_drift_permille: u64) -> Self {
        Self {
            share: share_of(&spec, own, max_clock_drift_permille),
            spec,
            former: Vec::new(),
            settled: true,
        }
    }

    /// A limit that a process found when it started: an earlier division may still be in force in
    /// other domains, so the share waits for their confirmation.
    pub(crate) fn found(spec: LimitSpec) -> Self {
        Self {
            share: Quota::ZERO,
            spec,
            former: Vec::new(),
            settled: false,
        }
    }

    /// Takes over a changed limit. What the domain loses it loses at once; what it gains by a
    /// different division waits for `settle`.
    pub(crate) fn change(
        &mut self,
        spec: LimitSpec,
        own: &DomainId,
        max_clock_drift_permille: u64,
    ) {
        let share = share_of(&spec, own, max_clock_drift_permille);
        let same_domains = spec.domains.len() == self.spec.domains.len()
            && spec.domains.iter().all(|d| self.spec.domains.contains(d));
        if self.settled && same_domains {
            self.share = share;
        } else {
            self.former.append(&mut self.spec.domains);
            self.former.sort();
            self.former.dedup();
            self.share = self.share.min(share);
            self.settled = false;
        }
        self.spec = spec;
    }

    /// Puts the share in force in full.
    pub(crate) fn settle(&mut self, own: &DomainId, max_clock_drift_permille: u64) {
        self.share = share_of(&self.spec, own, max_clock_drift_permille);
        self.former.clear();
        self.settled = true;
    }

    /// Ends the limit.
    pub(crate) fn withdraw(&mut self, own: &DomainId, revision: Revision) {
        if !self.is_withdrawn() {
            let mut spec = self.spec.clone();
            spec.domains.clear();
            spec.revision = revision;
            self.change(spec, own, 0);
        }
    }
}

impl Division {
    pub(crate) fn share(&self) -> Quota {
        self.share
    }

    pub(crate) fn is_settled(&self) -> bool {
        self.settled
    }

    pub(crate) fn is_withdrawn(&self) -> bool {
        self.spec.domains.is_empty()
    }

    pub(crate) fn spec(&self) -> &LimitSpec {
        &self.spec
    }

    /// Whether `domain` takes part in a division that may be in force.
    pub(crate) fn involves(&self, domain: &DomainId) -> bool {
        self.former.contains(domain) || self.spec.domains.contains(domain)
    }
}

/// The share of one domain, rounded down.
///
/// A clock may run fast by the drift bound, so the rate is lowered by it. A clock counts whole
/// milliseconds, so a bucket may refill for a millisecond more than has passed; the burst is
/// lowered by that.
fn share_of(spec: &LimitSpec, own: &DomainId, max_clock_drift_permille: u64) -> Quota {
    if !spec.domains.contains(own) {
        return Quota::ZERO;
    }
    let count = spec.domains.len() as u64;
    let slowed =
        u128::from(spec.rate.0) * u128::from(1000 - max_clock_drift_permille.min(1000)) / 1000;
    let rate = u64::try_from(slowed).unwrap_or(u64::MAX) / count;
    Quota {
        rate,
        burst: (spec.burst.0 / count).saturating_sub(rate.div_ceil(1000)),
    }
}
