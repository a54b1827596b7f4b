//! The task that drives one request through its flow.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Instant;

use async_channel::{Receiver, Sender};
use futures_lite::Stream;
use hyper::http::request::Parts;
use hyper::{Request, Response};
use waxwing_core::{Arrival, Flow, FlowAction, FlowEvent, Refusal, StoreOutcome};
use waxwing_http::{
    Body, CoarseSleep, SendError, remove_hop_headers, remove_proxy_headers, streamed,
};
use waxwing_types::{Millis, Ran, RefusalReason, RegionId};

use super::outbound::{Outbound, says_not_run};
use super::relay::Relay;
use super::upload::{Upload, UploadFault};
use super::{Note, claim, refuse, refuse_early};
use crate::state::Shared;

type Pending<T> = Pin<Box<dyn Future<Output = T> + Send>>;

/// Runs a request and returns the response.
pub(crate) async fn drive(
    shared: &Arc<Shared>,
    arrival: Arrival,
    head: Parts,
    upload: Upload,
) -> Response<Body> {
    let Some(outbound) = Outbound::new(head, &arrival) else {
        return refuse_early(shared, RefusalReason::BadRequest, "the path is malformed");
    };
    let (notes, inbox) = async_channel::unbounded();
    let (reply, answer) = async_channel::bounded(1);
    let mut caller = CallerGuard(Some(notes.clone()));
    let id = shared.enter(notes.clone());
    let driver = Driver {
        shared: Arc::clone(shared),
        flow: Flow::new(id, arrival),
        outbound,
        upload,
        notes,
        inbox: Box::pin(inbox),
        reply: Some(reply),
        store: None,
        call: None,
        to_region: false,
        head: None,
        timer: None,
        events: VecDeque::from([FlowEvent::Start]),
        arrived: Instant::now(),
        sent: false,
    };
    shared.executor.spawn(driver.run()).detach();
    let response = answer.recv().await;
    caller.0 = None;
    // The driver answers before it ends, unless it panicked.
    response.unwrap_or_else(|_| {
        let refusal = Refusal::new(RefusalReason::TargetFailed, Ran::Unknown);
        refuse(shared, &refusal, "the daemon failed")
    })
}

/// Reports that the caller went away if the response was not taken.
struct CallerGuard(Option<Sender<Note>>);

impl Drop for CallerGuard {
    fn drop(&mut self) {
        if let Some(notes) = self.0.take() {
            // Fails only if the driver has ended.
            let _ = notes.try_send(Note::CallerGone);
        }
    }
}

struct Driver {
    shared: Arc<Shared>,
    flow: Flow,
    outbound: Outbound,
    upload: Upload,
    notes: Sender<Note>,
    inbox: Pin<Box<Receiver<Note>>>,
    /// Taken when the caller is answered.
    reply: Option<Sender<Response<Body>>>,
    store: Option<Pending<StoreOutcome>>,
    call: Option<Pending<Result<Response<Body>, SendError>>>,
    /// Whether the present call goes to another region.
    to_region: bool,
    /// The answer whose head arrived, until it is relayed or given up.
    head: Option<Response<Body>>,
    timer: Option<Pin<Box<CoarseSleep>>>,
    /// Events that wait to be delivered.
    events: VecDeque<FlowEvent>,
    arrived: Instant,
    /// Whether the time until the first attempt was recorded.
    sent: bool,
}

impl Driver {
    async fn run(mut self) {
        while let Some(event) = self.next().await {
            let actions = self.shared.step(&mut self.flow, event);
            for action in actions {
                self.perform(action);
            }
        }
    }

    async fn next(&mut self) -> Option<FlowEvent> {
        if self.events.is_empty() && !self.flow.is_finished() {
            let event = self.wait().await;
            self.events.push_back(event);
        }
        self.events.pop_front()
    }

    /// Waits for whatever happens first.
    async fn wait(&mut self) -> FlowEvent {
        std::future::poll_fn(|cx| self.poll_event(cx)).await
    }

    fn poll_event(&mut self, cx: &mut Context<'_>) -> Poll<FlowEvent> {
        if let Poll::Ready(Some(note)) = self.inbox.as_mut().poll_next(cx) {
            return Poll::Ready(self.noted(note));
        }
        if let Some(Poll::Ready(outcome)) = self.store.as_mut().map(|f| f.as_mut().poll(cx)) {
            self.store = None;
            return Poll::Ready(FlowEvent::Store(outcome));
        }
        if let Some(Poll::Ready(result)) = self.call.as_mut().map(|f| f.as_mut().poll(cx)) {
            self.call = None;
            return Poll::Ready(self.answered(result));
        }
        if let Some(Poll::Ready(_)) = self.timer.as_mut().map(|t| t.as_mut().poll(cx)) {
            self.timer = None;
            return Poll::Ready(FlowEvent::Timer);
        }
        Poll::Pending
    }

    fn noted(&mut self, note: Note) -> FlowEvent {
        match note {
            Note::Released => FlowEvent::Released,
            Note::Finished(bytes_in) => FlowEvent::Finished {
                bytes_out: self.upload.sent(),
                bytes_in,
            },
            Note::Broken => FlowEvent::Broken,
            Note::CallerGone => {
                self.shared.metrics.abandoned.increment(1);
                self.reply = None;
                FlowEvent::CallerGone
            }
        }
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
                self.ended(FlowEvent::Head { status, not_run })
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
                    return self.ended(FlowEvent::Broken);
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
        let ran = if may_have_run { Ran::Unknown } else { Ran::No };
        let (reason, detail) = match fault {
            UploadFault::TooLarge => (RefusalReason::TooLarge, "the body exceeds the limit"),
            UploadFault::CallerBroke => (RefusalReason::BadRequest, "the body broke off"),
        };
        self.refuse(&Refusal::new(reason, ran), detail);
        FlowEvent::CallerGone
    }

    fn perform(&mut self, action: FlowAction) {
        let shared = Arc::clone(&self.shared);
        match action {
            FlowAction::Create { path, value } => {
                self.store = Some(claim::create(shared, path, value));
            }
            FlowAction::Read { path } => {
                self.store = Some(claim::read(shared, path));
            }
            FlowAction::Update {
                path,
                version,
                value,
            } => {
                self.store = Some(claim::update(shared, path, version, value));
            }
            FlowAction::Queue => {}
            FlowAction::SetTimer(at) => {
                let left = at.since(shared.now());
                let end = Instant::now() + left.duration();
                self.timer = Some(Box::pin(shared.timer.sleep_until(end)));
            }
            FlowAction::Send {
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
            FlowAction::Forward { region, deadline } => self.forward(&region, deadline),
            FlowAction::Relay => self.relay(),
            FlowAction::Cancel => {
                self.call = None;
                self.head = None;
            }
            FlowAction::Refuse(refusal) => self.refuse(&refusal, ""),
            FlowAction::Wake(id) => shared.wake(id),
            FlowAction::Retry(reason) => shared.metrics.retried(reason),
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
        if !self.sent {
            self.sent = true;
            self.shared.metrics.added.record(self.arrived.elapsed());
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
        let Some(reply) = self.reply.take() else {
            return;
        };
        let response = refuse(&self.shared, refusal, detail);
        self.shared.metrics.latency.record(self.arrived.elapsed());
        // Fails only if the caller is gone, which its guard reports.
        let _ = reply.try_send(response);
    }

    fn relay(&mut self) {
        let (Some(reply), Some(response)) = (self.reply.take(), self.head.take()) else {
            return;
        };
        let (mut head, body) = response.into_parts();
        remove_hop_headers(&mut head.headers);
        remove_proxy_headers(&mut head.headers);
        let body = streamed(Relay::new(body, self.notes.clone()));
        self.shared.metrics.latency.record(self.arrived.elapsed());
        log::debug!(
            flow = self.flow.id().0, service = self.flow.arrival().service.as_str(),
            status = head.status.as_u16();
            "response relayed"
        );
        // A response that nobody takes is dropped, which reports that the caller is gone.
        let _ = reply.try_send(Response::from_parts(head, body));
    }
}

impl Drop for Driver {
    fn drop(&mut self) {
        self.shared.leave(self.flow.id());
    }
}

/// Address of an entry VM of a region for requests from other regions.
fn entry_address(shared: &Shared, region: &RegionId) -> Option<SocketAddr> {
    let config = shared.config();
    let fleet = shared.fleet();
    let mut tail = shared.tail();
    let now = shared.now();
    let steering = &shared.steering;
    let vm = steering.entry_vm(now, &config, &fleet.members, region, &mut tail.rng)?;
    Some(vm.peer_http)
}
