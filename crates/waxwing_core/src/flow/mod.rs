//! One request from arrival to response.
//!
//! The daemon creates a [`Flow`] for each request, delivers events to it with [`Flow::step`] and
//! carries out the actions in their order. It delivers events until [`Flow::is_finished`], also
//! after the caller was answered: the idempotency record may still have to be written.

mod access;
mod claiming;
mod daemon_state;
mod event;
mod refusal;
mod request;
mod sending;
mod start;
mod waiting;

pub use daemon_state::{Admission, DaemonState};
pub use event::{FlowAction, FlowEvent, StoreOutcome};
pub use refusal::Refusal;
pub use request::{FlowId, Forwarded, IncomingRequest, PresentedKey};

use waxwing_records::Route;
use waxwing_types::{Millis, Ran, RefusalReason, RegionId, TargetId, WorkspaceId};

use crate::{Claim, ClaimState, Slot};

/// Who gets the request.
#[derive(Debug)]
enum Receiver {
    Target(Slot),
    Region(RegionId),
}

/// One attempt to have the request run.
#[derive(Debug)]
struct Attempt {
    to: Receiver,
    since: Millis,
}

/// The idempotency record's final state is being written.
#[derive(Debug, Default)]
struct Closing {
    /// Answer that waits for the write.
    refusal: Option<Refusal>,
    /// Time of the next write, if the last one failed.
    next: Option<Millis>,
    /// Writes that failed.
    writes: u32,
}

#[derive(Debug)]
enum Phase {
    New,
    /// Waits until this time for tokens that the VM borrows.
    Admitting(Millis),
    Claiming,
    Waiting,
    Sent(Attempt),
    /// The answer with this status is passed on.
    Relaying(Attempt, u16),
    Closing(Closing),
    Finished,
}

/// One request in one daemon.
#[derive(Debug)]
pub struct Flow {
    id: FlowId,
    request: IncomingRequest,
    phase: Phase,
    deadline: Millis,
    /// Known once the request was identified.
    route: Option<Route>,
    workspace: Option<WorkspaceId>,
    weight: u32,
    claim: Option<Claim>,
    /// Region to which a planned shift moves the request.
    planned: Option<RegionId>,
    tried: Vec<TargetId>,
    refused_by: Vec<RegionId>,
    /// When the request took its tokens.
    admitted: Option<Millis>,
    attempts: u32,
    breaks: u32,
    /// Whether an attempt may have run the request.
    maybe_ran: bool,
    body_consumed: bool,
    /// Whether the daemon was told that the request waits.
    parked: bool,
}

/// What one step works on.
struct Step<'s, 't> {
    now: Millis,
    t: &'s mut DaemonState<'t>,
    out: Vec<FlowAction>,
    /// Whether waiting requests may get their turn.
    dispatch: bool,
}

impl Flow {
    /// A flow for a request. The first event is [`FlowEvent::Start`].
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
            planned: None,
            tried: Vec::new(),
            refused_by: Vec::new(),
            admitted: None,
            attempts: 0,
            breaks: 0,
            maybe_ran: false,
            body_consumed: false,
            parked: false,
        }
    }

    /// Handles one event.
    pub fn step(
        &mut self,
        now: Millis,
        event: FlowEvent,
        tables: &mut DaemonState<'_>,
    ) -> Vec<FlowAction> {
        let mut ctx = Step {
            now,
            t: tables,
            out: Vec::new(),
            dispatch: false,
        };
        let is_timer = event == FlowEvent::Timer;
        self.handle(&mut ctx, event);
        while std::mem::take(&mut ctx.dispatch) {
            self.dispatch(&mut ctx);
        }
        let waiting = matches!(self.phase, Phase::Waiting);
        if waiting && !self.parked {
            ctx.out.push(FlowAction::WaitInQueue);
        }
        if is_timer || (waiting && !self.parked) {
            self.set_timer(&mut ctx);
        }
        self.parked = waiting;
        ctx.out
    }

    fn handle(&mut self, ctx: &mut Step<'_, '_>, event: FlowEvent) {
        match event {
            FlowEvent::Start => {
                if matches!(self.phase, Phase::New) {
                    self.on_start(ctx);
                }
            }
            FlowEvent::Timer => self.on_timer(ctx),
            FlowEvent::Dequeued => self.on_released(ctx),
            FlowEvent::StoreCallEnded(outcome) => self.on_store(ctx, outcome),
            FlowEvent::ConnectFailed => self.on_connect_failed(ctx),
            FlowEvent::ResponseHead { status, not_run } => self.on_head(ctx, status, not_run),
            FlowEvent::ResponseComplete {
                bytes_out,
                bytes_in,
            } => self.on_finished(ctx, bytes_out, bytes_in),
            FlowEvent::ConnectionBroken => self.on_broken(ctx),
            FlowEvent::BodyConsumed => self.body_consumed = true,
            FlowEvent::CallerDisconnected => self.on_caller_gone(ctx),
            FlowEvent::RegionRefused => self.on_region_refused(ctx),
        }
    }

    fn set_timer(&self, ctx: &mut Step<'_, '_>) {
        let next = match self.phase {
            Phase::Waiting => self.next_look(ctx),
            Phase::Claiming | Phase::Sent(_) => self.deadline,
            // Admission and a record that is being closed set their own timers.
            Phase::New
            | Phase::Admitting(_)
            | Phase::Relaying(..)
            | Phase::Closing(_)
            | Phase::Finished => return,
        };
        ctx.out.push(FlowAction::SetTimer(next));
    }

    fn on_timer(&mut self, ctx: &mut Step<'_, '_>) {
        match self.phase {
            Phase::Waiting if ctx.now < self.deadline => ctx.dispatch = true,
            Phase::Claiming | Phase::Sent(_) if ctx.now < self.deadline => {}
            Phase::Claiming | Phase::Waiting => self.refuse(ctx, RefusalReason::DeadlineExceeded),
            Phase::Sent(_) => {
                self.cancel(ctx);
                self.refuse(ctx, RefusalReason::TargetTimeout);
            }
            Phase::Closing(_) => self.on_closing_timer(ctx),
            Phase::Admitting(until) => self.on_admission_timer(ctx, until),
            Phase::New | Phase::Relaying(..) | Phase::Finished => {}
        }
    }

    fn on_caller_gone(&mut self, ctx: &mut Step<'_, '_>) {
        let state = match &mut self.phase {
            Phase::New | Phase::Admitting(_) => {
                self.phase = Phase::Finished;
                return;
            }
            Phase::Closing(closing) => {
                closing.refusal = None;
                return;
            }
            Phase::Finished => return,
            Phase::Relaying(_, status) => ClaimState::Answered(*status),
            Phase::Sent(_) => ClaimState::Unknown,
            Phase::Claiming | Phase::Waiting if self.maybe_ran => ClaimState::Unknown,
            Phase::Claiming | Phase::Waiting => ClaimState::Released,
        };
        self.cancel(ctx);
        self.leave_queue(ctx);
        self.close(ctx, state, None);
    }

    fn refuse(&mut self, ctx: &mut Step<'_, '_>, reason: RefusalReason) {
        let refusal = Refusal::new(reason, self.ran());
        self.refuse_with(ctx, refusal);
    }

    /// Refuses a request of which no attempt is running.
    fn refuse_with(&mut self, ctx: &mut Step<'_, '_>, refusal: Refusal) {
        self.leave_queue(ctx);
        let pending = match &mut self.phase {
            // The caller was answered, or its answer waits for a write.
            Phase::Closing(closing) => closing.refusal.take(),
            Phase::New | Phase::Admitting(_) | Phase::Claiming | Phase::Waiting => Some(refusal),
            Phase::Sent(_) | Phase::Relaying(..) | Phase::Finished => None,
        };
        let state = if self.maybe_ran {
            ClaimState::Unknown
        } else {
            ClaimState::Released
        };
        self.close(ctx, state, pending);
    }

    fn leave_queue(&mut self, ctx: &mut Step<'_, '_>) {
        ctx.t.queue.remove(self.id);
        ctx.dispatch = true;
    }
}

impl Flow {
    /// The number of the request.
    pub fn id(&self) -> FlowId {
        self.id
    }

    /// What the request brought with it.
    pub fn request(&self) -> &IncomingRequest {
        &self.request
    }

    /// The workspace for which the request runs, once it is known.
    pub fn workspace(&self) -> Option<&WorkspaceId> {
        self.workspace.as_ref()
    }

    /// Whether an attempt that ended ran the request. The running one, if any, is not counted.
    pub fn ran(&self) -> Ran {
        if self.maybe_ran {
            Ran::Unknown
        } else {
            Ran::No
        }
    }

    /// Whether the request took its tokens.
    pub fn is_admitted(&self) -> bool {
        self.admitted.is_some()
    }

    /// Whether the flow needs no further event.
    pub fn is_finished(&self) -> bool {
        matches!(self.phase, Phase::Finished)
    }

    fn cost(&self) -> u32 {
        self.route.as_ref().map_or(1, |r| r.cost)
    }

    fn timeout(&self) -> Millis {
        self.route.as_ref().map_or(Millis::ZERO, |r| r.timeout)
    }

    fn is_idempotent(&self) -> bool {
        self.route.as_ref().is_some_and(|r| r.idempotent)
    }

    /// Whether the request may be sent again when it is known not to have run. One that is not
    /// idempotent must be recognisable by its key for that.
    fn may_repeat(&self) -> bool {
        self.is_idempotent() || self.request.idempotency_key.is_some()
    }
}
