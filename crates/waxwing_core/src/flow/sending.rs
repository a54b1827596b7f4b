//! Sends the request to targets and other regions, and decides on retries.

use waxwing_types::{Micros, Millis, RefusalReason, RegionId, RetryReason};

use super::{Attempt, Destination, Flow, FlowAction, Phase, StepContext};
use crate::{ClaimState, LimitKey, Observation, Slot};

/// Largest number of attempts for one request. More attempts seldom help and delay other requests.
const MAX_ATTEMPTS: u32 = 4;
/// Number of broken connections after which a request is not sent again.
const MAX_BROKEN_CONNECTIONS: u32 = 2;

impl Flow {
    pub(super) fn send_to_target(&mut self, ctx: &mut StepContext<'_, '_>, slot: Slot) {
        ctx.actions.push(FlowAction::SendToTarget {
            target: slot.target.clone(),
            address: slot.address,
            workspace: self.workspace.clone(),
            deadline: self.deadline,
        });
        self.start_attempt(ctx.now, Destination::Target(slot));
    }

    pub(super) fn forward_to_region(&mut self, ctx: &mut StepContext<'_, '_>, region: RegionId) {
        ctx.actions.push(FlowAction::ForwardToRegion {
            region: region.clone(),
            deadline: self.deadline,
        });
        self.start_attempt(ctx.now, Destination::Region(region));
    }

    /// Forwards the request to another region because this region cannot serve the request. Refuses
    /// the request if no other region is available or the link to that region is at its limit.
    pub(super) fn forward_or_refuse(&mut self, ctx: &mut StepContext<'_, '_>) {
        let Some(region) = self.choose_other_region(ctx) else {
            let reason = if self.tried_regions.is_empty() {
                RefusalReason::NoTarget
            } else {
                RefusalReason::RegionFull
            };
            self.refuse(ctx, reason);
            return;
        };
        let bytes = Micros::from_units(self.estimated_link_bytes());
        let amounts: Vec<_> = ctx
            .link_limit(&region)
            .map(|link| (link, bytes))
            .into_iter()
            .collect();
        if ctx.state.limits.admit(ctx.now, &amounts).is_err() {
            self.refuse(ctx, RefusalReason::LinkFull);
            return;
        }
        self.forward_to_region(ctx, region);
    }

    pub(super) fn on_connect_failed(&mut self, ctx: &mut StepContext<'_, '_>) {
        if let Some(attempt) = self.take_attempt() {
            self.end_attempt(ctx, &attempt, Some(Observation::Failed));
            self.retry_or_refuse(ctx, RetryReason::ConnectFailed);
        }
    }

    pub(super) fn on_response_head(
        &mut self,
        ctx: &mut StepContext<'_, '_>,
        status: u16,
        not_run: bool,
    ) {
        let Some(attempt) = self.take_attempt() else {
            return;
        };
        if not_run {
            self.end_attempt(ctx, &attempt, Some(Observation::Shed));
            self.retry_or_refuse(ctx, attempt.not_run_reason());
            return;
        }
        if let Destination::Target(slot) = &attempt.destination {
            let observation = Observation::Answered(ctx.now.since(attempt.started_at));
            ctx.state.targets.observe(ctx.now, slot, observation);
        }
        ctx.actions.push(FlowAction::RelayResponse);
        self.phase = Phase::Relaying(attempt, status);
    }

    pub(super) fn on_region_refused(&mut self, ctx: &mut StepContext<'_, '_>) {
        if let Some(attempt) = self.take_attempt() {
            self.end_attempt(ctx, &attempt, None);
            self.retry_or_refuse(ctx, RetryReason::RegionRefused);
        }
    }

    pub(super) fn on_connection_broken(&mut self, ctx: &mut StepContext<'_, '_>) {
        let relaying = matches!(self.phase, Phase::Relaying(..));
        let Some(attempt) = self.take_attempt() else {
            return;
        };
        if let Destination::Target(slot) = &attempt.destination
            && let Some(fingerprint) = self.fingerprint()
        {
            let sent_at = attempt.started_at;
            ctx.state
                .quarantine
                .record_crash(ctx.now, fingerprint, &slot.target, sent_at);
        }
        self.fail_attempt(ctx, &attempt);
        if relaying {
            self.finalize_claim(ctx, ClaimState::Unknown, None);
        } else {
            self.retry_or_refuse(ctx, RetryReason::ConnectionBroken);
        }
    }

    pub(super) fn on_unusable_response(&mut self, ctx: &mut StepContext<'_, '_>) {
        if let Some(attempt) = self.take_attempt() {
            self.fail_attempt(ctx, &attempt);
            self.retry_or_refuse(ctx, RetryReason::ConnectionBroken);
        }
    }

    /// Ends an attempt that may have run the request and brought no response.
    fn fail_attempt(&mut self, ctx: &mut StepContext<'_, '_>, attempt: &Attempt) {
        self.maybe_ran = true;
        self.broken_connections += 1;
        self.end_attempt(ctx, attempt, Some(Observation::Failed));
    }

    pub(super) fn on_response_complete(
        &mut self,
        ctx: &mut StepContext<'_, '_>,
        bytes_out: u64,
        bytes_in: u64,
    ) {
        let Phase::Relaying(_, status) = self.phase else {
            // A response without a head counts as a broken connection.
            self.on_connection_broken(ctx);
            return;
        };
        let Some(attempt) = self.take_attempt() else {
            return;
        };
        self.end_attempt(ctx, &attempt, None);
        self.charge_link_bytes(ctx, &attempt, bytes_out, bytes_in);
        if let Destination::Target(_) = attempt.destination {
            let slot_time = ctx.now.since(attempt.started_at);
            let cost = self.cost();
            ctx.state
                .queue
                .record_slot_time(&self.request.service, cost, slot_time);
            if status < 500
                && let Some(fingerprint) = self.fingerprint()
            {
                ctx.state.quarantine.record_answer(fingerprint);
            }
        }
        self.finalize_claim(ctx, ClaimState::Answered(status), None);
    }

    /// Cancels the running attempt, if any, because the caller disconnected or the deadline passed.
    /// Leaves the phase at [`Phase::Queued`], although the request is not in the queue: the calling
    /// function has to set the next phase.
    pub(super) fn cancel_attempt(&mut self, ctx: &mut StepContext<'_, '_>) {
        let has_response_head = matches!(self.phase, Phase::Relaying(..));
        let Some(attempt) = self.take_attempt() else {
            return;
        };
        ctx.actions.push(FlowAction::CancelAttempt);
        let elapsed = ctx.now.since(attempt.started_at);
        let observation = if has_response_head {
            None
        } else if elapsed.0 >= self.timeout().0 / 2 {
            Some(Observation::Failed)
        } else {
            // Not a failure: a caller with a short timeout must not cause targets to be ejected.
            Some(Observation::GivenUp(elapsed))
        };
        self.maybe_ran = true;
        self.end_attempt(ctx, &attempt, observation);
    }

    fn start_attempt(&mut self, now: Millis, destination: Destination) {
        self.attempt_count += 1;
        self.phase = Phase::Sent(Attempt {
            destination,
            started_at: now,
        });
    }

    /// Takes the attempt out of the phase, if the phase holds an attempt. The phase is then
    /// [`Phase::Queued`] until the calling function sets the next phase.
    fn take_attempt(&mut self) -> Option<Attempt> {
        match std::mem::replace(&mut self.phase, Phase::Queued) {
            Phase::Sent(attempt) | Phase::Relaying(attempt, _) => Some(attempt),
            other => {
                self.phase = other;
                None
            }
        }
    }

    /// Records that the target or region of an ended attempt was tried. For a target, also reports
    /// the observation and gives the slot back.
    fn end_attempt(
        &mut self,
        ctx: &mut StepContext<'_, '_>,
        attempt: &Attempt,
        observation: Option<Observation>,
    ) {
        match &attempt.destination {
            Destination::Target(slot) => {
                if let Some(observation) = observation {
                    ctx.state.targets.observe(ctx.now, slot, observation);
                }
                ctx.state.targets.give_back(slot);
                self.tried_targets.push(slot.target.clone());
                ctx.dispatch_needed = true;
            }
            Destination::Region(region) => self.tried_regions.push(region.clone()),
        }
    }

    /// Sends the request again if a retry is allowed, or else refuses the request.
    fn retry_or_refuse(&mut self, ctx: &mut StepContext<'_, '_>, reason: RetryReason) {
        if !self.try_take_retry(ctx, reason) {
            self.refuse(ctx, refusal_reason_for(reason));
            return;
        }
        ctx.actions.push(FlowAction::ReportRetry(reason));
        if self.tried_regions.is_empty() {
            self.retry_in_region(ctx);
        } else {
            self.forward_or_enqueue(ctx);
        }
    }

    /// Returns whether the request may be sent again, and if so, takes the retry from the budget.
    fn try_take_retry(&mut self, ctx: &mut StepContext<'_, '_>, reason: RetryReason) -> bool {
        let allowed = match reason {
            RetryReason::ConnectFailed | RetryReason::TargetWithdrew => true,
            RetryReason::TargetShed | RetryReason::RegionRefused => {
                self.may_resend_if_not_run() && !self.body_consumed
            }
            RetryReason::ConnectionBroken | RetryReason::TargetFailed => {
                self.is_idempotent()
                    && !self.body_consumed
                    && self.broken_connections < MAX_BROKEN_CONNECTIONS
            }
        };
        if !allowed || ctx.now >= self.deadline || self.attempt_count >= MAX_ATTEMPTS {
            return false;
        }
        if reason == RetryReason::RegionRefused {
            // Not taken from the budget: the request returns to this region. Without the traffic
            // shift, this region would have run the request in the first attempt.
            return true;
        }
        let service = &self.request.service;
        let load = ctx.state.targets.capacity(ctx.now, service).load();
        ctx.state.retry_budget.try_take(ctx.now, service, load)
    }

    /// Charges the link for the bytes that were unknown when the request was sent. For a request to
    /// another region, these are the sent bytes above the estimate. For a request from another
    /// region, these are the bytes of the response.
    fn charge_link_bytes(
        &self,
        ctx: &mut StepContext<'_, '_>,
        attempt: &Attempt,
        bytes_out: u64,
        bytes_in: u64,
    ) {
        let (region, bytes) = match (&attempt.destination, &self.request.forwarded) {
            (Destination::Region(region), _) => (
                region,
                bytes_out.saturating_sub(self.estimated_link_bytes()),
            ),
            (Destination::Target(_), Some(forwarded)) => (&forwarded.from_region, bytes_in),
            (Destination::Target(_), None) => return,
        };
        if let Some(link @ LimitKey::Link { .. }) = ctx.link_limit(region) {
            let amount = Micros::from_units(bytes);
            ctx.state.limits.charge(ctx.now, &link, amount);
        }
    }
}

impl Flow {
    /// Whether the request may be forwarded to another region if this region cannot serve it in
    /// time. The other region then admits the request to its spare capacity.
    pub(super) fn may_forward(&self, ctx: &mut StepContext<'_, '_>) -> bool {
        self.may_resend_if_not_run() && self.choose_other_region(ctx).is_some()
    }

    /// Chooses a random region that was not tried yet. The service must have targets there, and an
    /// entry VM must be usable there.
    fn choose_other_region(&self, ctx: &mut StepContext<'_, '_>) -> Option<RegionId> {
        if self.request.forwarded.is_some() {
            return None;
        }
        let own_region = ctx.state.steering.own_region(ctx.state.config);
        let service = ctx.state.config.service(&self.request.service)?;
        let targets = service.targets.iter().filter(|t| !t.leaving);
        let mut regions: Vec<_> = targets
            .filter_map(|t| ctx.state.config.region_of(&t.domain))
            .filter(|r| Some(*r) != own_region && !self.tried_regions.contains(r))
            .cloned()
            .collect();
        regions.sort_unstable();
        regions.dedup();
        regions.retain(|r| ctx.is_reachable(r));
        ctx.state.rng.choice(regions)
    }
}

impl StepContext<'_, '_> {
    /// Whether the region has a usable entry VM.
    pub(super) fn is_reachable(&mut self, region: &RegionId) -> bool {
        let (config, members) = (self.state.config, self.state.members);
        let vm =
            self.state
                .steering
                .pick_entry_vm(self.now, config, members, region, self.state.rng);
        vm.is_some()
    }
}

impl Attempt {
    /// Reason for a retry when the target or region responded that it did not run the request.
    fn not_run_reason(&self) -> RetryReason {
        match self.destination {
            Destination::Target(_) => RetryReason::TargetShed,
            Destination::Region(_) => RetryReason::RegionRefused,
        }
    }
}

/// Reason to refuse a request that may not be sent again after a failure of the given kind.
fn refusal_reason_for(reason: RetryReason) -> RefusalReason {
    match reason {
        RetryReason::ConnectFailed => RefusalReason::NoTarget,
        RetryReason::TargetShed => RefusalReason::TargetsShedding,
        RetryReason::TargetWithdrew => RefusalReason::TargetsPaused,
        RetryReason::ConnectionBroken | RetryReason::TargetFailed => RefusalReason::TargetFailed,
        RetryReason::RegionRefused => RefusalReason::RegionFull,
    }
}
