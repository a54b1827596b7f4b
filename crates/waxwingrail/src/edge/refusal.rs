//! Error responses that the daemon creates itself, instead of passing on the response of a target.

use hyper::header::{HeaderName, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use waxwing_edge::{Pause, pause_retry_after, spread_retry_after, startup_retry_after};
use waxwing_http::{Body, announce_close, empty};
use waxwing_types::{Millis, RefusalReason};

use super::state::Shared;

/// Header of a refusal by the deployment, with the version in force.
const DEPLOYMENT_HEADER: HeaderName = HeaderName::from_static("waxwing-deployment");

/// Why the daemon refuses a request, and when the caller may retry it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Refusal {
    pub(crate) reason: RefusalReason,
    /// Time after which the caller may retry, for the `Retry-After` header. Set only if no target has run
    /// the request.
    pub(crate) retry_after: Option<Millis>,
    /// Version of the deployment by which the request is refused; `None` for other reasons.
    pub(crate) deployment: Option<u64>,
}

impl Refusal {
    /// Creates a refusal without `Retry-After`.
    pub(crate) const fn new(reason: RefusalReason) -> Self {
        Self {
            reason,
            retry_after: None,
            deployment: None,
        }
    }

    /// Creates a refusal of a request that a version of the deployment does not allow.
    pub(crate) const fn by_deployment(reason: RefusalReason, version: u64) -> Self {
        Self {
            deployment: Some(version),
            ..Self::new(reason)
        }
    }

    /// Creates a refusal of a request that is expected to be served after a time. Callers that are refused together are
    /// told different times.
    pub(crate) fn retry(reason: RefusalReason, expected_wait: Millis) -> Self {
        Self {
            reason,
            retry_after: Some(spread_retry_after(expected_wait, fastrand::f64())),
            deployment: None,
        }
    }

    /// Creates a refusal of a request to a service that is in a pause.
    pub(crate) fn after_pause(reason: RefusalReason, pause: Pause) -> Self {
        Self {
            reason,
            retry_after: Some(pause_retry_after(pause, fastrand::f64())),
            deployment: None,
        }
    }

    /// Creates a refusal while this VM loads its state. `caller_time` is the time that the caller waits for a response.
    pub(crate) fn starting(shared: &Shared, caller_time: Option<Millis>) -> Self {
        // If only some VMs are starting, other VMs serve the caller at once.
        if shared.fleet().is_earlier_vm_ready() {
            return Self::retry(RefusalReason::ConfigStale, Millis::ZERO);
        }
        let retry_after = startup_retry_after(shared.age(), caller_time, fastrand::f64());
        Self {
            reason: RefusalReason::ConfigStale,
            retry_after: Some(retry_after),
            deployment: None,
        }
    }

    /// Whether no target has run the request or will run it.
    pub(crate) fn promises_not_run(self) -> bool {
        !matches!(
            status_code(self.reason),
            StatusCode::BAD_GATEWAY | StatusCode::GATEWAY_TIMEOUT
        )
    }

    /// Builds the response. Status 429 and 503 guarantee that no target has run this request or will run it.
    /// After 502 and 504, a target may have run it.
    pub(crate) fn response(self, shared: &Shared) -> Response<Body> {
        let mut response = Response::new(empty());
        *response.status_mut() = status_code(self.reason);
        let headers = response.headers_mut();
        // The format of the time differs between platforms. `Dialect` implements the platform's HTTP interface.
        if let Some(retry_after) = self.retry_after
            && let Ok(value) = HeaderValue::from_str(&shared.dialect.retry_after(retry_after))
        {
            headers.insert(RETRY_AFTER, value);
        }
        if let Some(version) = self.deployment {
            headers.insert(DEPLOYMENT_HEADER, version.into());
        }
        if shared.is_stopping() {
            announce_close(&mut response);
        }
        response
    }
}

/// The HTTP status for a reason. Other daemons use the same reasons. The edge daemon itself never uses
/// `ServiceUnknown`, `RegionFull` and `LinkFull`, and none of the reasons about idempotency keys:
/// `IdempotencyKeyMissing`, `ClaimUnavailable` (the use of a key could not be recorded), `DuplicateInFlight`,
/// `DuplicateAnswered` and `DuplicateUnknown` (an earlier request with the same key may have run).
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
        | RefusalReason::TargetsPaused
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
