//! Claims the idempotency record of a request in the store. When the request ends, the final state
//! of the claim is written to the record. The final state tells the outcome of the request.

use waxwing_types::{Millis, Ran, RefusalReason};

use super::{ClaimFinalization, Flow, FlowAction, Phase, Refusal, StepContext, StoreOutcome};
use crate::{ClaimState, ClaimStep, StoreCall};

/// Delay before the first retry of a failed write of the final state. Doubles with each failure.
const FINALIZE_RETRY_DELAY: Millis = Millis(250);
/// Number of failed writes of the final state after which the flow ends without another write. The
/// six delays between the seven writes add up to about 16 s.
const MAX_FAILED_WRITES: u32 = 7;

impl Flow {
    /// Handles the outcome of a store call on the idempotency record.
    pub(super) fn on_store_call_ended(
        &mut self,
        ctx: &mut StepContext<'_, '_>,
        outcome: StoreOutcome,
    ) {
        let Some(claim) = &mut self.claim else {
            return;
        };
        match claim.on_store_outcome(outcome) {
            ClaimStep::Call(call) => ctx.push_store_call(claim.path(), call),
            ClaimStep::Acquired => self.forward_or_enqueue(ctx),
            ClaimStep::Duplicate(state) => {
                self.claim = None;
                self.refuse_with(ctx, duplicate_refusal(state));
            }
            ClaimStep::Unavailable => self.on_claim_unavailable(ctx),
            ClaimStep::FinalizeFailed => self.on_finalize_failed(ctx),
            ClaimStep::Finalized => self.on_finalized(ctx),
        }
    }

    /// Writes the final state of the idempotency record, if the request claimed one, and sends
    /// `refusal` to the caller.
    ///
    /// `Released` is written before the refusal is sent: a caller that retries immediately can then
    /// claim the record again. If the write has not ended by the deadline, the refusal is sent
    /// anyway.
    pub(super) fn finalize_claim(
        &mut self,
        ctx: &mut StepContext<'_, '_>,
        claim_state: ClaimState,
        refusal: Option<Refusal>,
    ) {
        let Some(claim) = &mut self.claim else {
            ctx.push_refusal(refusal);
            self.phase = Phase::Finished;
            return;
        };
        if let Some(call) = claim.finalize(claim_state) {
            ctx.push_store_call(claim.path(), call);
        }
        let refuse_after_write = claim_state == ClaimState::Released && ctx.now < self.deadline;
        if refuse_after_write {
            ctx.actions.push(FlowAction::SetTimer(self.deadline));
        } else {
            ctx.push_refusal(refusal);
        }
        self.phase = Phase::FinalizingClaim(ClaimFinalization {
            pending_refusal: refusal.filter(|_| refuse_after_write),
            ..ClaimFinalization::default()
        });
    }

    /// Sends the pending refusal if the deadline has passed, and retries a failed write of the
    /// final state if the retry is due.
    pub(super) fn on_finalize_timer(&mut self, ctx: &mut StepContext<'_, '_>) {
        let (Phase::FinalizingClaim(finalization), Some(claim)) =
            (&mut self.phase, &mut self.claim)
        else {
            return;
        };
        if ctx.now >= self.deadline {
            ctx.push_refusal(finalization.pending_refusal.take());
        }
        match finalization.next_write {
            Some(next_write) if ctx.now >= next_write => {
                finalization.next_write = None;
                let call = claim.retry_finalize();
                ctx.push_store_call(claim.path(), call);
            }
            Some(next_write) => ctx.actions.push(FlowAction::SetTimer(next_write)),
            None => {}
        }
    }

    /// Refuses the request because the store did not respond to the claim. A write of the claim may
    /// have taken effect, and the record would then block the idempotency key. The record is
    /// therefore released later.
    fn on_claim_unavailable(&mut self, ctx: &mut StepContext<'_, '_>) {
        let refusal = Refusal::new(RefusalReason::ClaimUnavailable, Ran::No);
        ctx.push_refusal(Some(refusal));
        if let Some(claim) = &mut self.claim {
            // Drops the returned store call. `on_finalize_failed` sets the timer that makes the
            // call again, once the store has had time to recover.
            claim.finalize(ClaimState::Released);
        }
        self.phase = Phase::FinalizingClaim(ClaimFinalization::default());
        self.on_finalize_failed(ctx);
    }

    /// Sends the pending refusal, and schedules the next write unless too many writes have failed.
    fn on_finalize_failed(&mut self, ctx: &mut StepContext<'_, '_>) {
        let Phase::FinalizingClaim(finalization) = &mut self.phase else {
            return;
        };
        ctx.push_refusal(finalization.pending_refusal.take());
        finalization.failed_writes += 1;
        if finalization.failed_writes >= MAX_FAILED_WRITES {
            self.phase = Phase::Finished;
            return;
        }
        let next_write =
            ctx.now + Millis(FINALIZE_RETRY_DELAY.0 << (finalization.failed_writes - 1));
        finalization.next_write = Some(next_write);
        ctx.actions.push(FlowAction::SetTimer(next_write));
    }

    /// Sends the pending refusal and finishes the flow.
    fn on_finalized(&mut self, ctx: &mut StepContext<'_, '_>) {
        if let Phase::FinalizingClaim(finalization) = &mut self.phase {
            ctx.push_refusal(finalization.pending_refusal.take());
        }
        self.phase = Phase::Finished;
    }
}

impl StepContext<'_, '_> {
    pub(super) fn push_store_call(&mut self, path: &str, call: StoreCall) {
        let path = path.to_owned();
        self.actions.push(match call {
            StoreCall::Create(value) => FlowAction::CreateRecord { path, value },
            StoreCall::Read => FlowAction::ReadRecord { path },
            StoreCall::Update(version, value) => FlowAction::UpdateRecord {
                path,
                version,
                value,
            },
        });
    }

    pub(super) fn push_refusal(&mut self, refusal: Option<Refusal>) {
        self.actions.extend(refusal.map(FlowAction::Refuse));
    }
}

/// Refusal of a duplicate request, given the state of the idempotency record.
fn duplicate_refusal(state: ClaimState) -> Refusal {
    match state {
        ClaimState::InFlight | ClaimState::Released => {
            Refusal::new(RefusalReason::DuplicateInFlight, Ran::Unknown)
        }
        // A target may respond with an error status without having run the request.
        ClaimState::Answered(status) => {
            let ran = if status < 400 { Ran::Yes } else { Ran::Unknown };
            Refusal::new(RefusalReason::DuplicateAnswered, ran)
        }
        ClaimState::Unknown => Refusal::new(RefusalReason::DuplicateUnknown, Ran::Unknown),
    }
}
