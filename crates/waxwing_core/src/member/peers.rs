//! The choice of the VMs with which records are exchanged.

use fastrand::Rng;
use waxwing_types::{DomainId, VmId};

use super::{Members, rendezvous_rank};

/// Of this many pulls one leaves the failure domain.
const OUTSIDE_EVERY: u64 = 4;

impl Members {
    /// The VM for the next pull: three times out of four of the own failure domain.
    ///
    /// VMs that fail or are silent are asked as well, since only an answer shows their return.
    pub fn next_pull_peer(&mut self, rng: &mut Rng) -> Option<VmId> {
        self.turn += 1;
        if self.turn.is_multiple_of(OUTSIDE_EVERY) {
            self.outside(rng).or_else(|| self.inside(rng))
        } else {
            self.inside(rng).or_else(|| self.outside(rng))
        }
    }

    /// Other usable VMs of the own failure domain, at random and without repetition.
    pub fn random_local_peers(&self, count: usize, rng: &mut Rng) -> Vec<VmId> {
        let others = self.listed_vms(&self.domain).iter();
        let others = others.filter(|id| **id != self.me && self.can_pull_from(id));
        let chosen = rng.choose_multiple(others, count);
        chosen.into_iter().cloned().collect()
    }

    /// Every other VM of the own failure domain and one of each other domain, in random order.
    pub fn sweep_peers(&self, rng: &mut Rng) -> Vec<VmId> {
        let mut all: Vec<_> = self.listed_vms(&self.domain).to_vec();
        all.retain(|id| *id != self.me);
        let others = self.domains().filter(|d| **d != self.domain);
        all.extend(others.filter_map(|d| self.pick(d, rng)));
        rng.shuffle(&mut all);
        all
    }

    /// Whether every other VM on the list was heard of or failed to answer.
    pub fn all_peers_tried(&self) -> bool {
        let mut others = self.all.iter().filter(|m| m.vm.id != self.me);
        others.all(|m| m.failed || m.heard.is_some())
    }

    fn can_pull_from(&self, id: &VmId) -> bool {
        self.member(id).is_some_and(|m| !m.failed && !m.stopping)
    }

    fn inside(&self, rng: &mut Rng) -> Option<VmId> {
        self.pick(&self.domain, rng)
    }

    fn outside(&self, rng: &mut Rng) -> Option<VmId> {
        let others: Vec<_> = self.domains().filter(|d| **d != self.domain).collect();
        let domain = rng.choice(others)?;
        self.partner(domain).or_else(|| self.pick(domain, rng))
    }

    /// The VM of another failure domain that this VM pulls from as long as it answers.
    ///
    /// A random VM of a thousand is met once an hour, so that each pull would open a connection.
    fn partner(&self, domain: &DomainId) -> Option<VmId> {
        let ranked = rendezvous_rank(self.me.as_str(), self.listed_vms(domain).iter());
        ranked
            .first()
            .filter(|id| self.can_pull_from(id))
            .map(|id| (*id).clone())
    }

    fn pick(&self, domain: &DomainId, rng: &mut Rng) -> Option<VmId> {
        let others = self.listed_vms(domain).iter().filter(|id| **id != self.me);
        rng.choice(others.collect::<Vec<_>>()).cloned()
    }
}
