//! The choice of the VMs with which records are exchanged.

use fastrand::Rng;
use waxwing_types::{DomainId, VmId};

use super::Members;

/// Of this many pulls one leaves the failure domain.
const OUTSIDE_EVERY: u64 = 4;

impl Members {
    /// The VM for the next pull: three times out of four of the own failure domain.
    ///
    /// VMs that fail or are silent are asked as well, since only an answer shows their return.
    pub fn next_pull(&mut self, rng: &mut Rng) -> Option<VmId> {
        self.turn += 1;
        if self.turn.is_multiple_of(OUTSIDE_EVERY) {
            self.outside(rng).or_else(|| self.inside(rng))
        } else {
            self.inside(rng).or_else(|| self.outside(rng))
        }
    }

    fn inside(&self, rng: &mut Rng) -> Option<VmId> {
        self.pick(&self.domain, rng)
    }

    fn outside(&self, rng: &mut Rng) -> Option<VmId> {
        let others: Vec<_> = self.domains().filter(|d| **d != self.domain).collect();
        let domain = rng.choice(others)?;
        self.pick(domain, rng)
    }

    fn pick(&self, domain: &DomainId, rng: &mut Rng) -> Option<VmId> {
        let others = self.listed(domain).iter().filter(|id| **id != self.me);
        rng.choice(others.collect::<Vec<_>>()).cloned()
    }
}
