//! A fake target that records its requests and responds in a chosen way.

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_executor::Executor;
use async_io::Timer;
use futures_lite::future;
use hyper::body::Incoming;
use hyper::header::{HeaderValue, RETRY_AFTER};
use hyper::{HeaderMap, Request, Response, StatusCode};
use waxwing_http::{Body, Handler, Server, ServerLimits, full};

/// How a fake target responds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TargetBehavior {
    /// Responds with 200.
    Answer,
    /// Responds with 503 and the `x-not-run` header, which states that the target did not run the request.
    Shed,
    /// Responds with 503, `x-not-run` and this `Retry-After`.
    ShedFor(&'static str),
    /// Responds with 503 and this `Retry-After`, without the statement that the request was not run.
    RejectFor(&'static str),
    /// Responds with 200 and says that it is leaving.
    Leave,
    /// Responds with 503 and `x-not-run`, and says that it is leaving.
    ShedAndLeave,
    /// Responds with 500 and says that it is leaving.
    FailAndLeave,
    /// Responds with 421, as another process than the expected one, and says that it is leaving.
    MisdirectedAndLeaving,
    /// Responds with the request id of another request.
    WrongRequestId,
    /// Responds with the request id of another request, and says that it is leaving.
    WrongRequestIdAndLeaving,
    /// Closes the connection after the request was read.
    BreakConnection,
    /// Never responds.
    Hang,
    /// Responds with 500.
    Fail,
    /// Responds with 200 after this many milliseconds.
    AnswerAfterMs(u64),
}

/// A request that a target received.
#[derive(Clone, Debug)]
pub(crate) struct ReceivedRequest {
    pub(crate) headers: HeaderMap,
}

/// What a fake target has received and is running.
#[derive(Default)]
struct TargetActivity {
    received: Vec<ReceivedRequest>,
    /// Replaces the behavior with which the target was started.
    behavior: Option<TargetBehavior>,
    running_requests: usize,
}

/// A running fake target.
pub(crate) struct Target {
    pub(crate) address: SocketAddr,
    activity: Arc<Mutex<TargetActivity>>,
}

struct TargetHandler {
    behavior: TargetBehavior,
    activity: Arc<Mutex<TargetActivity>>,
}

impl Target {
    pub(crate) async fn start(executor: &Arc<Executor<'static>>, behavior: TargetBehavior) -> Self {
        let activity: Arc<Mutex<TargetActivity>> = Arc::default();
        let handler = Arc::new(TargetHandler {
            behavior,
            activity: Arc::clone(&activity),
        });
        let any_port = "127.0.0.1:0".parse().expect("an address");
        let server = Server::start(executor, any_port, ServerLimits::default(), handler).await;
        Self {
            address: server.expect("a server").address(),
            activity,
        }
    }

    /// All requests that the target received.
    pub(crate) fn received(&self) -> Vec<ReceivedRequest> {
        self.activity.lock().expect("lock").received.clone()
    }

    /// Sets how the target responds to further requests.
    pub(crate) fn set_behavior(&self, behavior: TargetBehavior) {
        self.activity.lock().expect("lock").behavior = Some(behavior);
    }

    /// Number of requests that the target is handling.
    pub(crate) fn running_requests(&self) -> usize {
        self.activity.lock().expect("lock").running_requests
    }
}

/// Guard that decrements the number of running requests when the handler ends or is cancelled.
struct RunningRequestGuard(Arc<Mutex<TargetActivity>>);

impl Drop for RunningRequestGuard {
    fn drop(&mut self) {
        self.0.lock().expect("lock").running_requests -= 1;
    }
}

/// Sets the headers with which a target says something of itself or of the request.
fn set_headers(response: &mut Response<Body>, behavior: TargetBehavior) {
    let headers = response.headers_mut();
    if let TargetBehavior::ShedFor(value) | TargetBehavior::RejectFor(value) = behavior {
        headers.insert(RETRY_AFTER, HeaderValue::from_static(value));
    }
    if matches!(
        behavior,
        TargetBehavior::Leave
            | TargetBehavior::ShedAndLeave
            | TargetBehavior::FailAndLeave
            | TargetBehavior::MisdirectedAndLeaving
            | TargetBehavior::WrongRequestIdAndLeaving
    ) {
        headers.insert("x-target-leaving", HeaderValue::from_static("1"));
    }
    if matches!(
        behavior,
        TargetBehavior::Shed | TargetBehavior::ShedAndLeave | TargetBehavior::ShedFor(_)
    ) {
        headers.insert("x-not-run", HeaderValue::from_static("1"));
    }
    if matches!(
        behavior,
        TargetBehavior::WrongRequestId | TargetBehavior::WrongRequestIdAndLeaving
    ) {
        headers.insert("x-request-id", HeaderValue::from_static("id-2"));
    }
}

impl Handler for TargetHandler {
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
        _peer: SocketAddr,
    ) -> Pin<Box<dyn Future<Output = Response<Body>> + Send>> {
        Box::pin(async move {
            if request.uri().path() == "/health" {
                return Response::new(full(""));
            }
            let headers = request.headers().clone();
            let request_id = headers.get("x-request-id").cloned();
            let behavior = {
                let mut activity = self.activity.lock().expect("lock");
                activity.received.push(ReceivedRequest { headers });
                activity.running_requests += 1;
                activity.behavior.unwrap_or(self.behavior)
            };
            let _guard = RunningRequestGuard(Arc::clone(&self.activity));
            let mut response = Response::new(full("answer"));
            if let Some(request_id) = request_id {
                response.headers_mut().insert("x-request-id", request_id);
            }
            set_headers(&mut response, behavior);
            match behavior {
                TargetBehavior::Answer
                | TargetBehavior::Leave
                | TargetBehavior::WrongRequestId
                | TargetBehavior::WrongRequestIdAndLeaving => {}
                TargetBehavior::Shed
                | TargetBehavior::ShedAndLeave
                | TargetBehavior::ShedFor(_)
                | TargetBehavior::RejectFor(_) => {
                    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
                }
                TargetBehavior::MisdirectedAndLeaving => {
                    *response.status_mut() = StatusCode::MISDIRECTED_REQUEST;
                }
                // The panic ends the task of the connection, and with it the connection.
                TargetBehavior::BreakConnection => panic!("the target breaks its connection"),
                TargetBehavior::Hang => future::pending().await,
                TargetBehavior::Fail | TargetBehavior::FailAndLeave => {
                    *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
                }
                TargetBehavior::AnswerAfterMs(ms) => {
                    Timer::after(Duration::from_millis(ms)).await;
                }
            }
            response
        })
    }
}
