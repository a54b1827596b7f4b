//! The event queue, the network and the state of the simulated deployment. Times are in µs.

use std::collections::{BinaryHeap, HashMap};

use fastrand::Rng;
use serde_json::Value;
use waxwing_core::{FlowEvent, FlowId, StoreOutcome};
use waxwing_records::KeyHash;
use waxwing_types::Millis;

use super::System;
use super::caller::{Caller, Root, callers, hashes};
use super::event::{Due, Event};
use super::measure::Meter;
use super::size::{DEMAND, DOMAINS, Size, WORKSPACES};
use super::target::Target;
use super::vm::{Daemon, Link};

/// Period in µs of the ticks of the fair queues.
const TICK: u64 = 20_000;

/// A simulated deployment.
pub struct World {
    pub(super) now: u64,
    pub(super) size: &'static Size,
    pub(super) system: System,
    pub(super) rng: Rng,
    /// Draws the demand and the spread of records, which are thus the same for all systems.
    pub(super) plan: Rng,
    events: BinaryHeap<Due>,
    sequence: u64,
    pub(super) vms: Vec<Daemon>,
    pub(super) targets: Vec<Vec<Target>>,
    pub(super) callers: Vec<Caller>,
    pub(super) roots: Vec<Root>,
    pub(super) hashes: Vec<KeyHash>,
    /// Demand of each workspace in percent of its rate.
    pub(super) demand: [u64; WORKSPACES],
    pub(super) records: Vec<(u64, Value)>,
    /// Newest record that each VM holds.
    pub(super) revisions: Vec<u64>,
    pub(super) owners: Vec<Option<(u64, Vec<u8>)>>,
    pub(super) claims: HashMap<String, (u64, Vec<u8>)>,
    pub(super) version: u64,
    pub(super) store_down: bool,
    pub(super) cut: Option<usize>,
    pub(super) lost_region: Option<usize>,
    pub(super) ticked: Vec<u64>,
    pub(super) early_ticks: Vec<bool>,
    pub(super) last_flow: u64,
    pub(super) last_attempt: u64,
    pub(super) meter: Meter,
    quiet: bool,
}

impl World {
    /// A deployment at time zero, with the callers' demand at half of their rates.
    pub fn new(size: &'static Size, system: System, seed: u64) -> Self {
        let boot = |vm| Daemon::new(size, system, vm, 1, seed * 1000 + vm as u64);
        let target = |t| Target::new(size.slots_of(t), t % DOMAINS);
        let pool = |n: &usize| (0..*n).map(target).collect();
        let records: Vec<_> = (1..).zip(size.records()).collect();
        let version = records.len() as u64;
        let mut world = Self {
            now: 0,
            size,
            system,
            rng: Rng::with_seed(seed),
            plan: Rng::with_seed(seed ^ 0x5eed),
            events: BinaryHeap::new(),
            sequence: 0,
            vms: (0..size.vms).map(boot).collect(),
            targets: size.targets.iter().map(pool).collect(),
            callers: callers(),
            roots: Vec::new(),
            hashes: hashes(),
            demand: [DEMAND; WORKSPACES],
            records,
            revisions: vec![0; size.vms],
            owners: vec![None; DOMAINS],
            claims: HashMap::new(),
            version,
            store_down: false,
            cut: None,
            lost_region: None,
            ticked: vec![0; size.vms],
            early_ticks: vec![false; size.vms],
            last_flow: 0,
            last_attempt: 0,
            meter: Meter::new(size),
            quiet: false,
        };
        for vm in 0..size.vms {
            world.adopt(vm);
        }
        for workspace in 0..WORKSPACES {
            let delay = 5_000_000 + world.plan.u64(..10_000);
            world.schedule(delay, Event::Arrival(workspace));
        }
        world.schedule(0, Event::Tick(0));
        world
    }

    /// Runs all events up to a time in ms.
    pub fn run_until(&mut self, until: u64) {
        let until = until * 1000;
        while let Some(due) = self.events.peek()
            && due.0 <= until
        {
            if let Some(Due(time, _, event)) = self.events.pop() {
                self.now = time;
                self.handle(event);
            }
        }
        self.now = until;
    }

    /// No further requests are sent.
    pub(super) fn stop_arrivals(&mut self) {
        self.quiet = true;
    }

    pub(super) fn schedule(&mut self, delay: u64, event: Event) {
        self.sequence += 1;
        self.events
            .push(Due(self.now + delay, self.sequence, event));
    }

    fn handle(&mut self, event: Event) {
        let (vm, process) = match &event {
            Event::Flow { at, .. } | Event::Timer { at, .. } => (at.vm, Some(at.process)),
            Event::Message { vm, process, .. } => (*vm, *process),
            Event::Adopt { vm } | Event::EarlyTick(vm) => (*vm, None),
            _ => return self.handle_outside(&event),
        };
        let daemon = &mut self.vms[vm];
        if !daemon.alive || process.is_some_and(|p| p != daemon.process) {
            return;
        }
        if daemon.paused {
            daemon.withheld.push(event);
            return;
        }
        match event {
            Event::Flow {
                at,
                call,
                attempt,
                event,
            } => self.on_flow(at, call, attempt, event),
            Event::Timer { at, time } => self.on_timer(at, time),
            Event::Message {
                from, vm, message, ..
            } => self.on_message(from, vm, message),
            Event::Adopt { vm } => self.adopt(vm),
            Event::EarlyTick(vm) => {
                self.early_ticks[vm] = false;
                self.tick_ledger(vm);
            }
            _ => {}
        }
    }

    fn handle_outside(&mut self, event: &Event) {
        match *event {
            Event::Arrival(workspace) if !self.quiet => self.arrive(workspace),
            Event::Enter { root, vm } => self.enter(root, vm),
            Event::Unreached { root, vm } => self.call_again(root, vm),
            Event::GiveUp { root, vm } => self.give_up(root, vm),
            Event::Reach {
                at,
                service,
                target,
                root,
            } => self.reach(at, service, target, root),
            Event::RunEnd {
                at,
                service,
                target,
            } => self.run_end(at, service, target),
            Event::CancelRun {
                at,
                service,
                target,
            } => self.cancel_run(at, service, target),
            Event::Restart { service, target } => self.targets[service][target].alive = true,
            Event::Tick(count) => self.tick(count),
            Event::Effect {
                at,
                call,
                ref action,
            } => self.effect(at, call, action),
            Event::Owners {
                vm,
                process,
                sent,
                ref write,
            } => {
                self.serve_owners(vm, process, sent, write.clone());
            }
            _ => {}
        }
    }

    fn on_timer(&mut self, at: Link, time: Millis) {
        if self.live(at).is_some_and(|live| live.timer == time) {
            self.deliver(at, FlowEvent::Timer);
        }
    }

    fn on_flow(&mut self, at: Link, call: Option<u64>, attempt: bool, event: FlowEvent) {
        let Some(live) = self.live(at) else { return };
        if call.is_some_and(|c| c != live.call) {
            return;
        }
        if attempt && (at.attempt != live.attempt || !live.sending) {
            return;
        }
        live.call += u64::from(call.is_some());
        self.deliver(at, event);
    }

    fn give_up(&mut self, root: usize, vm: usize) {
        let state = &self.roots[root];
        if state.done || state.vm != vm {
            return;
        }
        let at = self.link(vm, state.flow);
        let reachable = self.vms[vm].serves();
        self.broken(root, vm);
        if reachable && self.live(at).is_some() {
            self.deliver(at, FlowEvent::CallerDisconnected);
        }
    }

    fn tick(&mut self, count: u64) {
        let now = Millis(self.now / 1000);
        for vm in 0..self.vms.len() {
            if !self.vms[vm].serves() {
                continue;
            }
            if self.system == System::Core {
                if count.is_multiple_of(10) {
                    self.watch(vm);
                }
                if count.is_multiple_of(5) {
                    self.tick_ledger(vm);
                }
            }
            if (count + vm as u64).is_multiple_of(50) {
                self.heartbeat(vm);
                let other = self.rng.usize(..self.vms.len());
                let shared = self.vms[other].quarantine.fingerprints_to_share(now, 100);
                self.vms[vm].quarantine.merge_peer(now, &shared);
            }
        }
        self.schedule(TICK, Event::Tick(count + 1));
    }

    pub(super) fn wake(&mut self, vm: usize, flows: &[FlowId]) {
        for flow in flows {
            let at = self.link(vm, flow.0);
            self.later(0, at, false, FlowEvent::Dequeued);
        }
    }

    /// Delivers an event to a flow later; `attempt`: only if its attempt still runs.
    pub(super) fn later(&mut self, delay: u64, at: Link, attempt: bool, event: FlowEvent) {
        let call = None;
        self.schedule(
            delay,
            Event::Flow {
                at,
                call,
                attempt,
                event,
            },
        );
    }

    pub(super) fn later_store(&mut self, delay: u64, at: Link, call: u64, outcome: StoreOutcome) {
        let event = FlowEvent::StoreCallEnded(outcome);
        let (call, attempt) = (Some(call), false);
        self.schedule(
            delay,
            Event::Flow {
                at,
                call,
                attempt,
                event,
            },
        );
    }

    pub(super) fn link(&self, vm: usize, flow: u64) -> Link {
        let attempt = self.vms[vm].flows.get(&flow).map_or(0, |l| l.attempt);
        Link {
            vm,
            process: self.vms[vm].process,
            flow,
            attempt,
        }
    }

    pub(super) fn live(&mut self, at: Link) -> Option<&mut super::vm::Live> {
        let daemon = &mut self.vms[at.vm];
        (daemon.alive && daemon.process == at.process).then(|| daemon.flows.get_mut(&at.flow))?
    }

    /// One-way delay between two failure domains.
    pub(super) fn delay(&mut self, a: usize, b: usize) -> u64 {
        if a == b {
            return self.rng.u64(200..500);
        }
        let far = if a / 2 == b / 2 { 0 } else { 55_000 };
        far + self.rng.u64(500..1_000)
    }

    /// One-way delay to the store, which is in the first region, with half of its response time.
    pub(super) fn store_delay(&mut self, domain: usize) -> u64 {
        self.delay(domain, 0) + self.rng.u64(500..1_500)
    }
}

impl World {
    pub(super) fn reaches(&self, a: usize, b: usize) -> bool {
        let lost = |d: usize| self.lost_region == Some(d / 2);
        let parted = a != b && (self.cut == Some(a) || self.cut == Some(b));
        !parted && !lost(a) && !lost(b)
    }

    pub(super) fn reaches_store(&self, domain: usize) -> bool {
        !self.store_down && self.cut != Some(domain) && self.lost_region != Some(0)
    }
}
