//! Requests to targets and to entry VMs of other regions.

use hyper::header::{AUTHORIZATION, EXPECT, HOST, HeaderValue};
use hyper::http::request::Parts;
use hyper::{HeaderMap, Method, Request, Uri};
use waxwing_core::{Flow, IncomingRequest, PresentedKey};
use waxwing_http::{Body, remove_hop_headers, remove_proxy_headers};
use waxwing_types::{Millis, RegionId, WorkspaceId};

use super::arrive::{
    REQUEST_TIMEOUT, X_CLIENT, X_FROM_REGION, X_KEY_HASH, X_KEY_ID, X_NOT_RUN, X_WORKSPACE,
};

/// The part of a request that every attempt shares.
pub(crate) struct Outbound {
    method: Method,
    /// Path and query as the caller sent them.
    whole: Uri,
    /// Path and query below the service.
    below: Uri,
    headers: HeaderMap,
}

impl Outbound {
    /// Takes over a head without the headers that must not be relayed. `None` if the path below the
    /// service is not a path.
    pub(crate) fn new(head: Parts, arrival: &IncomingRequest) -> Option<Self> {
        let mut headers = head.headers;
        remove_hop_headers(&mut headers);
        remove_proxy_headers(&mut headers);
        let own = [X_WORKSPACE, X_FROM_REGION, X_KEY_ID, X_KEY_HASH, X_CLIENT];
        for name in own.into_iter().chain([AUTHORIZATION, EXPECT, HOST]) {
            headers.remove(name);
        }
        let path = head.uri.path_and_query()?.as_str();
        Some(Self {
            method: head.method,
            whole: path.parse().ok()?,
            below: arrival.path.parse().ok()?,
            headers,
        })
    }

    /// The request to a target.
    pub(crate) fn to_target(
        &self,
        workspace: Option<&WorkspaceId>,
        left: Millis,
        body: Body,
    ) -> Request<Body> {
        let mut request = self.request(&self.below, left, body);
        set(
            request.headers_mut(),
            X_WORKSPACE,
            workspace.map(WorkspaceId::as_str),
        );
        request
    }

    /// The request to an entry VM of another region.
    pub(crate) fn to_region(
        &self,
        home: &RegionId,
        flow: &Flow,
        left: Millis,
        body: Body,
    ) -> Request<Body> {
        let arrival = flow.request();
        let mut request = self.request(&self.whole, left, body);
        let headers = request.headers_mut();
        set(
            headers,
            X_WORKSPACE,
            flow.workspace().map(WorkspaceId::as_str),
        );
        set(headers, X_FROM_REGION, Some(home.as_str()));
        set(headers, X_CLIENT, Some(&arrival.client_ip.to_string()));
        if let Some(PresentedKey { id, hash }) = &arrival.api_key {
            set(headers, X_KEY_ID, Some(id));
            set(headers, X_KEY_HASH, Some(&hash.to_string()));
        }
        request
    }

    fn request(&self, uri: &Uri, left: Millis, body: Body) -> Request<Body> {
        let mut request = Request::new(body);
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = uri.clone();
        *request.headers_mut() = self.headers.clone();
        set(
            request.headers_mut(),
            REQUEST_TIMEOUT,
            Some(&left.0.to_string()),
        );
        request
    }
}

fn set(headers: &mut HeaderMap, name: hyper::header::HeaderName, value: Option<&str>) {
    if let Some(Ok(value)) = value.map(HeaderValue::from_str) {
        headers.insert(name, value);
    }
}

/// Whether an answer says that the request was not run.
pub(crate) fn says_not_run(headers: &HeaderMap) -> bool {
    headers.get(X_NOT_RUN).is_some_and(|value| value == "1")
}
