//! Answers that the daemon gives itself.

use hyper::header::{CONNECTION, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use waxwing_http::{Body, empty};
use waxwing_types::{Millis, RefusalReason};

use super::state::Shared;

/// A refusal on its way to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Refusal {
    pub(crate) reason: RefusalReason,
    /// Time after which a new attempt makes sense. Only for a request that has not run.
    pub(crate) wait: Option<Millis>,
}

impl Refusal {
    pub(crate) const fn new(reason: RefusalReason) -> Self {
        Self { reason, wait: None }
    }

    pub(crate) const fn after(reason: RefusalReason, wait: Millis) -> Self {
        Self {
            reason,
            wait: Some(wait),
        }
    }

    /// The response. 408, 429 and 503 promise that the request has not run and never will; 502 and 504
    /// promise nothing.
    pub(crate) fn response(self, shared: &Shared) -> Response<Body> {
        let mut response = Response::new(empty());
        *response.status_mut() = status(self.reason);
        let headers = response.headers_mut();
        if let Some(wait) = self.wait
            && let Ok(value) = HeaderValue::from_str(&shared.dialect.retry_after(wait))
        {
            headers.insert(RETRY_AFTER, value);
        }
        if shared.is_stopping() {
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }
}

const fn status(reason: RefusalReason) -> StatusCode {
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
