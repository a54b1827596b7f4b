//! VMs in several failure domains that exchange records in virtual time over a faulty network.

// Each test program and the propagation example use only a part of this module.
#![allow(dead_code, unreachable_pub)]

pub mod oracle;
mod service;
pub mod store;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use fastrand::Rng;
use smol_str::SmolStr;
use store::Store;
use waxwing_core::{
    CallTimes, Config, Members, PullAction, PullReply, PullRequest, PullSettings, Puller,
    RecordPage, VersionedRecord, Vm,
};
use waxwing_types::{DomainId, Incarnation, Millis, Revision, VmId};

/// Time after which a call without a reply fails.
const CALL_TIMEOUT: Millis = Millis(1000);
const TICK_INTERVAL: Millis = Millis(100);
/// Stands for the store in `partitions`, in place of a domain.
pub const STORE_DOMAIN: usize = usize::MAX;

/// A VM with its present process.
pub struct Node {
    pub id: VmId,
    pub domain: usize,
    /// Time when the process started. The process's own clock shows zero then.
    pub started_at: Millis,
    pub config: Config,
    pub members: Members,
    pub puller: Puller,
    rng: Rng,
    /// Id of the process, unique in the cluster.
    process: u64,
    open_calls: BTreeSet<u64>,
}

#[derive(Clone, Copy, Debug, Default)]
pub struct NetworkFaults {
    /// Share of messages that are lost, in thousandths.
    pub loss: u64,
    /// Share of messages that are delivered twice, in thousandths.
    pub duplicates: u64,
    /// Each message is delayed by up to this many additional milliseconds.
    pub delay: u64,
}

/// `call_id` identifies a call and its reply. `sent` is the time of the call on the caller's clock.
#[derive(Clone, Debug)]
enum Event {
    Tick,
    /// The platform's list of VMs arrives.
    VmList,
    PullRequest {
        from: usize,
        from_process: u64,
        call_id: u64,
        sent: Millis,
        request: PullRequest,
    },
    PullReply {
        call_id: u64,
        sent: Millis,
        after: Revision,
        reply: PullReply,
    },
    PullTimeout {
        call_id: u64,
        to: VmId,
    },
    StoreCall(StoreCall),
    StoreWaitOver {
        call_id: u64,
    },
    StoreReply {
        call_id: u64,
        /// The reply shows the store's state at this time on the caller's clock, or later.
        as_of: Millis,
        after: Revision,
        /// Revision up to which the reply is complete.
        reached: Revision,
        more: bool,
        records: Vec<VersionedRecord>,
    },
    StoreTimeout {
        call_id: u64,
    },
}

/// Asks for the changes after revision `after`. The reply is sent on a change, or after `wait`.
#[derive(Clone, Debug)]
struct StoreCall {
    node: usize,
    call_id: u64,
    sent: Millis,
    after: Revision,
    wait: Millis,
}

pub struct Cluster {
    pub now: Millis,
    pub nodes: Vec<Node>,
    pub store: Store,
    pub network_faults: NetworkFaults,
    /// Pairs of domains, or of a domain and [`STORE_DOMAIN`], that cannot reach each other.
    pub partitions: BTreeSet<(usize, usize)>,
    pub settings: PullSettings,
    /// Number of pull requests so far.
    pub pulls: u64,
    /// Number of calls that have arrived at the store so far.
    pub store_reads: u64,
    rng: Rng,
    /// Time and id of each scheduled event, earliest first.
    schedule: BinaryHeap<Reverse<(Millis, u64)>>,
    /// Node, process and event by event id.
    events: BTreeMap<u64, (usize, u64, Event)>,
    /// Calls that the store has not answered yet, by call id.
    waiting_calls: BTreeMap<u64, StoreCall>,
    /// Last id given to an event, a call or a process.
    last_id: u64,
}

impl Cluster {
    pub fn new(domains: usize, vms_per_domain: usize, seed: u64, settings: PullSettings) -> Self {
        let mut cluster = Self {
            now: Millis(0),
            nodes: Vec::new(),
            store: Store::default(),
            network_faults: NetworkFaults::default(),
            partitions: BTreeSet::new(),
            settings,
            pulls: 0,
            store_reads: 0,
            rng: Rng::with_seed(seed),
            schedule: BinaryHeap::new(),
            events: BTreeMap::new(),
            waiting_calls: BTreeMap::new(),
            last_id: 0,
        };
        for domain in 0..domains {
            for vm in 0..vms_per_domain {
                let id = VmId::from(format!("d{domain}-v{vm}").as_str());
                let node = cluster.new_node(id, domain);
                cluster.nodes.push(node);
            }
        }
        for i in 0..cluster.nodes.len() {
            cluster.start_node(i);
        }
        cluster
    }

    fn new_node(&mut self, id: VmId, domain: usize) -> Node {
        self.last_id += 1;
        let domain_id = DomainId::from(format!("d{domain}").as_str());
        Node {
            members: Members::new(id.clone(), domain_id),
            id,
            domain,
            started_at: self.now,
            config: Config::new(),
            puller: Puller::new(Millis(0), Incarnation(self.last_id), self.settings),
            rng: self.rng.fork(),
            process: self.last_id,
            open_calls: BTreeSet::new(),
        }
    }

    fn start_node(&mut self, i: usize) {
        let list = self.vm_list();
        self.nodes[i].members.update_vm_list(Millis(0), list);
        let first_tick = Millis(self.rng.u64(0..TICK_INTERVAL.0));
        self.schedule_event(first_tick, i, Event::Tick);
    }

    /// Ends a process without notice and starts another, with the same VM id if `same_id` is true.
    pub fn replace_process(&mut self, i: usize, same_id: bool) {
        let domain = self.nodes[i].domain;
        let id = if same_id {
            self.nodes[i].id.clone()
        } else {
            VmId::from(format!("d{domain}-n{}", self.last_id).as_str())
        };
        self.nodes[i] = self.new_node(id, domain);
        self.start_node(i);
        // The platform's list of VMs reflects the change only later.
        for other in 0..self.nodes.len() {
            let lag = Millis(self.rng.u64(1000..5000));
            self.schedule_event(lag, other, Event::VmList);
        }
    }

    fn vm_list(&self) -> Vec<Vm> {
        let address = "127.0.0.1:1".parse().expect("the address is valid");
        let vm = |node: &Node| Vm {
            id: node.id.clone(),
            domain: node.members.own_domain().clone(),
            client: address,
            peer: address,
            peer_http: address,
            leaving: false,
        };
        self.nodes.iter().map(vm).collect()
    }

    /// A conditional write by an operator. Returns `None` on a conflict or if the store is down.
    pub fn put(&mut self, path: &SmolStr, value: Vec<u8>, expected: Revision) -> Option<Revision> {
        if self.store.down {
            return None;
        }
        let version = self.store.put(self.now, path, value, expected)?;
        for store_call in std::mem::take(&mut self.waiting_calls).into_values() {
            self.answer_store_call(&store_call, store_call.sent);
        }
        Some(version)
    }

    pub fn run(&mut self, duration: Millis) {
        let end = self.now + duration;
        while let Some(Reverse((at, event_id))) = self.schedule.peek().copied() {
            if at > end {
                break;
            }
            self.schedule.pop();
            self.now = at;
            let event = self.events.remove(&event_id);
            let event = event.filter(|(node, process, _)| self.nodes[*node].process == *process);
            if let Some((node, _, event)) = event {
                self.handle(node, event);
            }
        }
        self.now = end;
    }

    pub fn is_partitioned(&self, a: usize, b: usize) -> bool {
        (b == STORE_DOMAIN && self.store.down) || self.partitions.contains(&(a.min(b), a.max(b)))
    }

    fn schedule_event(&mut self, delay: Millis, node: usize, event: Event) {
        self.last_id += 1;
        self.schedule
            .push(Reverse((self.now + delay, self.last_id)));
        let process = self.nodes[node].process;
        self.events.insert(self.last_id, (node, process, event));
    }

    /// Sends a message from a domain to a node. The network may lose, delay or duplicate it.
    fn send(&mut self, from_domain: usize, node: usize, event: &Event) {
        if self.is_partitioned(from_domain, self.nodes[node].domain)
            || self.rng.u64(0..1000) < self.network_faults.loss
        {
            return;
        }
        let duplicate = self.rng.u64(0..1000) < self.network_faults.duplicates;
        for _ in 0..=u32::from(duplicate) {
            let extra_delay = self.rng.u64(0..=self.network_faults.delay);
            let base_delay = if from_domain == self.nodes[node].domain {
                1
            } else {
                30
            };
            self.schedule_event(Millis(base_delay + extra_delay), node, event.clone());
        }
    }

    fn handle(&mut self, i: usize, event: Event) {
        let now = self.now.since(self.nodes[i].started_at);
        match event {
            Event::Tick => {
                let n = &mut self.nodes[i];
                let actions = n.puller.tick(now, &n.config, &mut n.members, &mut n.rng);
                self.perform(i, actions);
                self.schedule_event(TICK_INTERVAL, i, Event::Tick);
            }
            Event::VmList => {
                let list = self.vm_list();
                self.nodes[i].members.update_vm_list(now, list);
            }
            Event::PullRequest {
                from,
                from_process,
                call_id,
                sent,
                request,
            } => {
                let n = &mut self.nodes[i];
                let (reply, actions) =
                    n.puller
                        .on_pull_request(now, &n.config, &mut n.members, &request);
                self.perform(i, actions);
                if self.nodes[from].process == from_process {
                    let after = request.after;
                    let event = Event::PullReply {
                        call_id,
                        sent,
                        after,
                        reply,
                    };
                    self.send(self.nodes[i].domain, from, &event);
                }
            }
            Event::PullReply {
                call_id,
                sent,
                after,
                mut reply,
            } => {
                let page = RecordPage::from_reply(after, &mut reply);
                let n = &mut self.nodes[i];
                n.open_calls.remove(&call_id);
                let times = CallTimes { now, as_of: sent };
                let state = (&mut n.config, &mut n.members);
                let (_, actions) = n
                    .puller
                    .on_pull_reply(times, state, &reply, page, &mut n.rng);
                self.perform(i, actions);
            }
            Event::PullTimeout { call_id, to } => {
                let n = &mut self.nodes[i];
                if n.open_calls.remove(&call_id) {
                    n.puller.on_pull_failed(&n.config, &mut n.members, &to);
                }
            }
            Event::StoreCall(store_call) => self.on_store_call(store_call),
            Event::StoreWaitOver { call_id } => {
                if let Some(store_call) = self.waiting_calls.remove(&call_id) {
                    let as_of = store_call.sent + store_call.wait;
                    self.answer_store_call(&store_call, as_of);
                }
            }
            Event::StoreReply {
                call_id,
                as_of,
                after,
                reached,
                more,
                records,
            } => {
                let page = RecordPage::from_store(after, reached, more, records);
                let n = &mut self.nodes[i];
                n.open_calls.remove(&call_id);
                let times = CallTimes { now, as_of };
                let state = (&mut n.config, &mut n.members);
                let (_, actions) = n.puller.on_store_reply(times, state, page, &mut n.rng);
                self.perform(i, actions);
            }
            Event::StoreTimeout { call_id } => {
                let n = &mut self.nodes[i];
                if n.open_calls.remove(&call_id) {
                    n.puller
                        .on_store_failed(now, &n.config, &n.members, &mut n.rng);
                }
            }
        }
    }

    fn perform(&mut self, i: usize, actions: Vec<PullAction>) {
        let sent = self.now.since(self.nodes[i].started_at);
        for action in actions {
            self.last_id += 1;
            let call_id = self.last_id;
            self.nodes[i].open_calls.insert(call_id);
            match action {
                PullAction::Pull { to, request } => {
                    self.pulls += 1;
                    let receiver = self.nodes.iter().position(|n| n.id == to);
                    let (from, from_process) = (i, self.nodes[i].process);
                    let event = Event::PullRequest {
                        from,
                        from_process,
                        call_id,
                        sent,
                        request,
                    };
                    if let Some(receiver) = receiver {
                        self.send(self.nodes[i].domain, receiver, &event);
                    }
                    self.schedule_event(CALL_TIMEOUT, i, Event::PullTimeout { call_id, to });
                }
                PullAction::ReadStore { after, wait } => {
                    let store_call = StoreCall {
                        node: i,
                        call_id,
                        sent,
                        after,
                        wait,
                    };
                    self.schedule_event(Millis(2), i, Event::StoreCall(store_call));
                    self.schedule_event(CALL_TIMEOUT + wait, i, Event::StoreTimeout { call_id });
                }
            }
        }
    }
}
