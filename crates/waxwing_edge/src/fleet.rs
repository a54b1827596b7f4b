//! Which entry VMs there are, which of them respond, and what they tell each other.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use waxwing_records::VmEntry;
use waxwing_types::{DomainId, Incarnation, Millis, Revision, VmId, WorkspaceId, common_derives};

use crate::hash::{hash_bytes, mix64};
use crate::{QuotaCoordinator, WorkspaceTokens};

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
        #[serde(rename = "beat")]
        Heartbeat {
            /// The sender.
            vm: VmId,
            /// Its process.
            incarnation: Incarnation,
            /// Whether it takes callers.
            ready: bool,
        },
        /// The sender gives tokens, which it has already deducted, and wants others.
        Quota {
            /// Tokens that it gives.
            #[serde(rename = "give")]
            granted: Vec<WorkspaceTokens>,
            /// Tokens that it wants.
            #[serde(rename = "ask")]
            requested: Vec<WorkspaceTokens>,
            /// Whether a request waits for them.
            urgent: bool,
        },
        /// How far the sender has followed the entries of each family.
        #[serde(rename = "news")]
        WatchProgress {
            /// Revisions of the last changes, in the order of the families.
            #[serde(rename = "seen")]
            revisions: Vec<Revision>,
        },
        /// A request was running when its target crashed.
        #[serde(rename = "crash")]
        TargetCrash {
            /// Its fingerprint.
            #[serde(rename = "print")]
            fingerprint: u64,
        },
    }
}

/// Parts into which the workspaces are divided, each with a keeper of its own in a failure domain.
const SHARDS: u64 = 4;
/// What stands for the reader in the draw by which keepers are chosen.
const READER: u64 = SHARDS;
/// VMs of other failure domains of the region that get a heartbeat. They name this VM's domain only if
/// theirs has no VM left.
const REGION_LISTENERS: usize = 6;

fn shard(workspace: &WorkspaceId) -> u64 {
    hash_bytes(workspace.as_str().as_bytes()) % SHARDS
}

/// Rank of a VM as the keeper of a shard.
fn rank(vm: &VmId, shard: u64) -> u64 {
    mix64(hash_bytes(vm.as_str().as_bytes()), shard)
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
    pub fn vm_count(&self) -> usize {
        self.vms.len() + usize::from(!self.vms.contains_key(&self.own.id))
    }

    /// The VMs of this VM's region, with this one.
    pub fn region_vm_ids(&self) -> Vec<VmId> {
        let others = self.region_vms().map(|vm| vm.entry.id.clone());
        others.chain([self.own.id.clone()]).collect()
    }

    /// Addresses for heartbeats: the other VMs of the failure domain, and a few of the region.
    pub fn heartbeat_peers(&self, rng: &mut fastrand::Rng) -> Vec<SocketAddr> {
        let mut found: Vec<_> = self.near_vms().map(|vm| vm.entry.peer).collect();
        let region = self
            .region_vms()
            .filter(|vm| vm.entry.domain != self.own.domain);
        let region: Vec<_> = region.map(|vm| vm.entry.peer).collect();
        if region.len() <= REGION_LISTENERS {
            found.extend(region);
        } else {
            found.extend((0..REGION_LISTENERS).map(|_| region[rng.usize(..region.len())]));
        }
        found
    }

    /// Whether an address for datagrams is that of a VM of this VM's failure domain.
    pub fn is_in_own_domain(&self, peer: SocketAddr) -> bool {
        self.near_vms().any(|vm| vm.entry.peer == peer)
    }

    /// Addresses of the other VMs of the region.
    pub fn region_peers(&self) -> Vec<SocketAddr> {
        self.region_vms().map(|vm| vm.entry.peer).collect()
    }

    /// Whether this VM reads the newest state of the store for its failure domain, and tells the others
    /// what changed. A VM that hears no other does.
    pub fn is_store_reader(&self, now: Millis) -> bool {
        let mut live = self.near_vms().filter(|vm| vm.is_live(now));
        let own = rank(&self.own.id, READER);
        live.all(|vm| rank(&vm.entry.id, READER) < own)
    }

    /// Addresses for datagrams to all other VMs.
    pub fn all_peers(&self) -> Vec<SocketAddr> {
        self.others().map(|vm| vm.entry.peer).collect()
    }

    /// The keeper of a workspace's tokens in this VM's failure domain.
    pub fn quota_coordinator(
        &self,
        now: Millis,
        workspace: &WorkspaceId,
    ) -> QuotaCoordinator<SocketAddr> {
        let shard = shard(workspace);
        let live: Vec<_> = self.near_vms().filter(|vm| vm.is_live(now)).collect();
        let best = live.iter().max_by_key(|vm| rank(&vm.entry.id, shard));
        match best {
            Some(best) if rank(&best.entry.id, shard) > rank(&self.own.id, shard) => {
                QuotaCoordinator::Remote(best.entry.peer)
            }
            Some(_) | None => QuotaCoordinator::Local {
                vm_shares: live.len() + 1,
            },
        }
    }

    /// The keepers of a workspace's tokens in the other failure domains, as far as this VM knows, those
    /// of its region first.
    pub fn other_domain_coordinators(&self, workspace: &WorkspaceId) -> Vec<SocketAddr> {
        let keepers = self.keepers_elsewhere(workspace);
        keepers.into_iter().map(|entry| entry.peer).collect()
    }

    /// The keepers of a workspace's tokens in the other regions, as far as this VM knows.
    pub fn other_region_coordinators(&self, workspace: &WorkspaceId) -> Vec<SocketAddr> {
        let keepers = self.keepers_elsewhere(workspace).into_iter();
        let far = keepers.filter(|entry| entry.region != self.own.region);
        far.map(|entry| entry.peer).collect()
    }

    fn keepers_elsewhere(&self, workspace: &WorkspaceId) -> Vec<&VmEntry> {
        let shard = shard(workspace);
        let mut best: BTreeMap<&DomainId, &VmEntry> = BTreeMap::new();
        for vm in self
            .others()
            .filter(|vm| vm.entry.domain != self.own.domain)
        {
            let present = best.entry(&vm.entry.domain).or_insert(&vm.entry);
            if rank(&vm.entry.id, shard) > rank(&present.id, shard) {
                *present = &vm.entry;
            }
        }
        let mut keepers: Vec<_> = best.into_values().collect();
        keepers.sort_by_key(|entry| entry.region != self.own.region);
        keepers
    }

    /// Addresses of the VMs that callers of a failure domain are to use: those of the domain that
    /// respond, unless they are less than half of it; then those of the region too. This VM names
    /// itself only while it takes callers.
    pub fn addresses_for_callers(
        &self,
        now: Millis,
        domain: Option<&DomainId>,
        own_ready: bool,
    ) -> Vec<SocketAddr> {
        let domain = domain.unwrap_or(&self.own.domain);
        let others = self.region_vms().map(|vm| (&vm.entry, vm.is_live(now)));
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

    /// The other VMs of the failure domain.
    fn near_vms(&self) -> impl Iterator<Item = &Vm> {
        self.others()
            .filter(|vm| vm.entry.domain == self.own.domain)
    }

    /// The other VMs of the region, with those of the failure domain.
    fn region_vms(&self) -> impl Iterator<Item = &Vm> {
        self.others()
            .filter(|vm| vm.entry.region == self.own.region)
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
    pub fn upsert(&mut self, now: Millis, entry: VmEntry) {
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
    pub fn retain_listed(&mut self, listed: &[VmId]) {
        self.vms.retain(|id, _| listed.contains(id));
    }

    /// A heartbeat arrived. One of an earlier process is ignored.
    pub fn on_heartbeat(&mut self, now: Millis, vm: &VmId, incarnation: Incarnation, ready: bool) {
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
