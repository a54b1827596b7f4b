//! The membership view of a VM: which VMs are listed, which of them respond, and which of them
//! perform a task for their failure domain, such as watching the store.

mod peers;
mod rank;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use waxwing_types::{DomainId, Incarnation, Millis, VmId, common_derives};

pub(crate) use rank::splitmix64_finalize;
pub use rank::{WATCHERS_PER_DOMAIN, rendezvous_rank};

/// Time between two periodic pulls of a VM.
pub const PULL_PERIOD: Millis = Millis(1000);

/// Minimum of the liveness timeout, the time without contact after which a VM of the same failure
/// domain counts as unresponsive. The timeout is longer in a domain of more than one VM.
pub const MIN_LIVENESS_TIMEOUT: Millis = Millis(5000);

/// The liveness timeout is this number of pull periods times the number of VMs in the failure
/// domain.
///
/// In each period a VM pulls from one random VM, and three of four pulls stay in the domain. In 5
/// periods per VM, a VM therefore pulls 3.75 times from a given other VM on average. The pulls in
/// the opposite direction count as well, which makes 7.5 contacts between two VMs. With this mean,
/// about one VM in a thousand has no contact although it works.
const LIVENESS_PERIODS_PER_VM: u64 = 5;

common_derives! {
    /// A VM as the VM list of the platform describes it.
    pub struct Vm {
        /// Name of the VM.
        pub id: VmId,
        /// Failure domain of the VM.
        pub domain: DomainId,
        /// Address to which callers send requests.
        pub client: SocketAddr,
        /// Address of the peer protocol between daemons.
        pub peer: SocketAddr,
        /// Address to which entry VMs of other regions forward requests.
        pub peer_http: SocketAddr,
        /// Whether the platform is about to remove the VM.
        pub leaving: bool,
    }
}

/// A listed VM with its last known state.
#[derive(Clone, Debug)]
struct Member {
    vm: Vm,
    /// Incarnation of the newest process of the VM that was in contact with this VM.
    incarnation: Incarnation,
    /// When the VM last replied to a call of this VM or called this VM.
    last_contact: Option<Millis>,
    /// When this VM added the VM to its list.
    listed_at: Millis,
    /// Whether the last call to the VM failed.
    last_call_failed: bool,
    /// Whether the VM has announced that its process is stopping.
    stopping: bool,
}

/// The listed VMs of a failure domain.
#[derive(Clone, Debug, Default)]
struct DomainVms {
    ids: Vec<VmId>,
    /// Indexes of the VMs in `Members::all`. With these a client lookup compares no names.
    indexes: Vec<usize>,
}

/// The view that one VM has of all listed VMs.
#[derive(Clone, Debug)]
pub struct Members {
    own_id: VmId,
    own_domain: DomainId,
    all: Vec<Member>,
    index_by_id: BTreeMap<VmId, usize>,
    by_domain: BTreeMap<DomainId, DomainVms>,
    /// Time without contact after which a VM of this VM's failure domain counts as unresponsive.
    liveness_timeout: Millis,
    /// Number of periodic pulls so far.
    pull_count: u64,
}

impl Members {
    /// Creates the view of the VM `own_id`, with an empty list. This VM counts as responsive even
    /// while it is not listed.
    pub fn new(own_id: VmId, own_domain: DomainId) -> Self {
        Self {
            own_id,
            own_domain,
            all: Vec::new(),
            index_by_id: BTreeMap::new(),
            by_domain: BTreeMap::new(),
            liveness_timeout: MIN_LIVENESS_TIMEOUT,
            pull_count: 0,
        }
    }

    /// Replaces the list of VMs by a new list from the platform. Keeps the known state of the VMs
    /// that are still listed under the same peer address.
    pub fn update_vm_list(&mut self, now: Millis, list: Vec<Vm>) {
        let previous = std::mem::take(&mut self.all);
        let known = previous.into_iter().map(|m| (m.vm.id.clone(), m));
        let mut known: BTreeMap<_, _> = known.collect();
        self.index_by_id.clear();
        self.by_domain.clear();
        for vm in list {
            if self.index_by_id.contains_key(&vm.id) {
                continue;
            }
            let index = self.all.len();
            let domain_vms = self.by_domain.entry(vm.domain.clone()).or_default();
            domain_vms.ids.push(vm.id.clone());
            domain_vms.indexes.push(index);
            self.index_by_id.insert(vm.id.clone(), index);
            self.all.push(match known.remove(&vm.id) {
                Some(member) if member.vm.peer == vm.peer => Member { vm, ..member },
                Some(_) | None => Member::new(now, vm),
            });
        }
        let vm_count = self.listed_vms(&self.own_domain).len() as u64;
        self.liveness_timeout =
            MIN_LIVENESS_TIMEOUT.max(Millis(vm_count * LIVENESS_PERIODS_PER_VM * PULL_PERIOD.0));
    }

    /// Updates the state of a VM that replied to a call of this VM or called this VM.
    pub fn record_contact(
        &mut self,
        now: Millis,
        vm: &VmId,
        incarnation: Incarnation,
        stopping: bool,
    ) {
        let Some(member) = self.index_by_id.get(vm).map(|index| &mut self.all[*index]) else {
            return;
        };
        // A message of an earlier process of the VM may arrive late.
        if incarnation < member.incarnation {
            return;
        }
        let same_process = incarnation == member.incarnation;
        member.stopping = stopping || (same_process && member.stopping);
        member.incarnation = incarnation;
        member.last_contact = Some(now);
        member.last_call_failed = false;
    }

    /// Updates the state of a VM after a failed call to it.
    pub fn record_call_failure(&mut self, vm: &VmId) {
        if let Some(member) = self.index_by_id.get(vm).map(|index| &mut self.all[*index]) {
            member.last_call_failed = true;
        }
    }
}

impl Members {
    /// The id of the VM that has this view.
    pub fn own_id(&self) -> &VmId {
        &self.own_id
    }

    /// The failure domain of the VM that has this view.
    pub fn own_domain(&self) -> &DomainId {
        &self.own_domain
    }

    /// The list entry of a VM.
    pub fn vm(&self, id: &VmId) -> Option<&Vm> {
        self.member(id).map(|m| &m.vm)
    }

    /// The incarnation of the newest process of a VM that was in contact with this VM, 0 before the
    /// first contact. `None` if the VM is not listed.
    pub fn incarnation(&self, id: &VmId) -> Option<Incarnation> {
        self.member(id).map(|m| m.incarnation)
    }

    /// The listed VMs of a failure domain.
    pub fn listed_vms(&self, domain: &DomainId) -> &[VmId] {
        self.by_domain.get(domain).map_or(&[], |d| &d.ids)
    }

    /// The failure domains that have listed VMs.
    pub fn domains(&self) -> impl Iterator<Item = &DomainId> {
        self.by_domain.keys()
    }

    /// Whether a VM is expected to respond to calls. This is always true for this VM itself.
    pub fn is_responsive(&self, now: Millis, id: &VmId) -> bool {
        if *id == self.own_id {
            return true;
        }
        self.member(id)
            .is_some_and(|m| self.member_is_responsive(now, m))
    }

    /// Whether a VM can take requests: it is responsive and neither leaving nor stopping.
    pub fn is_usable(&self, now: Millis, id: &VmId) -> bool {
        let member = self.member(id);
        member.map_or(*id == self.own_id, |m| self.member_is_usable(now, m))
    }

    /// Counts the VMs of this VM's failure domain. Returns the number of usable VMs, and the number
    /// of VMs that respond but are leaving or stopping.
    pub fn live_and_leaving(&self, now: Millis) -> (usize, usize) {
        let listed = self.listed_vms(&self.own_domain);
        let responsive = listed
            .iter()
            .filter(|id| self.is_responsive(now, id))
            .count();
        let usable = listed.iter().filter(|id| self.is_usable(now, id)).count();
        (usable, responsive - usable)
    }

    /// The indexes of the listed VMs of a failure domain, for [`Members::usable_at`].
    pub(crate) fn vm_indexes(&self, domain: &DomainId) -> &[usize] {
        self.by_domain.get(domain).map_or(&[], |d| &d.indexes)
    }

    /// The VM at an index, if it is usable.
    pub(crate) fn usable_at(&self, now: Millis, index: usize) -> Option<&Vm> {
        let member = self.all.get(index)?;
        self.member_is_usable(now, member).then_some(&member.vm)
    }

    fn member(&self, id: &VmId) -> Option<&Member> {
        self.index_by_id.get(id).map(|index| &self.all[*index])
    }

    fn member_is_responsive(&self, now: Millis, member: &Member) -> bool {
        let last_contact = member.last_contact.unwrap_or(member.listed_at);
        // Most VMs of other domains are rarely or never contacted. A long time without contact does
        // not show that they fail.
        let recent =
            now.since(last_contact) <= self.liveness_timeout || member.vm.domain != self.own_domain;
        (recent && !member.last_call_failed) || member.vm.id == self.own_id
    }

    fn member_is_usable(&self, now: Millis, member: &Member) -> bool {
        !member.vm.leaving && !member.stopping && self.member_is_responsive(now, member)
    }
}

impl Member {
    fn new(now: Millis, vm: Vm) -> Self {
        Self {
            vm,
            incarnation: Incarnation::default(),
            last_contact: None,
            listed_at: now,
            last_call_failed: false,
            stopping: false,
        }
    }
}
