//! The baselines: a request path with a fixed local limit and a simple choice of targets.

use waxwing_core::{Claim, ClaimStep, Config, FlowAction, FlowEvent, Refusal, StoreCall};
use waxwing_types::{Millis, Ran, RefusalReason, RetryReason};

use super::size::{Size, WORKSPACES, number};

/// Attempts at one request.
const ATTEMPTS: usize = 4;

/// State that the requests of one VM share.
pub(super) struct Simple {
    least_load: bool,
    /// Tokens of each workspace, with rate and burst per VM.
    buckets: Vec<(f64, f64, f64)>,
    at: Millis,
    next: usize,
    /// Reported use of each target in thousandths, by service.
    pub(super) reports: Vec<Vec<u32>>,
    region: usize,
}

impl Simple {
    #[allow(clippy::cast_precision_loss)]
    pub(super) fn new(size: &Size, region: usize, least_load: bool, seed: usize) -> Self {
        let part = |amount: u64| amount as f64 / size.vms as f64;
        let bucket = |w| (part(size.burst(w)), part(size.rate(w)), part(size.burst(w)));
        Self {
            least_load,
            buckets: (0..WORKSPACES).map(bucket).collect(),
            at: Millis::ZERO,
            next: seed,
            reports: size.targets.iter().map(|n| vec![0; *n]).collect(),
            region,
        }
    }

    #[allow(clippy::cast_precision_loss)]
    fn admit(&mut self, now: Millis, workspace: usize) -> bool {
        let passed = now.since(self.at).0 as f64 / 1000.0;
        self.at = now;
        for (tokens, rate, burst) in &mut self.buckets {
            *tokens = (*tokens + *rate * passed).min(*burst);
        }
        let tokens = &mut self.buckets[workspace].0;
        let enough = *tokens >= 1.0;
        *tokens -= if enough { 1.0 } else { 0.0 };
        enough
    }

    /// The next target of the region, or the one with the least reported load.
    fn choose(&mut self, config: &Config, service: usize, tried: &[usize]) -> Option<usize> {
        let record = config.service(&format!("s{service}").as_str().into())?;
        let near = record
            .targets
            .iter()
            .filter(|t| !t.leaving && number(t.domain.as_str()) / 2 == self.region);
        let mut near: Vec<_> = near.map(|t| number(t.name.as_str())).collect();
        near.retain(|t| !tried.contains(t));
        if near.is_empty() {
            return None;
        }
        self.next += 1;
        let len = near.len();
        near.rotate_left(self.next % len);
        if self.least_load {
            return near.into_iter().min_by_key(|t| self.reports[service][*t]);
        }
        near.first().copied()
    }
}

/// One request.
pub(super) struct SimpleFlow {
    workspace: usize,
    service: usize,
    claim: Option<Claim>,
    tried: Vec<usize>,
    deadline: Millis,
    status: u16,
    pub(super) finished: bool,
    pub(super) admitted: bool,
}

impl SimpleFlow {
    pub(super) fn new(workspace: usize, service: usize, claim: Option<Claim>) -> Self {
        Self {
            workspace,
            service,
            claim,
            tried: Vec::new(),
            deadline: Millis::MAX,
            status: 0,
            finished: false,
            admitted: false,
        }
    }

    pub(super) fn step(
        &mut self,
        now: Millis,
        event: &FlowEvent,
        config: &Config,
        shared: &mut Simple,
    ) -> Vec<FlowAction> {
        match event {
            FlowEvent::Start => self.start(now, config, shared),
            FlowEvent::StoreCallEnded(outcome) => {
                let Some(claim) = &mut self.claim else {
                    return Vec::new();
                };
                match claim.on_store_outcome(outcome.clone()) {
                    ClaimStep::Call(call) => vec![store_call(claim.path(), call)],
                    ClaimStep::Acquired => self.send(config, shared),
                    ClaimStep::Duplicate(_) | ClaimStep::Unavailable => {
                        self.refuse(RefusalReason::ClaimUnavailable, Ran::No)
                    }
                    ClaimStep::FinalizeFailed | ClaimStep::Finalized => Vec::new(),
                }
            }
            FlowEvent::ConnectFailed => self.again(RetryReason::ConnectFailed, config, shared),
            FlowEvent::ResponseHead { not_run: true, .. } => {
                self.again(RetryReason::TargetShed, config, shared)
            }
            FlowEvent::ResponseHead { status, .. } => {
                self.status = *status;
                vec![FlowAction::RelayResponse]
            }
            FlowEvent::ResponseComplete { .. } => {
                self.finished = true;
                self.record()
            }
            FlowEvent::ConnectionBroken | FlowEvent::UnusableResponse
                if self.service != 1 && self.tried.len() < 2 =>
            {
                self.again(RetryReason::ConnectionBroken, config, shared)
            }
            FlowEvent::ConnectionBroken | FlowEvent::UnusableResponse => {
                self.refuse(RefusalReason::TargetFailed, Ran::Unknown)
            }
            FlowEvent::Timer if now >= self.deadline && !self.finished => {
                let mut actions = vec![FlowAction::CancelAttempt];
                actions.extend(self.refuse(RefusalReason::TargetTimeout, Ran::Unknown));
                actions
            }
            FlowEvent::CallerDisconnected => {
                self.finished = true;
                vec![FlowAction::CancelAttempt]
            }
            FlowEvent::Timer
            | FlowEvent::Dequeued
            | FlowEvent::BodyConsumed
            | FlowEvent::RegionRefused => Vec::new(),
        }
    }

    fn start(&mut self, now: Millis, config: &Config, shared: &mut Simple) -> Vec<FlowAction> {
        if !shared.admit(now, self.workspace) {
            return self.refuse(RefusalReason::RateLimited, Ran::No);
        }
        self.admitted = true;
        self.deadline = now + Millis(super::size::TIMEOUTS[self.service]);
        let mut actions = vec![FlowAction::SetTimer(self.deadline)];
        match &mut self.claim {
            Some(claim) => {
                let call = claim.start();
                actions.push(store_call(claim.path(), call));
            }
            None => actions.extend(self.send(config, shared)),
        }
        actions
    }

    fn send(&mut self, config: &Config, shared: &mut Simple) -> Vec<FlowAction> {
        let Some(target) = shared.choose(config, self.service, &self.tried) else {
            return self.refuse(RefusalReason::NoTarget, Ran::No);
        };
        self.tried.push(target);
        vec![FlowAction::SendToTarget {
            target: format!("t{target}").as_str().into(),
            address: ([127, 0, 0, 1], 1).into(),
            workspace: None,
            deadline: self.deadline,
        }]
    }

    fn again(&mut self, why: RetryReason, config: &Config, shared: &mut Simple) -> Vec<FlowAction> {
        if self.tried.len() >= ATTEMPTS {
            return self.refuse(RefusalReason::TargetsShedding, Ran::No);
        }
        let mut actions = vec![FlowAction::ReportRetry(why)];
        actions.extend(self.send(config, shared));
        actions
    }

    fn refuse(&mut self, reason: RefusalReason, ran: Ran) -> Vec<FlowAction> {
        self.finished = true;
        vec![FlowAction::Refuse(Refusal::new(reason, ran))]
    }

    /// The last write of the claim; its outcome is not awaited.
    fn record(&mut self) -> Vec<FlowAction> {
        let status = self.status;
        let Some(claim) = &mut self.claim else {
            return Vec::new();
        };
        let call = claim.finalize(waxwing_core::ClaimState::Answered(status));
        call.map(|c| store_call(claim.path(), c))
            .into_iter()
            .collect()
    }
}

fn store_call(path: &str, call: StoreCall) -> FlowAction {
    let path = path.to_owned();
    match call {
        StoreCall::Create(value) => FlowAction::CreateRecord { path, value },
        StoreCall::Read => FlowAction::ReadRecord { path },
        StoreCall::Update(version, value) => FlowAction::UpdateRecord {
            path,
            version,
            value,
        },
    }
}
