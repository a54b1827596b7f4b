//! Error responses of the daemon itself.

use hyper::header::{CONNECTION, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use waxwing_http::{Body, empty};
use waxwing_types::{Millis, RefusalReason};

use super::state::Shared;

/// Why the daemon refuses a request, and when the caller may retry it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Refusal {
    pub(crate) reason: RefusalReason,
    /// Value of `Retry-After`. Set only if no target has run the request.
    pub(crate) retry_after: Option<Millis>,
}

impl Refusal {
    /// A refusal without `Retry-After`.
    pub(crate) const fn new(reason: RefusalReason) -> Self {
        Self {
            reason,
            retry_after: None,
        }
    }

    /// A refusal of a request that may be retried after a time.
    pub(crate) const fn after(reason: RefusalReason, retry_after: Millis) -> Self {
        Self {
            reason,
            retry_after: Some(retry_after),
        }
    }

    /// Builds the response. Status 408, 429 and 503 guarantee that the request has not run and will not
    /// run; 502 and 504 guarantee nothing.
    pub(crate) fn response(self, shared: &Shared) -> Response<Body> {
        let mut response = Response::new(empty());
        *response.status_mut() = status_code(self.reason);
        let headers = response.headers_mut();
        if let Some(retry_after) = self.retry_after
            && let Ok(value) = HeaderValue::from_str(&shared.dialect.retry_after(retry_after))
        {
            headers.insert(RETRY_AFTER, value);
        }
        if shared.is_stopping() {
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }
}

const fn status_code(reason: RefusalReason) -> StatusCode {
    match reason {
        RefusalReason::BadRequest | RefusalReason::IdempotencyKeyMissing => StatusCode::BAD_REQUEST,
        RefusalReason::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        RefusalReason::KeyMissing | RefusalReason::KeyInvalid => StatusCode::UNAUTHORIZED,
        RefusalReason::ServiceUnknown | RefusalReason::RouteUnknown => StatusCode::NOT_FOUND,
        RefusalReason::RateLimited => StatusCode::TOO_MANY_REQUESTS,
        RefusalReason::ConfigStale
        | RefusalReason::RegionFull
        | RefusalReason::LinkFull
        | RefusalReason::QueueFull
        | RefusalReason::DeadlineExceeded
        | RefusalReason::NoTarget
        | RefusalReason::TargetsShedding
        | RefusalReason::ClaimUnavailable
        | RefusalReason::DuplicateInFlight
        | RefusalReason::DuplicateAnswered
        | RefusalReason::DuplicateUnknown
        | RefusalReason::Quarantined
        | RefusalReason::Stopping => StatusCode::SERVICE_UNAVAILABLE,
        RefusalReason::TargetFailed => StatusCode::BAD_GATEWAY,
        RefusalReason::TargetTimeout => StatusCode::GATEWAY_TIMEOUT,
    }
}
