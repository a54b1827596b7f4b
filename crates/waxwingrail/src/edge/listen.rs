//! The handlers behind the three addresses.

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Request, Response, StatusCode};
use waxwing_http::{Body, Handler, empty, full, json};

use super::request::Exchange;
use super::state::Shared;

/// Content type of the metrics.
const PROMETHEUS: HeaderValue = HeaderValue::from_static("text/plain; version=0.0.4");

type Answering = Pin<Box<dyn Future<Output = Response<Body>> + Send>>;

/// Requests of callers.
pub(crate) struct Callers(pub(crate) Arc<Shared>);

/// Questions for entry VMs.
pub(crate) struct Directory(pub(crate) Arc<Shared>);

/// Checks of readiness.
pub(crate) struct Readiness(pub(crate) Arc<Shared>);

/// Reads of the metrics.
pub(crate) struct Scrapes(pub(crate) Arc<Shared>);

/// Counts a request for as long as it is handled.
struct Running(Arc<Shared>);

impl Running {
    fn new(shared: &Arc<Shared>) -> Self {
        shared.running.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(shared))
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Handler for Callers {
    fn handle(self: Arc<Self>, request: Request<Incoming>, _peer: SocketAddr) -> Answering {
        let shared = Arc::clone(&self.0);
        Box::pin(async move {
            let _running = Running::new(&shared);
            let (head, body) = request.into_parts();
            Exchange::new(&shared, head).run(body).await
        })
    }
}

impl Handler for Directory {
    fn handle(self: Arc<Self>, request: Request<Incoming>, _peer: SocketAddr) -> Answering {
        let response = resolve(&self.0, &request);
        Box::pin(std::future::ready(response))
    }
}

impl Handler for Readiness {
    fn handle(self: Arc<Self>, request: Request<Incoming>, _peer: SocketAddr) -> Answering {
        let known = self.0.dialect.is_ready_path(request.uri().path());
        let status = match (known, self.0.is_ready()) {
            (true, true) => StatusCode::OK,
            (true, false) => StatusCode::SERVICE_UNAVAILABLE,
            (false, _) => StatusCode::NOT_FOUND,
        };
        Box::pin(std::future::ready(status_only(status)))
    }
}

impl Handler for Scrapes {
    fn handle(self: Arc<Self>, request: Request<Incoming>, _peer: SocketAddr) -> Answering {
        let response = if request.uri().path() == "/metrics" {
            let mut response = Response::new(full(self.0.render_metrics()));
            response.headers_mut().insert(CONTENT_TYPE, PROMETHEUS);
            response
        } else {
            status_only(StatusCode::NOT_FOUND)
        };
        Box::pin(std::future::ready(response))
    }
}

fn resolve(shared: &Shared, request: &Request<Incoming>) -> Response<Body> {
    let uri = request.uri();
    let Some(query) = shared.dialect.directory_query(uri.path(), uri.query()) else {
        return status_only(StatusCode::NOT_FOUND);
    };
    let ready = shared.is_ready();
    let addresses =
        shared
            .fleet()
            .addresses_for_callers(shared.now(), query.domain.as_ref(), ready);
    if addresses.is_empty() {
        return status_only(StatusCode::SERVICE_UNAVAILABLE);
    }
    let lifetime = shared.settings.lifetime;
    let answer = shared.dialect.directory_answer(&addresses, lifetime);
    json(StatusCode::OK, answer)
}

fn status_only(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(empty());
    *response.status_mut() = status;
    response
}
