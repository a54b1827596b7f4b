//! One entry VM: the tables of the core, or those of a baseline.

use std::collections::HashMap;

use fastrand::Rng;
use waxwing_core::{
    Config, DaemonState, FairQueue, Flow, FlowAction, FlowEvent, FlowId, Members, ParsedRecord,
    Quarantine, RateLimiter, RateLimiterSettings, RetryBudget, Steering, TargetTable,
    VersionedRecord,
};
use waxwing_types::{Incarnation, Millis, Revision};

use super::System;
use super::simple::{Simple, SimpleFlow};
use super::size::{DOMAINS, Size, domain, vm_name};

/// An attempt of a request in a VM's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Link {
    pub(super) vm: usize,
    pub(super) process: u64,
    pub(super) flow: u64,
    pub(super) attempt: u64,
}

pub(super) enum Handler {
    Core(Box<Flow>),
    Simple(Box<SimpleFlow>),
}

pub(super) struct Live {
    pub(super) handler: Handler,
    pub(super) root: usize,
    pub(super) attempt: u64,
    pub(super) sending: bool,
    pub(super) call: u64,
    pub(super) timer: Millis,
    pub(super) parent: Option<Link>,
    pub(super) child: Option<Link>,
    /// Target of the running attempt: service and index.
    pub(super) target: Option<(usize, usize)>,
    pub(super) answered: bool,
    pub(super) status: u16,
}

pub(super) struct Daemon {
    pub(super) process: u64,
    pub(super) alive: bool,
    pub(super) paused: bool,
    pub(super) domain: usize,
    pub(super) config: Config,
    pub(super) members: Members,
    pub(super) steering: Steering,
    pub(super) ledger: RateLimiter,
    pub(super) queue: FairQueue,
    pub(super) targets: TargetTable,
    pub(super) quarantine: Quarantine,
    retries: RetryBudget,
    pub(super) rng: Rng,
    pub(super) simple: Simple,
    pub(super) flows: HashMap<u64, Live>,
    /// Versions of the tables of owners that were passed to the ledger.
    pub(super) seen: [Option<u64>; DOMAINS],
    /// Requests in flight at each target and their greatest number, for new connections.
    pub(super) conns: Vec<Vec<(u32, u32)>>,
    /// Events that wait for the end of a pause.
    pub(super) withheld: Vec<super::event::Event>,
}

impl Daemon {
    pub(super) fn new(size: &Size, system: System, vm: usize, process: u64, seed: u64) -> Self {
        let place = vm % DOMAINS;
        let name = domain(place);
        let id = vm_name(vm);
        let settings = RateLimiterSettings::new(
            id.as_str().into(),
            Incarnation(process),
            name.as_str().into(),
        );
        let mut members = Members::new(id.as_str().into(), name.as_str().into());
        members.update_vm_list(Millis::ZERO, size.list());
        Self {
            process,
            alive: true,
            paused: false,
            domain: place,
            config: Config::new(),
            members,
            steering: Steering::new(name.as_str().into()),
            ledger: RateLimiter::new(settings, Millis::ZERO),
            queue: FairQueue::default(),
            targets: TargetTable::new(name.as_str().into()),
            quarantine: Quarantine::default(),
            retries: RetryBudget::default(),
            rng: Rng::with_seed(seed),
            simple: Simple::new(size, place / 2, system == System::LeastLoad, vm),
            flows: HashMap::new(),
            seen: [None; DOMAINS],
            conns: size.targets.iter().map(|n| vec![(0, 0); *n]).collect(),
            withheld: Vec::new(),
        }
    }

    pub(super) fn serves(&self) -> bool {
        self.alive && !self.paused
    }

    /// Puts records in force and passes the limits to the ledger.
    pub(super) fn adopt(
        &mut self,
        now: Millis,
        records: &[(u64, serde_json::Value)],
    ) -> Vec<FlowId> {
        let mut woken = Vec::new();
        for (version, record) in records {
            let part = |name: &str| record[name].as_str().unwrap_or_default().to_owned();
            let candidate = ParsedRecord::parse(VersionedRecord {
                path: format!("config/{}/{}", part("kind"), part("name"))
                    .as_str()
                    .into(),
                version: Revision(*version),
                value: record.to_string().into_bytes(),
            });
            let adoption = self.config.apply(now, candidate);
            let rejected = matches!(adoption, waxwing_core::ApplyOutcome::Rejected(_));
            assert!(!rejected, "record rejected: {adoption:?}");
            if record["withdrawn"] == true {
                woken.append(&mut self.queue.remove_requests_of_key(&part("name")));
            }
        }
        let newest = records.iter().map(|r| r.0).max().unwrap_or(0);
        let domains = self.config.domains().keys().cloned().collect();
        let limits = self.config.limits();
        self.ledger
            .configure(now, Revision(newest), domains, limits);
        woken
    }

    pub(super) fn step(&mut self, now: Millis, flow: u64, event: FlowEvent) -> Vec<FlowAction> {
        let Some(mut live) = self.flows.remove(&flow) else {
            return Vec::new();
        };
        let actions = match &mut live.handler {
            Handler::Core(core) => core.step(now, event, &mut self.tables()),
            Handler::Simple(simple) => simple.step(now, &event, &self.config, &mut self.simple),
        };
        self.flows.insert(flow, live);
        actions
    }

    fn tables(&mut self) -> DaemonState<'_> {
        DaemonState {
            config: &self.config,
            members: &self.members,
            steering: &self.steering,
            limits: &mut self.ledger,
            queue: &mut self.queue,
            targets: &mut self.targets,
            quarantine: &mut self.quarantine,
            retry_budget: &mut self.retries,
            rng: &mut self.rng,
        }
    }
}

impl Live {
    pub(super) fn new(handler: Handler, root: usize, parent: Option<Link>) -> Self {
        Self {
            handler,
            root,
            attempt: 0,
            sending: false,
            call: 0,
            timer: Millis::ZERO,
            parent,
            child: None,
            target: None,
            answered: false,
            status: 0,
        }
    }

    pub(super) fn is_admitted(&self) -> bool {
        match &self.handler {
            Handler::Core(flow) => flow.is_admitted(),
            Handler::Simple(flow) => flow.admitted,
        }
    }

    pub(super) fn is_finished(&self) -> bool {
        match &self.handler {
            Handler::Core(flow) => flow.is_finished(),
            Handler::Simple(flow) => flow.finished,
        }
    }
}
