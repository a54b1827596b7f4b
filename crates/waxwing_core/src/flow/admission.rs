//! Validates a request, takes its rate limit tokens and starts to claim its idempotency record,
//! which keeps copies of the request from running.

use waxwing_types::{Micros, Millis, Ran, RefusalReason, RegionId};

use super::{Flow, FlowAction, Phase, Refusal, StepContext, access};
use crate::queue::meets_deadline;
use crate::{Claim, Fingerprint, FingerprintHasher, LimitKey};

/// Longest time for which a request waits for rate limit tokens that this VM is borrowing from
/// other VMs. The VM asks lenders in other regions one by one, every 200 ms.
const MAX_TOKEN_WAIT: Millis = Millis(800);
/// Time between two attempts of a waiting request to take its rate limit tokens.
const TOKEN_RETRY_PERIOD: Millis = Millis(20);
/// Bytes charged to a link for a forwarded request in addition to its body.
const FORWARDED_HEAD_BYTES: u64 = 1024;

impl Flow {
    pub(super) fn on_start(&mut self, ctx: &mut StepContext<'_, '_>) {
        let result = self.validate(ctx).and_then(|()| self.check_queue_wait(ctx));
        match result {
            Ok(()) => self.admit_or_wait(ctx, ctx.now + MAX_TOKEN_WAIT),
            Err(refusal) => self.refuse_with(ctx, refusal),
        }
    }

    /// Tries again to take the rate limit tokens, or refuses the request if it may no longer run.
    pub(super) fn on_token_retry_timer(&mut self, ctx: &mut StepContext<'_, '_>, wait_end: Millis) {
        match self.revalidate(ctx) {
            Ok(()) => self.admit_or_wait(ctx, wait_end),
            Err(reason) => self.refuse(ctx, reason),
        }
    }

    /// Takes the rate limit tokens and continues with the request. If there are too few tokens and
    /// the VM is borrowing some, the request waits, at most until `wait_end`. A VM holds no tokens
    /// for a workspace when the first request of the workspace arrives. Without the wait, that
    /// request would be refused.
    fn admit_or_wait(&mut self, ctx: &mut StepContext<'_, '_>, wait_end: Millis) {
        let Err(refusal) = self.admit(ctx) else {
            self.on_admitted(ctx);
            return;
        };
        let next_try = ctx.now + TOKEN_RETRY_PERIOD;
        if next_try > wait_end || next_try >= self.deadline || !self.expects_tokens(ctx) {
            self.refuse_with(ctx, refusal);
            return;
        }
        self.phase = Phase::AwaitingTokens(wait_end);
        ctx.actions.push(FlowAction::SetTimer(next_try));
    }

    /// Whether rate limit tokens that the VM is borrowing may arrive soon enough to wait for them.
    fn expects_tokens(&self, ctx: &StepContext<'_, '_>) -> bool {
        let workspace = self.workspace.clone().map(LimitKey::Workspace);
        let is_local = self.request.forwarded.is_none();
        is_local && workspace.is_some_and(|key| ctx.state.limits.expects_tokens(&key))
    }

    /// Takes all `amounts` from their limits, or none. Returns the first limit with too few tokens.
    fn take_tokens(
        &self,
        ctx: &mut StepContext<'_, '_>,
        amounts: &[(LimitKey, Micros)],
    ) -> Result<(), LimitKey> {
        match self.phase {
            Phase::AwaitingTokens(_) => ctx.state.limits.admit_again(ctx.now, amounts),
            Phase::New
            | Phase::Claiming
            | Phase::Queued
            | Phase::Sent(_)
            | Phase::Relaying(..)
            | Phase::FinalizingClaim(_)
            | Phase::Finished => ctx.state.limits.admit(ctx.now, amounts),
        }
    }

    /// Claims the idempotency record, or continues without a claim if the request needs none.
    fn on_admitted(&mut self, ctx: &mut StepContext<'_, '_>) {
        self.admitted_at = Some(ctx.now);
        ctx.state
            .retry_budget
            .record_request(ctx.now, &self.request.service);
        ctx.actions.push(FlowAction::SetTimer(self.deadline));
        match self.new_claim(ctx) {
            Some(mut claim) => {
                let call = claim.start();
                ctx.push_store_call(claim.path(), call);
                self.claim = Some(claim);
                self.phase = Phase::Claiming;
            }
            None => self.forward_or_enqueue(ctx),
        }
    }

    /// Checks path, API key, service, route and quarantine. Sets the deadline, the workspace, its
    /// weight and the route.
    fn validate(&mut self, ctx: &mut StepContext<'_, '_>) -> Result<(), Refusal> {
        if !access::is_canonical_path(&self.request.path) {
            return Err(refusal_not_run(RefusalReason::BadRequest));
        }
        let access =
            access::authorize(ctx.now, ctx.state.config, &self.request).map_err(refusal_not_run)?;
        let requested_timeout = self.request.requested_timeout.unwrap_or(Millis::MAX);
        self.deadline = ctx.now + access.route.timeout.min(requested_timeout);
        self.workspace = access.workspace;
        self.weight = access.weight;
        let lacks_idempotency_key = self.request.idempotency_key.is_none();
        if access.route.key_required && lacks_idempotency_key {
            return Err(refusal_not_run(RefusalReason::IdempotencyKeyMissing));
        }
        self.route = Some(access.route);
        if self.is_quarantined(ctx) {
            return Err(refusal_not_run(RefusalReason::Quarantined));
        }
        Ok(())
    }

    /// Refuses a request that would wait in the queue beyond its deadline, before it takes tokens.
    fn check_queue_wait(&mut self, ctx: &mut StepContext<'_, '_>) -> Result<(), Refusal> {
        let service = &self.request.service;
        ctx.state.targets.sync(ctx.now, ctx.state.config, service);
        let capacity = ctx.state.targets.capacity(ctx.now, service);
        let queue = &ctx.state.queue;
        let wait = queue.estimate_wait(
            service,
            &self.queue_workspace(),
            self.weight,
            capacity.limit,
        );
        let waits_too_long = !meets_deadline(ctx.now, wait, self.deadline, capacity);
        if waits_too_long && !self.may_forward(ctx) {
            return Err(refusal_not_run(RefusalReason::QueueFull).with_retry_after(wait));
        }
        Ok(())
    }

    /// Takes the tokens for the request. If a traffic shift applies, also sets the region to which
    /// the request is forwarded.
    fn admit(&mut self, ctx: &mut StepContext<'_, '_>) -> Result<(), Refusal> {
        if self.request.forwarded.is_some() {
            return admit_forwarded(ctx);
        }
        let mut amounts = Vec::new();
        if let Some(workspace) = &self.workspace {
            let key = LimitKey::Workspace(workspace.clone());
            amounts.push((key, Micros::from_units(self.cost().into())));
        }
        if self.admit_shift(ctx, &amounts)? || amounts.is_empty() {
            return Ok(());
        }
        let admitted = self.take_tokens(ctx, &amounts);
        admitted.map_err(|_| self.rate_limited_refusal(ctx))
    }

    /// Tries to admit the request as part of a traffic shift to another region. Takes the
    /// tokens of the workspace's limit, the shift's cap and the link together. Returns `false` if
    /// the request stays in this region, in which case no tokens were taken.
    fn admit_shift(
        &mut self,
        ctx: &mut StepContext<'_, '_>,
        workspace_amounts: &[(LimitKey, Micros)],
    ) -> Result<bool, Refusal> {
        // If the other region refuses the request, the request is sent again in this region.
        if !self.may_resend_if_not_run() {
            return Ok(false);
        }
        let service = &self.request.service;
        let shift =
            ctx.state
                .steering
                .pick_shift(ctx.now, ctx.state.config, service, ctx.state.rng);
        let Some((name, region)) = shift else {
            return Ok(false);
        };
        let Some(link) = ctx.link_limit(&region) else {
            return Ok(false);
        };
        let mut amounts = workspace_amounts.to_vec();
        amounts.push((LimitKey::Shift(name), Micros::from_units(1)));
        amounts.push((link, Micros::from_units(self.estimated_link_bytes())));
        match self.take_tokens(ctx, &amounts) {
            Ok(()) => {
                self.shift_region = Some(region);
                Ok(true)
            }
            Err(LimitKey::Workspace(_)) => Err(self.rate_limited_refusal(ctx)),
            Err(LimitKey::Shift(_) | LimitKey::Link { .. } | LimitKey::Region(_)) => Ok(false),
        }
    }

    /// Returns a claim if the request may run at most once and has an idempotency key.
    fn new_claim(&self, ctx: &mut StepContext<'_, '_>) -> Option<Claim> {
        if self.is_idempotent() || self.request.forwarded.is_some() {
            // An idempotent request needs no claim. For a forwarded request, the forwarding VM
            // holds the claim.
            return None;
        }
        let key = self.request.idempotency_key.as_deref()?;
        let token = ctx.state.rng.u128(..);
        let service = &self.request.service;
        Some(Claim::new(self.workspace.as_ref(), service, key, token))
    }
}

impl Flow {
    /// Computes the fingerprint by which the quarantine recognizes copies of the request, for a body that has not arrived yet.
    pub fn fingerprint_hasher(&self) -> FingerprintHasher {
        FingerprintHasher::new(self.queue_workspace().as_str(), &self.request)
    }

    /// Sets the hash of the body, once the body has arrived.
    pub fn set_body_hash(&mut self, hash: u64) {
        self.request.body_hash = Some(hash);
    }

    /// The fingerprint of the request, `None` until its body has arrived.
    pub(super) fn fingerprint(&self) -> Option<Fingerprint> {
        let body_hash = self.request.body_hash?;
        Some(self.fingerprint_hasher().finish(body_hash))
    }

    /// Whether the request is quarantined because copies of it crashed targets. Not known until its body has arrived.
    pub(super) fn is_quarantined(&self, ctx: &StepContext<'_, '_>) -> bool {
        let quarantine = &ctx.state.quarantine;
        !quarantine.is_empty()
            && self
                .fingerprint()
                .is_some_and(|fingerprint| quarantine.is_quarantined(ctx.now, fingerprint))
    }

    /// Bytes charged to the link before the request is forwarded.
    pub(super) fn estimated_link_bytes(&self) -> u64 {
        self.request.body_length.unwrap_or(0) + FORWARDED_HEAD_BYTES
    }

    /// Refusal with the time in which the rate of the workspace refills the cost of the request.
    fn rate_limited_refusal(&self, ctx: &StepContext<'_, '_>) -> Refusal {
        let workspace = self.workspace.as_ref();
        let workspace_record = workspace.and_then(|w| ctx.state.config.workspace(w));
        let rate = workspace_record.map_or(1, |w| w.rate.max(1));
        let refill_time = Millis(u64::from(self.cost()) * 1000 / rate);
        refusal_not_run(RefusalReason::RateLimited).with_retry_after(refill_time)
    }
}

impl StepContext<'_, '_> {
    /// Limit of the link from this region to `region`.
    pub(super) fn link_limit(&self, region: &RegionId) -> Option<LimitKey> {
        Some(LimitKey::Link {
            from: self.state.steering.own_region(self.state.config)?.clone(),
            to: region.clone(),
        })
    }
}

/// Admits a forwarded request to the spare capacity of this region. The forwarding VM already took
/// the tokens of the workspace.
fn admit_forwarded(ctx: &mut StepContext<'_, '_>) -> Result<(), Refusal> {
    let region_full = refusal_not_run(RefusalReason::RegionFull);
    let region = ctx
        .state
        .steering
        .own_region(ctx.state.config)
        .ok_or(region_full)?;
    let amounts = [(LimitKey::Region(region.clone()), Micros::from_units(1))];
    let admitted = ctx.state.limits.admit(ctx.now, &amounts);
    admitted.map_err(|_| region_full)
}

fn refusal_not_run(reason: RefusalReason) -> Refusal {
    Refusal::new(reason, Ran::No)
}
