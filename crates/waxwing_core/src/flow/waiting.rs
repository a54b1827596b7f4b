//! The request in the fair queue.

use waxwing_types::{Millis, RefusalReason, ServiceId, WorkspaceId};

use super::{DaemonState, Flow, FlowAction, FlowId, Phase, Refusal, Step, access};
use crate::QueuedRequest;

/// Time between two looks at the targets by a waiting request.
const LOOK_PERIOD: Millis = Millis(20);
/// Waiting requests from which on each looks more rarely, which bounds the work for all of them to
/// this many looks in a period.
const LOOKERS: u64 = 8;

impl Flow {
    /// Goes on with a request that is admitted and holds its claim, if it needs one.
    pub(super) fn proceed(&mut self, ctx: &mut Step<'_, '_>) {
        if let Err(reason) = self.recheck(ctx) {
            self.refuse(ctx, reason);
            return;
        }
        match self.planned.take() {
            Some(region) if ctx.is_reachable(&region) => self.forward(ctx, region),
            Some(_) | None => self.join(ctx),
        }
    }

    /// Enters the fair queue.
    pub(super) fn join(&mut self, ctx: &mut Step<'_, '_>) {
        let service = &self.request.service;
        ctx.t.targets.sync(ctx.now, ctx.t.config, service);
        let capacity = ctx.t.targets.capacity(ctx.now, service);
        if capacity.usable == 0 {
            self.leave_region(ctx);
            return;
        }
        let ticket = self.ticket();
        if let Err(wait) = ctx.t.queue.enqueue(ctx.now, ticket, capacity) {
            if self.may_overflow(ctx) {
                self.leave_region(ctx);
                return;
            }
            let refusal = Refusal::new(RefusalReason::QueueFull, self.ran());
            self.refuse_with(ctx, refusal.with_retry_after(wait));
            return;
        }
        self.phase = Phase::Waiting;
        ctx.dispatch = true;
    }

    /// Takes a slot at once, or else the first place of its workspace's queue.
    pub(super) fn try_again(&mut self, ctx: &mut Step<'_, '_>) {
        if let Err(reason) = self.recheck(ctx) {
            self.refuse(ctx, reason);
            return;
        }
        self.take_slot(ctx);
    }

    pub(super) fn on_released(&mut self, ctx: &mut Step<'_, '_>) {
        let has_turn = ctx.t.queue.take_dequeued(self.id);
        if !matches!(self.phase, Phase::Waiting) {
            ctx.dispatch = has_turn;
            return;
        }
        if let Err(reason) = self.recheck(ctx) {
            self.refuse(ctx, reason);
            return;
        }
        if has_turn {
            self.take_slot(ctx);
            return;
        }
        // The queue dropped it because its key changed, or its turn came long ago.
        ctx.t.queue.requeue_first(ctx.now, self.ticket());
        ctx.dispatch = true;
    }

    fn take_slot(&mut self, ctx: &mut Step<'_, '_>) {
        let service = &self.request.service;
        ctx.t.targets.sync(ctx.now, ctx.t.config, service);
        let slot = ctx.t.targets.take(ctx.now, service, &self.tried, ctx.t.rng);
        if let Some(slot) = slot {
            self.send(ctx, slot);
        } else if ctx.t.targets.capacity(ctx.now, service).usable == 0 {
            self.leave_region(ctx);
        } else {
            ctx.t.queue.requeue_first(ctx.now, self.ticket());
            self.phase = Phase::Waiting;
        }
    }

    /// Wakes the requests whose turn has come, which may include this one.
    pub(super) fn dispatch(&mut self, ctx: &mut Step<'_, '_>) {
        for flow in ctx.t.release(ctx.now, &self.request.service) {
            if flow == self.id {
                self.on_released(ctx);
            } else {
                ctx.out.push(FlowAction::NotifyDequeued(flow));
            }
        }
    }
}

impl Flow {
    /// The queue in which the request waits.
    pub(super) fn lane(&self) -> WorkspaceId {
        self.workspace.clone().unwrap_or_else(|| "".into())
    }

    /// Whether the request may still be sent: the deadline has not passed, and the key is still
    /// valid for the same workspace, and no other copy of it crashed targets meanwhile.
    pub(super) fn recheck(&self, ctx: &Step<'_, '_>) -> Result<(), RefusalReason> {
        if ctx.now >= self.deadline {
            return Err(RefusalReason::DeadlineExceeded);
        }
        let access = access::check(ctx.now, ctx.t.config, &self.request)?;
        if access.workspace != self.workspace {
            return Err(RefusalReason::KeyInvalid);
        }
        if self.is_quarantined(ctx) {
            return Err(RefusalReason::Quarantined);
        }
        Ok(())
    }

    /// When a waiting request looks whether requests may get their turn without another one having
    /// ended: because a target recovered, warmed up or was added.
    pub(super) fn next_look(&self, ctx: &Step<'_, '_>) -> Millis {
        let waiting = ctx.t.queue.waiting_count(&self.request.service) as u64;
        let period = Millis(LOOK_PERIOD.0 * (waiting / LOOKERS).max(1));
        self.deadline.min(ctx.now + period)
    }

    fn ticket(&self) -> QueuedRequest {
        QueuedRequest {
            flow_id: self.id,
            service: self.request.service.clone(),
            workspace: self.lane(),
            weight: self.weight,
            cost: self.cost(),
            deadline: self.deadline,
            key_id: self.request.api_key.as_ref().map(|k| k.id.clone()),
        }
    }
}

impl DaemonState<'_> {
    /// Requests of a service that get their turn. Without a usable target all of them do, to go to
    /// another region or to be refused.
    pub(super) fn release(&mut self, now: Millis, service: &ServiceId) -> Vec<FlowId> {
        if self.queue.waiting_count(service) == 0 {
            return Vec::new();
        }
        self.targets.sync(now, self.config, service);
        let capacity = self.targets.capacity(now, service);
        let free = match capacity.usable {
            0 => u32::MAX,
            _ => capacity.free,
        };
        self.queue.dequeue(now, service, free)
    }
}
