//! Handling of one request of a caller, from its head to the response.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Instant;

use hyper::Response;
use hyper::body::{Body as _, Incoming};
use hyper::header::{AUTHORIZATION, HOST};
use hyper::http::request::Parts;
use smol_str::SmolStr;
use waxwing_edge::{
    NameHasher, RouteMatch, RoutingTable, Selection, TargetCriteria, TargetKey, hash_bytes,
};
use waxwing_http::{Body, HeaderNames, announce_close};
use waxwing_types::{Millis, RefusalReason, RegionId, RetryReason, ServiceId};

use super::admission;
use super::attempts::Attempts;
use super::crash;
use super::forward::{Attempt, AttemptOutcome, forward};
use super::metric::RequestOutcome;
use super::refusal::Refusal;
use super::request_body::RequestBody;
use super::request_head::{affinity_key, request_id, requested_time, strip_headers};
use super::state::Shared;
use super::stop;

/// Number of buffered bytes of a body above which targets in the failure domain of this VM are preferred.
const LARGE_BODY_BYTES: usize = 16 * 1024;
/// Expected wait until a request that found no usable target may find one.
const NO_TARGET_WAIT: Millis = Millis(50);
/// Maximum number of targets that are tried for a request, including unreachable targets.
const MAX_TRIED_TARGETS: usize = 6;
/// Another attempt starts only if more than this time is left before the deadline.
const MIN_RETRY_TIME: Millis = Millis(20);
/// Percentage of the latency objective after which a response no longer justifies the use of a slot.
const MAX_OBJECTIVE_PERCENT: u64 = 130;

/// A request of a caller. The names are empty until the route and the workspace are known. On routes without a
/// workspace, `workspace_name` stays empty.
pub(crate) struct CallerRequest<'a> {
    shared: &'a Arc<Shared>,
    head: Parts,
    start: Instant,
    /// The time of `start` on the clock of [`Shared`].
    arrived_at: Millis,
    route_name: SmolStr,
    workspace_name: SmolStr,
    /// Whether the body was read to its end.
    is_body_read: bool,
}

/// The routing decisions for an admitted request.
struct RoutedRequest<'t> {
    route_match: RouteMatch<'t>,
    service: ServiceId,
    /// Hash of the affinity key, `None` on routes without affinity.
    affinity_hash: Option<u64>,
    large_body: bool,
    deadline: Millis,
}

impl<'a> CallerRequest<'a> {
    pub(crate) fn new(shared: &'a Arc<Shared>, head: Parts) -> Self {
        Self {
            shared,
            head,
            start: Instant::now(),
            arrived_at: shared.now(),
            route_name: SmolStr::default(),
            workspace_name: SmolStr::default(),
            is_body_read: false,
        }
    }

    /// Handles the request, records its metrics and returns the response.
    pub(crate) async fn respond(mut self, body: Incoming) -> Response<Body> {
        let shared = self.shared;
        self.is_body_read = body.is_end_stream();
        let result = self.serve(body).await;
        let outcome = match &result {
            Ok(response) if response.status().is_server_error() => RequestOutcome::Failed,
            Ok(_) => RequestOutcome::Answered,
            Err(_) => RequestOutcome::Refused,
        };
        let secs = self.start.elapsed().as_secs_f64();
        shared.metrics.record_end(&self.route_name, outcome, secs);
        let mut response = match result {
            Ok(response) => {
                log::debug!(
                    request = request_id(&self.head.headers, self.names()).as_str(), route = self.route_name.as_str(),
                    workspace = self.workspace_name.as_str(), status = response.status().as_u16(),
                    age_ms = shared.now().since(self.arrived_at).0;
                    "request answered"
                );
                response
            }
            Err(refusal) => {
                shared.metrics.count_refusal(refusal.reason);
                log::debug!(
                    reason = refusal.reason.as_str(), request = request_id(&self.head.headers, self.names()).as_str(),
                    route = self.route_name.as_str(), workspace = self.workspace_name.as_str(),
                    path = self.head.uri.path(), age_ms = shared.now().since(self.arrived_at).0,
                    deployment = refusal.deployment.unwrap_or_default(), retry_ms = refusal.retry_after.map_or(0, |time| time.0);
                    "request refused"
                );
                refusal.response(shared)
            }
        };
        if !self.is_body_read {
            announce_close(&mut response);
        }
        response
    }

    async fn serve(&mut self, body: Incoming) -> Result<Response<Body>, Refusal> {
        let shared = self.shared;
        let Some(routing_table) = shared.routing_table_when_loaded() else {
            return Err(Refusal::starting(
                shared,
                requested_time(&self.head.headers, self.names()),
            ));
        };
        let running = shared.running_requests.load(Ordering::Relaxed);
        if running > shared.memory_limits.requests {
            return Err(Refusal::retry(RefusalReason::QueueFull, NO_TARGET_WAIT));
        }
        let route_match = self.match_route(&routing_table)?;
        self.route_name = route_match.route.name.clone();
        if let Some(workspace) = route_match.workspace {
            self.workspace_name = workspace.id.0.clone();
        }
        let deadline = self.deadline(&route_match);
        if let Some(workspace) = route_match.workspace {
            admission::admit(shared, workspace, route_match.route.objective).await?;
        }
        let result = self
            .serve_admitted(body, &routing_table, route_match, deadline)
            .await;
        if let (Err(refusal), Some(workspace)) = (&result, route_match.workspace)
            && refusal.promises_not_run()
        {
            shared.quota().refund(shared.now(), &workspace.id);
        }
        result
    }

    async fn serve_admitted(
        &mut self,
        body: Incoming,
        routing_table: &RoutingTable,
        route_match: RouteMatch<'_>,
        deadline: Millis,
    ) -> Result<Response<Body>, Refusal> {
        let hasher = self.name_hasher(&route_match);
        let mut body = self
            .read_body(body, hasher, routing_table, deadline)
            .await?;
        // A longer body is passed on while it arrives, and the target may answer before its end.
        self.is_body_read = body.is_buffered();
        let routed = self.route_and_strip_request(route_match, deadline, &body)?;
        self.send_with_retries(&routed, &mut body).await
    }

    /// Starts the names of the request with all that precedes its body.
    fn name_hasher(&self, route_match: &RouteMatch<'_>) -> NameHasher {
        let uri = &self.head.uri;
        let target = uri.path_and_query().map_or(uri.path(), |p| p.as_str());
        let workspace = route_match.workspace.map_or("", |w| w.id.as_str());
        NameHasher::new(&[
            self.head.method.as_str().as_bytes(),
            self.host().to_ascii_lowercase().as_bytes(),
            target.as_bytes(),
            workspace.as_bytes(),
        ])
    }

    /// The host that the request names, empty if there is none.
    fn host(&self) -> &str {
        let host = self.head.headers.get(HOST).and_then(|v| v.to_str().ok());
        host.or_else(|| self.head.uri.host()).unwrap_or_default()
    }

    fn match_route<'t>(&self, routing_table: &'t RoutingTable) -> Result<RouteMatch<'t>, Refusal> {
        let key = self.head.headers.get(AUTHORIZATION);
        let key = key.and_then(|v| v.to_str().ok());
        let key = key.and_then(|v| v.strip_prefix(self.shared.dialect.headers().scheme));
        let key = key.and_then(|v| v.strip_prefix(' ')).map(str::trim);
        routing_table
            .match_route(self.host(), self.head.uri.path(), key)
            .map_err(|reason| Refusal::by_deployment(reason, routing_table.version()))
    }

    fn names(&self) -> &HeaderNames {
        self.shared.dialect.headers()
    }

    /// The earlier of the caller's deadline and the timeout of the route.
    fn deadline(&self, route_match: &RouteMatch<'_>) -> Millis {
        let requested = requested_time(&self.head.headers, self.names()).unwrap_or(Millis::MAX);
        self.arrived_at + route_match.route.timeout.min(requested)
    }

    async fn read_body(
        &self,
        body: Incoming,
        hasher: NameHasher,
        routing_table: &RoutingTable,
        deadline: Millis,
    ) -> Result<RequestBody, Refusal> {
        let max_bytes = routing_table.deployment().limits.body_bytes;
        let content_length = self.head.headers.get(hyper::header::CONTENT_LENGTH);
        let content_length = content_length.and_then(|v| v.to_str().ok()?.parse::<u64>().ok());
        if content_length.is_some_and(|bytes| bytes > max_bytes) {
            return Err(Refusal::new(RefusalReason::TooLarge));
        }
        let reading = async {
            let max_bytes = usize::try_from(max_bytes).unwrap_or(usize::MAX);
            let read = RequestBody::read(self.shared, body, hasher, max_bytes).await;
            read.map_err(|_| Refusal::new(RefusalReason::BadRequest))
        };
        let timer = self.shared.deadline_timer(deadline);
        let timed_out = async {
            timer.await;
            Err(Refusal::new(RefusalReason::DeadlineExceeded))
        };
        let stopped = async {
            stop::must_end_reading(self.shared).await;
            Err(Refusal::retry(RefusalReason::Stopping, Millis::ZERO))
        };
        let ended = futures_lite::future::or(timed_out, stopped);
        futures_lite::future::or(reading, ended).await
    }

    fn route_and_strip_request<'t>(
        &mut self,
        route_match: RouteMatch<'t>,
        deadline: Millis,
        body: &RequestBody,
    ) -> Result<RoutedRequest<'t>, Refusal> {
        let service = route_match.select_service(fastrand::f64());
        let service = service.ok_or(Refusal::new(RefusalReason::RouteUnknown))?;
        let affinity_hash =
            affinity_key(&self.head.headers, self.names()).map(|key| hash_bytes(key.as_bytes()));
        let affinity_hash = affinity_hash.filter(|_| route_match.route.affinity);
        strip_headers(&mut self.head.headers, self.shared.dialect.headers());
        Ok(RoutedRequest {
            service: service.clone(),
            route_match,
            affinity_hash,
            large_body: body.prefix_bytes() > LARGE_BODY_BYTES,
            deadline,
        })
    }

    async fn send_with_retries(
        &mut self,
        routed: &RoutedRequest<'_>,
        body: &mut RequestBody,
    ) -> Result<Response<Body>, Refusal> {
        let shared = self.shared;
        let mut attempts = Attempts::default();
        shared
            .budgets()
            .record_request(shared.now(), &routed.service);
        loop {
            if !self.has_time(routed, body.is_buffered()) {
                return Err(attempts.refusal(RefusalReason::Stopping, Millis::ZERO));
            }
            if crash::must_refuse(shared, body.names()) {
                return Err(attempts.quarantined_refusal());
            }
            let (key, selected) = match self.select_target(routed, &attempts.tried) {
                Selection::Selected(key, selected) => (key, selected),
                Selection::Overloaded { retry_after } => {
                    return Err(attempts.refusal(RefusalReason::QueueFull, retry_after));
                }
                Selection::Paused(pause) => return Err(attempts.paused_refusal(pause)),
                Selection::NoTarget => {
                    return Err(attempts.refusal(RefusalReason::NoTarget, NO_TARGET_WAIT));
                }
            };
            log::debug!(
                request = request_id(&self.head.headers, self.names()).as_str(), service = routed.service.as_str(),
                target_id = selected.id.as_str(), address:% = selected.address, region = selected.region.as_str(),
                warmth = selected.warmth.as_str(), wait_ms = selected.expected_wait.0, attempt = attempts.tried.len() + 1,
                left_ms = routed.deadline.since(shared.now()).0;
                "request sent"
            );
            shared.metrics.count_send(selected.warmth);
            let outgoing = body.attempt_body(shared);
            let attempt = Attempt {
                request_head: &self.head,
                service: &routed.service,
                key,
                target: selected,
                workspace: routed.route_match.workspace.map(|w| &w.id),
                deadline: routed.deadline,
                kind: routed.route_match.route.kind,
                names: body.names(),
            };
            let timer = shared.deadline_timer(routed.deadline);
            let outcome = forward(shared, &attempt, outgoing, timer).await;
            attempts.tried.push(key);
            let replayable = body.is_replayable();
            let retry_reason = match outcome {
                AttemptOutcome::Answered(response) => return Ok(response),
                AttemptOutcome::TimedOut => return Err(Refusal::new(RefusalReason::TargetTimeout)),
                AttemptOutcome::Withheld => {
                    // The target has a part of the request and may have begun to run it.
                    return Err(Refusal::new(RefusalReason::TargetFailed));
                }
                AttemptOutcome::Failed(response) => {
                    attempts.record_failed_send(RefusalReason::TargetFailed);
                    if !replayable || !self.may_retry(routed, &attempts) {
                        return Ok(response);
                    }
                    RetryReason::TargetFailed
                }
                AttemptOutcome::NotSent | AttemptOutcome::Unanswered => RetryReason::ConnectFailed,
                AttemptOutcome::Withdrawn => RetryReason::TargetWithdrew,
                AttemptOutcome::NotRun => {
                    attempts.record_failed_send(RefusalReason::TargetsShedding);
                    RetryReason::TargetShed
                }
                AttemptOutcome::NoUsableResponse | AttemptOutcome::ConnectionBroken => {
                    attempts.record_failed_send(RefusalReason::TargetFailed);
                    RetryReason::ConnectionBroken
                }
            };
            if !replayable || !self.may_retry(routed, &attempts) {
                return Err(self.final_refusal(routed, &attempts));
            }
            shared.metrics.count_retry(retry_reason);
            if attempts.send_count > 0 {
                shared.budgets().record_retry(shared.now(), &routed.service);
            }
        }
    }

    /// Whether the request can be expected to end before this process does.
    fn has_time(&self, routed: &RoutedRequest<'_>, is_body_read: bool) -> bool {
        let (service, deadline) = (&routed.service, routed.deadline);
        stop::has_time_for_request(self.shared, service, deadline, is_body_read)
    }

    /// The refusal of a request for which no further attempt is allowed.
    fn final_refusal(&self, routed: &RoutedRequest<'_>, attempts: &Attempts) -> Refusal {
        let region_allowed = |region: &RegionId| routed.route_match.allows_region(region);
        let now = self.shared.now();
        let pause = self
            .shared
            .targets()
            .pause(now, &routed.service, &region_allowed);
        pause.map_or_else(
            || attempts.refusal(RefusalReason::NoTarget, NO_TARGET_WAIT),
            |pause| attempts.paused_refusal(pause),
        )
    }

    fn select_target(&self, routed: &RoutedRequest<'_>, tried: &[TargetKey]) -> Selection {
        let shared = self.shared;
        let now = shared.now();
        let objective = routed.route_match.route.objective;
        let useful_until = self.arrived_at + Millis(objective.0 * MAX_OBJECTIVE_PERCENT / 100);
        let region_allowed = |region: &RegionId| routed.route_match.allows_region(region);
        let criteria = TargetCriteria {
            service: &routed.service,
            affinity_hash: routed.affinity_hash,
            large_body: routed.large_body,
            region_allowed: &region_allowed,
            tried,
            // A request also waits for a slot no longer than a stopping process can return its response.
            time_left: useful_until
                .min(routed.deadline)
                .min(shared.stop.last_response_at())
                .since(now),
            latency_objective: objective,
            priority: routed.route_match.priority(),
        };
        let mut rng = fastrand::Rng::new();
        shared.targets().select(now, &criteria, &mut rng)
    }

    /// Whether another attempt is allowed. Attempts that reached no target do not use up the retry budget.
    fn may_retry(&self, routed: &RoutedRequest<'_>, attempts: &Attempts) -> bool {
        let shared = self.shared;
        let now = shared.now();
        let route = routed.route_match.route;
        if attempts.may_have_run() && !route.kind.is_idempotent() {
            return false;
        }
        if now + MIN_RETRY_TIME >= routed.deadline || attempts.tried.len() >= MAX_TRIED_TARGETS {
            return false;
        }
        if attempts.send_count == 0 {
            return true;
        }
        if !self.has_time(routed, true) {
            return false;
        }
        let vms = shared.fleet().vm_count();
        attempts.send_count < route.attempts
            && shared.budgets().allows_retry(now, &routed.service, vms)
    }
}
