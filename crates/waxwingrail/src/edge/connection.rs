//! Which connections to a target carry a request, and what is learned from them.

use std::sync::{Arc, Mutex, PoisonError};

use hyper::header::HeaderValue;
use hyper::{Method, Request, Response, StatusCode};
use smol_str::SmolStr;
use waxwing_edge::{ConnectionUse, HealthAnswer, TargetOutcome};
use waxwing_http::{Admission, Body, ConnectionPolicy, Verdict, empty};
use waxwing_types::Millis;

use super::alerts;
use super::forward::{Attempt, set_header};
use super::metric::HealthCheck;
use super::state::Shared;

/// The connections for one attempt. A new connection may lead to a later process than the known one. Unless that one was heard of
/// just before, the process at the other end is asked by a health check whether it is cold.
pub(super) struct TargetConnections<'a> {
    shared: &'a Arc<Shared>,
    attempt: &'a Attempt<'a>,
    /// Path of health checks. `None`: the service has none, and entries alone tell whether a target is cold.
    health_path: Option<SmolStr>,
    /// Why the target got no request after a health check.
    refusal: Mutex<Option<TargetOutcome>>,
}

impl<'a> TargetConnections<'a> {
    pub(super) fn new(shared: &'a Arc<Shared>, attempt: &'a Attempt<'a>) -> Self {
        let table = shared.routing_table();
        let service = table.as_ref().and_then(|t| t.service(attempt.service));
        let health_path = service.map(|service| service.health.clone());
        Self {
            shared,
            attempt,
            health_path: health_path.filter(|path| !path.is_empty()),
            refusal: Mutex::default(),
        }
    }

    /// The outcome of an attempt that ended with a health check: another target answered, or the target did not say whether it
    /// is cold.
    pub(super) fn refusal(&self) -> Option<TargetOutcome> {
        *self.refusal.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn refuse(&self, outcome: TargetOutcome) {
        *self.refusal.lock().unwrap_or_else(PoisonError::into_inner) = Some(outcome);
    }

    fn health_check(&self, path: &str) -> Option<Request<Body>> {
        let mut request = Request::new(empty());
        *request.method_mut() = Method::GET;
        *request.uri_mut() = path.parse().ok()?;
        let name = &self.shared.dialect.headers().instance;
        set_header(request.headers_mut(), name, self.attempt.target.id.as_str());
        Some(request)
    }

    /// What a process says in the answer to a health check, `None` if it is another target.
    fn read_answer(&self, response: &Response<()>) -> Option<HealthAnswer> {
        let names = self.shared.dialect.headers();
        let id = response.headers().get(&names.target_id);
        let is_other =
            id.is_some_and(|id| id.as_bytes() != self.attempt.target.id.as_str().as_bytes());
        if is_other || response.status() == StatusCode::MISDIRECTED_REQUEST {
            return None;
        }
        let Some(cold_left) = response.headers().get(&names.cold_left) else {
            return Some(match response.status() {
                // The target has no health checks; its entry alone tells whether it is cold.
                StatusCode::NOT_FOUND | StatusCode::NOT_IMPLEMENTED => HealthAnswer::Warm,
                status if status.is_success() => HealthAnswer::Warm,
                // A target that is full rejects health checks as well, and one that is not healthy yet may be starting.
                _ => HealthAnswer::Unclear,
            });
        };
        Some(match parse_millis(cold_left) {
            Some(Millis::ZERO) => HealthAnswer::Warm,
            Some(left) => HealthAnswer::Cold(left),
            None => HealthAnswer::Unclear,
        })
    }
}

impl ConnectionPolicy for TargetConnections<'_> {
    fn allows_unvalidated(&self) -> bool {
        let (shared, attempt) = (self.shared, self.attempt);
        let now = shared.now();
        shared
            .targets()
            .is_sent_cold(now, attempt.key, &attempt.target)
    }

    fn admit(&self) -> Admission {
        let (shared, attempt) = (self.shared, self.attempt);
        let now = shared.now();
        let connection_use = shared
            .targets()
            .admit_connection(now, attempt.key, &attempt.target);
        let path = self.health_path.as_ref();
        match connection_use {
            ConnectionUse::Unknown => {
                let check = path.and_then(|path| self.health_check(path));
                check.map_or(Admission::Decided(Verdict::Validate), |check| {
                    Admission::Ask(Box::new(check))
                })
            }
            decided => Admission::Decided(verdict(decided)),
        }
    }

    fn judge(&self, response: &Response<()>) -> Verdict {
        let (shared, target) = (self.shared, &self.attempt.target);
        let Some(answer) = self.read_answer(response) else {
            shared.metrics.count_health_check(HealthCheck::OtherTarget);
            self.refuse(TargetOutcome::Misdirected);
            return Verdict::Withdraw;
        };
        shared.metrics.count_health_check(answer.into());
        if answer == HealthAnswer::Unclear {
            self.refuse(TargetOutcome::Shed);
        }
        let now = shared.now();
        let connection_use =
            shared
                .targets()
                .on_health_answer(now, self.attempt.key, target, answer);
        if let HealthAnswer::Cold(left) = answer {
            log::info!(
                target_id = target.id.as_str(), incarnation = target.incarnation.0, cold_ms = left.0;
                "target is cold"
            );
            alerts::send_soon(shared);
        }
        verdict(connection_use)
    }

    fn on_closed(&self) {
        let now = self.shared.now();
        self.shared.targets().on_idle_closed(now, self.attempt.key);
    }
}

/// What the use of a connection means for its client. A connection of unknown use carries nothing.
const fn verdict(connection_use: ConnectionUse) -> Verdict {
    match connection_use {
        ConnectionUse::Known => Verdict::Validate,
        ConnectionUse::Cold => Verdict::UseOnce,
        ConnectionUse::Unknown | ConnectionUse::Withdrawn => Verdict::Withdraw,
    }
}

/// Reads milliseconds, with or without a fraction.
fn parse_millis(value: &HeaderValue) -> Option<Millis> {
    let millis: f64 = value.to_str().ok()?.trim().parse().ok()?;
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the cast saturates"
    )]
    (millis.is_finite() && millis >= 0.0).then(|| Millis(millis.ceil() as u64))
}
