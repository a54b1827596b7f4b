//! One model daemon: the tables, and the flows that it drives.

use std::collections::{BTreeMap, BTreeSet};

use fastrand::Rng;
use waxwing_core::{
    Admission, Config, DaemonState, FairQueue, Flow, FlowAction, FlowEvent, LimitKey, Members,
    Quarantine, RetryBudget, Steering, TargetTable,
};
use waxwing_types::{Micros, Millis};

use crate::records::{Request, VM_DOMAINS, vm_list};

/// Limits that reject one request in this many. 0: none.
struct Limits(Rng, u8);

impl Admission for Limits {
    fn admit(&mut self, _: Millis, wants: &[(LimitKey, Micros)]) -> Result<(), LimitKey> {
        match wants.last() {
            Some((key, _)) if self.1 > 0 && self.0.u8(..self.1) == 0 => Err(key.clone()),
            Some(_) | None => Ok(()),
        }
    }

    fn admit_again(&mut self, now: Millis, wants: &[(LimitKey, Micros)]) -> Result<(), LimitKey> {
        self.admit(now, wants)
    }

    fn expects_tokens(&self, _: &LimitKey) -> bool {
        true
    }

    fn charge(&mut self, _: Millis, _: &LimitKey, _: Micros) {}
}

/// Where a forwarded request came from or went to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Link {
    pub(crate) vm: usize,
    pub(crate) process: u64,
    pub(crate) flow: u64,
    pub(crate) attempt: u64,
}

pub(crate) struct Live {
    pub(crate) flow: Flow,
    pub(crate) root: usize,
    /// Attempt that runs; events of other attempts are late.
    pub(crate) attempt: u64,
    pub(crate) is_sending: bool,
    pub(crate) call: u64,
    pub(crate) timer: u64,
    pub(crate) parent: Option<Link>,
    pub(crate) child: Option<Link>,
    pub(crate) answered: bool,
    /// Target and time of the last attempt.
    pub(crate) sent: (usize, u64),
    /// Status of the head that arrived last.
    pub(crate) status: u16,
}

impl Live {
    pub(crate) fn new(flow: Flow, root: usize, parent: Option<Link>) -> Self {
        Self {
            flow,
            root,
            attempt: 0,
            is_sending: false,
            call: 0,
            timer: 0,
            parent,
            child: None,
            answered: false,
            sent: (0, 0),
            status: 0,
        }
    }
}

pub(crate) struct Daemon {
    pub(crate) process: u64,
    pub(crate) config: Config,
    /// Whether invariants are checked after each step.
    pub(crate) checks: bool,
    members: Members,
    steering: Steering,
    ledger: Limits,
    pub(crate) queue: FairQueue,
    pub(crate) targets: TargetTable,
    pub(crate) quarantine: Quarantine,
    retries: RetryBudget,
    rng: Rng,
    pub(crate) flows: BTreeMap<u64, Live>,
    /// Keys whose withdrawal was adopted.
    pub(crate) withdrawn: BTreeSet<usize>,
    /// Targets that leave, as far as this daemon knows.
    pub(crate) leaving: Vec<bool>,
    /// Crashes under a poison request, with or without a workspace: their number, and time and
    /// target of the last.
    pub(crate) crashes: BTreeMap<(Request, bool), (u32, u64, usize)>,
}

impl Daemon {
    pub(crate) fn new(vm: usize, process: u64, now: u64, seed: u64, reject: u8) -> Self {
        let domain = VM_DOMAINS[vm];
        let mut members = Members::new(format!("vm{vm}").as_str().into(), domain.into());
        members.update_vm_list(Millis(now), vm_list());
        Self {
            process,
            config: Config::new(),
            checks: true,
            members,
            steering: Steering::new(domain.into()),
            ledger: Limits(Rng::with_seed(seed), reject),
            queue: FairQueue::default(),
            targets: TargetTable::new(domain.into()),
            quarantine: Quarantine::default(),
            retries: RetryBudget::default(),
            rng: Rng::with_seed(seed.wrapping_add(1)),
            flows: BTreeMap::new(),
            withdrawn: BTreeSet::new(),
            leaving: vec![false; crate::records::TARGETS],
            crashes: BTreeMap::new(),
        }
    }

    /// Delivers an event to a flow.
    pub(crate) fn step(&mut self, now: u64, flow: u64, event: FlowEvent) -> Vec<FlowAction> {
        let Some(mut live) = self.flows.remove(&flow) else {
            return Vec::new();
        };
        let actions = live.flow.step(Millis(now), event, &mut self.tables());
        self.flows.insert(flow, live);
        if self.checks {
            self.queue.check_invariants();
            self.targets.check_invariants();
        }
        actions
    }

    pub(crate) fn tables(&mut self) -> DaemonState<'_> {
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
