//! Waiting in the fair queue for a free slot of a target.

use waxwing_types::{Millis, RefusalReason, ServiceId, WorkspaceId};

use super::{DaemonState, Flow, FlowAction, FlowId, Phase, Refusal, StepContext, access};
use crate::QueuedRequest;

/// Shortest interval at which a waiting request checks whether targets have free slots.
const DISPATCH_CHECK_PERIOD: Millis = Millis(20);
/// Largest number of checks per [`DISPATCH_CHECK_PERIOD`] by all waiting requests of a service
/// together. If more requests wait, each of them checks less often.
const MAX_CHECKS_PER_PERIOD: u64 = 8;

impl Flow {
    /// Forwards the request if a traffic shift moves it, or else adds it to the fair queue. Called
    /// when the request is admitted and its claim, if any, owns the idempotency record.
    pub(super) fn forward_or_enqueue(&mut self, ctx: &mut StepContext<'_, '_>) {
        if let Err(reason) = self.revalidate(ctx) {
            self.refuse(ctx, reason);
            return;
        }
        match self.shift_region.take() {
            Some(region) if ctx.is_reachable(&region) => self.forward_to_region(ctx, region),
            Some(_) | None => self.enqueue(ctx),
        }
    }

    /// Adds the request to the fair queue. Forwards or refuses it if the region cannot serve it.
    pub(super) fn enqueue(&mut self, ctx: &mut StepContext<'_, '_>) {
        let service = &self.request.service;
        ctx.state.targets.sync(ctx.now, ctx.state.config, service);
        let capacity = ctx.state.targets.capacity(ctx.now, service);
        if capacity.usable == 0 {
            self.forward_or_refuse(ctx);
            return;
        }
        let queued_request = self.queued_request();
        if let Err(wait) = ctx.state.queue.enqueue(ctx.now, queued_request, capacity) {
            if self.may_forward(ctx) {
                self.forward_or_refuse(ctx);
                return;
            }
            let refusal = Refusal::new(RefusalReason::QueueFull, self.ran());
            self.refuse_with(ctx, refusal.with_retry_after(wait));
            return;
        }
        self.phase = Phase::Queued;
        ctx.dispatch_needed = true;
    }

    /// Sends the request to another target of this region if one has a free slot. Otherwise puts
    /// the request at the front of its workspace's queue.
    pub(super) fn retry_in_region(&mut self, ctx: &mut StepContext<'_, '_>) {
        if let Err(reason) = self.revalidate(ctx) {
            self.refuse(ctx, reason);
            return;
        }
        self.send_or_requeue(ctx);
    }

    /// Sends the request if its turn came, or puts the request back if the queue removed it for
    /// another reason.
    pub(super) fn on_dequeued(&mut self, ctx: &mut StepContext<'_, '_>) {
        let has_reserved_slot = ctx.state.queue.take_dequeued(self.id);
        if !matches!(self.phase, Phase::Queued) {
            // The slot reserved for this request is free for another request.
            ctx.dispatch_needed = has_reserved_slot;
            return;
        }
        if let Err(reason) = self.revalidate(ctx) {
            self.refuse(ctx, reason);
            return;
        }
        if has_reserved_slot {
            self.send_or_requeue(ctx);
            return;
        }
        // No slot is reserved: the queue removed the request because its API key changed, or the
        // reservation expired.
        ctx.state
            .queue
            .requeue_first(ctx.now, self.queued_request());
        ctx.dispatch_needed = true;
    }

    /// Sends the request if a target has a free slot, or else puts it at the front of its
    /// workspace's queue. Forwards or refuses it if no target is usable.
    fn send_or_requeue(&mut self, ctx: &mut StepContext<'_, '_>) {
        let service = &self.request.service;
        ctx.state.targets.sync(ctx.now, ctx.state.config, service);
        let slot = ctx
            .state
            .targets
            .take(ctx.now, service, &self.tried_targets, ctx.state.rng);
        if let Some(slot) = slot {
            self.send_to_target(ctx, slot);
        } else if ctx.state.targets.capacity(ctx.now, service).usable == 0 {
            self.forward_or_refuse(ctx);
        } else {
            ctx.state
                .queue
                .requeue_first(ctx.now, self.queued_request());
            self.phase = Phase::Queued;
        }
    }

    /// Takes the requests whose turn has come, possibly including this one, out of the queue.
    pub(super) fn dispatch_queue(&mut self, ctx: &mut StepContext<'_, '_>) {
        for flow in ctx.state.dequeue_ready(ctx.now, &self.request.service) {
            if flow == self.id {
                self.on_dequeued(ctx);
            } else {
                ctx.actions.push(FlowAction::NotifyDequeued(flow));
            }
        }
    }
}

impl Flow {
    /// Workspace in whose queue the request waits. Empty for requests without a workspace.
    pub(super) fn queue_workspace(&self) -> WorkspaceId {
        self.workspace.clone().unwrap_or_else(|| "".into())
    }

    /// Checks that the request may still be sent: its deadline has not passed, its API key is still
    /// valid for the same workspace, and it was not quarantined in the meantime.
    pub(super) fn revalidate(&self, ctx: &StepContext<'_, '_>) -> Result<(), RefusalReason> {
        if ctx.now >= self.deadline {
            return Err(RefusalReason::DeadlineExceeded);
        }
        let access = access::authorize(ctx.now, ctx.state.config, &self.request)?;
        if access.workspace != self.workspace {
            return Err(RefusalReason::KeyInvalid);
        }
        if self.is_quarantined(ctx) {
            return Err(RefusalReason::Quarantined);
        }
        Ok(())
    }

    /// When a waiting request next checks whether targets have free slots. The checks are needed
    /// because slots also become free without an event: when a target recovers, warms up or is
    /// added.
    pub(super) fn next_dispatch_check(&self, ctx: &StepContext<'_, '_>) -> Millis {
        let waiting_count = ctx.state.queue.waiting_count(&self.request.service) as u64;
        let period =
            Millis(DISPATCH_CHECK_PERIOD.0 * (waiting_count / MAX_CHECKS_PER_PERIOD).max(1));
        self.deadline.min(ctx.now + period)
    }

    fn queued_request(&self) -> QueuedRequest {
        QueuedRequest {
            flow_id: self.id,
            service: self.request.service.clone(),
            workspace: self.queue_workspace(),
            weight: self.weight,
            cost: self.cost(),
            deadline: self.deadline,
            key_id: self.request.api_key.as_ref().map(|k| k.id.clone()),
        }
    }
}

impl DaemonState<'_> {
    /// Takes the requests of a service for which slots are free out of the queue. If no target is
    /// usable, takes all of them, to be forwarded to another region or refused.
    pub(super) fn dequeue_ready(&mut self, now: Millis, service: &ServiceId) -> Vec<FlowId> {
        if self.queue.waiting_count(service) == 0 {
            return Vec::new();
        }
        self.targets.sync(now, self.config, service);
        let capacity = self.targets.capacity(now, service);
        let free_slots = match capacity.usable {
            0 => u32::MAX,
            _ => capacity.free,
        };
        self.queue.dequeue(now, service, free_slots)
    }
}
