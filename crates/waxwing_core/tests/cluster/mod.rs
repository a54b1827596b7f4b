//! Failure domains of VMs that exchange records in virtual time over a network with faults.

// Each test and the propagation example use a part of this module.
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

const TIMEOUT: Millis = Millis(1000);
const TICK: Millis = Millis(100);
/// Number of the store among the domains, for partitions.
pub const STORE_DOMAIN: usize = usize::MAX;

/// A process on a VM.
pub struct Node {
    pub id: VmId,
    pub domain: usize,
    pub started_at: Millis,
    pub config: Config,
    pub members: Members,
    pub puller: Puller,
    rng: Rng,
    process: u64,
    calls: BTreeSet<u64>,
}

#[derive(Clone, Copy, Debug, Default)]
pub struct NetworkFaults {
    /// Messages lost, of a thousand.
    pub loss: u64,
    /// Messages delivered twice, of a thousand.
    pub duplicates: u64,
    /// Greatest additional delay.
    pub delay: u64,
}

#[derive(Clone, Debug)]
enum Event {
    Tick,
    List,
    Request {
        from: usize,
        from_process: u64,
        call: u64,
        sent: Millis,
        request: PullRequest,
    },
    Reply {
        call: u64,
        sent: Millis,
        after: Revision,
        reply: PullReply,
    },
    Failed {
        call: u64,
        to: VmId,
    },
    StoreCall(Waiting),
    StoreWaited {
        call: u64,
    },
    StoreReply {
        call: u64,
        as_of: Millis,
        after: Revision,
        reached: Revision,
        more: bool,
        records: Vec<VersionedRecord>,
    },
    StoreFailed {
        call: u64,
    },
}

#[derive(Clone, Debug)]
struct Waiting {
    node: usize,
    call: u64,
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
    pub pulls: u64,
    pub store_reads: u64,
    rng: Rng,
    events: BinaryHeap<Reverse<(Millis, u64)>>,
    bodies: BTreeMap<u64, (usize, u64, Event)>,
    waiting: BTreeMap<u64, Waiting>,
    next: u64,
}

impl Cluster {
    pub fn new(domains: usize, vms: usize, seed: u64, settings: PullSettings) -> Self {
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
            events: BinaryHeap::new(),
            bodies: BTreeMap::new(),
            waiting: BTreeMap::new(),
            next: 0,
        };
        for domain in 0..domains {
            for vm in 0..vms {
                let id = VmId::from(format!("d{domain}-v{vm}").as_str());
                let node = cluster.node(id, domain);
                cluster.nodes.push(node);
            }
        }
        for i in 0..cluster.nodes.len() {
            cluster.boot(i);
        }
        cluster
    }

    fn node(&mut self, id: VmId, domain: usize) -> Node {
        self.next += 1;
        let name = DomainId::from(format!("d{domain}").as_str());
        Node {
            members: Members::new(id.clone(), name),
            id,
            domain,
            started_at: self.now,
            config: Config::new(),
            puller: Puller::new(Millis(0), Incarnation(self.next), self.settings),
            rng: self.rng.fork(),
            process: self.next,
            calls: BTreeSet::new(),
        }
    }

    fn boot(&mut self, i: usize) {
        let list = self.list();
        self.nodes[i].members.update_vm_list(Millis(0), list);
        let phase = Millis(self.rng.u64(0..TICK.0));
        self.schedule(phase, i, Event::Tick);
    }

    /// Ends a process at once and starts another, under the same id or a new one.
    pub fn replace_process(&mut self, i: usize, same_id: bool) {
        let domain = self.nodes[i].domain;
        let id = if same_id {
            self.nodes[i].id.clone()
        } else {
            VmId::from(format!("d{domain}-n{}", self.next).as_str())
        };
        self.nodes[i] = self.node(id, domain);
        self.boot(i);
        // The platform's list lags.
        for other in 0..self.nodes.len() {
            let lag = Millis(self.rng.u64(1000..5000));
            self.schedule(lag, other, Event::List);
        }
    }

    fn list(&self) -> Vec<Vm> {
        let address = "127.0.0.1:1".parse().expect("an address");
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

    /// A conditional update by an operator, unless the store is down.
    pub fn put(&mut self, path: &SmolStr, value: Vec<u8>, expected: Revision) -> Option<Revision> {
        if self.store.down {
            return None;
        }
        let version = self.store.put(self.now, path, value, expected)?;
        for waiting in std::mem::take(&mut self.waiting).into_values() {
            self.answer(&waiting, waiting.sent);
        }
        Some(version)
    }

    pub fn run(&mut self, span: Millis) {
        let end = self.now + span;
        while let Some(Reverse((at, number))) = self.events.peek().copied() {
            if at > end {
                break;
            }
            self.events.pop();
            self.now = at;
            let body = self.bodies.remove(&number);
            let body = body.filter(|(node, process, _)| self.nodes[*node].process == *process);
            if let Some((node, _, event)) = body {
                self.handle(node, event);
            }
        }
        self.now = end;
    }

    pub fn is_partitioned(&self, a: usize, b: usize) -> bool {
        (b == STORE_DOMAIN && self.store.down) || self.partitions.contains(&(a.min(b), a.max(b)))
    }

    fn schedule(&mut self, delay: Millis, node: usize, event: Event) {
        self.next += 1;
        self.events.push(Reverse((self.now + delay, self.next)));
        let process = self.nodes[node].process;
        self.bodies.insert(self.next, (node, process, event));
    }

    /// Sends a message to a node, with the faults of the network.
    fn send(&mut self, from: usize, node: usize, event: &Event) {
        if self.is_partitioned(from, self.nodes[node].domain)
            || self.rng.u64(0..1000) < self.network_faults.loss
        {
            return;
        }
        let twice = self.rng.u64(0..1000) < self.network_faults.duplicates;
        for _ in 0..=u32::from(twice) {
            let extra = self.rng.u64(0..=self.network_faults.delay);
            let delay = if from == self.nodes[node].domain {
                1
            } else {
                30
            };
            self.schedule(Millis(delay + extra), node, event.clone());
        }
    }

    fn handle(&mut self, i: usize, event: Event) {
        let now = self.now.since(self.nodes[i].started_at);
        match event {
            Event::Tick => {
                let n = &mut self.nodes[i];
                let actions = n.puller.tick(now, &n.config, &mut n.members, &mut n.rng);
                self.act(i, actions);
                self.schedule(TICK, i, Event::Tick);
            }
            Event::List => {
                let list = self.list();
                self.nodes[i].members.update_vm_list(now, list);
            }
            Event::Request {
                from,
                from_process,
                call,
                sent,
                request,
            } => {
                let n = &mut self.nodes[i];
                let (reply, actions) =
                    n.puller
                        .on_pull_request(now, &n.config, &mut n.members, &request);
                self.act(i, actions);
                if self.nodes[from].process == from_process {
                    let after = request.after;
                    let event = Event::Reply {
                        call,
                        sent,
                        after,
                        reply,
                    };
                    self.send(self.nodes[i].domain, from, &event);
                }
            }
            Event::Reply {
                call,
                sent,
                after,
                mut reply,
            } => {
                let page = RecordPage::from_reply(after, &mut reply);
                let n = &mut self.nodes[i];
                n.calls.remove(&call);
                let clocks = CallTimes { now, sent };
                let tables = (&mut n.config, &mut n.members);
                let (_, actions) = n
                    .puller
                    .on_pull_reply(clocks, tables, &reply, page, &mut n.rng);
                self.act(i, actions);
            }
            Event::Failed { call, to } => {
                let n = &mut self.nodes[i];
                if n.calls.remove(&call) {
                    n.puller.on_pull_failed(&n.config, &mut n.members, &to);
                }
            }
            Event::StoreCall(waiting) => self.on_store_call(waiting),
            Event::StoreWaited { call } => {
                if let Some(waiting) = self.waiting.remove(&call) {
                    let as_of = waiting.sent + waiting.wait;
                    self.answer(&waiting, as_of);
                }
            }
            Event::StoreReply {
                call,
                as_of,
                after,
                reached,
                more,
                records,
            } => {
                let page = RecordPage::from_store(after, reached, more, records);
                let n = &mut self.nodes[i];
                n.calls.remove(&call);
                let clocks = CallTimes { now, sent: as_of };
                let tables = (&mut n.config, &mut n.members);
                let (_, actions) = n.puller.on_store_reply(clocks, tables, page, &mut n.rng);
                self.act(i, actions);
            }
            Event::StoreFailed { call } => {
                let n = &mut self.nodes[i];
                if n.calls.remove(&call) {
                    n.puller
                        .on_store_failed(now, &n.config, &n.members, &mut n.rng);
                }
            }
        }
    }

    fn act(&mut self, i: usize, actions: Vec<PullAction>) {
        let sent = self.now.since(self.nodes[i].started_at);
        for action in actions {
            self.next += 1;
            let call = self.next;
            self.nodes[i].calls.insert(call);
            match action {
                PullAction::Pull { to, request } => {
                    self.pulls += 1;
                    let target = self.nodes.iter().position(|n| n.id == to);
                    let (from, from_process) = (i, self.nodes[i].process);
                    let event = Event::Request {
                        from,
                        from_process,
                        call,
                        sent,
                        request,
                    };
                    if let Some(target) = target {
                        self.send(self.nodes[i].domain, target, &event);
                    }
                    self.schedule(TIMEOUT, i, Event::Failed { call, to });
                }
                PullAction::ReadStore { after, wait } => {
                    let waiting = Waiting {
                        node: i,
                        call,
                        sent,
                        after,
                        wait,
                    };
                    self.schedule(Millis(2), i, Event::StoreCall(waiting));
                    self.schedule(TIMEOUT + wait, i, Event::StoreFailed { call });
                }
            }
        }
    }
}
