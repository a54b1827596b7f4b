//! One attempt at one target.

use std::sync::Arc;

use hyper::header::{CONTENT_ENCODING, HeaderName, HeaderValue};
use hyper::http::request::Parts;
use hyper::{HeaderMap, Request, Response, StatusCode};
use waxwing_edge::{LoadReport, SelectedTarget, TargetKey, TargetOutcome};
use waxwing_http::{Body, CoarseSleep, SendError, remove_hop_headers};
use waxwing_records::RunKind;
use waxwing_types::{Millis, WorkspaceId};

use super::body::gather;
use super::peers;
use super::state::Shared;

/// Bytes of an answer that are held before it is passed on, so that a broken answer to an idempotent
/// request can be replaced by one of another target.
const HELD_BYTES: usize = 256 * 1024;
/// Time by which a target ends its work before the caller's time is over.
const RETURN_TIME: Millis = Millis(5);

/// What an attempt needs.
pub(crate) struct Attempt<'a> {
    pub(crate) head: &'a Parts,
    pub(crate) key: TargetKey,
    pub(crate) target: SelectedTarget,
    pub(crate) workspace: Option<&'a WorkspaceId>,
    pub(crate) deadline: Millis,
    pub(crate) kind: RunKind,
    pub(crate) print: u64,
}

/// How an attempt ended.
pub(crate) enum AttemptEnd {
    /// The answer for the caller.
    Answered(Response<Body>),
    /// An answer of the target that reports a failure, to a request that may run again.
    Failed(Response<Body>),
    /// No byte was sent.
    Unsent,
    /// The target did not run it.
    NotRun,
    /// The connection broke, or the answer was not the target's; it may have run.
    Broken,
    /// The time was over.
    TimedOut,
}

/// Tells the table how the attempt ended, also if the caller left.
struct Slot<'a> {
    shared: &'a Arc<Shared>,
    key: TargetKey,
    began: Millis,
    open: bool,
}

impl Slot<'_> {
    fn end(&mut self, ended: TargetOutcome) {
        if std::mem::take(&mut self.open) {
            let now = self.shared.now();
            self.shared.targets().on_request_end(now, self.key, ended);
        }
    }

    fn latency(&self) -> Millis {
        self.shared.now().since(self.began)
    }
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        self.end(TargetOutcome::Cancelled);
    }
}

/// Sends the request to the target and waits for its answer until the timer ends.
pub(crate) async fn forward(
    shared: &Arc<Shared>,
    attempt: &Attempt<'_>,
    body: Body,
    timer: CoarseSleep,
) -> AttemptEnd {
    let mut slot = Slot {
        shared,
        key: attempt.key,
        began: shared.now(),
        open: true,
    };
    let request = build(shared, attempt, body);
    let expired = async {
        timer.await;
        AttemptEnd::TimedOut
    };
    let answering = answer(shared, attempt, request, &mut slot);
    let end = futures_lite::future::or(answering, expired).await;
    match &end {
        AttemptEnd::TimedOut => slot.end(TargetOutcome::TimedOut),
        AttemptEnd::Broken => {
            slot.end(TargetOutcome::ConnectionBroken);
            let now = shared.now();
            shared
                .poison()
                .on_connection_broken(now, attempt.print, attempt.key);
        }
        AttemptEnd::Unsent => {
            slot.end(TargetOutcome::ConnectFailed);
            let crashed = shared.poison().on_target_down(shared.now(), attempt.key);
            peers::report_crashes(shared, crashed);
        }
        AttemptEnd::Answered(_) | AttemptEnd::Failed(_) | AttemptEnd::NotRun => {}
    }
    end
}

async fn answer(
    shared: &Arc<Shared>,
    attempt: &Attempt<'_>,
    request: Request<Body>,
    slot: &mut Slot<'_>,
) -> AttemptEnd {
    let sent = shared.client.send(attempt.target.address, request).await;
    let response = match sent {
        Ok(response) => response,
        Err(error) => {
            log::debug!(
                target_id = attempt.target.id.as_str(), error = error.to_string().as_str();
                "request not answered"
            );
            return match error {
                SendError::Connect(_) | SendError::NotSent(_) => AttemptEnd::Unsent,
                SendError::Broken(_) => AttemptEnd::Broken,
            };
        }
    };
    let names = shared.dialect.headers();
    if let Some(report) = load_report(response.headers(), &names.load) {
        let now = shared.now();
        shared.targets().on_load_report(now, attempt.key, report);
    }
    if response.status() == StatusCode::MISDIRECTED_REQUEST {
        slot.end(TargetOutcome::Misdirected);
        return AttemptEnd::NotRun;
    }
    if response.headers().contains_key(&names.not_run) {
        slot.end(TargetOutcome::Shed);
        return AttemptEnd::NotRun;
    }
    if !belongs(attempt.head, response.headers(), &names.request_id) {
        log::warn!(
            target_id = attempt.target.id.as_str();
            "the answer belongs to another request"
        );
        return AttemptEnd::Broken;
    }
    if response.headers().contains_key(CONTENT_ENCODING) {
        return AttemptEnd::Broken;
    }
    let sound = !response.status().is_server_error();
    let latency = slot.latency();
    let (mut head, body) = response.into_parts();
    remove_hop_headers(&mut head.headers);
    let Ok(mut gathered) = gather(body, HELD_BYTES).await else {
        return AttemptEnd::Broken;
    };
    slot.end(TargetOutcome::Answered {
        latency,
        success: sound,
    });
    let response = Response::from_parts(head, gathered.take());
    if sound || !attempt.kind.is_idempotent() {
        AttemptEnd::Answered(response)
    } else {
        AttemptEnd::Failed(response)
    }
}

fn build(shared: &Shared, attempt: &Attempt<'_>, body: Body) -> Request<Body> {
    let names = shared.dialect.headers();
    let left = attempt.deadline.since(shared.now()) - RETURN_TIME;
    let mut request = Request::new(body);
    *request.method_mut() = attempt.head.method.clone();
    if let Some(path) = attempt.head.uri.path_and_query() {
        *request.uri_mut() = path.clone().into();
    }
    let headers = request.headers_mut();
    headers.clone_from(&attempt.head.headers);
    set(headers, &names.deadline, &left.0.to_string());
    set(headers, &names.instance, attempt.target.id.as_str());
    if let Some(workspace) = attempt.workspace {
        set(headers, &names.workspace, workspace.as_str());
    }
    request
}

fn set(headers: &mut HeaderMap, name: &HeaderName, value: &str) {
    match HeaderValue::from_str(value) {
        Ok(value) => {
            headers.insert(name.clone(), value);
        }
        Err(error) => {
            log::warn!(header = name.as_str(), error = error.to_string().as_str(); "header not set");
        }
    }
}

/// Whether an answer carries the id of the request.
fn belongs(head: &Parts, answer: &HeaderMap, name: &HeaderName) -> bool {
    match head.headers.get(name) {
        Some(id) => answer.get(name) == Some(id),
        None => true,
    }
}

/// Reads requests running, requests waiting and slots.
fn load_report(headers: &HeaderMap, name: &HeaderName) -> Option<LoadReport> {
    let text = headers.get(name)?.to_str().ok()?;
    let mut parts = text.split(',').map(|part| part.trim().parse().ok());
    Some(LoadReport {
        running: parts.next()??,
        waiting: parts.next()??,
        slots: parts.next()??,
    })
}
