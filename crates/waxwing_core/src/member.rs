//! Which VMs may exist, which of them respond, and which of them has a duty.

mod peers;
mod rank;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use waxwing_types::{DomainId, Incarnation, Millis, VmId, common_derives};

pub(crate) use rank::splitmix64_finalize;
pub use rank::{WATCHERS_PER_DOMAIN, rendezvous_rank};

/// Period of pulls.
pub const PULL_PERIOD: Millis = Millis(1000);

/// Silence after which a VM of the own failure domain counts as gone, at least.
pub const MIN_LIVENESS_TIMEOUT: Millis = Millis(5000);

/// Pulls of a VM after which it has met every other VM of its domain but for one in about a
/// thousand, as a multiple of the number of VMs: each pull meets another VM, a quarter leaves the
/// domain, and the other side's pulls count as well, so 5 turns make 7.5 expected meetings.
const SILENCE_TURNS: u64 = 5;

common_derives! {
    /// A VM as the platform's list describes it.
    pub struct Vm {
        /// Name.
        pub id: VmId,
        /// Failure domain.
        pub domain: DomainId,
        /// Address for callers.
        pub client: SocketAddr,
        /// Address of the protocol between daemons.
        pub peer: SocketAddr,
        /// Address for requests that entry VMs of other regions pass on.
        pub peer_http: SocketAddr,
        /// Whether the platform takes it away.
        pub leaving: bool,
    }
}

#[derive(Clone, Debug)]
struct Member {
    vm: Vm,
    incarnation: Incarnation,
    /// When it last answered or called.
    heard: Option<Millis>,
    /// When it was put on the list.
    listed: Millis,
    /// Whether the last call to it failed.
    failed: bool,
    /// Whether it said that it is stopping.
    stopping: bool,
}

/// The VMs of a failure domain.
#[derive(Clone, Debug, Default)]
struct Roster {
    ids: Vec<VmId>,
    /// Their places in `Members::all`, which a look-up follows without comparing names.
    slots: Vec<usize>,
}

/// The membership view of one VM.
#[derive(Clone, Debug)]
pub struct Members {
    me: VmId,
    domain: DomainId,
    all: Vec<Member>,
    slots: BTreeMap<VmId, usize>,
    rosters: BTreeMap<DomainId, Roster>,
    silence: Millis,
    turn: u64,
}

impl Members {
    /// A view that holds no VM but the own one, which need not be on the list.
    pub fn new(me: VmId, domain: DomainId) -> Self {
        Self {
            me,
            domain,
            all: Vec::new(),
            slots: BTreeMap::new(),
            rosters: BTreeMap::new(),
            silence: MIN_LIVENESS_TIMEOUT,
            turn: 0,
        }
    }

    /// Adopts the platform's list. What is known of a VM that stays is kept.
    pub fn update_vm_list(&mut self, now: Millis, list: Vec<Vm>) {
        let old = std::mem::take(&mut self.all);
        let known = old.into_iter().map(|m| (m.vm.id.clone(), m));
        let mut known: BTreeMap<_, _> = known.collect();
        self.slots.clear();
        self.rosters.clear();
        for vm in list {
            if self.slots.contains_key(&vm.id) {
                continue;
            }
            let slot = self.all.len();
            let roster = self.rosters.entry(vm.domain.clone()).or_default();
            roster.ids.push(vm.id.clone());
            roster.slots.push(slot);
            self.slots.insert(vm.id.clone(), slot);
            self.all.push(match known.remove(&vm.id) {
                Some(member) if member.vm.peer == vm.peer => Member { vm, ..member },
                Some(_) | None => Member::new(now, vm),
            });
        }
        let vms = self.listed_vms(&self.domain).len() as u64;
        self.silence = MIN_LIVENESS_TIMEOUT.max(Millis(vms * SILENCE_TURNS * PULL_PERIOD.0));
    }

    /// Notes that a VM answered a call or made one.
    pub fn record_contact(
        &mut self,
        now: Millis,
        vm: &VmId,
        incarnation: Incarnation,
        stopping: bool,
    ) {
        let Some(member) = self.slots.get(vm).map(|slot| &mut self.all[*slot]) else {
            return;
        };
        // A message of an earlier process may arrive after the first of its successor.
        if incarnation < member.incarnation {
            return;
        }
        let same = incarnation == member.incarnation;
        member.stopping = stopping || (same && member.stopping);
        member.incarnation = incarnation;
        member.heard = Some(now);
        member.failed = false;
    }

    /// Notes that a call to a VM failed.
    pub fn record_call_failure(&mut self, vm: &VmId) {
        if let Some(member) = self.slots.get(vm).map(|slot| &mut self.all[*slot]) {
            member.failed = true;
        }
    }
}

impl Members {
    /// The own VM.
    pub fn own_id(&self) -> &VmId {
        &self.me
    }

    /// The own failure domain.
    pub fn own_domain(&self) -> &DomainId {
        &self.domain
    }

    /// A VM on the list.
    pub fn vm(&self, id: &VmId) -> Option<&Vm> {
        self.member(id).map(|m| &m.vm)
    }

    /// The latest process of a VM that was heard of.
    pub fn incarnation(&self, id: &VmId) -> Option<Incarnation> {
        self.member(id).map(|m| m.incarnation)
    }

    /// VMs on the list in a failure domain.
    pub fn listed_vms(&self, domain: &DomainId) -> &[VmId] {
        self.rosters.get(domain).map_or(&[], |r| &r.ids)
    }

    /// Failure domains that have VMs on the list.
    pub fn domains(&self) -> impl Iterator<Item = &DomainId> {
        self.rosters.keys()
    }

    /// Whether a VM responds, as far as is known. The own VM always does.
    pub fn is_responsive(&self, now: Millis, id: &VmId) -> bool {
        if *id == self.me {
            return true;
        }
        self.member(id).is_some_and(|m| self.answers(now, m))
    }

    /// Whether a VM responds and is neither leaving nor stopping.
    pub fn is_usable(&self, now: Millis, id: &VmId) -> bool {
        let member = self.member(id);
        member.map_or(*id == self.me, |m| self.serves(now, m))
    }

    /// Live and leaving VMs of the own failure domain.
    pub fn live_and_leaving(&self, now: Millis) -> (usize, usize) {
        let mine = self.listed_vms(&self.domain);
        let responding = mine.iter().filter(|id| self.is_responsive(now, id)).count();
        let usable = mine.iter().filter(|id| self.is_usable(now, id)).count();
        (usable, responding - usable)
    }

    /// Places of the VMs of a failure domain, for [`Members::usable_at`].
    pub(crate) fn vm_indexes(&self, domain: &DomainId) -> &[usize] {
        self.rosters.get(domain).map_or(&[], |r| &r.slots)
    }

    /// The VM in a place, if it is usable.
    pub(crate) fn usable_at(&self, now: Millis, slot: usize) -> Option<&Vm> {
        let member = self.all.get(slot)?;
        self.serves(now, member).then_some(&member.vm)
    }

    fn member(&self, id: &VmId) -> Option<&Member> {
        self.slots.get(id).map(|slot| &self.all[*slot])
    }

    fn answers(&self, now: Millis, member: &Member) -> bool {
        let last = member.heard.unwrap_or(member.listed);
        let heard = now.since(last) <= self.silence || member.vm.domain != self.domain;
        (heard && !member.failed) || member.vm.id == self.me
    }

    fn serves(&self, now: Millis, member: &Member) -> bool {
        !member.vm.leaving && !member.stopping && self.answers(now, member)
    }
}

impl Member {
    fn new(now: Millis, vm: Vm) -> Self {
        Self {
            vm,
            incarnation: Incarnation::default(),
            heard: None,
            listed: now,
            failed: false,
            stopping: false,
        }
    }
}
