//! HTTP handlers of the four servers of an edge daemon: for requests of callers, directory lookups, readiness
//! checks and metrics.

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Request, Response, StatusCode};
use waxwing_http::{Body, Handler, empty, full, json};

use super::notice::render_notices;
use super::request::CallerRequest;
use super::state::Shared;

/// Content type of the Prometheus text format.
const PROMETHEUS_TEXT: HeaderValue = HeaderValue::from_static("text/plain; version=0.0.4");

type ResponseFuture = Pin<Box<dyn Future<Output = Response<Body>> + Send>>;

/// Forwards requests of callers to targets.
pub(crate) struct RequestHandler(pub(crate) Arc<Shared>);

/// Serves the directory, in which callers look up the addresses of entry VMs. An entry VM is a VM that runs an edge
/// daemon.
pub(crate) struct DirectoryHandler(pub(crate) Arc<Shared>);

/// Responds to readiness checks with 200 if callers may send requests to this VM, otherwise with 503.
pub(crate) struct ReadinessHandler(pub(crate) Arc<Shared>);

/// Serves the metrics at `/metrics`, as Prometheus text, and at `/v1/notices` the targets that get no requests because of
/// what they said.
pub(crate) struct MetricsHandler(pub(crate) Arc<Shared>);

/// Guard that counts a request, or a response that is passed on while it arrives, in [`Shared::running_requests`] until the
/// guard is dropped.
pub(super) struct RunningRequestGuard(Arc<Shared>);

impl RunningRequestGuard {
    pub(super) fn new(shared: &Arc<Shared>) -> Self {
        shared.running_requests.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(shared))
    }
}

impl Drop for RunningRequestGuard {
    fn drop(&mut self) {
        self.0.running_requests.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Handler for RequestHandler {
    fn handle(self: Arc<Self>, request: Request<Incoming>, _peer: SocketAddr) -> ResponseFuture {
        let shared = Arc::clone(&self.0);
        Box::pin(async move {
            let _guard = RunningRequestGuard::new(&shared);
            let (head, body) = request.into_parts();
            CallerRequest::new(&shared, head).respond(body).await
        })
    }
}

impl Handler for DirectoryHandler {
    fn handle(self: Arc<Self>, request: Request<Incoming>, _peer: SocketAddr) -> ResponseFuture {
        let response = directory_response(&self.0, &request);
        Box::pin(std::future::ready(response))
    }
}

impl Handler for ReadinessHandler {
    fn handle(self: Arc<Self>, request: Request<Incoming>, _peer: SocketAddr) -> ResponseFuture {
        // The path of readiness checks differs between platforms. `Dialect` implements the platform's HTTP interface.
        let is_ready_path = self.0.dialect.is_ready_path(request.uri().path());
        let status = match (is_ready_path, self.0.is_ready()) {
            (true, true) => StatusCode::OK,
            (true, false) => StatusCode::SERVICE_UNAVAILABLE,
            (false, _) => StatusCode::NOT_FOUND,
        };
        Box::pin(std::future::ready(empty_response(status)))
    }
}

impl Handler for MetricsHandler {
    fn handle(self: Arc<Self>, request: Request<Incoming>, _peer: SocketAddr) -> ResponseFuture {
        let response = match request.uri().path() {
            "/metrics" => {
                let mut response = Response::new(full(self.0.render_metrics()));
                response.headers_mut().insert(CONTENT_TYPE, PROMETHEUS_TEXT);
                response
            }
            "/v1/notices" => json(StatusCode::OK, render_notices(&self.0)),
            _ => empty_response(StatusCode::NOT_FOUND),
        };
        Box::pin(std::future::ready(response))
    }
}

/// Responds with the addresses of the entry VMs for a failure domain: the domain that the query names, otherwise
/// that of this VM.
fn directory_response(shared: &Shared, request: &Request<Incoming>) -> Response<Body> {
    let uri = request.uri();
    let Some(query) = shared.dialect.directory_query(uri.path(), uri.query()) else {
        return empty_response(StatusCode::NOT_FOUND);
    };
    let own_vm_ready = shared.is_ready();
    let addresses =
        shared
            .fleet()
            .addresses_for_callers(shared.now(), query.domain.as_ref(), own_vm_ready);
    if addresses.is_empty() {
        return empty_response(StatusCode::SERVICE_UNAVAILABLE);
    }
    let ttl = shared.settings.directory_ttl;
    let body = shared.dialect.directory_answer(&addresses, ttl);
    json(StatusCode::OK, body)
}

fn empty_response(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(empty());
    *response.status_mut() = status;
    response
}
