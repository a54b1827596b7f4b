//! The entry VMs: which are registered and live, which role each has, and the datagrams between them.

mod coordinator;
mod vm;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use waxwing_records::VmEntry;
use waxwing_types::{DomainId, Incarnation, Millis, VmId};

use crate::hash::{hash_bytes, mix64};
use coordinator::WORKSPACE_SHARDS;
use vm::Vm;

/// Difference of the start times of two VMs from which on they have not started together. Incarnations are times of
/// day, which may differ between VMs by some seconds.
const MIN_EARLIER_START: Millis = Millis::from_secs(8);
/// Time within which the VMs of a fleet that starts as a whole register and read each other's entries: 2 s until the second
/// read of the entries, and the time by which a recent state lags.
const FLEET_START_TIME: Millis = Millis::from_secs(3);
/// Time after the start of a process in which it learns of the other VMs and does not act as the store reader yet.
pub const READER_STARTUP_TIME: Millis = Millis(2500);
/// Time from the notice of a process until its first report as the store reader: its startup, a call and a datagram.
const READER_START_TIME: Millis = Millis(READER_STARTUP_TIME.0 + 500);
/// Shard number for the selection of the store reader of a failure domain. No workspace has this shard.
const STORE_READER_SHARD: u64 = WORKSPACE_SHARDS;
/// Number of VMs in the other failure domains of the region to which each heartbeat is sent. A few are enough:
/// these VMs direct callers to this VM's domain only if too few VMs of their own domain are live.
const OTHER_DOMAIN_HEARTBEATS: usize = 6;

/// Rendezvous hashing score. The live VM with the highest score in a failure domain is the quota coordinator
/// of the shard, or the store reader if the shard is [`STORE_READER_SHARD`].
fn shard_score(vm_id: &VmId, shard: u64) -> u64 {
    mix64(hash_bytes(vm_id.as_str().as_bytes()), shard)
}

/// The entry VMs that this VM knows, including this VM itself.
pub struct Fleet {
    own: VmEntry,
    /// Registered VMs. This VM may be among them.
    vms: BTreeMap<VmId, Vm>,
    /// Whether a ready VM that started at least [`MIN_EARLIER_START`] before this one has sent a heartbeat.
    earlier_vm_ready: bool,
    /// Whether the entry of a process that started at least [`MIN_EARLIER_START`] before this one has been read.
    earlier_entry_read: bool,
    /// Whether the first list of entries lacked this VM, so that the other VMs do not know it yet. `None` before that list.
    was_unlisted: Option<bool>,
    started_at: Millis,
    /// Whether no other VM has been registered since the stop of this VM began. `None` before its stop.
    stops_alone: Option<bool>,
}

/// Queries.
impl Fleet {
    /// Number of registered VMs, including this one.
    pub fn vm_count(&self) -> usize {
        self.vms.len() + usize::from(!self.vms.contains_key(&self.own.id))
    }

    /// Whether another VM served callers before this VM started, so that not all VMs are starting.
    pub fn is_earlier_vm_ready(&self) -> bool {
        self.earlier_vm_ready
    }

    /// Whether the known VMs are about all that exist, so that quotas may be divided between them. `age` is the time since
    /// this VM started. While a fleet starts as a whole, each VM at first knows only some of the others or none, and would
    /// take too large a share. The entry of an earlier process shows that the fleet is older.
    pub fn is_complete(&self, age: Millis) -> bool {
        self.earlier_entry_read || age >= FLEET_START_TIME
    }

    /// Whether the registered entry of this VM is that of an earlier process and states the same as its own entry, apart
    /// from the incarnation. Heartbeats tell other VMs the incarnation, so such an entry need not be replaced.
    pub fn has_entry_of_earlier_process(&self) -> bool {
        self.vms.get(&self.own.id).is_some_and(|vm| {
            let renewed = VmEntry {
                incarnation: self.own.incarnation,
                ..vm.entry.clone()
            };
            vm.entry.incarnation < self.own.incarnation && renewed == self.own
        })
    }

    /// Ids of the registered VMs in this VM's region.
    pub fn region_vm_ids(&self) -> Vec<VmId> {
        let vms = self.vms.values().map(|vm| &vm.entry);
        let in_region = vms.filter(|entry| entry.region == self.own.region);
        in_region.map(|entry| entry.id.clone()).collect()
    }

    /// Peer addresses to send a heartbeat to: all other VMs of the failure domain, and a few random VMs in the
    /// other domains of the region.
    pub fn heartbeat_peers(&self, rng: &mut fastrand::Rng) -> Vec<SocketAddr> {
        let mut peers: Vec<_> = self.other_vms_in_domain().map(|vm| vm.entry.peer).collect();
        let other_domain_vms = self
            .other_vms_in_region()
            .filter(|vm| vm.entry.domain != self.own.domain);
        let other_domain_peers: Vec<_> = other_domain_vms.map(|vm| vm.entry.peer).collect();
        if other_domain_peers.len() <= OTHER_DOMAIN_HEARTBEATS {
            peers.extend(other_domain_peers);
        } else {
            peers.extend(
                (0..OTHER_DOMAIN_HEARTBEATS)
                    .map(|_| other_domain_peers[rng.usize(..other_domain_peers.len())]),
            );
        }
        peers
    }

    /// Whether a peer address belongs to another VM of this VM's failure domain.
    pub fn is_in_own_domain(&self, peer: SocketAddr) -> bool {
        self.other_vms_in_domain().any(|vm| vm.entry.peer == peer)
    }

    /// Peer addresses of the other VMs in the region.
    pub fn region_peers(&self) -> Vec<SocketAddr> {
        self.other_vms_in_region().map(|vm| vm.entry.peer).collect()
    }

    /// Whether this VM is the store reader of its failure domain. The store reader reads the newest state of
    /// the store and tells the other VMs what changed. If no other VM of the domain is live, this VM is the
    /// store reader. A VM that joins later does not read in its startup; until its end, this VM stays the reader.
    pub fn is_store_reader(&self, now: Millis) -> bool {
        let mut live = self
            .other_vms_in_domain()
            .filter(|vm| self.takes_duties(vm, now) && !self.joins_later(vm, now));
        let own_score = shard_score(&self.own.id, STORE_READER_SHARD);
        live.all(|vm| shard_score(&vm.entry.id, STORE_READER_SHARD) < own_score)
    }

    /// Peer addresses of all other VMs.
    pub fn all_peers(&self) -> Vec<SocketAddr> {
        self.other_vms().map(|vm| vm.entry.peer).collect()
    }

    /// Addresses of the VMs that callers in a failure domain should use. These are the live VMs of the domain
    /// or, if fewer than half of the domain's VMs are live, all live VMs of the region. Without `domain`, the
    /// failure domain of this VM is used. `own_vm_ready` tells whether this VM counts as live.
    pub fn addresses_for_callers(
        &self,
        now: Millis,
        domain: Option<&DomainId>,
        own_vm_ready: bool,
    ) -> Vec<SocketAddr> {
        let domain = domain.unwrap_or(&self.own.domain);
        let others = self
            .other_vms_in_region()
            .map(|vm| (&vm.entry, vm.is_live(now)));
        let all: Vec<_> = others.chain([(&self.own, own_vm_ready)]).collect();
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

    /// The other VMs of this VM's failure domain.
    fn other_vms_in_domain(&self) -> impl Iterator<Item = &Vm> {
        self.other_vms()
            .filter(|vm| vm.entry.domain == self.own.domain)
    }

    /// The other VMs of this VM's region, including the VMs of its failure domain.
    fn other_vms_in_region(&self) -> impl Iterator<Item = &Vm> {
        self.other_vms()
            .filter(|vm| vm.entry.region == self.own.region)
    }

    /// Whether a process started so long before this one that they did not start together.
    fn started_earlier(&self, incarnation: Incarnation) -> bool {
        incarnation.0.saturating_add(MIN_EARLIER_START.0) < self.own.incarnation.0
    }

    /// Whether a VM takes part in the choice of the quota coordinator and of the store reader of this failure domain.
    ///
    /// A VM that joins a fleet that serves counts only VMs that send it heartbeats: the others have a coordinator, and two
    /// would refill the same shares until they have read the entry of this VM. In a fleet that starts as a whole, VMs count
    /// although none accepts requests yet: parts of the initial tokens at several VMs would be below one token each.
    fn takes_duties(&self, vm: &Vm, now: Millis) -> bool {
        if self.joins() {
            return vm.ready && vm.sends_heartbeats(now);
        }
        let latest_start = self.own.incarnation.0.saturating_add(MIN_EARLIER_START.0);
        let started_together = vm.entry.incarnation.0 <= latest_start;
        let starts = !self.earlier_entry_read && started_together && !vm.was_ready;
        vm.is_live(now) || starts && vm.responds(now)
    }

    /// Whether this VM joined a fleet that served, and the others did not know it.
    fn joins(&self) -> bool {
        self.earlier_entry_read && self.was_unlisted == Some(true)
    }

    /// Whether a VM has joined after the startup of this VM, and is still in its own.
    fn joins_later(&self, vm: &Vm, now: Millis) -> bool {
        let joined_later = vm.noticed_at >= self.started_at + READER_STARTUP_TIME;
        joined_later && now.since(vm.noticed_at) < READER_START_TIME
    }

    fn other_vms(&self) -> impl Iterator<Item = &Vm> {
        self.vms.values().filter(|vm| vm.entry.id != self.own.id)
    }
}

/// Commands.
impl Fleet {
    /// The same fleet, known by a VM that started at this time instead of the origin of its clock.
    #[must_use]
    pub fn with_start(self, started_at: Millis) -> Self {
        Self { started_at, ..self }
    }

    /// Creates a fleet that consists of this VM only.
    pub fn new(own: VmEntry) -> Self {
        Self {
            own,
            vms: BTreeMap::new(),
            earlier_vm_ready: false,
            earlier_entry_read: false,
            was_unlisted: None,
            started_at: Millis::ZERO,
            stops_alone: None,
        }
    }

    /// Adds or updates the entry of a VM. A new or changed entry counts as a registration.
    pub fn upsert(&mut self, now: Millis, entry: VmEntry) {
        self.earlier_entry_read |= self.started_earlier(entry.incarnation);
        self.stops_alone = self
            .stops_alone
            .map(|alone| alone && entry.id == self.own.id);
        match self.vms.get_mut(&entry.id) {
            Some(vm) if vm.entry == entry => vm.missing_since = None,
            Some(vm) => {
                vm.notice(now, entry.incarnation);
                vm.entry = entry;
                vm.registered_at = Some(now);
                vm.missing_since = None;
                vm.ready = true;
            }
            None => {
                let id = entry.id.clone();
                self.vms.insert(id, Vm::new(entry, now, Some(now)));
            }
        }
    }

    /// Records that this VM stops. To be called when it has told the other VMs, so that its tokens arrive after that.
    pub fn begin_stop(&mut self) {
        self.stops_alone
            .get_or_insert(self.vms.keys().all(|id| *id == self.own.id));
    }

    /// Removes a VM whose entry was deleted. Without the entry of this VM, the others do not know it until it registers again.
    pub fn remove(&mut self, vm_id: &VmId) {
        if *vm_id == self.own.id {
            self.was_unlisted = Some(true);
        }
        self.vms.remove(vm_id);
    }

    /// Removes all VMs that a complete list of entries lacks, apart from those of [`Self::keep_missing`].
    pub fn retain_listed(&mut self, listed: &[VmId]) {
        self.was_unlisted
            .get_or_insert(!listed.contains(&self.own.id));
        self.vms
            .retain(|id, vm| listed.contains(id) || vm.missing_since.is_some());
    }

    /// Keeps the VMs that the first list after a restore of the store lacks. The copy may be older than their registration, and
    /// quota shares must not grow until they have registered again.
    pub fn keep_missing(&mut self, now: Millis, listed: &[VmId]) {
        for (id, vm) in &mut self.vms {
            if !listed.contains(id) {
                vm.missing_since.get_or_insert(now);
            }
        }
    }

    /// Merges an entry of the first list after a restore of the store with what this VM knows. An entry of an earlier process is
    /// replaced by the known one. A VM that was not known counts as live from its first heartbeat on.
    pub fn merge_restored(&mut self, now: Millis, entry: &mut VmEntry) {
        match self.vms.get(&entry.id) {
            Some(vm) if vm.entry.incarnation > entry.incarnation => *entry = vm.entry.clone(),
            Some(_) => {}
            None => {
                let id = entry.id.clone();
                self.vms.insert(id, Vm::new(entry.clone(), now, None));
            }
        }
    }

    /// Removes VMs whose entries are missing for too long and that send no heartbeats. Returns whether there were any.
    pub fn remove_missing(&mut self, now: Millis) -> bool {
        let count = self.vms.len();
        self.vms.retain(|_, vm| vm.is_kept(now));
        self.vms.len() < count
    }

    /// Handles a heartbeat. A heartbeat of an earlier process of the VM is ignored. A heartbeat of a VM that is not
    /// registered, or not listed yet, only shows whether the fleet served callers before this VM started. Returns whether a VM
    /// of this failure domain became ready or ceased to be, which may change the quota coordinators.
    pub fn on_heartbeat(
        &mut self,
        now: Millis,
        vm_id: &VmId,
        incarnation: Incarnation,
        ready: bool,
    ) -> bool {
        self.earlier_vm_ready |= ready && self.started_earlier(incarnation);
        let Some(vm) = self.vms.get_mut(vm_id) else {
            return false;
        };
        let was_ready = vm.ready;
        if incarnation >= vm.entry.incarnation {
            vm.notice(now, incarnation);
            vm.was_ready = ready || vm.was_ready && incarnation == vm.entry.incarnation;
            vm.entry.incarnation = incarnation;
            vm.last_heartbeat = Some(now);
            vm.ready = ready;
        }
        vm.ready != was_ready && vm.entry.domain == self.own.domain
    }
}
