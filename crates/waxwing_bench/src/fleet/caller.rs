//! The callers: which VM they send a request to, and what they do when it fails.

use waxwing_core::{
    BlockTable, Claim, Flow, FlowEvent, FlowId, IncomingRequest, LookupAnswer, PresentedKey,
};
use waxwing_types::Millis;

use super::System;
use super::event::Event;
use super::simple::SimpleFlow;
use super::size::{DOMAINS, ROUTES, SPIKER, TIMEOUTS, WORKSPACES, key_hash, number};
use super::vm::{Handler, Link, Live};
use super::world::World;

/// Callers of a workspace in each failure domain.
const PER_DOMAIN: usize = 4;
/// Time in µs for which a caller avoids a VM that did not respond.
const AVOID: u64 = 10_000_000;
/// Time in µs after which opening a connection fails if nothing answers.
pub(super) const CONNECT_TIMEOUT: u64 = 1_000_000;
/// Tries of a caller.
const TRIES: u32 = 3;

/// A caller's look-up.
#[derive(Debug)]
pub(super) struct Caller {
    home: usize,
    vms: Vec<usize>,
    until: u64,
    avoided: Vec<(usize, u64)>,
}

/// A request as its caller sees it.
#[derive(Clone, Debug)]
pub(super) struct Root {
    pub(super) workspace: usize,
    pub(super) service: usize,
    pub(super) caller: usize,
    pub(super) sent: u64,
    /// Whether the demand was inside rate and burst.
    pub(super) inside: bool,
    pub(super) done: bool,
    pub(super) tries: u32,
    pub(super) vm: usize,
    pub(super) flow: u64,
    pub(super) poison: bool,
    /// Run time as a factor on the mean.
    pub(super) draw: f64,
}

pub(super) fn callers() -> Vec<Caller> {
    let all = WORKSPACES * DOMAINS * PER_DOMAIN;
    (0..all)
        .map(|c| Caller {
            home: c / PER_DOMAIN % DOMAINS,
            vms: Vec::new(),
            until: 0,
            avoided: Vec::new(),
        })
        .collect()
}

impl World {
    /// A new request of a workspace, and the time of the next one.
    pub(super) fn arrive(&mut self, workspace: usize) {
        let rate = self.size.rate(workspace) * self.demand[workspace];
        #[allow(
            clippy::cast_precision_loss,
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss
        )]
        let gap = (-(1.0 - self.plan.f64()).ln() * 100_000_000.0 / rate as f64) as u64;
        self.schedule(gap, Event::Arrival(workspace));
        self.request(workspace, None, false);
    }

    /// Sends one request; `service`: by the capacities if `None`.
    pub(super) fn request(&mut self, workspace: usize, service: Option<usize>, poison: bool) {
        let service = service.unwrap_or_else(|| self.any_service());
        let region = self.any_region(workspace, service);
        let home = region * 2 + self.plan.usize(..2);
        let caller = (workspace * DOMAINS + home) * PER_DOMAIN + self.plan.usize(..PER_DOMAIN);
        let draw = 0.4 - 0.6 * (1.0 - self.plan.f64()).ln();
        let inside = self.meter.offer(self.now, workspace);
        self.roots.push(Root {
            workspace,
            service,
            caller,
            sent: self.now,
            inside,
            done: false,
            tries: 0,
            vm: 0,
            flow: 0,
            poison,
            draw,
        });
        self.call(self.roots.len() - 1);
    }

    fn any_service(&mut self) -> usize {
        let all: Vec<u64> = (0..3).map(|s| self.size.capacity(s)).collect();
        let mut draw = self.plan.u64(..all.iter().sum::<u64>());
        let passed = all.iter().take_while(|part| {
            let more = draw >= **part;
            draw = draw.saturating_sub(**part);
            more
        });
        passed.count().min(2)
    }

    /// Regions get demand by their slots; smaller workspaces have a home region for a part of it.
    fn any_region(&mut self, workspace: usize, service: usize) -> usize {
        if workspace > SPIKER && self.plan.u8(..10) < 4 {
            return workspace % 3;
        }
        let all: usize = (0..3).map(|r| self.size.region_slots(service, r)).sum();
        let mut draw = self.plan.usize(..all);
        for region in 0..3 {
            let part = self.size.region_slots(service, region);
            if draw < part {
                return region;
            }
            draw -= part;
        }
        0
    }

    /// Sends a request to the first VM of the look-up that the caller does not avoid.
    pub(super) fn call(&mut self, root: usize) {
        let caller = self.roots[root].caller;
        if self.now >= self.callers[caller].until {
            self.look_up(caller);
        }
        let now = self.now;
        let state = &mut self.callers[caller];
        state.avoided.retain(|(_, until)| *until > now);
        let avoided = |vm: &&usize| state.avoided.iter().any(|(a, _)| a == *vm);
        let vm = state.vms.iter().find(|vm| !avoided(vm));
        let Some(vm) = vm.or(state.vms.first()).copied() else {
            self.fail(root);
            return;
        };
        self.roots[root].vm = vm;
        self.roots[root].flow = 0;
        let delay = self.caller_delay(caller, vm);
        self.schedule(delay, Event::Enter { root, vm });
    }

    fn look_up(&mut self, caller: usize) {
        let home = self.callers[caller].home;
        let near = |vm: &usize| {
            let domain = self.vms[*vm].domain;
            (domain != home, domain / 2 != home / 2)
        };
        let serving = (0..self.vms.len()).filter(|vm| self.vms[*vm].serves());
        let Some(vm) = serving.min_by_key(near) else {
            return;
        };
        let daemon = &self.vms[vm];
        // The last byte spreads the callers of a site over its VMs.
        let last = u8::try_from(caller % 251).unwrap_or(0);
        let client = [10, 9, u8::try_from(home).unwrap_or(0), last];
        let blocks = BlockTable::build(daemon.config.block_records());
        let now = Millis(self.now / 1000);
        let members = &daemon.members;
        let LookupAnswer { vms, lifetime } =
            daemon
                .steering
                .lookup(now, &daemon.config, &blocks, members, client.into());
        let vms = vms.iter().map(|vm| number(vm.id.as_str())).collect();
        self.callers[caller].vms = vms;
        self.callers[caller].until = self.now + lifetime.0 * 1000;
    }

    pub(super) fn caller_delay(&mut self, caller: usize, vm: usize) -> u64 {
        let remote = self.callers[caller].home / 2 != self.vms[vm].domain / 2;
        self.rng.u64(1_000..3_000) + if remote { 55_000 } else { 0 }
    }

    /// A request reaches a VM.
    pub(super) fn enter(&mut self, root: usize, vm: usize) {
        if self.roots[root].done {
            return;
        }
        if !self.vms[vm].alive {
            let lost = self.lost_region == Some(self.vms[vm].domain / 2);
            let delay = if lost { CONNECT_TIMEOUT } else { 1_000 };
            self.schedule(delay, Event::Unreached { root, vm });
            return;
        }
        let wait = TIMEOUTS[self.roots[root].service] * 1000 + 1_000_000;
        self.schedule(wait, Event::GiveUp { root, vm });
        if self.vms[vm].paused {
            self.vms[vm].withheld.push(Event::Enter { root, vm });
            return;
        }
        let at = self.open(vm, root, None, None);
        self.roots[root].flow = at.flow;
        self.deliver(at, FlowEvent::Start);
    }

    /// The caller calls another VM, or gives the request up.
    pub(super) fn call_again(&mut self, root: usize, vm: usize) {
        let state = &self.roots[root];
        if state.done || state.vm != vm {
            return;
        }
        let caller = state.caller;
        self.callers[caller].avoided.push((vm, self.now + AVOID));
        self.roots[root].tries += 1;
        if self.roots[root].tries >= TRIES {
            self.fail(root);
        } else {
            self.call(root);
        }
    }

    /// The connection to a VM broke, or the VM did not answer in time.
    pub(super) fn broken(&mut self, root: usize, vm: usize) {
        if self.roots[root].service == 1 {
            let caller = self.roots[root].caller;
            self.callers[caller].avoided.push((vm, self.now + AVOID));
            self.fail(root);
        } else {
            self.call_again(root, vm);
        }
    }

    pub(super) fn open(
        &mut self,
        vm: usize,
        root: usize,
        forwarded: Option<IncomingRequest>,
        parent: Option<Link>,
    ) -> Link {
        self.last_flow += 1;
        let flow = self.last_flow;
        let arrival = forwarded.unwrap_or_else(|| self.arrival(root));
        let handler = if self.system == System::Core {
            Handler::Core(Box::new(Flow::new(FlowId(flow), arrival)))
        } else {
            let root = &self.roots[root];
            let claim = arrival.idempotency_key.as_ref().map(|key| {
                let workspace = format!("w{}", root.workspace).as_str().into();
                Claim::new(Some(&workspace), &arrival.service, key, u128::from(flow))
            });
            Handler::Simple(Box::new(SimpleFlow::new(
                root.workspace,
                root.service,
                claim,
            )))
        };
        let daemon = &mut self.vms[vm];
        daemon.flows.insert(flow, Live::new(handler, root, parent));
        Link {
            vm,
            process: daemon.process,
            flow,
            attempt: 0,
        }
    }

    fn arrival(&self, index: usize) -> IncomingRequest {
        let root = &self.roots[index];
        let (method, prefix) = ROUTES[root.service];
        let id = if root.poison { 0 } else { index };
        IncomingRequest {
            service: format!("s{}", root.service).as_str().into(),
            method: method.into(),
            path: format!("{prefix}/{id}").as_str().into(),
            api_key: Some(PresentedKey {
                id: format!("k{}", root.workspace).as_str().into(),
                hash: self.hashes[root.workspace],
            }),
            idempotency_key: (root.service == 1).then(|| format!("i{index}").as_str().into()),
            requested_timeout: None,
            body_length: Some(1000),
            client_ip: [127, 0, 0, 1].into(),
            body_hash: Some(0),
            forwarded: None,
        }
    }
}

pub(super) fn hashes() -> Vec<waxwing_records::KeyHash> {
    (0..WORKSPACES).map(key_hash).collect()
}
