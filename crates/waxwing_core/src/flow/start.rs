//! From the head of the request to its admission.

use waxwing_types::{Micros, Millis, Ran, RefusalReason, RegionId};

use super::{Flow, FlowAction, Phase, Refusal, Step, access};
use crate::queue::meets_deadline;
use crate::{Claim, Fingerprint, LimitKey};

/// Time for which a request waits for tokens that the VM borrows. Lenders in other regions are asked
/// one after the other, every 200 ms.
const ADMISSION_WAIT: Millis = Millis(800);
/// Time between two attempts of such a request to take its tokens.
const ADMISSION_PERIOD: Millis = Millis(20);
/// Bytes that a forwarded request takes on a link besides its body.
const HEAD_BYTES: u64 = 1024;

impl Flow {
    pub(super) fn on_start(&mut self, ctx: &mut Step<'_, '_>) {
        let result = self.identify(ctx).and_then(|()| self.check_wait(ctx));
        match result {
            Ok(()) => self.try_admission(ctx, ctx.now + ADMISSION_WAIT),
            Err(refusal) => self.refuse_with(ctx, refusal),
        }
    }

    /// Takes the tokens again, or refuses the request if its time is over.
    pub(super) fn on_admission_timer(&mut self, ctx: &mut Step<'_, '_>, until: Millis) {
        match self.recheck(ctx) {
            Ok(()) => self.try_admission(ctx, until),
            Err(reason) => self.refuse(ctx, reason),
        }
    }

    /// Takes the tokens. A request that finds too few waits until `until` if the VM is borrowing
    /// some: a VM that sees the first request of a workspace holds none yet.
    fn try_admission(&mut self, ctx: &mut Step<'_, '_>, until: Millis) {
        let Err(refusal) = self.admit(ctx) else {
            self.on_admitted(ctx);
            return;
        };
        let next = ctx.now + ADMISSION_PERIOD;
        if next > until || next >= self.deadline || !self.expects_tokens(ctx) {
            self.refuse_with(ctx, refusal);
            return;
        }
        self.phase = Phase::Admitting(until);
        ctx.out.push(FlowAction::SetTimer(next));
    }

    fn expects_tokens(&self, ctx: &Step<'_, '_>) -> bool {
        let workspace = self.workspace.clone().map(LimitKey::Workspace);
        let local = self.request.forwarded.is_none();
        local && workspace.is_some_and(|key| ctx.t.limits.expects_tokens(&key))
    }

    fn take(&self, ctx: &mut Step<'_, '_>, wants: &[(LimitKey, Micros)]) -> Result<(), LimitKey> {
        match self.phase {
            Phase::Admitting(_) => ctx.t.limits.admit_again(ctx.now, wants),
            Phase::New
            | Phase::Claiming
            | Phase::Waiting
            | Phase::Sent(_)
            | Phase::Relaying(..)
            | Phase::Closing(_)
            | Phase::Finished => ctx.t.limits.admit(ctx.now, wants),
        }
    }

    fn on_admitted(&mut self, ctx: &mut Step<'_, '_>) {
        self.admitted = Some(ctx.now);
        ctx.t
            .retry_budget
            .record_request(ctx.now, &self.request.service);
        ctx.out.push(FlowAction::SetTimer(self.deadline));
        match self.new_claim(ctx) {
            Some(mut claim) => {
                let call = claim.start();
                ctx.call(claim.path(), call);
                self.claim = Some(claim);
                self.phase = Phase::Claiming;
            }
            None => self.proceed(ctx),
        }
    }

    /// Checks path, key, service, route and quarantine, and fixes the deadline.
    fn identify(&mut self, ctx: &mut Step<'_, '_>) -> Result<(), Refusal> {
        if !access::is_plain(&self.request.path) {
            return Err(not_run(RefusalReason::BadRequest));
        }
        let access = access::check(ctx.now, ctx.t.config, &self.request).map_err(not_run)?;
        let asked = self.request.requested_timeout.unwrap_or(Millis::MAX);
        self.deadline = ctx.now + access.route.timeout.min(asked);
        self.workspace = access.workspace;
        self.weight = access.weight;
        let keyless = self.request.idempotency_key.is_none();
        if access.route.key_required && keyless {
            return Err(not_run(RefusalReason::IdempotencyKeyMissing));
        }
        self.route = Some(access.route);
        if self.is_quarantined(ctx) {
            return Err(not_run(RefusalReason::Quarantined));
        }
        Ok(())
    }

    /// Refuses a request that the queue cannot serve in time, before it spends tokens.
    fn check_wait(&mut self, ctx: &mut Step<'_, '_>) -> Result<(), Refusal> {
        let service = &self.request.service;
        ctx.t.targets.sync(ctx.now, ctx.t.config, service);
        let room = ctx.t.targets.capacity(ctx.now, service);
        let queue = &ctx.t.queue;
        let wait = queue.estimate_wait(service, &self.lane(), self.weight, room.limit);
        let waits_too_long = !meets_deadline(ctx.now, wait, self.deadline, room);
        if waits_too_long && !self.may_overflow(ctx) {
            return Err(not_run(RefusalReason::QueueFull).with_retry_after(wait));
        }
        Ok(())
    }

    fn admit(&mut self, ctx: &mut Step<'_, '_>) -> Result<(), Refusal> {
        if self.request.forwarded.is_some() {
            return admit_from_region(ctx);
        }
        let mut wants = Vec::new();
        if let Some(workspace) = &self.workspace {
            let key = LimitKey::Workspace(workspace.clone());
            wants.push((key, Micros::from_units(self.cost().into())));
        }
        if self.admit_shift(ctx, &wants)? || wants.is_empty() {
            return Ok(());
        }
        let admitted = self.take(ctx, &wants);
        admitted.map_err(|_| self.rate_limited(ctx))
    }

    /// Admits a request that a planned shift moves, against the workspace's limit, the shift's cap
    /// and the link together. `false`: the request stays in this region and nothing was taken.
    fn admit_shift(
        &mut self,
        ctx: &mut Step<'_, '_>,
        own: &[(LimitKey, Micros)],
    ) -> Result<bool, Refusal> {
        // A request that may be sent only once could not come back if the region refuses it.
        if !self.may_repeat() {
            return Ok(false);
        }
        let service = &self.request.service;
        let shift = ctx
            .t
            .steering
            .pick_shift(ctx.now, ctx.t.config, service, ctx.t.rng);
        let Some((name, region)) = shift else {
            return Ok(false);
        };
        let Some(link) = ctx.link_to(&region) else {
            return Ok(false);
        };
        let mut wants = own.to_vec();
        wants.push((LimitKey::Shift(name), Micros::from_units(1)));
        wants.push((link, Micros::from_units(self.link_bytes())));
        match self.take(ctx, &wants) {
            Ok(()) => {
                self.planned = Some(region);
                Ok(true)
            }
            Err(LimitKey::Workspace(_)) => Err(self.rate_limited(ctx)),
            Err(LimitKey::Shift(_) | LimitKey::Link { .. } | LimitKey::Region(_)) => Ok(false),
        }
    }

    /// A claim, if the request may run at most once and can be recognised.
    fn new_claim(&self, ctx: &mut Step<'_, '_>) -> Option<Claim> {
        if self.is_idempotent() || self.request.forwarded.is_some() {
            // The VM that passed a request on holds its claim.
            return None;
        }
        let key = self.request.idempotency_key.as_deref()?;
        let token = ctx.t.rng.u128(..);
        let service = &self.request.service;
        Some(Claim::new(self.workspace.as_ref(), service, key, token))
    }
}

impl Flow {
    pub(super) fn fingerprint(&self) -> Fingerprint {
        Fingerprint::of(self.lane().as_str(), &self.request)
    }

    /// Whether the request crashed targets before.
    pub(super) fn is_quarantined(&self, ctx: &Step<'_, '_>) -> bool {
        let quarantine = &ctx.t.quarantine;
        !quarantine.is_empty() && quarantine.is_quarantined(ctx.now, self.fingerprint())
    }

    /// Bytes taken from a link before the request is forwarded.
    pub(super) fn link_bytes(&self) -> u64 {
        self.request.body_length.unwrap_or(0) + HEAD_BYTES
    }

    fn rate_limited(&self, ctx: &Step<'_, '_>) -> Refusal {
        let workspace = self.workspace.as_ref();
        let rate = workspace.and_then(|w| ctx.t.config.workspace(w));
        let rate = rate.map_or(1, |w| w.rate.max(1));
        let pause = Millis(u64::from(self.cost()) * 1000 / rate);
        not_run(RefusalReason::RateLimited).with_retry_after(pause)
    }
}

impl Step<'_, '_> {
    pub(super) fn link_to(&self, region: &RegionId) -> Option<LimitKey> {
        Some(LimitKey::Link {
            from: self.t.steering.own_region(self.t.config)?.clone(),
            to: region.clone(),
        })
    }
}

fn admit_from_region(ctx: &mut Step<'_, '_>) -> Result<(), Refusal> {
    let full = not_run(RefusalReason::RegionFull);
    let region = ctx.t.steering.own_region(ctx.t.config).ok_or(full)?;
    let wants = [(LimitKey::Region(region.clone()), Micros::from_units(1))];
    let admitted = ctx.t.limits.admit(ctx.now, &wants);
    admitted.map_err(|_| full)
}

fn not_run(reason: RefusalReason) -> Refusal {
    Refusal::new(reason, Ran::No)
}
