//! Builds the requests that are sent to targets and to entry VMs of other regions.

use std::net::SocketAddr;

use hyper::header::{AUTHORIZATION, EXPECT, HOST, HeaderValue};
use hyper::http::request::Parts;
use hyper::{HeaderMap, Method, Request, Response, Uri};
use waxwing_core::{Flow, IncomingRequest, PresentedKey};
use waxwing_http::{
    AnyConnection, Body, Client, ResponseId, Returned, SendError, remove_hop_headers,
    remove_proxy_headers,
};
use waxwing_types::{Millis, RegionId, WorkspaceId};

use super::parse::{
    REQUEST_TIMEOUT_MS, X_CLIENT, X_FROM_REGION, X_KEY_HASH, X_KEY_ID, X_NOT_RUN, X_REQUEST_ID,
    X_WORKSPACE,
};

/// The parts of a request that are the same for all its attempts.
pub(crate) struct OutboundRequest {
    method: Method,
    /// Path and query as received.
    full_uri: Uri,
    /// Path and query without the prefix that names the service.
    service_uri: Uri,
    headers: HeaderMap,
}

impl OutboundRequest {
    /// Takes the method, path and headers from the head of a request and drops the headers that
    /// must not be forwarded. `None` if the path below the service is malformed.
    pub(crate) fn new(head: Parts, incoming: &IncomingRequest) -> Option<Self> {
        let mut headers = head.headers;
        remove_hop_headers(&mut headers);
        remove_proxy_headers(&mut headers);
        let internal = [X_WORKSPACE, X_FROM_REGION, X_KEY_ID, X_KEY_HASH, X_CLIENT];
        for name in internal.into_iter().chain([AUTHORIZATION, EXPECT, HOST]) {
            headers.remove(name);
        }
        // By its id, the response is told from copies of earlier ones.
        headers
            .entry(X_REQUEST_ID)
            .or_insert_with(|| fastrand::u64(..).into());
        let path = head.uri.path_and_query()?.as_str();
        Some(Self {
            method: head.method,
            full_uri: path.parse().ok()?,
            service_uri: incoming.path.parse().ok()?,
            headers,
        })
    }

    /// Builds a request to a target.
    pub(crate) fn to_target(
        &self,
        workspace: Option<&WorkspaceId>,
        remaining: Millis,
        body: Body,
    ) -> Request<Body> {
        let mut request = self.build(&self.service_uri, remaining, body);
        set_header(
            request.headers_mut(),
            X_WORKSPACE,
            workspace.map(WorkspaceId::as_str),
        );
        request
    }

    /// Builds a request to an entry VM of another region.
    pub(crate) fn to_region(
        &self,
        from_region: &RegionId,
        flow: &Flow,
        remaining: Millis,
        body: Body,
    ) -> Request<Body> {
        let incoming = flow.request();
        let mut request = self.build(&self.full_uri, remaining, body);
        let headers = request.headers_mut();
        set_header(
            headers,
            X_WORKSPACE,
            flow.workspace().map(WorkspaceId::as_str),
        );
        set_header(headers, X_FROM_REGION, Some(from_region.as_str()));
        set_header(headers, X_CLIENT, Some(&incoming.client_ip.to_string()));
        if let Some(PresentedKey { id, hash }) = &incoming.api_key {
            set_header(headers, X_KEY_ID, Some(id));
            set_header(headers, X_KEY_HASH, Some(&hash.to_string()));
        }
        request
    }

    /// Builds a request with the common headers and the remaining time as its timeout.
    fn build(&self, uri: &Uri, remaining: Millis, body: Body) -> Request<Body> {
        let mut request = Request::new(body);
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = uri.clone();
        *request.headers_mut() = self.headers.clone();
        set_header(
            request.headers_mut(),
            REQUEST_TIMEOUT_MS,
            Some(&remaining.0.to_string()),
        );
        request
    }
}

/// Sets a header. Does nothing if there is no value or the value is not valid in a header.
fn set_header(headers: &mut HeaderMap, name: hyper::header::HeaderName, value: Option<&str>) {
    if let Some(Ok(value)) = value.map(HeaderValue::from_str) {
        headers.insert(name, value);
    }
}

/// Sends a request. A response that may be an extra copy of an earlier one is not returned.
pub(crate) async fn send(
    client: Client,
    address: SocketAddr,
    request: Request<Body>,
) -> Result<Response<Body>, SendError> {
    let id = ResponseId {
        header: &X_REQUEST_ID,
        returned: Returned::MayLack,
    };
    client
        .send_identified(address, request, id, &AnyConnection)
        .await
}

/// Whether a response states that the request was not run.
pub(crate) fn is_marked_not_run(headers: &HeaderMap) -> bool {
    headers.get(X_NOT_RUN).is_some_and(|value| value == "1")
}
