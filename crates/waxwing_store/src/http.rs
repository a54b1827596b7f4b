//! The store over HTTP.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;

use hyper::header::{CONNECTION, ETAG, IF_MATCH, IF_NONE_MATCH};
use hyper::{Method, Request, StatusCode, Uri};
use smol_str::SmolStr;
use waxwing_http::{Body, Client, Endpoint, ExchangeError, empty, exchange, full};
use waxwing_types::{Millis, Revision};

use crate::wire::{ChangesBody, VmsBody, etag, parse_etag};
use crate::{
    ChangesOutcome, Condition, Object, Pending, ReadOutcome, Store, VmsOutcome, WriteOutcome,
};

/// Most bytes read of one response. A page of changes holds 4 MB of values, which are quoted.
const MAX_BODY_BYTES: usize = 32_000_000;

/// The store at an address. Clones share the client's connections.
///
/// Answers do not name their call, so that an extra copy of one on a kept connection would be taken for the answer to the next
/// call. Reads and writes of objects therefore have a connection each. Lists and watches are kept apart by what they read:
/// revisions show that a copy is old.
#[derive(Clone, Debug)]
pub struct HttpStore {
    client: Client,
    address: SocketAddr,
}

/// A response that was read to its end.
struct Answer {
    status: StatusCode,
    version: Option<Revision>,
    body: Vec<u8>,
}

impl HttpStore {
    /// The store at `address`, over the connections of `client`.
    pub fn new(client: Client, address: SocketAddr) -> Self {
        Self { client, address }
    }

    async fn call(
        &self,
        request: Result<Request<Body>, hyper::http::Error>,
        timeout: Millis,
    ) -> Result<Answer, ExchangeError> {
        let request = request.map_err(|e| ExchangeError::Unsent(e.to_string()))?;
        let endpoint = Endpoint {
            address: self.address,
            group: group(request.uri()),
        };
        let response = exchange(&self.client, endpoint, request, timeout, MAX_BODY_BYTES).await?;
        let tag = response.headers().get(ETAG);
        Ok(Answer {
            status: response.status(),
            version: tag.and_then(|t| parse_etag(t.to_str().ok()?)),
            body: response.into_body(),
        })
    }

    async fn write(
        &self,
        request: Result<Request<Body>, hyper::http::Error>,
        timeout: Millis,
    ) -> WriteOutcome {
        match self.call(request, timeout).await {
            Ok(answer) => write_outcome(&answer),
            Err(ExchangeError::Unsent(reason)) => WriteOutcome::Unreachable(reason),
            Err(ExchangeError::Sent(reason) | ExchangeError::TooLong(reason)) => {
                WriteOutcome::Unknown(reason)
            }
        }
    }

    /// A read whose answer must have status 200.
    async fn read(&self, uri: String, timeout: Millis) -> Result<Vec<u8>, String> {
        let request = Request::get(uri).body(empty());
        match self.call(request, timeout).await {
            Ok(answer) if answer.status == StatusCode::OK => Ok(answer.body),
            Ok(answer) => Err(format!("status {}", answer.status)),
            Err(failure) => Err(failure.reason()),
        }
    }
}

impl Store for HttpStore {
    fn get<'a>(&'a self, path: &'a str, timeout: Millis) -> Pending<'a, ReadOutcome> {
        Box::pin(async move {
            let request = Request::get(object_uri(path)).header(CONNECTION, "close");
            let request = request.body(empty());
            match self.call(request, timeout).await {
                Ok(answer) => read_outcome(path, answer),
                Err(failure) => ReadOutcome::Unreachable(failure.reason()),
            }
        })
    }

    fn put<'a>(
        &'a self,
        path: &'a str,
        value: Vec<u8>,
        condition: Condition,
        timeout: Millis,
    ) -> Pending<'a, WriteOutcome> {
        Box::pin(async move {
            let request = Request::put(object_uri(path)).header(CONNECTION, "close");
            let request = match condition {
                Condition::Absent => request.header(IF_NONE_MATCH, "*"),
                Condition::Version(version) => request.header(IF_MATCH, etag(version)),
            };
            self.write(request.body(full(value)), timeout).await
        })
    }

    fn delete<'a>(
        &'a self,
        path: &'a str,
        version: Revision,
        timeout: Millis,
    ) -> Pending<'a, WriteOutcome> {
        Box::pin(async move {
            let request = Request::builder()
                .method(Method::DELETE)
                .uri(object_uri(path))
                .header(IF_MATCH, etag(version))
                .header(CONNECTION, "close")
                .body(empty());
            self.write(request, timeout).await
        })
    }

    fn changes<'a>(
        &'a self,
        prefix: &'a str,
        after: Revision,
        wait: Millis,
        timeout: Millis,
    ) -> Pending<'a, ChangesOutcome> {
        Box::pin(async move {
            let wait_ms = wait.0;
            let uri = format!("/v1/changes?prefix={prefix}&after={after}&wait_ms={wait_ms}");
            let body = match self.read(uri, wait + timeout).await {
                Ok(body) => body,
                Err(reason) => return ChangesOutcome::Unreachable(reason),
            };
            match serde_json::from_slice::<ChangesBody>(&body) {
                Ok(body) => body.into(),
                Err(error) => ChangesOutcome::Unreachable(error.to_string()),
            }
        })
    }

    fn vms(&self, timeout: Millis) -> Pending<'_, VmsOutcome> {
        Box::pin(async move {
            let body = match self.read("/v1/vms".into(), timeout).await {
                Ok(body) => body,
                Err(reason) => return VmsOutcome::Unreachable(reason),
            };
            match serde_json::from_slice::<VmsBody>(&body) {
                Ok(body) => VmsOutcome::Listed(body.vms),
                Err(error) => VmsOutcome::Unreachable(error.to_string()),
            }
        })
    }
}

/// The group of the kept connections of a list or watch: what it reads, without the revision from which on.
fn group(uri: &Uri) -> u64 {
    let prefix = uri.query().and_then(|query| query.split('&').next());
    let mut hasher = DefaultHasher::new();
    (uri.path(), prefix).hash(&mut hasher);
    hasher.finish()
}

fn object_uri(path: &str) -> String {
    format!("/v1/objects/{path}")
}

fn read_outcome(path: &str, answer: Answer) -> ReadOutcome {
    match (answer.status, answer.version) {
        (StatusCode::OK, Some(version)) => ReadOutcome::Found(Object {
            path: SmolStr::new(path),
            version,
            value: answer.body,
        }),
        (StatusCode::NOT_FOUND, _) => ReadOutcome::Absent,
        (status, _) => ReadOutcome::Unreachable(format!("status {status}")),
    }
}

fn write_outcome(answer: &Answer) -> WriteOutcome {
    match (answer.status, answer.version) {
        (StatusCode::CREATED, Some(version)) => WriteOutcome::Created(version),
        (StatusCode::OK, Some(version)) => WriteOutcome::Updated(version),
        (StatusCode::PRECONDITION_FAILED, current) => WriteOutcome::Conflict(current),
        (StatusCode::NOT_FOUND, _) => WriteOutcome::Absent,
        (status, _) if status.is_client_error() => WriteOutcome::Rejected {
            status: status.as_u16(),
            message: String::from_utf8_lossy(&answer.body).into_owned(),
        },
        (status, _) => WriteOutcome::Unknown(format!("status {status}")),
    }
}
