//! Which VMs may exist, which of them respond, and which of them has a duty.

mod pull;
mod rank;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use waxwing_types::{DomainId, Incarnation, Millis, VmId, common_derives};

pub(crate) use rank::mix;
pub use rank::{WATCHERS, rank};

/// Period of pulls.
pub const PULL_PERIOD: Millis = Millis(1000);

/// Silence after which a VM of the own failure domain counts as gone, at least.
pub const SILENCE: Millis = Millis(5000);

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

/// The membership view of one VM.
#[derive(Clone, Debug)]
pub struct Members {
    me: VmId,
    domain: DomainId,
    all: BTreeMap<VmId, Member>,
    by_domain: BTreeMap<DomainId, Vec<VmId>>,
    turn: u64,
}

impl Members {
    /// A view that holds no VM but the own one, which need not be on the list.
    pub fn new(me: VmId, domain: DomainId) -> Self {
        Self {
            me,
            domain,
            all: BTreeMap::new(),
            by_domain: BTreeMap::new(),
            turn: 0,
        }
    }

    /// Adopts the platform's list. What is known of a VM that stays is kept.
    pub fn on_list(&mut self, now: Millis, list: Vec<Vm>) {
        let mut old = std::mem::take(&mut self.all);
        self.by_domain.clear();
        for vm in list {
            let names = self.by_domain.entry(vm.domain.clone()).or_default();
            if self.all.contains_key(&vm.id) {
                continue;
            }
            names.push(vm.id.clone());
            let member = match old.remove(&vm.id) {
                Some(member) if member.vm.peer == vm.peer => Member { vm, ..member },
                Some(_) | None => Member::new(now, vm),
            };
            self.all.insert(member.vm.id.clone(), member);
        }
    }

    /// Notes that a VM answered a call or made one.
    pub fn on_heard(&mut self, now: Millis, vm: &VmId, incarnation: Incarnation, stopping: bool) {
        let Some(member) = self.all.get_mut(vm) else {
            return;
        };
        // A message of an earlier process may arrive after the first of its successor.
        if incarnation < member.incarnation {
            return;
        }
        member.incarnation = incarnation;
        member.heard = Some(now);
        member.failed = false;
        member.stopping = stopping;
    }

    /// Notes that a call to a VM failed.
    pub fn on_failed(&mut self, vm: &VmId) {
        if let Some(member) = self.all.get_mut(vm) {
            member.failed = true;
        }
    }
}

impl Members {
    /// The own VM.
    pub fn me(&self) -> &VmId {
        &self.me
    }

    /// The own failure domain.
    pub fn domain(&self) -> &DomainId {
        &self.domain
    }

    /// A VM on the list.
    pub fn vm(&self, id: &VmId) -> Option<&Vm> {
        self.all.get(id).map(|m| &m.vm)
    }

    /// The latest process of a VM that was heard of.
    pub fn incarnation(&self, id: &VmId) -> Option<Incarnation> {
        self.all.get(id).map(|m| m.incarnation)
    }

    /// VMs on the list in a failure domain.
    pub fn listed(&self, domain: &DomainId) -> &[VmId] {
        self.by_domain.get(domain).map_or(&[], Vec::as_slice)
    }

    /// Failure domains that have VMs on the list.
    pub fn domains(&self) -> impl Iterator<Item = &DomainId> {
        self.by_domain.keys()
    }

    /// Whether a VM responds, as far as is known. The own VM always does.
    pub fn responds(&self, now: Millis, id: &VmId) -> bool {
        if *id == self.me {
            return true;
        }
        let Some(member) = self.all.get(id) else {
            return false;
        };
        if member.failed {
            return false;
        }
        let last = member.heard.unwrap_or(member.listed);
        member.vm.domain != self.domain || now.since(last) <= self.silence()
    }

    /// Whether a VM responds and is neither leaving nor stopping.
    pub fn usable(&self, now: Millis, id: &VmId) -> bool {
        let stays = |m: &Member| !m.vm.leaving && !m.stopping;
        self.responds(now, id) && self.all.get(id).is_none_or(stays)
    }

    /// Live and leaving VMs of the own failure domain.
    pub fn census(&self, now: Millis) -> (usize, usize) {
        let mine = self.listed(&self.domain);
        let responding = mine.iter().filter(|id| self.responds(now, id)).count();
        let usable = mine.iter().filter(|id| self.usable(now, id)).count();
        (usable, responding - usable)
    }

    /// Silence after which a VM of the own failure domain counts as gone.
    ///
    /// A domain of more than one VM for each second of [`SILENCE`] does not meet each of its VMs in
    /// that time.
    fn silence(&self) -> Millis {
        let vms = self.listed(&self.domain).len() as u64;
        SILENCE.max(Millis(vms * SILENCE_TURNS * PULL_PERIOD.0))
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
