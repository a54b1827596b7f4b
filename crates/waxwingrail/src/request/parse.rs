//! Parses the request line and headers of incoming requests.

use std::net::IpAddr;

use hyper::HeaderMap;
use hyper::header::{AUTHORIZATION, CONTENT_LENGTH, HeaderName};
use hyper::http::request::Parts;
use smol_str::SmolStr;
use waxwing_core::{Forwarded, IncomingRequest, PresentedKey};
use waxwing_records::KeyHash;
use waxwing_types::{Millis, RefusalReason, RegionId, ServiceId, WorkspaceId};

/// Workspace of the authenticated caller. Targets get it in place of the API key.
pub(crate) const X_WORKSPACE: HeaderName = HeaderName::from_static("x-workspace");
/// Set to `1` on a response if the request was not run.
pub(crate) const X_NOT_RUN: HeaderName = HeaderName::from_static("x-not-run");
/// Id that a caller gives a request, which targets may return.
pub(crate) const X_REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// Region of the entry VM that forwards a request.
pub(crate) const X_FROM_REGION: HeaderName = HeaderName::from_static("x-from-region");
/// Public id of the caller's API key, sent between entry VMs.
pub(crate) const X_KEY_ID: HeaderName = HeaderName::from_static("x-key-id");
/// Hash of the caller's API key, sent between entry VMs.
pub(crate) const X_KEY_HASH: HeaderName = HeaderName::from_static("x-key-hash");
/// IP address of the caller, sent between entry VMs.
pub(crate) const X_CLIENT: HeaderName = HeaderName::from_static("x-client");
/// Identifies a non-idempotent request across retries by the caller.
pub(crate) const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Time that the sender waits for a response, in milliseconds.
pub(crate) const REQUEST_TIMEOUT_MS: HeaderName = HeaderName::from_static("request-timeout-ms");

/// Path prefix of all service calls; the service name follows it.
const SERVICE_PATH_PREFIX: &str = "/v1/svc/";
/// Maximum length of an idempotency key in bytes.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 256;

/// Why the head of a request was rejected.
#[derive(Debug)]
pub(crate) struct RequestError {
    pub(crate) reason: RefusalReason,
    pub(crate) detail: &'static str,
}

/// A `bad_request` error with this detail.
const fn bad_request(detail: &'static str) -> RequestError {
    RequestError {
        reason: RefusalReason::BadRequest,
        detail,
    }
}

/// Parses the head of a request from a caller.
pub(crate) fn caller_request(
    head: &Parts,
    caller_ip: IpAddr,
    max_body: u64,
) -> Result<IncomingRequest, RequestError> {
    let presented_key = presented_key(&head.headers)?;
    parse_head(head, caller_ip, max_body, presented_key, None)
}

/// Parses the head of a request that an entry VM of another region forwarded.
pub(crate) fn forwarded_request(
    head: &Parts,
    peer_ip: IpAddr,
    max_body: u64,
) -> Result<IncomingRequest, RequestError> {
    let headers = &head.headers;
    let Some(from_region) = single_value(headers, &X_FROM_REGION, "X-From-Region is malformed")?
    else {
        return Err(bad_request("X-From-Region is missing"));
    };
    let caller_ip = single_value(headers, &X_CLIENT, "X-Client is malformed")?;
    let caller_ip = caller_ip.map_or(Ok(peer_ip), str::parse);
    let caller_ip = caller_ip.map_err(|_| bad_request("X-Client is malformed"))?;
    let forwarded = Forwarded {
        workspace: single_value(headers, &X_WORKSPACE, "X-Workspace is malformed")?
            .map(WorkspaceId::from),
        from_region: RegionId::from(from_region),
    };
    let key_id = single_value(headers, &X_KEY_ID, "X-Key-Id is malformed")?;
    let key_hash = single_value(headers, &X_KEY_HASH, "X-Key-Hash is malformed")?;
    let presented_key = match (key_id, key_hash.map(KeyHash::from_hex)) {
        (Some(id), Some(Some(hash))) => Some(PresentedKey {
            id: SmolStr::new(id),
            hash,
        }),
        (None, None) => None,
        _ => {
            return Err(bad_request(
                "X-Key-Id and X-Key-Hash do not belong together",
            ));
        }
    };
    if forwarded.workspace.is_some() && presented_key.is_none() {
        return Err(bad_request("X-Workspace without a key"));
    }
    parse_head(head, caller_ip, max_body, presented_key, Some(forwarded))
}

/// Parses what requests of callers and forwarded requests have in common.
fn parse_head(
    head: &Parts,
    caller_ip: IpAddr,
    max_body: u64,
    presented_key: Option<PresentedKey>,
    forwarded: Option<Forwarded>,
) -> Result<IncomingRequest, RequestError> {
    let (service, path) = split_service_path(head)?;
    let headers = &head.headers;
    let content_length = content_length(headers)?;
    if content_length.is_some_and(|length| length > max_body) {
        return Err(RequestError {
            reason: RefusalReason::TooLarge,
            detail: "the body exceeds the limit",
        });
    }
    Ok(IncomingRequest {
        service,
        method: SmolStr::new(head.method.as_str()),
        path,
        api_key: presented_key,
        idempotency_key: idempotency_key(headers)?,
        requested_timeout: requested_timeout(headers)?,
        body_length: content_length,
        client_ip: caller_ip,
        body_hash: None,
        forwarded,
    })
}

/// Splits the URL into the service name and the path and query below the service.
fn split_service_path(head: &Parts) -> Result<(ServiceId, SmolStr), RequestError> {
    let not_a_service = RequestError {
        reason: RefusalReason::ServiceUnknown,
        detail: "expected /v1/svc/SERVICE/PATH",
    };
    let full_path = head.uri.path_and_query().map_or("/", |p| p.as_str());
    let Some(rest) = full_path.strip_prefix(SERVICE_PATH_PREFIX) else {
        return Err(not_a_service);
    };
    let service_end = rest.find(['/', '?']).unwrap_or(rest.len());
    let (service, path) = rest.split_at(service_end);
    if service.is_empty() {
        return Err(not_a_service);
    }
    let path = match path {
        "" => SmolStr::new_static("/"),
        query if query.starts_with('?') => SmolStr::new(format!("/{query}")),
        path => SmolStr::new(path),
    };
    Ok((ServiceId::from(service), path))
}

/// The caller's API key from the `Authorization` header.
///
/// A malformed key becomes a key that matches no record. The caller thus gets the same response for
/// a malformed key as for an unknown one.
fn presented_key(headers: &HeaderMap) -> Result<Option<PresentedKey>, RequestError> {
    let mut values = headers.get_all(AUTHORIZATION).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(bad_request("more than one Authorization header"));
    }
    let credentials = value.to_str().unwrap_or("");
    let (scheme, key) = credentials.split_once(' ').unwrap_or(("", ""));
    let key = if scheme.eq_ignore_ascii_case("bearer") {
        key.trim()
    } else {
        ""
    };
    let (id, _) = key.split_once('.').unwrap_or(("", ""));
    Ok(Some(PresentedKey {
        id: SmolStr::new(id),
        hash: KeyHash::of(key),
    }))
}

/// The `Idempotency-Key` header.
fn idempotency_key(headers: &HeaderMap) -> Result<Option<SmolStr>, RequestError> {
    let key = single_value(headers, &IDEMPOTENCY_KEY, "Idempotency-Key is malformed")?;
    match key {
        Some(key) if key.is_empty() || key.len() > MAX_IDEMPOTENCY_KEY_BYTES => {
            Err(bad_request("Idempotency-Key must have 1 to 256 characters"))
        }
        key => Ok(key.map(SmolStr::new)),
    }
}

/// The `Request-Timeout-Ms` header.
fn requested_timeout(headers: &HeaderMap) -> Result<Option<Millis>, RequestError> {
    let detail = "Request-Timeout-Ms must be a whole number of at least 1";
    let Some(text) = single_value(headers, &REQUEST_TIMEOUT_MS, detail)? else {
        return Ok(None);
    };
    match text.parse() {
        Ok(ms) if ms > 0 => Ok(Some(Millis(ms))),
        Ok(_) | Err(_) => Err(bad_request(detail)),
    }
}

/// The `Content-Length` header.
fn content_length(headers: &HeaderMap) -> Result<Option<u64>, RequestError> {
    let text = single_value(headers, &CONTENT_LENGTH, "Content-Length is malformed")?;
    let length = text.map(str::parse).transpose();
    length.map_err(|_| bad_request("Content-Length is malformed"))
}

/// The value of a header, or `None` without the header. Fails with `detail` if the header occurs
/// more than once or is not visible ASCII.
fn single_value<'a>(
    headers: &'a HeaderMap,
    name: &HeaderName,
    detail: &'static str,
) -> Result<Option<&'a str>, RequestError> {
    let mut values = headers.get_all(name).iter();
    let value = values.next();
    if values.next().is_some() {
        return Err(bad_request(detail));
    }
    value
        .map(|v| v.to_str().map_err(|_| bad_request(detail)))
        .transpose()
}
