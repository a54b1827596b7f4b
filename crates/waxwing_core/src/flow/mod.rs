//! State machine that processes one request, from its arrival to the end of its response.
//!
//! The daemon creates a [`Flow`] for each request, delivers events to it with [`Flow::step`] and
//! executes the returned actions in order. It keeps delivering events until [`Flow::is_finished`],
//! even after the caller has its response, because the idempotency record may still need a write.

mod access;
mod admission;
mod claiming;
mod daemon_state;
mod event;
mod refusal;
mod request;
mod sending;

mod waiting;

pub use daemon_state::{Admission, DaemonState};
pub use event::{FlowAction, FlowEvent, StoreOutcome};
pub use refusal::Refusal;
pub use request::{FlowId, Forwarded, IncomingRequest, PresentedKey};

use waxwing_records::Route;
use waxwing_types::{Millis, Ran, RefusalReason, RegionId, TargetId, WorkspaceId};

use crate::{Claim, ClaimState, Slot};

/// Where an attempt sends the request.
#[derive(Debug)]
enum Destination {
    /// The target on which this slot is taken.
    Target(Slot),
    Region(RegionId),
}

/// One attempt to execute the request on a target or through another region.
#[derive(Debug)]
struct Attempt {
    destination: Destination,
    started_at: Millis,
}

/// Progress of writing the final state of the claim to the idempotency record. The final state
/// tells the outcome of the request.
#[derive(Debug, Default)]
struct ClaimFinalization {
    /// Refusal to send to the caller once the write has ended.
    pending_refusal: Option<Refusal>,
    /// Time of the next write. Set after a write failed.
    next_write: Option<Millis>,
    failed_writes: u32,
}

#[derive(Debug)]
enum Phase {
    /// No event was handled yet.
    New,
    /// Waits, at most until this time, for rate limit tokens that this VM has requested from other
    /// VMs.
    AwaitingTokens(Millis),
    /// Waits for the store while the claim acquires the idempotency record.
    Claiming,
    /// Waits in the fair queue.
    Queued,
    /// Waits for the response head of the attempt.
    Sent(Attempt),
    /// Relays the response, which has this status, to the caller.
    Relaying(Attempt, u16),
    /// Writes the final state of the idempotency record. No attempt follows.
    FinalizingClaim(ClaimFinalization),
    Finished,
}

/// State machine that processes one request in one daemon.
#[derive(Debug)]
pub struct Flow {
    id: FlowId,
    request: IncomingRequest,
    phase: Phase,
    /// Time by which the response head must arrive. Set when the request is validated.
    deadline: Millis,
    /// Matched route. Set once the request is validated.
    route: Option<Route>,
    workspace: Option<WorkspaceId>,
    /// Weight of the workspace in the fair queue, which determines its share of the slots.
    weight: u32,
    /// Claim on the idempotency record of the request. `None` if the request needs no such record.
    claim: Option<Claim>,
    /// Region to which a traffic shift moves the request.
    shift_region: Option<RegionId>,
    tried_targets: Vec<TargetId>,
    tried_regions: Vec<RegionId>,
    /// When the request took its rate limit tokens.
    admitted_at: Option<Millis>,
    attempt_count: u32,
    /// Attempts that ended because the connection broke.
    broken_connections: u32,
    /// Whether an ended attempt may have run the request.
    maybe_ran: bool,
    /// Whether part of the request body was sent and is no longer buffered. If so, the request
    /// cannot be sent again.
    body_consumed: bool,
    /// Whether the daemon already got `WaitInQueue` for the current wait.
    is_wait_reported: bool,
}

/// Input and output of one call of [`Flow::step`].
struct StepContext<'s, 't> {
    now: Millis,
    state: &'s mut DaemonState<'t>,
    actions: Vec<FlowAction>,
    /// Whether queued requests may now be able to leave the queue.
    dispatch_needed: bool,
}

impl Flow {
    /// Creates the flow of a request. Its first event must be [`FlowEvent::Start`].
    pub fn new(id: FlowId, request: IncomingRequest) -> Self {
        Self {
            id,
            request,
            phase: Phase::New,
            deadline: Millis::MAX,
            route: None,
            workspace: None,
            weight: 1,
            claim: None,
            shift_region: None,
            tried_targets: Vec::new(),
            tried_regions: Vec::new(),
            admitted_at: None,
            attempt_count: 0,
            broken_connections: 0,
            maybe_ran: false,
            body_consumed: false,
            is_wait_reported: false,
        }
    }

    /// Handles one event and returns the actions for the daemon to execute.
    pub fn step(
        &mut self,
        now: Millis,
        event: FlowEvent,
        state: &mut DaemonState<'_>,
    ) -> Vec<FlowAction> {
        let mut ctx = StepContext {
            now,
            state,
            actions: Vec::new(),
            dispatch_needed: false,
        };
        let is_timer = event == FlowEvent::Timer;
        self.handle(&mut ctx, event);
        while std::mem::take(&mut ctx.dispatch_needed) {
            self.dispatch_queue(&mut ctx);
        }
        let is_queued = matches!(self.phase, Phase::Queued);
        if is_queued && !self.is_wait_reported {
            ctx.actions.push(FlowAction::WaitInQueue);
        }
        if is_timer || (is_queued && !self.is_wait_reported) {
            self.set_timer(&mut ctx);
        }
        self.is_wait_reported = is_queued;
        ctx.actions
    }

    fn handle(&mut self, ctx: &mut StepContext<'_, '_>, event: FlowEvent) {
        match event {
            FlowEvent::Start => {
                if matches!(self.phase, Phase::New) {
                    self.on_start(ctx);
                }
            }
            FlowEvent::Timer => self.on_timer(ctx),
            FlowEvent::Dequeued => self.on_dequeued(ctx),
            FlowEvent::StoreCallEnded(outcome) => self.on_store_call_ended(ctx, outcome),
            FlowEvent::ConnectFailed => self.on_connect_failed(ctx),
            FlowEvent::ResponseHead { status, not_run } => {
                self.on_response_head(ctx, status, not_run);
            }
            FlowEvent::ResponseComplete {
                bytes_out,
                bytes_in,
            } => self.on_response_complete(ctx, bytes_out, bytes_in),
            FlowEvent::ConnectionBroken => self.on_connection_broken(ctx),
            FlowEvent::UnusableResponse => self.on_unusable_response(ctx),
            FlowEvent::BodyConsumed => self.body_consumed = true,
            FlowEvent::CallerDisconnected => self.on_caller_disconnected(ctx),
            FlowEvent::RegionRefused => self.on_region_refused(ctx),
        }
    }

    fn set_timer(&self, ctx: &mut StepContext<'_, '_>) {
        let next = match self.phase {
            Phase::Queued => self.next_dispatch_check(ctx),
            Phase::Claiming | Phase::Sent(_) => self.deadline,
            // Admission and the finalization of the claim set their own timers.
            Phase::New
            | Phase::AwaitingTokens(_)
            | Phase::Relaying(..)
            | Phase::FinalizingClaim(_)
            | Phase::Finished => return,
        };
        ctx.actions.push(FlowAction::SetTimer(next));
    }

    fn on_timer(&mut self, ctx: &mut StepContext<'_, '_>) {
        match self.phase {
            Phase::Queued if ctx.now < self.deadline => ctx.dispatch_needed = true,
            Phase::Claiming | Phase::Sent(_) if ctx.now < self.deadline => {}
            Phase::Claiming | Phase::Queued => self.refuse(ctx, RefusalReason::DeadlineExceeded),
            Phase::Sent(_) => {
                // Leaves the phase `Sent`, in which a refusal would be dropped.
                self.cancel_attempt(ctx);
                self.refuse(ctx, RefusalReason::TargetTimeout);
            }
            Phase::FinalizingClaim(_) => self.on_finalize_timer(ctx),
            Phase::AwaitingTokens(wait_end) => self.on_token_retry_timer(ctx, wait_end),
            Phase::New | Phase::Relaying(..) | Phase::Finished => {}
        }
    }

    fn on_caller_disconnected(&mut self, ctx: &mut StepContext<'_, '_>) {
        let claim_state = match &mut self.phase {
            Phase::New | Phase::AwaitingTokens(_) => {
                self.phase = Phase::Finished;
                return;
            }
            Phase::FinalizingClaim(finalization) => {
                finalization.pending_refusal = None;
                return;
            }
            Phase::Finished => return,
            Phase::Relaying(_, status) => ClaimState::Answered(*status),
            Phase::Sent(_) => ClaimState::Unknown,
            Phase::Claiming | Phase::Queued if self.maybe_ran => ClaimState::Unknown,
            Phase::Claiming | Phase::Queued => ClaimState::Released,
        };
        self.cancel_attempt(ctx);
        self.leave_queue(ctx);
        self.finalize_claim(ctx, claim_state, None);
    }

    fn refuse(&mut self, ctx: &mut StepContext<'_, '_>, reason: RefusalReason) {
        let refusal = Refusal::new(reason, self.ran());
        self.refuse_with(ctx, refusal);
    }

    /// Refuses a request that has no running attempt, and finalizes its claim.
    fn refuse_with(&mut self, ctx: &mut StepContext<'_, '_>, refusal: Refusal) {
        self.leave_queue(ctx);
        let pending_refusal = match &mut self.phase {
            // The caller already has a response, or an earlier refusal is pending. The new refusal
            // is discarded, and a pending refusal is kept.
            Phase::FinalizingClaim(finalization) => finalization.pending_refusal.take(),
            Phase::New | Phase::AwaitingTokens(_) | Phase::Claiming | Phase::Queued => {
                Some(refusal)
            }
            Phase::Sent(_) | Phase::Relaying(..) | Phase::Finished => None,
        };
        let claim_state = if self.maybe_ran {
            ClaimState::Unknown
        } else {
            ClaimState::Released
        };
        self.finalize_claim(ctx, claim_state, pending_refusal);
    }

    /// Removes the request from the queue. The slot that may have been reserved for the request is
    /// then free for other requests.
    fn leave_queue(&mut self, ctx: &mut StepContext<'_, '_>) {
        ctx.state.queue.remove(self.id);
        ctx.dispatch_needed = true;
    }
}

impl Flow {
    /// Number of the request within this daemon.
    pub fn id(&self) -> FlowId {
        self.id
    }

    /// The request as it arrived.
    pub fn request(&self) -> &IncomingRequest {
        &self.request
    }

    /// Workspace for which the request runs. `None` before the request is validated, and on a
    /// public route without a valid key.
    pub fn workspace(&self) -> Option<&WorkspaceId> {
        self.workspace.as_ref()
    }

    /// Returns `Unknown` if an ended attempt may have run the request, otherwise `No`. A running
    /// attempt does not count.
    pub fn ran(&self) -> Ran {
        if self.maybe_ran {
            Ran::Unknown
        } else {
            Ran::No
        }
    }

    /// Whether the request was admitted, that is, took its rate limit tokens.
    pub fn is_admitted(&self) -> bool {
        self.admitted_at.is_some()
    }

    /// Whether the flow is done and needs no further events.
    pub fn is_finished(&self) -> bool {
        matches!(self.phase, Phase::Finished)
    }

    /// Tokens that the request takes from the rate limit of its workspace. Also the amount by which
    /// the request counts in the fair queue.
    fn cost(&self) -> u32 {
        self.route.as_ref().map_or(1, |r| r.cost)
    }

    /// Timeout of the route, or zero before the request is validated.
    fn timeout(&self) -> Millis {
        self.route.as_ref().map_or(Millis::ZERO, |r| r.timeout)
    }

    fn is_idempotent(&self) -> bool {
        self.route.as_ref().is_some_and(|r| r.idempotent)
    }

    /// Whether the request may be sent again after an attempt that is known not to have run it.
    /// A request that is not idempotent needs an idempotency key for this.
    fn may_resend_if_not_run(&self) -> bool {
        self.is_idempotent() || self.request.idempotency_key.is_some()
    }
}
