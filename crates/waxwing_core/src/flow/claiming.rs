//! The idempotency record of the request.

use waxwing_types::{Millis, Ran, RefusalReason};

use super::{Closing, Flow, FlowAction, Phase, Refusal, Step, StoreOutcome};
use crate::{ClaimState, ClaimStep, StoreCall};

/// First pause before the final state of a record is written again; doubles each time.
const RETRY_PAUSE: Millis = Millis(250);
/// Writes of a final state that fail before the record is left as it is, after about 16 s.
const MAX_WRITES: u32 = 7;

impl Flow {
    pub(super) fn on_store(&mut self, ctx: &mut Step<'_, '_>, outcome: StoreOutcome) {
        let Some(claim) = &mut self.claim else {
            return;
        };
        match claim.on_store_outcome(outcome) {
            ClaimStep::Call(call) => ctx.call(claim.path(), call),
            ClaimStep::Acquired => self.proceed(ctx),
            ClaimStep::Duplicate(state) => {
                self.claim = None;
                self.refuse_with(ctx, duplicate(state));
            }
            ClaimStep::Unavailable => self.on_unavailable(ctx),
            ClaimStep::FinalizeFailed => self.on_delayed(ctx),
            ClaimStep::Finalized => self.finish(ctx),
        }
    }

    /// Writes the final state of the record, if there is one, and answers with `refusal`.
    ///
    /// A record that is released is written first, so that a caller who sends the request again at
    /// once does not find it taken.
    pub(super) fn close(
        &mut self,
        ctx: &mut Step<'_, '_>,
        state: ClaimState,
        refusal: Option<Refusal>,
    ) {
        let Some(claim) = &mut self.claim else {
            ctx.refuse(refusal);
            self.phase = Phase::Finished;
            return;
        };
        if let Some(call) = claim.finalize(state) {
            ctx.call(claim.path(), call);
        }
        let wait = state == ClaimState::Released && ctx.now < self.deadline;
        if wait {
            ctx.out.push(FlowAction::SetTimer(self.deadline));
        } else {
            ctx.refuse(refusal);
        }
        self.phase = Phase::Closing(Closing {
            refusal: refusal.filter(|_| wait),
            ..Closing::default()
        });
    }

    /// Writes the final state again, if its time has come.
    pub(super) fn on_closing_timer(&mut self, ctx: &mut Step<'_, '_>) {
        let (Phase::Closing(closing), Some(claim)) = (&mut self.phase, &mut self.claim) else {
            return;
        };
        if ctx.now >= self.deadline {
            ctx.refuse(closing.refusal.take());
        }
        match closing.next {
            Some(next) if ctx.now >= next => {
                closing.next = None;
                let call = claim.retry_finalize();
                ctx.call(claim.path(), call);
            }
            Some(next) => ctx.out.push(FlowAction::SetTimer(next)),
            None => {}
        }
    }

    /// The store did not answer while the record was being claimed. A write that took effect is
    /// undone later, because it would block the key.
    fn on_unavailable(&mut self, ctx: &mut Step<'_, '_>) {
        let refusal = Refusal::new(RefusalReason::ClaimUnavailable, Ran::No);
        ctx.refuse(Some(refusal));
        if let Some(claim) = &mut self.claim {
            // The call is made by the timer, when the store has had time to recover.
            claim.finalize(ClaimState::Released);
        }
        self.phase = Phase::Closing(Closing::default());
        self.on_delayed(ctx);
    }

    fn on_delayed(&mut self, ctx: &mut Step<'_, '_>) {
        let Phase::Closing(closing) = &mut self.phase else {
            return;
        };
        ctx.refuse(closing.refusal.take());
        closing.writes += 1;
        if closing.writes >= MAX_WRITES {
            self.phase = Phase::Finished;
            return;
        }
        let next = ctx.now + Millis(RETRY_PAUSE.0 << (closing.writes - 1));
        closing.next = Some(next);
        ctx.out.push(FlowAction::SetTimer(next));
    }

    fn finish(&mut self, ctx: &mut Step<'_, '_>) {
        if let Phase::Closing(closing) = &mut self.phase {
            ctx.refuse(closing.refusal.take());
        }
        self.phase = Phase::Finished;
    }
}

impl Step<'_, '_> {
    pub(super) fn call(&mut self, path: &str, call: StoreCall) {
        let path = path.to_owned();
        self.out.push(match call {
            StoreCall::Create(value) => FlowAction::CreateRecord { path, value },
            StoreCall::Read => FlowAction::ReadRecord { path },
            StoreCall::Update(version, value) => FlowAction::UpdateRecord {
                path,
                version,
                value,
            },
        });
    }

    pub(super) fn refuse(&mut self, refusal: Option<Refusal>) {
        self.out.extend(refusal.map(FlowAction::Refuse));
    }
}

/// What a duplicate is told.
fn duplicate(state: ClaimState) -> Refusal {
    match state {
        ClaimState::InFlight | ClaimState::Released => {
            Refusal::new(RefusalReason::DuplicateInFlight, Ran::Unknown)
        }
        // A target may answer with an error status without having run the request.
        ClaimState::Answered(status) => {
            let ran = if status < 400 { Ran::Yes } else { Ran::Unknown };
            Refusal::new(RefusalReason::DuplicateAnswered, ran)
        }
        ClaimState::Unknown => Refusal::new(RefusalReason::DuplicateUnknown, Ran::Unknown),
    }
}
