//! Several daemons, their store and targets, in simulated time, and the oracle that counts runs.

use std::collections::BTreeMap;

use fastrand::Rng;
use serde_json::Value;
use waxwing_core::{Flow, FlowAction, FlowEvent, FlowId, Forwarded, IncomingRequest, Refusal};
use waxwing_types::Millis;

use crate::records::{self, Request, TARGETS, VMS, WORKSPACES, arrival};
use crate::store::Store;
use crate::target::{Mode, Sender, Target};
use crate::vm::{Daemon, Link, Live};

/// A request as a caller sent it to one VM.
pub(crate) struct Root {
    pub(crate) request: Request,
    pub(crate) vm: usize,
    pub(crate) flow: u64,
    pub(crate) since: u64,
    pub(crate) answers: u32,
    pub(crate) refusal: Option<Refusal>,
    /// Runs that this sending caused.
    pub(crate) runs: u32,
    /// Requests that reached a target because of it.
    pub(crate) sends: u32,
    /// Whether the VM died or the caller left, so that there may be no answer.
    pub(crate) lost: bool,
}

pub(crate) enum Event {
    Flow {
        at: Link,
        call: Option<u64>,
        attempt: bool,
        event: FlowEvent,
    },
    Effect {
        at: Link,
        call: u64,
        action: FlowAction,
        answer: bool,
    },
    Arrive {
        sender: Sender,
        target: usize,
        root: usize,
    },
    RunEnd {
        sender: Sender,
        target: usize,
    },
    Timer {
        at: Link,
        time: u64,
    },
    Adopt {
        vm: usize,
        version: u64,
        record: Value,
    },
}

pub(crate) struct World {
    pub(crate) now: u64,
    pub(crate) rng: Rng,
    seq: u64,
    events: BTreeMap<(u64, u64), Event>,
    pub(crate) store: Store,
    pub(crate) targets: Vec<Target>,
    pub(crate) vms: Vec<Daemon>,
    pub(crate) roots: Vec<Root>,
    pub(crate) runs: BTreeMap<Request, u32>,
    flows: u64,
    attempts: u64,
    pub(crate) version: u64,
    /// Newest version of each record that changes.
    truth: BTreeMap<String, (u64, Value)>,
    pub(crate) withdrawn: [bool; WORKSPACES],
    pub(crate) leaving: [bool; TARGETS],
}

impl World {
    pub(crate) fn new(seed: u64) -> Self {
        let target = || Target {
            mode: Mode::Good,
            slots: 3,
            running: Vec::new(),
            down_until: 0,
        };
        let mut world = Self {
            now: 0,
            rng: Rng::with_seed(seed),
            seq: 0,
            events: BTreeMap::new(),
            store: Store::new(),
            targets: (0..TARGETS).map(|_| target()).collect(),
            vms: Vec::new(),
            roots: Vec::new(),
            runs: BTreeMap::new(),
            flows: 0,
            attempts: 0,
            version: 100,
            truth: BTreeMap::new(),
            withdrawn: [false; WORKSPACES],
            leaving: [false; TARGETS],
        };
        for record in (0..WORKSPACES).map(|w| records::key(w, false)) {
            world.remember(&record);
        }
        world.remember(&records::service([false; TARGETS]));
        for vm in 0..VMS {
            let daemon = world.boot(vm, 1);
            world.vms.push(daemon);
        }
        world
    }

    pub(crate) fn publish(&mut self, record: &Value) {
        self.remember(record);
        let version = self.version;
        for vm in 0..VMS {
            let delay = self.rng.u64(0..100);
            let record = record.clone();
            self.schedule(
                delay,
                Event::Adopt {
                    vm,
                    version,
                    record,
                },
            );
        }
    }

    pub(crate) fn send(&mut self, vm: usize, request: Request) {
        let root = self.roots.len();
        let flow = self.add_flow(vm, root, arrival(request), None);
        self.roots.push(Root {
            request,
            vm,
            flow,
            since: self.now,
            answers: 0,
            refusal: None,
            runs: 0,
            sends: 0,
            lost: false,
        });
        self.deliver(self.link(vm, flow), FlowEvent::Start);
    }

    pub(crate) fn kill(&mut self, vm: usize) {
        let process = self.vms[vm].process + 1;
        let daemon = self.boot(vm, process);
        let old = std::mem::replace(&mut self.vms[vm], daemon);
        for root in &mut self.roots {
            root.lost |= root.vm == vm && old.flows.contains_key(&root.flow);
        }
        for live in old.flows.values() {
            if let Some(parent) = live.parent {
                self.later(1, parent, true, FlowEvent::ConnectionBroken);
            }
            if let Some(child) = live.child {
                self.later(1, child, false, FlowEvent::CallerDisconnected);
            }
        }
    }

    pub(crate) fn caller_gone(&mut self, root: usize) {
        let (vm, flow) = (self.roots[root].vm, self.roots[root].flow);
        if self.vms[vm].flows.contains_key(&flow) && !self.roots[root].lost {
            self.roots[root].lost = true;
            self.deliver(self.link(vm, flow), FlowEvent::CallerDisconnected);
        }
    }

    pub(crate) fn advance(&mut self, span: u64) {
        let end = self.now + span;
        while let Some((&(time, seq), _)) = self.events.first_key_value() {
            if time > end {
                break;
            }
            self.now = time;
            if let Some(event) = self.events.remove(&(time, seq)) {
                self.handle(event);
            }
        }
        self.now = end;
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Flow {
                at,
                call,
                attempt,
                event,
            } => {
                let Some(live) = self.live(at) else { return };
                if call.is_some_and(|c| c != live.call) {
                    return;
                }
                if attempt && (at.attempt != live.attempt || !live.is_sending) {
                    return;
                }
                if call.is_some() {
                    live.call += 1;
                }
                self.deliver(at, event);
            }
            Event::Effect {
                at,
                call,
                action,
                answer,
            } => {
                let outcome = self.store.perform(&action);
                if answer {
                    let delay = self.rng.u64(1..4);
                    let event = FlowEvent::StoreCallEnded(outcome);
                    self.schedule(
                        delay,
                        Event::Flow {
                            at,
                            call: Some(call),
                            attempt: false,
                            event,
                        },
                    );
                }
            }
            Event::Arrive {
                sender,
                target,
                root,
            } => self.arrive(sender, target, root),
            Event::RunEnd { sender, target } => self.run_end(sender, target),
            Event::Timer { at, time } => {
                if self.live(at).is_some_and(|live| live.timer == time) {
                    self.deliver(at, FlowEvent::Timer);
                }
            }
            Event::Adopt {
                vm,
                version,
                record,
            } => self.adopt(vm, version, &record),
        }
    }

    fn adopt(&mut self, vm: usize, version: u64, record: &Value) {
        let name = record["name"].as_str().unwrap_or_default().to_owned();
        let path = format!(
            "config/{}/{name}",
            record["kind"].as_str().unwrap_or_default()
        );
        let held = self.vms[vm].config.versions(&path);
        if held.is_some_and(|(held, _)| held.0 >= version) {
            return;
        }
        let now = self.now;
        let daemon = &mut self.vms[vm];
        records::adopt(&mut daemon.config, now, version, record);
        if let Some(workspace) = name.strip_prefix('k').and_then(|w| w.parse().ok()) {
            if record["withdrawn"] == true {
                daemon.withdrawn.insert(workspace);
            } else {
                daemon.withdrawn.remove(&workspace);
            }
            let dropped = daemon.queue.remove_key(&name);
            self.wake(vm, &dropped);
        } else if let Some(targets) = record["spec"]["targets"].as_array() {
            daemon.leaving = targets.iter().map(|t| t["leaving"] == true).collect();
        }
    }

    fn wake(&mut self, vm: usize, flows: &[FlowId]) {
        for flow in flows {
            let at = self.link(vm, flow.0);
            let delay = self.rng.u64(0..2);
            self.later(delay, at, false, FlowEvent::Dequeued);
        }
    }

    fn boot(&mut self, vm: usize, process: u64) -> Daemon {
        let seed = self.rng.u64(..);
        let mut daemon = Daemon::new(vm, process, self.now, seed, 40);
        for (version, record) in (1..).zip(records::fixed()) {
            records::adopt(&mut daemon.config, self.now, version, &record);
        }
        for (version, record) in self.truth.values() {
            records::adopt(&mut daemon.config, self.now, *version, record);
        }
        daemon.withdrawn = (0..WORKSPACES).filter(|w| self.withdrawn[*w]).collect();
        daemon.leaving = self.leaving.to_vec();
        daemon
    }

    fn remember(&mut self, record: &Value) {
        self.version += 1;
        let name = format!("{}/{}", record["kind"], record["name"]);
        self.truth.insert(name, (self.version, record.clone()));
    }

    pub(crate) fn add_flow(
        &mut self,
        vm: usize,
        root: usize,
        arrival: IncomingRequest,
        parent: Option<Link>,
    ) -> u64 {
        self.flows += 1;
        let live = Live::new(Flow::new(FlowId(self.flows), arrival), root, parent);
        self.vms[vm].flows.insert(self.flows, live);
        self.flows
    }

    pub(crate) fn schedule(&mut self, delay: u64, event: Event) {
        self.seq += 1;
        self.events.insert((self.now + delay, self.seq), event);
    }

    /// Delivers an event to a flow later; `attempt`: only if its attempt still runs.
    pub(crate) fn later(&mut self, delay: u64, at: Link, attempt: bool, event: FlowEvent) {
        self.schedule(
            delay,
            Event::Flow {
                at,
                call: None,
                attempt,
                event,
            },
        );
    }

    pub(crate) fn next_attempt(&mut self) -> u64 {
        self.attempts += 1;
        self.attempts
    }

    pub(crate) fn link(&self, vm: usize, flow: u64) -> Link {
        let attempt = self.vms[vm].flows.get(&flow).map_or(0, |l| l.attempt);
        Link {
            vm,
            process: self.vms[vm].process,
            flow,
            attempt,
        }
    }

    pub(crate) fn live(&mut self, at: Link) -> Option<&mut Live> {
        let daemon = &mut self.vms[at.vm];
        (daemon.process == at.process).then(|| daemon.flows.get_mut(&at.flow))?
    }
}

pub(crate) fn forwarded(
    arrival: &IncomingRequest,
    flow: &Flow,
    region: &str,
    left: u64,
) -> IncomingRequest {
    IncomingRequest {
        requested_timeout: Some(Millis(left)),
        forwarded: Some(Forwarded {
            workspace: flow.workspace().cloned(),
            from_region: region.into(),
        }),
        ..arrival.clone()
    }
}
