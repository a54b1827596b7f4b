//! Error responses that the daemon itself gives to requests that it refuses.

use waxwing_types::{Millis, Ran, RefusalReason, common_derives};

/// Default and minimum delay that callers are told to wait before they retry.
const DEFAULT_RETRY_AFTER: Millis = Millis::from_secs(1);

common_derives! {
    copy
    /// Error response to the caller of a refused request.
    pub struct Refusal {
        /// Reason of the refusal.
        pub reason: RefusalReason,
        /// Whether a target ran the request.
        pub ran: Ran,
        /// HTTP status.
        pub status: u16,
        /// Delay before the caller should retry. `None`: a retry cannot succeed.
        pub retry_after: Option<Millis>,
    }
}

impl Refusal {
    /// Creates a refusal with the status and the default retry delay for the reason.
    pub const fn new(reason: RefusalReason, ran: Ran) -> Self {
        Self {
            reason,
            ran,
            status: status(reason),
            retry_after: if is_transient(reason) {
                Some(DEFAULT_RETRY_AFTER)
            } else {
                None
            },
        }
    }

    /// Sets the retry delay to `delay`, or to the default if `delay` is shorter.
    #[must_use]
    pub fn with_retry_after(self, delay: Millis) -> Self {
        Self {
            retry_after: Some(delay.max(DEFAULT_RETRY_AFTER)),
            ..self
        }
    }
}

/// HTTP status of the response for a refusal reason.
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
        | RefusalReason::TargetsPaused
        | RefusalReason::ClaimUnavailable
        | RefusalReason::Stopping => 503,
        RefusalReason::DeadlineExceeded | RefusalReason::TargetTimeout => 504,
    }
}

/// Whether the same request may succeed if the caller sends it again later.
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
        | RefusalReason::TargetsPaused
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
