//! One attempt to forward a request of a caller to a target.

use std::sync::Arc;

use async_io::Timer;
use hyper::body::Body as _;
use hyper::header::{CONTENT_ENCODING, HeaderName, HeaderValue};
use hyper::http::request::Parts;
use hyper::{HeaderMap, Request, Response, StatusCode};
use waxwing_edge::{LoadReport, SelectedTarget, TargetKey, TargetOutcome, hash_bytes, mix64};
use waxwing_http::{
    Body, CoarseSleep, ConnectionInfo, Endpoint, ResponseId, Returned, SendError,
    remove_hop_headers, streamed,
};
use waxwing_records::RunKind;
use waxwing_types::{Millis, ServiceId, WorkspaceId};

use super::alerts;
use super::body::{BodyGuard, TimedBody, buffer_body};
use super::connection::TargetConnections;
use super::crash;
use super::handlers::RunningRequestGuard;
use super::memory::SMALL_BODY_BYTES;
use super::metric::HealthCheck;
use super::notice::apply_notice;
use super::request_names::RequestNames;
use super::state::Shared;

/// Number of buffered bytes of a response above which buffering ends and the response is passed on. If the connection
/// breaks before, an idempotent request can be sent to another target.
pub(super) const RESPONSE_BUFFER_BYTES: usize = 256 * 1024;
/// Time by which a target's deadline precedes the deadline of the caller, so that the response can reach the
/// caller in time.
const DEADLINE_MARGIN: Millis = Millis(5);
/// Time for the rest of a refusal to arrive. The next attempt waits for it.
const REFUSAL_REST_TIME: Millis = Millis(10);

/// A request and the target to send it to.
pub(crate) struct Attempt<'a> {
    pub(crate) request_head: &'a Parts,
    pub(crate) service: &'a ServiceId,
    /// Key of `target` in the target pool.
    pub(crate) key: TargetKey,
    pub(crate) target: SelectedTarget,
    pub(crate) workspace: Option<&'a WorkspaceId>,
    /// Deadline of the request, on the clock of [`Shared`].
    pub(crate) deadline: Millis,
    /// Whether the request may run more than once.
    pub(crate) kind: RunKind,
    /// The names by which a request that crashes targets is recognized.
    pub(crate) names: &'a RequestNames,
}

/// The result of an attempt.
pub(crate) enum AttemptOutcome {
    /// The response to return to the caller.
    Answered(Response<Body>),
    /// A 5xx response of the target to an idempotent request. The request may be retried.
    Failed(Response<Body>),
    /// No byte of the request was sent.
    NotSent,
    /// No byte of the request was sent, because the target left, asked for a pause or turned out to be cold meanwhile.
    Withdrawn,
    /// No byte of the request was sent, because the target did not answer a health check.
    Unanswered,
    /// The target stated that it did not run the request.
    NotRun,
    /// The response lacks the id of the request or a status of 200 to 599, has a content encoding, or would promise to the
    /// caller what its target has not stated. The request may have run.
    NoUsableResponse,
    /// The connection broke. The request may have run.
    ConnectionBroken,
    /// The end of the body was not passed on, because the request turned out to be quarantined. The request may have run.
    Withheld,
    /// No response arrived before the deadline.
    TimedOut,
}

/// Guard for the slot that a request occupies at its target. If the guard is dropped before the slot is released,
/// the caller has disconnected, and the request counts as cancelled unless its response was already being passed on.
struct TargetSlot {
    shared: Arc<Shared>,
    key: TargetKey,
    started_at: Millis,
    /// Whether the slot is still occupied.
    occupied: bool,
    /// The outcome with which the slot is released if the guard is dropped.
    drop_outcome: TargetOutcome,
    /// Counts a response that is passed on while it arrives.
    _streaming: Option<RunningRequestGuard>,
}

impl TargetSlot {
    /// Releases the slot with the outcome of the request. Later calls do nothing.
    fn release(&mut self, outcome: TargetOutcome) {
        if std::mem::take(&mut self.occupied) {
            let now = self.shared.now();
            self.shared.targets().on_request_end(now, self.key, outcome);
            alerts::send_soon(&self.shared);
        }
    }

    /// Moves the slot into a new guard for a response that is passed on. The new guard releases the slot with
    /// `outcome` when it is dropped.
    fn move_to_body(&mut self, outcome: TargetOutcome) -> Self {
        Self {
            shared: Arc::clone(&self.shared),
            key: self.key,
            started_at: self.started_at,
            occupied: std::mem::take(&mut self.occupied),
            drop_outcome: outcome,
            _streaming: Some(RunningRequestGuard::new(&self.shared)),
        }
    }

    /// Time since the start of the attempt.
    fn latency(&self) -> Millis {
        self.shared.now().since(self.started_at)
    }
}

impl Drop for TargetSlot {
    fn drop(&mut self) {
        self.release(self.drop_outcome);
    }
}

/// A response that is passed on while it arrives.
struct StreamedAnswer {
    slot: TargetSlot,
    target: SelectedTarget,
    names: RequestNames,
    /// Whether the response shows that the request ran.
    ran: bool,
}

impl BodyGuard for StreamedAnswer {
    fn on_end(&mut self, is_whole: bool) {
        let shared = &self.slot.shared;
        if !is_whole {
            self.slot.drop_outcome = TargetOutcome::ConnectionBroken;
            crash::on_connection_broken(shared, &self.target, &self.names);
        } else if self.ran {
            crash::on_answer(shared, &self.names);
        }
    }
}

/// Sends the request to the target and waits for the response until `timer` ends, at the deadline of the
/// request.
pub(crate) async fn forward(
    shared: &Arc<Shared>,
    attempt: &Attempt<'_>,
    body: Body,
    timer: CoarseSleep,
) -> AttemptOutcome {
    let mut slot = TargetSlot {
        shared: Arc::clone(shared),
        key: attempt.key,
        started_at: shared.now(),
        occupied: true,
        drop_outcome: TargetOutcome::Cancelled,
        _streaming: None,
    };
    let request = build_request(shared, attempt, body);
    let timed_out = async {
        timer.await;
        AttemptOutcome::TimedOut
    };
    let response = send_and_receive(shared, attempt, request, &mut slot);
    let outcome = futures_lite::future::or(response, timed_out).await;
    match &outcome {
        AttemptOutcome::TimedOut | AttemptOutcome::Unanswered => {
            slot.release(TargetOutcome::TimedOut);
        }
        AttemptOutcome::NoUsableResponse => slot.release(TargetOutcome::NoUsableResponse),
        AttemptOutcome::ConnectionBroken => {
            slot.release(TargetOutcome::ConnectionBroken);
            crash::on_connection_broken(shared, &attempt.target, attempt.names);
        }
        AttemptOutcome::Withdrawn | AttemptOutcome::Withheld => {
            slot.release(TargetOutcome::Cancelled);
        }
        AttemptOutcome::NotSent => slot.release(TargetOutcome::ConnectFailed),
        AttemptOutcome::Answered(_) | AttemptOutcome::Failed(_) | AttemptOutcome::NotRun => {}
    }
    outcome
}

async fn send_and_receive(
    shared: &Arc<Shared>,
    attempt: &Attempt<'_>,
    request: Request<Body>,
    slot: &mut TargetSlot,
) -> AttemptOutcome {
    let header_names = shared.dialect.headers();
    // An extra copy of an earlier response may arrive where this response is due. Nothing in it applies to this request, not
    // even the statement that the target did not run the request.
    let id = ResponseId {
        header: &header_names.request_id,
        returned: Returned::Always,
    };
    let connections = TargetConnections::new(shared, attempt);
    let endpoint = endpoint(&attempt.target);
    let sending = shared
        .client
        .send_identified(endpoint, request, id, &connections);
    let response = match sending.await {
        Ok(response) => response,
        Err(error) => {
            if matches!(error, SendError::Unmatched) {
                shared.metrics.foreign_responses.increment(1);
                log::warn!(
                    target_id = attempt.target.id.as_str(), address:% = endpoint.address;
                    "the answer belongs to another request"
                );
            }
            log::debug!(
                target_id = attempt.target.id.as_str(), error = error.to_string().as_str();
                "request to target failed"
            );
            if attempt.names.is_withheld() {
                log::info!(target_id = attempt.target.id.as_str(); "the end of a quarantined request was not passed on");
                return AttemptOutcome::Withheld;
            }
            return match error {
                SendError::Withdrawn => {
                    if let Some(outcome) = connections.refusal() {
                        slot.release(outcome);
                    }
                    AttemptOutcome::Withdrawn
                }
                SendError::Unanswered => {
                    shared.metrics.count_health_check(HealthCheck::Unanswered);
                    AttemptOutcome::Unanswered
                }
                SendError::Connect(_) | SendError::NotSent(_) => AttemptOutcome::NotSent,
                SendError::Broken(_) => AttemptOutcome::ConnectionBroken,
                SendError::Unmatched | SendError::NoFinalStatus(_) => {
                    AttemptOutcome::NoUsableResponse
                }
            };
        }
    };
    // Another process than the selected target received the request and did not run it. The rest of the response is about
    // that process.
    if response.status() == StatusCode::MISDIRECTED_REQUEST {
        slot.release(TargetOutcome::Misdirected);
        read_rest(shared, response.into_body()).await;
        return AttemptOutcome::NotRun;
    }
    let connection = response.extensions().get::<ConnectionInfo>().copied();
    // What an unidentified process reports is not taken for a report of the known one.
    if connection.is_some_and(|connection| connection.is_validated) {
        let report = parse_load_report(response.headers(), &header_names.load);
        let now = shared.now();
        let mut targets = shared.targets();
        targets.on_answer_heard(now, attempt.key);
        if let Some(report) = report {
            targets.on_load_report(now, attempt.key, report);
        }
    }
    apply_notice(shared, &attempt.target, &response, connection);
    if response.headers().contains_key(&header_names.not_run) {
        slot.release(TargetOutcome::Shed);
        read_rest(shared, response.into_body()).await;
        return AttemptOutcome::NotRun;
    }
    if response.headers().contains_key(CONTENT_ENCODING) {
        return AttemptOutcome::NoUsableResponse;
    }
    buffer_response(shared, attempt, response, slot).await
}

/// Buffers the start of a response or all of it, and takes over the slot for one that is passed on while it arrives.
async fn buffer_response(
    shared: &Arc<Shared>,
    attempt: &Attempt<'_>,
    response: Response<Body>,
    slot: &mut TargetSlot,
) -> AttemptOutcome {
    let success = !response.status().is_server_error();
    let latency = slot.latency();
    if promises_not_run(response.status()) && !attempt.kind.is_idempotent() {
        slot.release(TargetOutcome::Answered { latency, success });
        return AttemptOutcome::NoUsableResponse;
    }
    let (mut head, body) = response.into_parts();
    remove_hop_headers(&mut head.headers);
    let Ok(mut buffered) = buffer_body(body, RESPONSE_BUFFER_BYTES, &shared.body_budget).await
    else {
        return AttemptOutcome::ConnectionBroken;
    };
    let outcome = TargetOutcome::Answered { latency, success };
    let is_whole = buffered.rest.is_none();
    let body = buffered.take_body();
    let ran = success && !promises_not_run(head.status);
    let body = if is_whole {
        slot.release(outcome);
        if ran {
            crash::on_answer(shared, attempt.names);
        }
        body
    } else {
        let timer = shared.deadline_timer(attempt.deadline);
        let guard = StreamedAnswer {
            slot: slot.move_to_body(outcome),
            target: attempt.target.clone(),
            names: attempt.names.clone(),
            ran,
        };
        streamed(TimedBody::new(body, timer, guard))
    };
    let response = Response::from_parts(head, body);
    if success || !attempt.kind.is_idempotent() {
        AttemptOutcome::Answered(response)
    } else {
        AttemptOutcome::Failed(response)
    }
}

/// Reads the rest of a refusal, so that its connection takes further requests. The connection is closed if the rest is long or
/// does not arrive soon.
async fn read_rest(shared: &Shared, body: Body) {
    if body.is_end_stream() {
        return;
    }
    let read = async {
        let _rest = buffer_body(body, SMALL_BODY_BYTES, &shared.body_budget).await;
    };
    let timer = async {
        Timer::after(REFUSAL_REST_TIME.duration()).await;
    };
    futures_lite::future::or(read, timer).await;
}

/// The connections of a target. Another process at its address has connections of its own.
pub(super) fn endpoint(target: &SelectedTarget) -> Endpoint {
    let id_hash = hash_bytes(target.id.as_str().as_bytes());
    Endpoint {
        address: target.address,
        group: mix64(id_hash, target.incarnation.0),
    }
}

/// Whether a status tells the caller that its request has not run and will not run.
fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// Builds the request to the target, with the remaining time in milliseconds, the id of the target and the
/// workspace as headers.
fn build_request(shared: &Shared, attempt: &Attempt<'_>, body: Body) -> Request<Body> {
    let header_names = shared.dialect.headers();
    let remaining = attempt.deadline.since(shared.now()) - DEADLINE_MARGIN;
    let mut request = Request::new(body);
    *request.method_mut() = attempt.request_head.method.clone();
    if let Some(path) = attempt.request_head.uri.path_and_query() {
        *request.uri_mut() = path.clone().into();
    }
    let headers = request.headers_mut();
    headers.clone_from(&attempt.request_head.headers);
    set_header(headers, &header_names.deadline, &remaining.0.to_string());
    set_header(headers, &header_names.instance, attempt.target.id.as_str());
    if let Some(workspace) = attempt.workspace {
        set_header(headers, &header_names.workspace, workspace.as_str());
    }
    request
}

pub(super) fn set_header(headers: &mut HeaderMap, name: &HeaderName, value: &str) {
    match HeaderValue::from_str(value) {
        Ok(value) => {
            headers.insert(name.clone(), value);
        }
        Err(error) => {
            log::warn!(header = name.as_str(), error = error.to_string().as_str(); "header not set");
        }
    }
}

/// Parses the load header of a response: the numbers `running,waiting,slots`. A target runs up to `slots`
/// requests at the same time.
fn parse_load_report(headers: &HeaderMap, name: &HeaderName) -> Option<LoadReport> {
    let text = headers.get(name)?.to_str().ok()?;
    let mut fields = text.split(',').map(|field| field.trim().parse().ok());
    Some(LoadReport {
        running: fields.next()??,
        waiting: fields.next()??,
        slots: fields.next()??,
    })
}
