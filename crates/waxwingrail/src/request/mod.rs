//! Handles requests of callers and requests that entry VMs of other regions forward.

mod driver;
mod idempotency_record;
mod outbound;
mod parse;
pub(crate) mod query;
mod relay;
mod upload;

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::http::request::Parts;
use hyper::{Request, Response, StatusCode};
use waxwing_core::Refusal;
use waxwing_http::{Body, Handler, Problem, announce_close};
use waxwing_types::{Ran, RefusalReason};

use crate::lookup;
use crate::state::Shared;
use parse::RequestError;
use upload::Upload;

/// Handles the requests of callers.
pub(crate) struct CallerHandler(pub(crate) Arc<Shared>);

/// Handles the requests that entry VMs of other regions forward.
pub(crate) struct RegionHandler(pub(crate) Arc<Shared>);

impl Handler for CallerHandler {
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
        peer: SocketAddr,
    ) -> Pin<Box<dyn Future<Output = Response<Body>> + Send>> {
        Box::pin(async move {
            let shared = &self.0;
            if request.uri().path() == lookup::LOOKUP_PATH {
                return lookup::handle_lookup(shared, &request, peer.ip());
            }
            let (head, body) = request.into_parts();
            let incoming = parse::caller_request(&head, peer.ip(), shared.settings.max_body_bytes);
            serve(shared, head, body, incoming).await
        })
    }

    fn rejected(&self, reason: RefusalReason) {
        self.0.metrics.count_refusal(reason);
    }

    fn overloaded(&self) {
        self.0.metrics.connections_refused.increment(1);
    }
}

impl Handler for RegionHandler {
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
        peer: SocketAddr,
    ) -> Pin<Box<dyn Future<Output = Response<Body>> + Send>> {
        Box::pin(async move {
            let shared = &self.0;
            let (head, body) = request.into_parts();
            if !shared.is_entry_vm(peer.ip()) {
                let detail = "the sender is not an entry VM";
                return refuse_not_run(shared, RefusalReason::KeyInvalid, detail);
            }
            let incoming =
                parse::forwarded_request(&head, peer.ip(), shared.settings.max_body_bytes);
            serve(shared, head, body, incoming).await
        })
    }

    fn rejected(&self, reason: RefusalReason) {
        self.0.metrics.count_refusal(reason);
    }
}

/// Runs a parsed request, or refuses it if parsing failed or the daemon has no configuration yet.
async fn serve(
    shared: &Arc<Shared>,
    head: Parts,
    body: Incoming,
    incoming: Result<waxwing_core::IncomingRequest, RequestError>,
) -> Response<Body> {
    let upload = Upload::new(body, shared.settings.max_body_bytes);
    let id = head.headers.get(parse::X_REQUEST_ID).cloned();
    let mut response = run_or_refuse(shared, head, upload.clone(), incoming).await;
    if let Some(id) = id {
        response.headers_mut().insert(parse::X_REQUEST_ID, id);
    }
    if !upload.has_ended() {
        announce_close(&mut response);
    }
    response
}

async fn run_or_refuse(
    shared: &Arc<Shared>,
    head: Parts,
    upload: Upload,
    incoming: Result<waxwing_core::IncomingRequest, RequestError>,
) -> Response<Body> {
    shared.metrics.requests.increment(1);
    if !shared.is_configured() {
        let detail = "the configuration has not arrived yet";
        return refuse_not_run(shared, RefusalReason::ConfigStale, detail);
    }
    let incoming = match incoming {
        Ok(incoming) => incoming,
        Err(error) => return refuse_not_run(shared, error.reason, error.detail),
    };
    if let Err(refusal) = read_body_start(shared, &upload).await {
        return refuse_not_run(shared, refusal.0, refusal.1);
    }
    driver::run_request(shared, incoming, head, upload).await
}

/// Reads the start of the body, so that a quarantined request with a short body is refused before it is sent. Fails if the
/// body cannot be forwarded or its start does not arrive within the header timeout.
async fn read_body_start(
    shared: &Shared,
    upload: &Upload,
) -> Result<(), (RefusalReason, &'static str)> {
    let timeout = async {
        async_io::Timer::after(shared.settings.header_timeout.duration()).await;
        None
    };
    let start = async { Some(upload.read_start().await) };
    match futures_lite::future::or(start, timeout).await {
        Some(Ok(())) => Ok(()),
        Some(Err(error)) => Err(error.refusal()),
        None => Err((RefusalReason::BadRequest, "the body did not begin in time")),
    }
}

/// Refuses a request that was not sent to any target.
fn refuse_not_run(shared: &Shared, reason: RefusalReason, detail: &str) -> Response<Body> {
    refuse(shared, &Refusal::new(reason, Ran::No), detail)
}

/// Counts a refusal and builds its response.
fn refuse(shared: &Shared, refusal: &Refusal, detail: &str) -> Response<Body> {
    shared.metrics.count_refusal(refusal.reason);
    log::debug!(
        reason = refusal.reason.as_str(), ran = refusal.ran.as_str(), detail = detail;
        "request refused"
    );
    let mut response = Problem {
        status: StatusCode::from_u16(refusal.status).unwrap_or(StatusCode::SERVICE_UNAVAILABLE),
        reason: refusal.reason.as_str(),
        ran: refusal.ran,
        detail,
        retry_after: refusal
            .retry_after
            .map(|wait| Duration::from_millis(wait.0)),
    }
    .response();
    if refusal.ran == Ran::No {
        let value = hyper::header::HeaderValue::from_static("1");
        response.headers_mut().insert(parse::X_NOT_RUN, value);
    }
    response
}
