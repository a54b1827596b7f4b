//! Record of the attempts to forward one request to targets.

use waxwing_edge::{Pause, TargetKey};
use waxwing_types::{Millis, RefusalReason};

use super::refusal::Refusal;

/// The failed attempts so far to forward one request.
#[derive(Default)]
pub(super) struct Attempts {
    /// Targets that were selected for the request, including those that could not be reached.
    pub(super) tried: Vec<TargetKey>,
    /// Number of targets to which the request was sent.
    pub(super) send_count: u32,
    /// Why the last send failed, `None` before the first failure. Once a target may have run the request, the
    /// reason stays `TargetFailed`.
    last_failure: Option<RefusalReason>,
}

impl Attempts {
    /// Records a failed attempt in which the request was sent to a target.
    pub(super) fn record_failed_send(&mut self, reason: RefusalReason) {
        self.send_count += 1;
        if !self.may_have_run() {
            self.last_failure = Some(reason);
        }
    }

    /// Whether a target may have run the request.
    pub(super) fn may_have_run(&self) -> bool {
        self.last_failure == Some(RefusalReason::TargetFailed)
    }

    /// The refusal to return when no target is left, because targets asked for a pause.
    pub(super) fn paused_refusal(&self, pause: Pause) -> Refusal {
        if self.may_have_run() {
            return Refusal::new(RefusalReason::TargetFailed);
        }
        let reason = self.last_failure.unwrap_or(RefusalReason::TargetsPaused);
        Refusal::after_pause(reason, pause)
    }

    /// The refusal of a request that is quarantined.
    pub(super) fn quarantined_refusal(&self) -> Refusal {
        Refusal::new(if self.may_have_run() {
            RefusalReason::TargetFailed
        } else {
            RefusalReason::Quarantined
        })
    }

    /// The refusal to return when no further attempt is made. The reason is that of the last failed send, or
    /// `fallback_reason` if the request was sent to no target. `retry_after` is ignored if a target may have
    /// run the request.
    pub(super) fn refusal(&self, fallback_reason: RefusalReason, retry_after: Millis) -> Refusal {
        if self.may_have_run() {
            return Refusal::new(RefusalReason::TargetFailed);
        }
        Refusal::retry(self.last_failure.unwrap_or(fallback_reason), retry_after)
    }
}
