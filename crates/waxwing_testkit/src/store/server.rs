//! The store double over HTTP (design page, section 2.3) with its commands.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;

use async_executor::Executor;
use hyper::body::Incoming;
use hyper::header::{ETAG, HeaderValue, IF_MATCH, IF_NONE_MATCH};
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use waxwing_http::{Body, Handler, Server, ServerLimits, collect, empty, full};
use waxwing_store::wire::{ChangesBody, ObjectBody, VmsBody, etag, parse_etag};
use waxwing_store::{
    ChangesOutcome, Condition, MAX_VALUE_BYTES, ReadOutcome, Store, VmsOutcome, WriteOutcome,
};
use waxwing_types::{Millis, Revision};

use super::MemoryStore;
use crate::http::{broken, query, text, to_json};

/// The double itself never gives up on a call; the caller's deadline does.
const NO_TIMEOUT: Millis = Millis::from_secs(24 * 3600);

struct StoreHandler {
    store: MemoryStore,
}

/// Serves a store double.
///
/// # Errors
/// The address cannot be bound.
pub async fn serve_store(
    executor: &Arc<Executor<'static>>,
    address: SocketAddr,
    store: MemoryStore,
) -> io::Result<Server> {
    let handler = Arc::new(StoreHandler { store });
    Server::start(executor, address, ServerLimits::default(), handler).await
}

impl Handler for StoreHandler {
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
        _peer: SocketAddr,
    ) -> Pin<Box<dyn Future<Output = Response<Body>> + Send>> {
        Box::pin(async move { self.route(request).await })
    }
}

impl StoreHandler {
    async fn route(&self, request: Request<Incoming>) -> Response<Body> {
        let (head, body) = request.into_parts();
        let path = head.uri.path();
        if let Some(object) = path.strip_prefix("/v1/objects/") {
            return match head.method {
                Method::GET => self.get(object).await,
                Method::PUT => self.put(object, &head.headers, body).await,
                Method::DELETE => self.delete(object, &head.headers).await,
                _ => text(
                    StatusCode::METHOD_NOT_ALLOWED,
                    "expected GET, PUT or DELETE",
                ),
            };
        }
        match (&head.method, path) {
            (&Method::GET, "/v1/changes") => self.changes(head.uri.query().unwrap_or("")).await,
            (&Method::GET, "/v1/vms") => self.vms().await,
            (&Method::GET, "/control/stats") => to_json(&self.store.stats()),
            (&Method::POST, "/control") => self.control(body).await,
            _ => text(StatusCode::NOT_FOUND, "no such resource"),
        }
    }

    async fn get(&self, path: &str) -> Response<Body> {
        match self.store.get(path, NO_TIMEOUT).await {
            ReadOutcome::Found(object) => {
                let mut response = Response::new(full(object.value));
                set_etag(&mut response, object.version);
                response
            }
            ReadOutcome::Absent => text(StatusCode::NOT_FOUND, "no such object"),
            ReadOutcome::Unreachable(_) => broken(),
        }
    }

    async fn put(&self, path: &str, headers: &HeaderMap, body: Incoming) -> Response<Body> {
        let Some(condition) = condition(headers) else {
            return text(
                StatusCode::BAD_REQUEST,
                "expected If-Match: \"VERSION\" or If-None-Match: *",
            );
        };
        let Ok(value) = collect(body, MAX_VALUE_BYTES).await else {
            return text(StatusCode::PAYLOAD_TOO_LARGE, "value too large");
        };
        let value = value.to_vec();
        write_response(self.store.put(path, value, condition, NO_TIMEOUT).await)
    }

    async fn delete(&self, path: &str, headers: &HeaderMap) -> Response<Body> {
        let Some(Condition::Version(version)) = condition(headers) else {
            return text(StatusCode::BAD_REQUEST, "expected If-Match: \"VERSION\"");
        };
        write_response(self.store.delete(path, version, NO_TIMEOUT).await)
    }

    async fn changes(&self, uri_query: &str) -> Response<Body> {
        let number = |name| query(uri_query, name).and_then(|n| n.parse().ok());
        let prefix = query(uri_query, "prefix").unwrap_or_default();
        let after = Revision(number("after").unwrap_or(0));
        let wait = Millis(number("wait_ms").unwrap_or(0));
        match self.store.changes(&prefix, after, wait, NO_TIMEOUT).await {
            ChangesOutcome::Changes {
                objects,
                revision,
                more,
            } => {
                let body = |o: waxwing_store::Object| ObjectBody {
                    path: o.path,
                    version: o.version,
                    value: String::from_utf8_lossy(&o.value).into_owned(),
                };
                to_json(&ChangesBody {
                    objects: objects.into_iter().map(body).collect(),
                    revision,
                    more,
                })
            }
            ChangesOutcome::Unreachable(_) => broken(),
        }
    }

    async fn vms(&self) -> Response<Body> {
        match self.store.vms(NO_TIMEOUT).await {
            VmsOutcome::Listed(vms) => to_json(&VmsBody { vms }),
            VmsOutcome::Unreachable(_) => broken(),
        }
    }

    async fn control(&self, body: Incoming) -> Response<Body> {
        let Ok(body) = collect(body, MAX_VALUE_BYTES).await else {
            return text(StatusCode::BAD_REQUEST, "cannot read the body");
        };
        match serde_json::from_slice(&body) {
            Ok(control) => {
                self.store.control(control);
                Response::new(empty())
            }
            Err(error) => text(StatusCode::BAD_REQUEST, &error.to_string()),
        }
    }
}

fn condition(headers: &HeaderMap) -> Option<Condition> {
    let value = |name| headers.get(name).and_then(|v| v.to_str().ok());
    match (value(IF_MATCH), value(IF_NONE_MATCH)) {
        (Some(tag), None) => parse_etag(tag).map(Condition::Version),
        (None, Some("*")) => Some(Condition::Absent),
        (Some(_) | None, Some(_)) | (None, None) => None,
    }
}

fn write_response(outcome: WriteOutcome) -> Response<Body> {
    let (status, version) = match outcome {
        WriteOutcome::Created(version) => (StatusCode::CREATED, Some(version)),
        WriteOutcome::Updated(version) => (StatusCode::OK, Some(version)),
        WriteOutcome::Conflict(current) => (StatusCode::PRECONDITION_FAILED, current),
        WriteOutcome::Absent => (StatusCode::NOT_FOUND, None),
        WriteOutcome::Rejected { status, message } => {
            let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_REQUEST);
            return text(status, &message);
        }
        WriteOutcome::Unreachable(_) | WriteOutcome::Unknown(_) => return broken(),
    };
    let mut response = Response::new(empty());
    *response.status_mut() = status;
    if let Some(version) = version {
        set_etag(&mut response, version);
    }
    response
}

fn set_etag(response: &mut Response<Body>, version: Revision) {
    if let Ok(value) = HeaderValue::from_str(&etag(version)) {
        response.headers_mut().insert(ETAG, value);
    }
}
