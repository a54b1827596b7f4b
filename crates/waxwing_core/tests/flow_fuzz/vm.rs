//! Model of a daemon: its state and its active flows.

use std::collections::{BTreeMap, BTreeSet};

use fastrand::Rng;
use waxwing_core::{
    Admission, Config, DaemonState, FairQueue, Flow, FlowAction, FlowEvent, LimitKey, Members,
    Quarantine, RetryBudget, Steering, TargetTable,
};
use waxwing_types::{Micros, Millis};

use crate::records::{Request, VM_DOMAINS, vm_list};

/// Rate limits that reject requests at random. The second field is the mean number of requests per
/// rejected request, or 0 if no request is rejected.
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
    /// Index of the VM.
    pub(crate) vm: usize,
    /// Number of the daemon process, which differs after a restart of the VM.
    pub(crate) process: u64,
    pub(crate) flow_id: u64,
    /// Number of the attempt. 0 if the flow has made no attempt.
    pub(crate) attempt: u64,
}

/// A flow that has not finished, with the state that the daemon keeps for it.
pub(crate) struct ActiveFlow {
    pub(crate) flow: Flow,
    /// Index of the request in the list of all requests that callers sent in the simulation.
    pub(crate) request_index: usize,
    /// Number of the last attempt. Events of earlier attempts are dropped.
    pub(crate) attempt: u64,
    pub(crate) attempt_running: bool,
    /// Number of the current store call, counted from 0. Results of other calls are dropped.
    pub(crate) store_call: u64,
    /// Time in ms when the timer expires.
    pub(crate) timer: u64,
    /// Flow on another VM that forwarded the request to this one.
    pub(crate) forwarded_from: Option<FlowRef>,
    /// Flow on another VM to which the running attempt forwarded the request.
    pub(crate) forwarded_to: Option<FlowRef>,
    /// Whether the flow has sent its caller a response head or a refusal.
    pub(crate) has_responded: bool,
    /// Target index and time in ms of the last attempt that was sent to a target. (0, 0) if no
    /// attempt was sent to a target.
    pub(crate) last_target_send: (usize, u64),
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
            last_target_send: (0, 0),
            response_status: 0,
        }
    }
}

/// Model of a daemon. The request flow and the state that flows share are the code under test. The
/// rate limits are random, and the simulation replaces the network.
pub(crate) struct ModelDaemon {
    /// Number of the daemon process, which differs after a restart of the VM.
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
    /// Flows that have not finished, by flow id.
    pub(crate) flows: BTreeMap<u64, ActiveFlow>,
    /// Indices of the workspaces whose API keys are withdrawn according to the records that this
    /// daemon has applied.
    pub(crate) withdrawn_keys: BTreeSet<usize>,
    /// Targets that are leaving according to the records that this daemon has applied.
    pub(crate) leaving_targets: Vec<bool>,
    /// Crashes that this daemon saw, by poison request and by whether the flow had a workspace:
    /// (number of crashes, time in ms of the last crash, index of the target that crashed last).
    pub(crate) crashes: BTreeMap<(Request, bool), (u32, u64, usize)>,
}

impl ModelDaemon {
    /// Creates the daemon of a VM. Its limits reject one request in `reject_one_in`, or none if 0.
    pub(crate) fn new(vm: usize, process: u64, now_ms: u64, seed: u64, reject_one_in: u8) -> Self {
        let domain = VM_DOMAINS[vm];
        let mut members = Members::new(format!("vm{vm}").as_str().into(), domain.into());
        members.update_vm_list(Millis(now_ms), vm_list());
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

    /// Delivers an event to a flow and returns the actions of the flow.
    pub(crate) fn step(&mut self, now_ms: u64, flow_id: u64, event: FlowEvent) -> Vec<FlowAction> {
        let Some(mut active) = self.flows.remove(&flow_id) else {
            return Vec::new();
        };
        let actions = active
            .flow
            .step(Millis(now_ms), event, &mut self.daemon_state());
        self.flows.insert(flow_id, active);
        if self.checks_invariants {
            self.queue.check_invariants();
            self.targets.check_invariants();
        }
        actions
    }

    /// Borrows the state that the flows share.
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
