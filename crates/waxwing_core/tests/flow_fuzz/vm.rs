//! Model of a daemon: its state and its active flows.

use std::collections::{BTreeMap, BTreeSet};

use fastrand::Rng;
use waxwing_core::{
    Admission, Config, DaemonState, FairQueue, Flow, FlowAction, FlowEvent, LimitKey, Members,
    Quarantine, RetryBudget, Steering, TargetTable,
};
use waxwing_types::{Micros, Millis};

use crate::records::{Request, VM_DOMAINS, vm_list};

/// Limits that reject one in this many requests at random, or none if it is 0.
struct RandomLimits(Rng, u8);

impl Admission for RandomLimits {
    fn admit(&mut self, _: Millis, amounts: &[(LimitKey, Micros)]) -> Result<(), LimitKey> {
        match amounts.last() {
            Some((key, _)) if self.1 > 0 && self.0.u8(..self.1) == 0 => Err(key.clone()),
            Some(_) | None => Ok(()),
        }
    }

    fn admit_again(&mut self, now: Millis, amounts: &[(LimitKey, Micros)]) -> Result<(), LimitKey> {
        self.admit(now, amounts)
    }

    fn expects_tokens(&self, _: &LimitKey) -> bool {
        true
    }

    fn charge(&mut self, _: Millis, _: &LimitKey, _: Micros) {}
}

/// Reference to a flow and one of its attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct FlowRef {
    pub(crate) vm: usize,
    /// Number of the daemon process, which differs after a restart of the VM.
    pub(crate) process: u64,
    pub(crate) flow: u64,
    pub(crate) attempt: u64,
}

/// A flow that has not finished, with the state that the daemon keeps for it.
pub(crate) struct ActiveFlow {
    pub(crate) flow: Flow,
    /// Index of the sent request in the simulation.
    pub(crate) request_index: usize,
    /// Number of the last attempt. Events of earlier attempts are dropped.
    pub(crate) attempt: u64,
    pub(crate) attempt_running: bool,
    /// Number of the current store call. Events of earlier calls are dropped.
    pub(crate) store_call: u64,
    /// Time of the timer in ms.
    pub(crate) timer: u64,
    /// Flow on another VM that forwarded the request to this one.
    pub(crate) forwarded_from: Option<FlowRef>,
    /// Flow on another VM to which the running attempt forwarded the request.
    pub(crate) forwarded_to: Option<FlowRef>,
    pub(crate) has_responded: bool,
    /// Target index and time in ms of the last attempt that was sent to a target.
    pub(crate) last_send: (usize, u64),
    /// Status of the last response head.
    pub(crate) response_status: u16,
}

impl ActiveFlow {
    pub(crate) fn new(flow: Flow, request_index: usize, forwarded_from: Option<FlowRef>) -> Self {
        Self {
            flow,
            request_index,
            attempt: 0,
            attempt_running: false,
            store_call: 0,
            timer: 0,
            forwarded_from,
            forwarded_to: None,
            has_responded: false,
            last_send: (0, 0),
            response_status: 0,
        }
    }
}

pub(crate) struct ModelDaemon {
    pub(crate) process: u64,
    pub(crate) config: Config,
    /// Whether invariants are checked after each step.
    pub(crate) checks_invariants: bool,
    members: Members,
    steering: Steering,
    limits: RandomLimits,
    pub(crate) queue: FairQueue,
    pub(crate) targets: TargetTable,
    pub(crate) quarantine: Quarantine,
    retry_budget: RetryBudget,
    rng: Rng,
    pub(crate) flows: BTreeMap<u64, ActiveFlow>,
    /// Keys that are withdrawn according to the records that this daemon has applied.
    pub(crate) withdrawn_keys: BTreeSet<usize>,
    /// Targets that are leaving according to the records that this daemon has applied.
    pub(crate) leaving_targets: Vec<bool>,
    /// Crashes seen by this daemon, by poison request and whether it ran for a workspace: their
    /// number, and the time and the target of the last one.
    pub(crate) crashes: BTreeMap<(Request, bool), (u32, u64, usize)>,
}

impl ModelDaemon {
    pub(crate) fn new(vm: usize, process: u64, now: u64, seed: u64, reject_one_in: u8) -> Self {
        let domain = VM_DOMAINS[vm];
        let mut members = Members::new(format!("vm{vm}").as_str().into(), domain.into());
        members.update_vm_list(Millis(now), vm_list());
        Self {
            process,
            config: Config::new(),
            checks_invariants: true,
            members,
            steering: Steering::new(domain.into()),
            limits: RandomLimits(Rng::with_seed(seed), reject_one_in),
            queue: FairQueue::default(),
            targets: TargetTable::new(domain.into()),
            quarantine: Quarantine::default(),
            retry_budget: RetryBudget::default(),
            rng: Rng::with_seed(seed.wrapping_add(1)),
            flows: BTreeMap::new(),
            withdrawn_keys: BTreeSet::new(),
            leaving_targets: vec![false; crate::records::TARGETS],
            crashes: BTreeMap::new(),
        }
    }

    /// Delivers an event to a flow and returns its actions.
    pub(crate) fn step(&mut self, now: u64, flow: u64, event: FlowEvent) -> Vec<FlowAction> {
        let Some(mut active) = self.flows.remove(&flow) else {
            return Vec::new();
        };
        let actions = active
            .flow
            .step(Millis(now), event, &mut self.daemon_state());
        self.flows.insert(flow, active);
        if self.checks_invariants {
            self.queue.check_invariants();
            self.targets.check_invariants();
        }
        actions
    }

    pub(crate) fn daemon_state(&mut self) -> DaemonState<'_> {
        DaemonState {
            config: &self.config,
            members: &self.members,
            steering: &self.steering,
            limits: &mut self.limits,
            queue: &mut self.queue,
            targets: &mut self.targets,
            quarantine: &mut self.quarantine,
            retry_budget: &mut self.retry_budget,
            rng: &mut self.rng,
        }
    }
}
