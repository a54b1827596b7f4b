//! The answer of the daemon itself to a request that it refuses.

use waxwing_types::{Millis, Ran, RefusalReason, common_derives};

/// Pause proposed to callers where nothing better is known.
const RETRY_AFTER: Millis = Millis::from_secs(1);

common_derives! {
    copy
    /// A refusal as the caller sees it.
    pub struct Refusal {
        /// Why.
        pub reason: RefusalReason,
        /// Whether the request ran.
        pub ran: Ran,
        /// HTTP status.
        pub status: u16,
        /// Pause before another attempt makes sense. `None`: another attempt makes no sense.
        pub retry_after: Option<Millis>,
    }
}

impl Refusal {
    /// A refusal with the status and the pause that belong to the reason.
    pub const fn new(reason: RefusalReason, ran: Ran) -> Self {
        Self {
            reason,
            ran,
            status: status(reason),
            retry_after: if is_transient(reason) {
                Some(RETRY_AFTER)
            } else {
                None
            },
        }
    }

    /// The refusal with a better known pause.
    #[must_use]
    pub fn with_retry_after(self, pause: Millis) -> Self {
        Self {
            retry_after: Some(pause.max(RETRY_AFTER)),
            ..self
        }
    }
}

const fn status(reason: RefusalReason) -> u16 {
    match reason {
        RefusalReason::BadRequest | RefusalReason::IdempotencyKeyMissing => 400,
        RefusalReason::KeyMissing | RefusalReason::KeyInvalid => 401,
        RefusalReason::ServiceUnknown | RefusalReason::RouteUnknown => 404,
        RefusalReason::DuplicateInFlight
        | RefusalReason::DuplicateAnswered
        | RefusalReason::DuplicateUnknown => 409,
        RefusalReason::TooLarge => 413,
        RefusalReason::Quarantined => 422,
        RefusalReason::RateLimited => 429,
        RefusalReason::TargetFailed => 502,
        RefusalReason::ConfigStale
        | RefusalReason::RegionFull
        | RefusalReason::LinkFull
        | RefusalReason::QueueFull
        | RefusalReason::NoTarget
        | RefusalReason::TargetsShedding
        | RefusalReason::ClaimUnavailable
        | RefusalReason::Stopping => 503,
        RefusalReason::DeadlineExceeded | RefusalReason::TargetTimeout => 504,
    }
}

/// Whether the same request may succeed later.
const fn is_transient(reason: RefusalReason) -> bool {
    match reason {
        RefusalReason::ConfigStale
        | RefusalReason::RateLimited
        | RefusalReason::RegionFull
        | RefusalReason::LinkFull
        | RefusalReason::QueueFull
        | RefusalReason::DeadlineExceeded
        | RefusalReason::NoTarget
        | RefusalReason::TargetsShedding
        | RefusalReason::ClaimUnavailable
        | RefusalReason::DuplicateInFlight
        | RefusalReason::Stopping => true,
        RefusalReason::BadRequest
        | RefusalReason::TooLarge
        | RefusalReason::KeyMissing
        | RefusalReason::KeyInvalid
        | RefusalReason::ServiceUnknown
        | RefusalReason::RouteUnknown
        | RefusalReason::IdempotencyKeyMissing
        | RefusalReason::TargetFailed
        | RefusalReason::TargetTimeout
        | RefusalReason::DuplicateAnswered
        | RefusalReason::DuplicateUnknown
        | RefusalReason::Quarantined => false,
    }
}
