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
            /// Whether a request waits for them.
            urgent: bool,
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

    /// Number of VMs of this VM's failure domain, with this one.
    pub fn near(&self) -> u32 {
        let others = self.others();
        let near = others
            .filter(|vm| vm.entry.domain == self.own.domain)
            .count();
        u32::try_from(near + 1).unwrap_or(u32::MAX)
    }

    /// Addresses of the VMs that callers of a failure domain are to use: those of the domain that
    /// respond, unless they are less than half of it; then those of the region too. This VM names
    /// itself only while it takes callers.
    pub fn entries(
        &self,
        now: Millis,
        domain: Option<&DomainId>,
        own_ready: bool,
    ) -> Vec<SocketAddr> {
        let domain = domain.unwrap_or(&self.own.domain);
        let others = self
            .others()
            .filter(|vm| vm.entry.region == self.own.region)
            .map(|vm| (&vm.entry, vm.is_live(now)));
        let all: Vec<_> = others.chain([(&self.own, own_ready)]).collect();
        let within = all.iter().filter(|(entry, _)| entry.domain == *domain);
        let named = within.clone().count();
        let near: Vec<_> = within.filter(|(_, live)| *live).collect();
        let found: Vec<_> = if near.is_empty() || near.len() * 2 < named {
            all.iter().filter(|(_, live)| *live).collect()
        } else {
            near
        };
        found.into_iter().map(|(entry, _)| entry.client).collect()
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
