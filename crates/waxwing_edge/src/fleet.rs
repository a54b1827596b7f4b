//! The entry VMs: which are registered and live, which role each has, and the datagrams between them.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use waxwing_records::VmEntry;
use waxwing_types::{DomainId, Incarnation, Millis, Revision, VmId, WorkspaceId, common_derives};

use crate::hash::{hash_bytes, mix64};
use crate::{QuotaCoordinator, WorkspaceTokens};

/// Time without a heartbeat after which a VM no longer counts as live. Heartbeats are sent each second and
/// datagrams may be lost; the directory may list a dead VM for at most seven seconds.
const HEARTBEAT_TIMEOUT: Millis = Millis(3500);
/// Time for which a VM counts as live without a heartbeat after it registered.
const REGISTRATION_GRACE: Millis = Millis(2500);

common_derives! {
    /// A datagram between VMs, encoded as JSON. The serde names are the wire format.
    #[derive(Serialize, Deserialize)]
    #[serde(tag = "t", rename_all = "snake_case")]
    pub enum PeerMessage {
        /// Tells that the sender is alive.
        #[serde(rename = "beat")]
        Heartbeat {
            /// The sender.
            vm: VmId,
            /// Incarnation of the sender's process.
            incarnation: Incarnation,
            /// Whether the sender accepts requests of callers.
            ready: bool,
        },
        /// Transfers quota tokens to the receiver and asks it for others.
        Quota {
            /// Tokens that the receiver gets. The sender has already deducted them.
            #[serde(rename = "give")]
            granted: Vec<WorkspaceTokens>,
            /// Tokens that the sender wants.
            #[serde(rename = "ask")]
            requested: Vec<WorkspaceTokens>,
            /// Whether a request is waiting for the requested tokens.
            urgent: bool,
        },
        /// Tells up to which changes the sender has read the registry.
        #[serde(rename = "news")]
        WatchProgress {
            /// Revision of the last change of each family of entries, in the order of the families.
            #[serde(rename = "seen")]
            revisions: Vec<Revision>,
        },
        /// Reports a request that was running when its target crashed.
        #[serde(rename = "crash")]
        TargetCrash {
            /// Fingerprint of the request.
            #[serde(rename = "print")]
            fingerprint: u64,
        },
    }
}

/// Number of shards into which the workspaces are divided. In each failure domain, every shard has its own
/// quota coordinator.
const WORKSPACE_SHARDS: u64 = 4;
/// Shard number for the selection of the store reader of a failure domain. No workspace has this shard.
const STORE_READER_SHARD: u64 = WORKSPACE_SHARDS;
/// Number of VMs in other failure domains of the region that each heartbeat is sent to. They direct callers
/// to this VM's domain only if their own has no live VM left.
const OTHER_DOMAIN_HEARTBEATS: usize = 6;

fn workspace_shard(workspace: &WorkspaceId) -> u64 {
    hash_bytes(workspace.as_str().as_bytes()) % WORKSPACE_SHARDS
}

/// Rendezvous hashing score: of the live VMs of a failure domain, the one with the highest score is the quota
/// coordinator of the shard, or the store reader for [`STORE_READER_SHARD`].
fn shard_score(vm: &VmId, shard: u64) -> u64 {
    mix64(hash_bytes(vm.as_str().as_bytes()), shard)
}

struct Vm {
    entry: VmEntry,
    /// When the VM registered or its entry last changed.
    registered_at: Millis,
    last_heartbeat: Option<Millis>,
    /// Whether it accepts requests of callers.
    ready: bool,
}

/// The entry VMs that this VM knows, itself included.
pub struct Fleet {
    own: VmEntry,
    /// Registered VMs. This VM may be among them.
    vms: BTreeMap<VmId, Vm>,
}

/// Queries.
impl Fleet {
    /// Number of registered VMs, including this one.
    pub fn vm_count(&self) -> usize {
        self.vms.len() + usize::from(!self.vms.contains_key(&self.own.id))
    }

    /// Ids of the VMs in this VM's region, including this one.
    pub fn region_vm_ids(&self) -> Vec<VmId> {
        let others = self.region_vms().map(|vm| vm.entry.id.clone());
        others.chain([self.own.id.clone()]).collect()
    }

    /// Addresses to send a heartbeat to: all other VMs of the failure domain, and a random few in the other
    /// domains of the region.
    pub fn heartbeat_peers(&self, rng: &mut fastrand::Rng) -> Vec<SocketAddr> {
        let mut peers: Vec<_> = self.domain_vms().map(|vm| vm.entry.peer).collect();
        let other_domains = self
            .region_vms()
            .filter(|vm| vm.entry.domain != self.own.domain);
        let other_domains: Vec<_> = other_domains.map(|vm| vm.entry.peer).collect();
        if other_domains.len() <= OTHER_DOMAIN_HEARTBEATS {
            peers.extend(other_domains);
        } else {
            peers.extend(
                (0..OTHER_DOMAIN_HEARTBEATS)
                    .map(|_| other_domains[rng.usize(..other_domains.len())]),
            );
        }
        peers
    }

    /// Whether a peer address belongs to another VM of this VM's failure domain.
    pub fn is_in_own_domain(&self, peer: SocketAddr) -> bool {
        self.domain_vms().any(|vm| vm.entry.peer == peer)
    }

    /// Peer addresses of the other VMs in the region.
    pub fn region_peers(&self) -> Vec<SocketAddr> {
        self.region_vms().map(|vm| vm.entry.peer).collect()
    }

    /// Whether this VM is the store reader of its failure domain: it reads the newest state of the store and
    /// tells the other VMs what changed. A VM is its own reader if no other VM of its domain is live.
    pub fn is_store_reader(&self, now: Millis) -> bool {
        let mut live = self.domain_vms().filter(|vm| vm.is_live(now));
        let own_score = shard_score(&self.own.id, STORE_READER_SHARD);
        live.all(|vm| shard_score(&vm.entry.id, STORE_READER_SHARD) < own_score)
    }

    /// Peer addresses of all other VMs.
    pub fn all_peers(&self) -> Vec<SocketAddr> {
        self.other_vms().map(|vm| vm.entry.peer).collect()
    }

    /// The VM that coordinates a workspace's quota in this VM's failure domain.
    pub fn quota_coordinator(
        &self,
        now: Millis,
        workspace: &WorkspaceId,
    ) -> QuotaCoordinator<SocketAddr> {
        let shard = workspace_shard(workspace);
        let live: Vec<_> = self.domain_vms().filter(|vm| vm.is_live(now)).collect();
        let highest = live
            .iter()
            .max_by_key(|vm| shard_score(&vm.entry.id, shard));
        match highest {
            Some(vm) if shard_score(&vm.entry.id, shard) > shard_score(&self.own.id, shard) => {
                QuotaCoordinator::Remote(vm.entry.peer)
            }
            Some(_) | None => QuotaCoordinator::Local {
                vm_shares: live.len() + 1,
            },
        }
    }

    /// Peer addresses of a workspace's quota coordinators in the other failure domains, as far as this VM
    /// knows, those of its own region first.
    pub fn other_domain_coordinators(&self, workspace: &WorkspaceId) -> Vec<SocketAddr> {
        let coordinators = self.other_domain_coordinator_entries(workspace);
        coordinators.into_iter().map(|entry| entry.peer).collect()
    }

    /// Peer addresses of a workspace's quota coordinators in the other regions, as far as this VM knows.
    pub fn other_region_coordinators(&self, workspace: &WorkspaceId) -> Vec<SocketAddr> {
        let coordinators = self.other_domain_coordinator_entries(workspace).into_iter();
        let other_regions = coordinators.filter(|entry| entry.region != self.own.region);
        other_regions.map(|entry| entry.peer).collect()
    }

    /// Entries of a workspace's quota coordinators in the other failure domains: the registered VM with the
    /// highest score in each domain, regardless of whether it is live.
    fn other_domain_coordinator_entries(&self, workspace: &WorkspaceId) -> Vec<&VmEntry> {
        let shard = workspace_shard(workspace);
        let mut highest: BTreeMap<&DomainId, &VmEntry> = BTreeMap::new();
        for vm in self
            .other_vms()
            .filter(|vm| vm.entry.domain != self.own.domain)
        {
            let current = highest.entry(&vm.entry.domain).or_insert(&vm.entry);
            if shard_score(&vm.entry.id, shard) > shard_score(&current.id, shard) {
                *current = &vm.entry;
            }
        }
        let mut coordinators: Vec<_> = highest.into_values().collect();
        coordinators.sort_by_key(|entry| entry.region != self.own.region);
        coordinators
    }

    /// Addresses of the VMs that callers in a failure domain, by default this VM's, are to use: the live VMs
    /// of that domain or, if fewer than half of its VMs are live, all live VMs of the region. This VM counts
    /// as live if `own_ready`.
    pub fn addresses_for_callers(
        &self,
        now: Millis,
        domain: Option<&DomainId>,
        own_ready: bool,
    ) -> Vec<SocketAddr> {
        let domain = domain.unwrap_or(&self.own.domain);
        let others = self.region_vms().map(|vm| (&vm.entry, vm.is_live(now)));
        let all: Vec<_> = others.chain([(&self.own, own_ready)]).collect();
        let domain_vms = all.iter().filter(|(entry, _)| entry.domain == *domain);
        let registered = domain_vms.clone().count();
        let live: Vec<_> = domain_vms.filter(|(_, live)| *live).collect();
        let selected: Vec<_> = if live.is_empty() || live.len() * 2 < registered {
            all.iter().filter(|(_, live)| *live).collect()
        } else {
            live
        };
        selected
            .into_iter()
            .map(|(entry, _)| entry.client)
            .collect()
    }

    /// The other VMs of the failure domain.
    fn domain_vms(&self) -> impl Iterator<Item = &Vm> {
        self.other_vms()
            .filter(|vm| vm.entry.domain == self.own.domain)
    }

    /// The other VMs of the region, including those of the failure domain.
    fn region_vms(&self) -> impl Iterator<Item = &Vm> {
        self.other_vms()
            .filter(|vm| vm.entry.region == self.own.region)
    }

    fn other_vms(&self) -> impl Iterator<Item = &Vm> {
        self.vms.values().filter(|vm| vm.entry.id != self.own.id)
    }
}

/// Commands.
impl Fleet {
    /// Creates a fleet that consists of this VM only.
    pub fn new(own: VmEntry) -> Self {
        Self {
            own,
            vms: BTreeMap::new(),
        }
    }

    /// Adds or updates the entry of a VM. A new or changed entry counts as a registration.
    pub fn upsert(&mut self, now: Millis, entry: VmEntry) {
        match self.vms.get_mut(&entry.id) {
            Some(vm) if vm.entry == entry => {}
            Some(vm) => {
                vm.entry = entry;
                vm.registered_at = now;
                vm.ready = true;
            }
            None => {
                let vm = Vm {
                    entry: entry.clone(),
                    registered_at: now,
                    last_heartbeat: None,
                    ready: true,
                };
                self.vms.insert(entry.id, vm);
            }
        }
    }

    /// Removes a VM whose entry was deleted.
    pub fn remove(&mut self, vm: &VmId) {
        self.vms.remove(vm);
    }

    /// Removes all VMs that a complete list of entries lacks.
    pub fn retain_listed(&mut self, listed: &[VmId]) {
        self.vms.retain(|id, _| listed.contains(id));
    }

    /// Handles a heartbeat. One of an earlier process of the VM is ignored.
    pub fn on_heartbeat(&mut self, now: Millis, vm: &VmId, incarnation: Incarnation, ready: bool) {
        let Some(vm) = self.vms.get_mut(vm) else {
            return;
        };
        if incarnation >= vm.entry.incarnation {
            vm.entry.incarnation = incarnation;
            vm.last_heartbeat = Some(now);
            vm.ready = ready;
        }
    }
}

impl Vm {
    /// Whether the VM accepts requests of callers and was heard from recently.
    fn is_live(&self, now: Millis) -> bool {
        let responds = match self.last_heartbeat {
            Some(last_heartbeat) => {
                now.since(last_heartbeat) < HEARTBEAT_TIMEOUT
                    || now.since(self.registered_at) < REGISTRATION_GRACE
            }
            None => now.since(self.registered_at) < REGISTRATION_GRACE,
        };
        self.ready && responds
    }
}
