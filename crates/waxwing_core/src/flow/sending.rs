//! Attempts at targets and regions.

use waxwing_types::{Micros, Millis, RefusalReason, RegionId, RetryReason};

use super::{Attempt, Flow, FlowAction, Phase, Receiver, Step};
use crate::{ClaimState, LimitKey, Observation, Slot};

/// Attempts at one request. Further ones seldom help and hold up other requests.
const MAX_ATTEMPTS: u32 = 4;
/// Broken connections after which a request is not sent again.
const MAX_BREAKS: u32 = 2;

impl Flow {
    pub(super) fn send(&mut self, ctx: &mut Step<'_, '_>, slot: Slot) {
        ctx.out.push(FlowAction::SendToTarget {
            target: slot.target.clone(),
            address: slot.address,
            workspace: self.workspace.clone(),
            deadline: self.deadline,
        });
        self.begin(ctx.now, Receiver::Target(slot));
    }

    pub(super) fn forward(&mut self, ctx: &mut Step<'_, '_>, region: RegionId) {
        ctx.out.push(FlowAction::ForwardToRegion {
            region: region.clone(),
            deadline: self.deadline,
        });
        self.begin(ctx.now, Receiver::Region(region));
    }

    /// Sends the request to another region, because no target of this one is usable.
    pub(super) fn leave_region(&mut self, ctx: &mut Step<'_, '_>) {
        let Some(region) = self.other_region(ctx) else {
            let reason = if self.refused_by.is_empty() {
                RefusalReason::NoTarget
            } else {
                RefusalReason::RegionFull
            };
            self.refuse(ctx, reason);
            return;
        };
        let bytes = Micros::from_units(self.link_bytes());
        let wants: Vec<_> = ctx
            .link_to(&region)
            .map(|l| (l, bytes))
            .into_iter()
            .collect();
        if ctx.t.limits.admit(ctx.now, &wants).is_err() {
            self.refuse(ctx, RefusalReason::LinkFull);
            return;
        }
        self.forward(ctx, region);
    }

    pub(super) fn on_connect_failed(&mut self, ctx: &mut Step<'_, '_>) {
        if let Some(attempt) = self.take_attempt() {
            self.release(ctx, &attempt, Some(Observation::Failed));
            self.send_again(ctx, RetryReason::ConnectFailed);
        }
    }

    pub(super) fn on_head(&mut self, ctx: &mut Step<'_, '_>, status: u16, not_run: bool) {
        let Some(attempt) = self.take_attempt() else {
            return;
        };
        if not_run {
            self.release(ctx, &attempt, Some(Observation::Shed));
            self.send_again(ctx, attempt.refusal());
            return;
        }
        if let Receiver::Target(slot) = &attempt.to {
            let seen = Observation::Answered(ctx.now.since(attempt.since));
            ctx.t.targets.observe(ctx.now, slot, seen);
        }
        ctx.out.push(FlowAction::RelayResponse);
        self.phase = Phase::Relaying(attempt, status);
    }

    pub(super) fn on_region_refused(&mut self, ctx: &mut Step<'_, '_>) {
        if let Some(attempt) = self.take_attempt() {
            self.release(ctx, &attempt, None);
            self.send_again(ctx, RetryReason::RegionRefused);
        }
    }

    pub(super) fn on_broken(&mut self, ctx: &mut Step<'_, '_>) {
        let relaying = matches!(self.phase, Phase::Relaying(..));
        let Some(attempt) = self.take_attempt() else {
            return;
        };
        self.maybe_ran = true;
        self.breaks += 1;
        if let Receiver::Target(slot) = &attempt.to {
            let (print, sent) = (self.fingerprint(), attempt.since);
            ctx.t
                .quarantine
                .record_crash(ctx.now, print, &slot.target, sent);
        }
        self.release(ctx, &attempt, Some(Observation::Failed));
        if relaying {
            self.close(ctx, ClaimState::Unknown, None);
        } else {
            self.send_again(ctx, RetryReason::ConnectionBroken);
        }
    }

    pub(super) fn on_finished(&mut self, ctx: &mut Step<'_, '_>, bytes_out: u64, bytes_in: u64) {
        let Phase::Relaying(_, status) = self.phase else {
            // An answer without a head is a broken one.
            self.on_broken(ctx);
            return;
        };
        let Some(attempt) = self.take_attempt() else {
            return;
        };
        self.release(ctx, &attempt, None);
        self.settle_links(ctx, &attempt, bytes_out, bytes_in);
        if let Receiver::Target(_) = attempt.to {
            let hold = ctx.now.since(attempt.since);
            let cost = self.cost();
            ctx.t
                .queue
                .record_slot_time(&self.request.service, cost, hold);
        }
        self.close(ctx, ClaimState::Answered(status), None);
    }

    /// Ends the running attempt, if any, because caller or deadline no longer allow it.
    pub(super) fn cancel(&mut self, ctx: &mut Step<'_, '_>) {
        let answered = matches!(self.phase, Phase::Relaying(..));
        let Some(attempt) = self.take_attempt() else {
            return;
        };
        ctx.out.push(FlowAction::CancelAttempt);
        let span = ctx.now.since(attempt.since);
        let seen = if answered {
            None
        } else if span.0 >= self.timeout().0 / 2 {
            Some(Observation::Failed)
        } else {
            // A caller that allows little time must not get targets ejected.
            Some(Observation::GivenUp(span))
        };
        self.maybe_ran = true;
        self.release(ctx, &attempt, seen);
    }

    fn begin(&mut self, now: Millis, to: Receiver) {
        self.attempts += 1;
        self.phase = Phase::Sent(Attempt { to, since: now });
    }

    /// Takes the attempt out of the phase. The caller sets the next phase.
    fn take_attempt(&mut self) -> Option<Attempt> {
        match std::mem::replace(&mut self.phase, Phase::Waiting) {
            Phase::Sent(attempt) | Phase::Relaying(attempt, _) => Some(attempt),
            other => {
                self.phase = other;
                None
            }
        }
    }

    /// Gives the slot back and remembers who was tried.
    fn release(&mut self, ctx: &mut Step<'_, '_>, attempt: &Attempt, seen: Option<Observation>) {
        match &attempt.to {
            Receiver::Target(slot) => {
                if let Some(seen) = seen {
                    ctx.t.targets.observe(ctx.now, slot, seen);
                }
                ctx.t.targets.give_back(slot);
                self.tried.push(slot.target.clone());
                ctx.dispatch = true;
            }
            Receiver::Region(region) => self.refused_by.push(region.clone()),
        }
    }

    fn send_again(&mut self, ctx: &mut Step<'_, '_>, why: RetryReason) {
        if !self.may_send_again(ctx, why) {
            self.refuse(ctx, exhausted(why));
            return;
        }
        ctx.out.push(FlowAction::ReportRetry(why));
        if self.refused_by.is_empty() {
            self.try_again(ctx);
        } else {
            self.proceed(ctx);
        }
    }

    /// Whether the rules allow another attempt. Takes it from the budget.
    fn may_send_again(&mut self, ctx: &mut Step<'_, '_>, why: RetryReason) -> bool {
        let allowed = match why {
            RetryReason::ConnectFailed => true,
            RetryReason::TargetShed | RetryReason::RegionRefused => {
                self.may_repeat() && !self.body_consumed
            }
            RetryReason::ConnectionBroken | RetryReason::TargetFailed => {
                self.is_idempotent() && !self.body_consumed && self.breaks < MAX_BREAKS
            }
        };
        if !allowed || ctx.now >= self.deadline || self.attempts >= MAX_ATTEMPTS {
            return false;
        }
        if why == RetryReason::RegionRefused {
            // It returns to its own region, which would have run it without the shift.
            return true;
        }
        let service = &self.request.service;
        let load = ctx.t.targets.capacity(ctx.now, service).load();
        ctx.t.retry_budget.try_take(ctx.now, service, load)
    }

    /// Takes from the links what was not known before: what exceeds the announced body, and, for
    /// work of another region, the answer.
    fn settle_links(&self, ctx: &mut Step<'_, '_>, attempt: &Attempt, sent: u64, received: u64) {
        let (region, bytes) = match (&attempt.to, &self.request.forwarded) {
            (Receiver::Region(region), _) => (region, sent.saturating_sub(self.link_bytes())),
            (Receiver::Target(_), Some(forwarded)) => (&forwarded.from_region, received),
            (Receiver::Target(_), None) => return,
        };
        if let Some(link @ LimitKey::Link { .. }) = ctx.link_to(region) {
            let amount = Micros::from_units(bytes);
            ctx.t.limits.charge(ctx.now, &link, amount);
        }
    }
}

impl Flow {
    /// Whether a request that cannot be served here in time may be passed on. The other region
    /// admits it against its spare capacity.
    pub(super) fn may_overflow(&self, ctx: &mut Step<'_, '_>) -> bool {
        self.may_repeat() && self.other_region(ctx).is_some()
    }

    /// A region, not asked before, in which the service has targets and an entry VM is in reach.
    fn other_region(&self, ctx: &mut Step<'_, '_>) -> Option<RegionId> {
        if self.request.forwarded.is_some() {
            return None;
        }
        let here = ctx.t.steering.own_region(ctx.t.config);
        let service = ctx.t.config.service(&self.request.service)?;
        let targets = service.targets.iter().filter(|t| !t.leaving);
        let mut regions: Vec<_> = targets
            .filter_map(|t| ctx.t.config.region_of(&t.domain))
            .filter(|r| Some(*r) != here && !self.refused_by.contains(r))
            .cloned()
            .collect();
        regions.sort_unstable();
        regions.dedup();
        regions.retain(|r| ctx.is_reachable(r));
        ctx.t.rng.choice(regions)
    }
}

impl Step<'_, '_> {
    /// Whether an entry VM of the region is usable.
    pub(super) fn is_reachable(&mut self, region: &RegionId) -> bool {
        let (config, members) = (self.t.config, self.t.members);
        let vm = self
            .t
            .steering
            .pick_entry_vm(self.now, config, members, region, self.t.rng);
        vm.is_some()
    }
}

impl Attempt {
    /// The reason to send a request again that the receiver did not run.
    fn refusal(&self) -> RetryReason {
        match self.to {
            Receiver::Target(_) => RetryReason::TargetShed,
            Receiver::Region(_) => RetryReason::RegionRefused,
        }
    }
}

/// The reason for which a request is refused that may not be sent again.
fn exhausted(why: RetryReason) -> RefusalReason {
    match why {
        RetryReason::ConnectFailed => RefusalReason::NoTarget,
        RetryReason::TargetShed => RefusalReason::TargetsShedding,
        RetryReason::ConnectionBroken | RetryReason::TargetFailed => RefusalReason::TargetFailed,
        RetryReason::RegionRefused => RefusalReason::RegionFull,
    }
}
