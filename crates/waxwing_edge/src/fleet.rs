//! Which entry VMs there are, which of them respond, and what they tell each other.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use waxwing_records::VmEntry;
use waxwing_types::{
    DomainId, Incarnation, Micros, Millis, RegionId, VmId, WorkspaceId, common_derives,
};

/// Time without a heartbeat after which a VM is not named to callers. Heartbeats come each second and
/// datagrams may be lost; the directory may name a dead VM for seven seconds at most.
const SILENCE: Millis = Millis(3500);
/// Time for which a VM that registered anew counts as live before its first heartbeat.
const GRACE: Millis = Millis(2500);

common_derives! {
    /// A datagram between VMs.
    #[derive(Serialize, Deserialize)]
    #[serde(tag = "t", rename_all = "snake_case")]
    pub enum PeerMessage {
        /// The sender is alive.
        Beat {
            /// The sender.
            vm: VmId,
            /// Its process.
            incarnation: Incarnation,
            /// Whether it takes callers.
            ready: bool,
        },
        /// The sender wants tokens.
        Ask {
            /// Whose tokens.
            workspace: WorkspaceId,
            /// How many.
            amount: Micros,
        },
        /// The sender gives tokens, which it has already deducted.
        Give {
            /// Whose tokens.
            workspace: WorkspaceId,
            /// How many.
            amount: Micros,
        },
        /// A request was running when its target crashed.
        Crash {
            /// Its fingerprint.
            print: u64,
        },
    }
}

struct Vm {
    entry: VmEntry,
    /// When it registered.
    since: Millis,
    heard: Option<Millis>,
    ready: bool,
}

/// The entry VMs as one of them sees them.
pub struct Fleet {
    own: VmEntry,
    vms: BTreeMap<VmId, Vm>,
}

/// Queries.
impl Fleet {
    /// Number of VMs that are registered, with this one.
    pub fn len(&self) -> usize {
        self.vms.len() + usize::from(!self.vms.contains_key(&self.own.id))
    }

    /// Whether no other VM is known.
    pub fn is_empty(&self) -> bool {
        self.len() == 1
    }

    /// The VMs of this VM's region, with this one.
    pub fn region_ids(&self) -> Vec<VmId> {
        let others = self
            .others()
            .filter(|vm| vm.entry.region == self.own.region);
        let others = others.map(|vm| vm.entry.id.clone());
        others.chain([self.own.id.clone()]).collect()
    }

    /// Addresses for datagrams to the other VMs of a region.
    pub fn peers_in(&self, region: &RegionId) -> Vec<SocketAddr> {
        let others = self.others().filter(|vm| vm.entry.region == *region);
        others.map(|vm| vm.entry.peer).collect()
    }

    /// Addresses for datagrams to the other VMs of this VM's region.
    pub fn neighbours(&self) -> Vec<SocketAddr> {
        self.peers_in(&self.own.region)
    }

    /// Addresses for datagrams to the VMs of other regions.
    pub fn distant(&self) -> Vec<SocketAddr> {
        let others = self
            .others()
            .filter(|vm| vm.entry.region != self.own.region);
        others.map(|vm| vm.entry.peer).collect()
    }

    /// Addresses of the VMs that callers of a failure domain are to use: those of this VM's region that
    /// respond, those of the domain first. This VM names itself only while it takes callers.
    pub fn entries(
        &self,
        now: Millis,
        domain: Option<&DomainId>,
        own_ready: bool,
    ) -> Vec<SocketAddr> {
        let near = |entry: &VmEntry| Some(&entry.domain) != domain;
        let mut found: Vec<_> = self
            .others()
            .filter(|vm| vm.entry.region == self.own.region && vm.is_live(now))
            .map(|vm| (near(&vm.entry), vm.entry.client))
            .collect();
        if own_ready {
            found.push((near(&self.own), self.own.client));
        }
        found.sort_unstable();
        found.into_iter().map(|(_, address)| address).collect()
    }

    fn others(&self) -> impl Iterator<Item = &Vm> {
        self.vms.values().filter(|vm| vm.entry.id != self.own.id)
    }
}

/// Commands.
impl Fleet {
    /// A fleet of one VM.
    pub fn new(own: VmEntry) -> Self {
        Self {
            own,
            vms: BTreeMap::new(),
        }
    }

    /// A VM registered itself, or its entry was read again.
    pub fn adopt(&mut self, now: Millis, entry: VmEntry) {
        match self.vms.get_mut(&entry.id) {
            Some(vm) if vm.entry == entry => {}
            Some(vm) => {
                vm.entry = entry;
                vm.since = now;
                vm.ready = true;
            }
            None => {
                let vm = Vm {
                    entry: entry.clone(),
                    since: now,
                    heard: None,
                    ready: true,
                };
                self.vms.insert(entry.id, vm);
            }
        }
    }

    /// The entry of a VM was removed.
    pub fn remove(&mut self, vm: &VmId) {
        self.vms.remove(vm);
    }

    /// Keeps only the VMs of a complete list.
    pub fn keep(&mut self, listed: &[VmId]) {
        self.vms.retain(|id, _| listed.contains(id));
    }

    /// A heartbeat arrived. One of an earlier process is ignored.
    pub fn on_beat(&mut self, now: Millis, vm: &VmId, incarnation: Incarnation, ready: bool) {
        let Some(vm) = self.vms.get_mut(vm) else {
            return;
        };
        if incarnation >= vm.entry.incarnation {
            vm.entry.incarnation = incarnation;
            vm.heard = Some(now);
            vm.ready = ready;
        }
    }
}

impl Vm {
    fn is_live(&self, now: Millis) -> bool {
        let responds = match self.heard {
            Some(heard) => now.since(heard) < SILENCE || now.since(self.since) < GRACE,
            None => now.since(self.since) < GRACE,
        };
        self.ready && responds
    }
}
