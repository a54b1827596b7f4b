//! What is known of the attempts of one request.

use waxwing_edge::TargetKey;
use waxwing_types::{Millis, RefusalReason};

use super::answer::Refusal;

/// The attempts of one request so far.
#[derive(Default)]
pub(super) struct Attempts {
    /// Targets to which it was sent or which could not be reached.
    pub(super) tried: Vec<TargetKey>,
    /// Targets to which it was sent.
    pub(super) sends: u32,
    /// Why the last target did not answer. Once the request may have run, that reason stays.
    last: Option<RefusalReason>,
}

impl Attempts {
    /// Notes an attempt that reached a target.
    pub(super) fn sent(&mut self, reason: RefusalReason) {
        self.sends += 1;
        if !self.may_have_run() {
            self.last = Some(reason);
        }
    }

    /// Whether a target may have run the request.
    pub(super) fn may_have_run(&self) -> bool {
        self.last == Some(RefusalReason::TargetFailed)
    }

    /// What the caller is told when no further attempt is made, for `reason` if none reached a target.
    pub(super) fn refusal(&self, reason: RefusalReason, wait: Millis) -> Refusal {
        if self.may_have_run() {
            return Refusal::new(RefusalReason::TargetFailed);
        }
        Refusal::after(self.last.unwrap_or(reason), wait)
    }
}
