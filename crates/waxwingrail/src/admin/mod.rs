//! HTTP endpoints of the admin address: health, metrics, and the status and explain reports that
//! `waxwingctl` shows.

mod explain;
mod status;

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;

use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use waxwing_http::{Body, Handler, Problem, full, json};
use waxwing_types::{Ran, RefusalReason};

use crate::state::Shared;

/// Content type of the Prometheus text format.
const METRICS_CONTENT_TYPE: HeaderValue = HeaderValue::from_static("text/plain; version=0.0.4");

/// Handler of requests to the admin address.
pub(crate) struct AdminHandler(pub(crate) Arc<Shared>);

impl Handler for AdminHandler {
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
        _peer: SocketAddr,
    ) -> Pin<Box<dyn Future<Output = Response<Body>> + Send>> {
        Box::pin(async move { respond(&self.0, &request) })
    }
}

fn respond(shared: &Shared, request: &Request<Incoming>) -> Response<Body> {
    if request.method() != Method::GET {
        return problem(StatusCode::METHOD_NOT_ALLOWED, "expected GET");
    }
    match request.uri().path() {
        "/healthz" => text(StatusCode::OK, "ok\n".to_owned()),
        "/readyz" => readiness(shared),
        "/metrics" => {
            shared.update_gauges();
            let mut response = text(StatusCode::OK, shared.metrics.render());
            response
                .headers_mut()
                .insert(CONTENT_TYPE, METRICS_CONTENT_TYPE);
            response
        }
        "/v1/status" => json(StatusCode::OK, status::render(shared)),
        "/v1/explain" => match explain::render(shared, request.uri().query()) {
            Ok(body) => json(StatusCode::OK, body),
            Err(missing) => problem(
                StatusCode::BAD_REQUEST,
                &format!("the parameter {missing} is missing"),
            ),
        },
        _ => problem(StatusCode::NOT_FOUND, "unknown path"),
    }
}

fn readiness(shared: &Shared) -> Response<Body> {
    let (status, body) = if shared.is_stopping() {
        (StatusCode::SERVICE_UNAVAILABLE, "stopping\n")
    } else if shared.is_ready() {
        (StatusCode::OK, "ready\n")
    } else {
        (StatusCode::SERVICE_UNAVAILABLE, "no configuration yet\n")
    };
    text(status, body.to_owned())
}

fn text(status: StatusCode, body: String) -> Response<Body> {
    let mut response = Response::new(full(body));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    response
}

fn problem(status: StatusCode, detail: &str) -> Response<Body> {
    Problem {
        status,
        reason: RefusalReason::BadRequest.as_str(),
        ran: Ran::No,
        detail,
        retry_after: None,
    }
    .response()
}
