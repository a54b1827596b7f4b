//! Selection of the VMs from which a VM pulls records.

use fastrand::Rng;
use waxwing_types::{DomainId, VmId};

use super::{Members, rendezvous_rank};

/// One of this many pulls goes to another failure domain.
const REMOTE_PULL_INTERVAL: u64 = 4;

impl Members {
    /// Chooses the VM for the next periodic pull. Three of four pulls stay in this VM's
    /// failure domain.
    ///
    /// VMs that failed or are silent are chosen as well, because only a reply shows that they are
    /// back.
    pub fn next_pull_peer(&mut self, rng: &mut Rng) -> Option<VmId> {
        self.pull_count += 1;
        if self.pull_count.is_multiple_of(REMOTE_PULL_INTERVAL) {
            self.remote_peer(rng).or_else(|| self.local_peer(rng))
        } else {
            self.local_peer(rng).or_else(|| self.remote_peer(rng))
        }
    }

    /// Chooses up to `count` different other VMs of this VM's failure domain at random. Skips VMs
    /// that are stopping or whose last call failed.
    pub fn random_local_peers(&self, count: usize, rng: &mut Rng) -> Vec<VmId> {
        let others = self.listed_vms(&self.own_domain).iter();
        let others = others.filter(|id| **id != self.own_id && self.is_available(id));
        let chosen = rng.choose_multiple(others, count);
        chosen.into_iter().cloned().collect()
    }

    /// Returns every other VM of this VM's failure domain and one VM of each other domain, in
    /// random order.
    pub fn sweep_peers(&self, rng: &mut Rng) -> Vec<VmId> {
        let mut peers: Vec<_> = self.listed_vms(&self.own_domain).to_vec();
        peers.retain(|id| *id != self.own_id);
        let other_domains = self.domains().filter(|d| **d != self.own_domain);
        peers.extend(other_domains.filter_map(|d| self.random_vm(d, rng)));
        rng.shuffle(&mut peers);
        peers
    }

    /// Whether every other listed VM was in contact with this VM or failed its last call.
    pub fn all_peers_tried(&self) -> bool {
        let mut others = self.all.iter().filter(|m| m.vm.id != self.own_id);
        others.all(|m| m.last_call_failed || m.last_contact.is_some())
    }

    /// Whether a VM is not stopping and the last call to it did not fail.
    fn is_available(&self, id: &VmId) -> bool {
        self.member(id)
            .is_some_and(|m| !m.last_call_failed && !m.stopping)
    }

    fn local_peer(&self, rng: &mut Rng) -> Option<VmId> {
        self.random_vm(&self.own_domain, rng)
    }

    fn remote_peer(&self, rng: &mut Rng) -> Option<VmId> {
        let other_domains: Vec<_> = self.domains().filter(|d| **d != self.own_domain).collect();
        let domain = rng.choice(other_domains)?;
        self.preferred_peer(domain)
            .or_else(|| self.random_vm(domain, rng))
    }

    /// The VM of another failure domain from which this VM always pulls, unless the last call to
    /// it failed or it is stopping.
    ///
    /// With a thousand VMs, a VM chosen at random is contacted once an hour, so that each pull
    /// would have to open a connection.
    fn preferred_peer(&self, domain: &DomainId) -> Option<VmId> {
        let ranked = rendezvous_rank(self.own_id.as_str(), self.listed_vms(domain).iter());
        ranked
            .first()
            .filter(|id| self.is_available(id))
            .map(|id| (*id).clone())
    }

    fn random_vm(&self, domain: &DomainId, rng: &mut Rng) -> Option<VmId> {
        let candidates = self
            .listed_vms(domain)
            .iter()
            .filter(|id| **id != self.own_id);
        rng.choice(candidates.collect::<Vec<_>>()).cloned()
    }
}
