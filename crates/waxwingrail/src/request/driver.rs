//! The driver of one request: it passes events to the flow and carries out its actions.
//!
//! The driver belongs to the handler until the caller is answered, then to the body of the response,
//! and at the end, if the flow still has to write its idempotency record, to a task of its own.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Instant;

use hyper::http::request::Parts;
use hyper::{Request, Response};
use waxwing_core::{Flow, FlowAction, FlowEvent, IncomingRequest, Refusal, StoreOutcome};
use waxwing_http::{
    Body, CoarseSleep, SendError, remove_hop_headers, remove_proxy_headers, streamed,
};
use waxwing_types::{Millis, Ran, RefusalReason, RegionId};

use super::outbound::{Outbound, says_not_run};
use super::relay::Relay;
use super::upload::{Upload, UploadFault};
use super::{claim, refuse, refuse_early};
use crate::state::Shared;

type Pending<T> = Pin<Box<dyn Future<Output = T> + Send>>;

/// Runs a request and returns the response.
pub(crate) async fn drive(
    shared: &Arc<Shared>,
    arrival: IncomingRequest,
    head: Parts,
    upload: Upload,
) -> Response<Body> {
    let Some(outbound) = Outbound::new(head, &arrival) else {
        return refuse_early(shared, RefusalReason::BadRequest, "the path is malformed");
    };
    let driver = Driver::new(shared, arrival, outbound, upload);
    let mut caller = Caller(Some(Box::new(driver)));
    while let Some(driver) = &mut caller.0 {
        let Some(event) = driver.next().await else {
            break;
        };
        driver.deliver(event);
        match driver.reply.take() {
            None => {}
            Some(Reply::Refused(response)) => {
                caller.0.take().into_iter().for_each(Driver::go_on);
                return response;
            }
            Some(Reply::Relayed(head, body)) => {
                let relay = Relay::new(body, caller.0.take());
                return Response::from_parts(head, streamed(relay));
            }
        }
    }
    // The flow answers before it ends.
    let refusal = Refusal::new(RefusalReason::TargetFailed, Ran::Unknown);
    refuse(shared, &refusal, "the daemon failed")
}

/// Holds the driver while the caller waits. Dropped with it, the caller went away.
struct Caller(Option<Box<Driver>>);

impl Drop for Caller {
    fn drop(&mut self) {
        // A flow that panicked is not stepped again.
        if !std::thread::panicking()
            && let Some(driver) = self.0.take()
        {
            driver.caller_gone();
        }
    }
}

enum Reply {
    Refused(Response<Body>),
    Relayed(hyper::http::response::Parts, Body),
}

pub(super) struct Driver {
    shared: Arc<Shared>,
    flow: Flow,
    outbound: Outbound,
    upload: Upload,
    store: Option<Pending<StoreOutcome>>,
    call: Option<Pending<Result<Response<Body>, SendError>>>,
    /// Whether the present call goes to another region.
    to_region: bool,
    /// The answer whose head arrived, until it is relayed or given up.
    head: Option<Response<Body>>,
    timer: Option<Pin<Box<CoarseSleep>>>,
    /// Whether the request was queued. It may have to wait for several turns.
    queued: bool,
    /// Events that wait to be delivered.
    events: VecDeque<FlowEvent>,
    /// What the caller is told, until the handler takes it.
    reply: Option<Reply>,
    /// Whether the caller was answered or is gone.
    answered: bool,
    arrived: Instant,
    /// When the request arrived, until its first attempt was recorded.
    unsent: Option<Instant>,
}

impl Driver {
    fn new(
        shared: &Arc<Shared>,
        arrival: IncomingRequest,
        outbound: Outbound,
        upload: Upload,
    ) -> Self {
        let arrived = Instant::now();
        Self {
            shared: Arc::clone(shared),
            flow: Flow::new(shared.register_request(), arrival),
            outbound,
            upload,
            store: None,
            call: None,
            to_region: false,
            head: None,
            timer: None,
            queued: false,
            events: VecDeque::from([FlowEvent::Start]),
            reply: None,
            answered: false,
            arrived,
            unsent: Some(arrived),
        }
    }

    /// The answer was passed on in full.
    pub(super) fn finished(mut self: Box<Self>, bytes_in: u64) {
        let bytes_out = self.upload.sent();
        self.deliver(FlowEvent::ResponseComplete {
            bytes_out,
            bytes_in,
        });
        self.go_on();
    }

    /// The answer broke off.
    pub(super) fn broken(mut self: Box<Self>) {
        self.deliver(FlowEvent::ConnectionBroken);
        self.go_on();
    }

    /// The caller closed its connection.
    pub(super) fn caller_gone(mut self: Box<Self>) {
        self.shared.metrics.abandoned.increment(1);
        self.answered = true;
        self.deliver(FlowEvent::CallerDisconnected);
        self.go_on();
    }

    /// Drives the flow to its end, without the caller.
    fn go_on(self: Box<Self>) {
        if self.flow.is_finished() {
            return;
        }
        let executor = Arc::clone(&self.shared.executor);
        executor.spawn(self.run()).detach();
    }

    async fn run(mut self: Box<Self>) {
        while let Some(event) = self.next().await {
            self.deliver(event);
        }
    }

    fn deliver(&mut self, event: FlowEvent) {
        let actions = self.shared.step_flow(&mut self.flow, event);
        for action in actions {
            self.perform(action);
        }
    }

    /// The next event, or the end of the flow.
    async fn next(&mut self) -> Option<FlowEvent> {
        if let Some(event) = self.events.pop_front() {
            return Some(event);
        }
        if self.flow.is_finished() {
            return None;
        }
        Some(std::future::poll_fn(|cx| self.poll_event(cx)).await)
    }

    fn poll_event(&mut self, cx: &mut Context<'_>) -> Poll<FlowEvent> {
        if self.queued && self.shared.poll_wakeup(self.flow.id(), cx.waker()) {
            return Poll::Ready(FlowEvent::Dequeued);
        }
        if let Some(Poll::Ready(outcome)) = self.store.as_mut().map(|f| f.as_mut().poll(cx)) {
            self.store = None;
            return Poll::Ready(FlowEvent::StoreCallEnded(outcome));
        }
        if let Some(Poll::Ready(result)) = self.call.as_mut().map(|f| f.as_mut().poll(cx)) {
            self.call = None;
            return Poll::Ready(self.answered(result));
        }
        if let Some(Poll::Ready(())) = self.timer.as_mut().map(|t| t.as_mut().poll(cx)) {
            self.timer = None;
            return Poll::Ready(FlowEvent::Timer);
        }
        Poll::Pending
    }

    fn answered(&mut self, result: Result<Response<Body>, SendError>) -> FlowEvent {
        match result {
            Ok(response) => {
                let status = response.status().as_u16();
                let not_run = says_not_run(response.headers());
                self.head = Some(response);
                if not_run && self.to_region {
                    return self.ended(FlowEvent::RegionRefused);
                }
                self.ended(FlowEvent::ResponseHead { status, not_run })
            }
            Err(error) => {
                log::debug!(
                    flow = self.flow.id().0, error = error.to_string().as_str();
                    "attempt failed"
                );
                if let Some(fault) = self.upload.fault() {
                    return self.upload_failed(fault, error.may_have_run());
                }
                if error.may_have_run() {
                    return self.ended(FlowEvent::ConnectionBroken);
                }
                self.ended(FlowEvent::ConnectFailed)
            }
        }
    }

    /// The end of an attempt, preceded by the news that the body cannot be sent again.
    fn ended(&mut self, event: FlowEvent) -> FlowEvent {
        if !self.upload.is_spent() {
            return event;
        }
        self.events.push_back(event);
        FlowEvent::BodyConsumed
    }

    /// The attempt failed because of the caller's body. The flow treats it as a caller that left, so
    /// that it counts against neither the target nor the request.
    fn upload_failed(&mut self, fault: UploadFault, may_have_run: bool) -> FlowEvent {
        // An earlier attempt may have run the request, too.
        let ran = if may_have_run {
            Ran::Unknown
        } else {
            self.flow.ran()
        };
        let (reason, detail) = match fault {
            UploadFault::TooLarge => (RefusalReason::TooLarge, "the body exceeds the limit"),
            UploadFault::CallerBroke => (RefusalReason::BadRequest, "the body broke off"),
        };
        self.refuse(&Refusal::new(reason, ran), detail);
        FlowEvent::CallerDisconnected
    }

    fn perform(&mut self, action: FlowAction) {
        let shared = Arc::clone(&self.shared);
        match action {
            FlowAction::CreateRecord { path, value } => {
                self.store = Some(claim::create(shared, path, value));
            }
            FlowAction::ReadRecord { path } => {
                self.store = Some(claim::read(shared, path));
            }
            FlowAction::UpdateRecord {
                path,
                version,
                value,
            } => {
                self.store = Some(claim::update(shared, path, version, value));
            }
            FlowAction::WaitInQueue => self.queued = true,
            FlowAction::SetTimer(at) => {
                let left = at.since(shared.now());
                let end = Instant::now() + left.duration();
                self.timer = Some(Box::pin(shared.timer.sleep_until(end)));
            }
            FlowAction::SendToTarget {
                address,
                workspace,
                deadline,
                ..
            } => {
                if let Some(body) = self.body() {
                    let left = deadline.since(shared.now());
                    let request = self.outbound.to_target(workspace.as_ref(), left, body);
                    self.send(address, request, false);
                }
            }
            FlowAction::ForwardToRegion { region, deadline } => self.forward(&region, deadline),
            FlowAction::RelayResponse => self.relay(),
            FlowAction::CancelAttempt => {
                self.call = None;
                self.head = None;
            }
            FlowAction::Refuse(refusal) => self.refuse(&refusal, ""),
            FlowAction::NotifyDequeued(id) => shared.wake_request(id),
            FlowAction::ReportRetry(reason) => shared.metrics.retried(reason),
        }
    }

    /// The body for another attempt. If its beginning is no longer held, the attempt fails before
    /// it begins.
    fn body(&mut self) -> Option<Body> {
        let body = self.upload.attempt();
        if body.is_none() {
            self.events.push_back(FlowEvent::BodyConsumed);
            self.events.push_back(FlowEvent::ConnectFailed);
        }
        body
    }

    fn send(&mut self, address: SocketAddr, request: Request<Body>, to_region: bool) {
        if let Some(arrived) = self.unsent.take() {
            self.shared.metrics.added.record(arrived.elapsed());
        }
        self.to_region = to_region;
        // The former answer holds its connection until here.
        self.head = None;
        let client = self.shared.client.clone();
        self.call = Some(Box::pin(async move { client.send(address, request).await }));
    }

    fn forward(&mut self, region: &RegionId, deadline: Millis) {
        let shared = Arc::clone(&self.shared);
        let Some(address) = entry_address(&shared, region) else {
            self.events.push_back(FlowEvent::ConnectFailed);
            return;
        };
        let Some(body) = self.body() else {
            return;
        };
        let left = deadline.since(shared.now());
        let home = &shared.settings.region;
        let request = self.outbound.to_region(home, &self.flow, left, body);
        shared.metrics.forwards.increment(1);
        self.send(address, request, true);
    }

    fn refuse(&mut self, refusal: &Refusal, detail: &str) {
        if std::mem::replace(&mut self.answered, true) {
            return;
        }
        self.shared.metrics.latency.record(self.arrived.elapsed());
        self.reply = Some(Reply::Refused(refuse(&self.shared, refusal, detail)));
    }

    fn relay(&mut self) {
        let Some(response) = self.head.take() else {
            return;
        };
        if std::mem::replace(&mut self.answered, true) {
            return;
        }
        let (mut head, body) = response.into_parts();
        remove_hop_headers(&mut head.headers);
        remove_proxy_headers(&mut head.headers);
        self.shared.metrics.latency.record(self.arrived.elapsed());
        log::debug!(
            flow = self.flow.id().0, service = self.flow.request().service.as_str(),
            status = head.status.as_u16();
            "response relayed"
        );
        self.reply = Some(Reply::Relayed(head, body));
    }
}

impl Drop for Driver {
    fn drop(&mut self) {
        self.shared.unregister_request(self.flow.id());
    }
}

/// Address of an entry VM of a region for requests from other regions.
fn entry_address(shared: &Shared, region: &RegionId) -> Option<SocketAddr> {
    let config = shared.config();
    let fleet = shared.fleet();
    let mut tail = shared.retry_state();
    let now = shared.now();
    let steering = &shared.steering;
    let vm = steering.pick_entry_vm(now, &config, &fleet.members, region, &mut tail.rng)?;
    Some(vm.peer_http)
}
