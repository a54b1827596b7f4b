//! Reading of a request's head.

use std::net::IpAddr;

use hyper::HeaderMap;
use hyper::header::{AUTHORIZATION, CONTENT_LENGTH, HeaderName};
use hyper::http::request::Parts;
use smol_str::SmolStr;
use waxwing_core::{Forwarded, IncomingRequest, PresentedKey};
use waxwing_records::KeyHash;
use waxwing_types::{Millis, RefusalReason, RegionId, ServiceId, WorkspaceId};

/// Carries the workspace instead of the key.
pub(crate) const X_WORKSPACE: HeaderName = HeaderName::from_static("x-workspace");
/// Set to `1` on an answer that says that the request was not run.
pub(crate) const X_NOT_RUN: HeaderName = HeaderName::from_static("x-not-run");
/// Region of the entry VM that passes a request on.
pub(crate) const X_FROM_REGION: HeaderName = HeaderName::from_static("x-from-region");
/// Public id of the caller's key, between entry VMs.
pub(crate) const X_KEY_ID: HeaderName = HeaderName::from_static("x-key-id");
/// Hash of the caller's key, between entry VMs.
pub(crate) const X_KEY_HASH: HeaderName = HeaderName::from_static("x-key-hash");
/// Address of the caller, between entry VMs.
pub(crate) const X_CLIENT: HeaderName = HeaderName::from_static("x-client");
/// Names one run of a non-idempotent request.
pub(crate) const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Time that the caller is willing to wait, in milliseconds.
pub(crate) const REQUEST_TIMEOUT: HeaderName = HeaderName::from_static("request-timeout-ms");

/// Path under which services are called.
const PREFIX: &str = "/v1/svc/";
/// Longest idempotency key in bytes.
const MAX_IDEMPOTENCY_BYTES: usize = 256;

/// Why a request's head cannot be used.
#[derive(Debug)]
pub(crate) struct Fault {
    pub(crate) reason: RefusalReason,
    pub(crate) detail: &'static str,
}

const fn bad(detail: &'static str) -> Fault {
    Fault {
        reason: RefusalReason::BadRequest,
        detail,
    }
}

/// Reads the head of a request that came from a caller.
pub(crate) fn from_caller(
    head: &Parts,
    client: IpAddr,
    max_body: u64,
) -> Result<IncomingRequest, Fault> {
    let key = presented(&head.headers)?;
    read(head, client, max_body, key, None)
}

/// Reads the head of a request that an entry VM of another region passed on.
pub(crate) fn from_region(
    head: &Parts,
    peer: IpAddr,
    max_body: u64,
) -> Result<IncomingRequest, Fault> {
    let headers = &head.headers;
    let Some(from) = single(headers, &X_FROM_REGION, "X-From-Region is malformed")? else {
        return Err(bad("X-From-Region is missing"));
    };
    let client = single(headers, &X_CLIENT, "X-Client is malformed")?;
    let client = client.map_or(Ok(peer), str::parse);
    let client = client.map_err(|_| bad("X-Client is malformed"))?;
    let forwarded = Forwarded {
        workspace: single(headers, &X_WORKSPACE, "X-Workspace is malformed")?
            .map(WorkspaceId::from),
        from_region: RegionId::from(from),
    };
    let id = single(headers, &X_KEY_ID, "X-Key-Id is malformed")?;
    let hash = single(headers, &X_KEY_HASH, "X-Key-Hash is malformed")?;
    let key = match (id, hash.map(KeyHash::from_hex)) {
        (Some(id), Some(Some(hash))) => Some(PresentedKey {
            id: SmolStr::new(id),
            hash,
        }),
        (None, None) => None,
        _ => return Err(bad("X-Key-Id and X-Key-Hash do not belong together")),
    };
    if forwarded.workspace.is_some() && key.is_none() {
        return Err(bad("X-Workspace without a key"));
    }
    read(head, client, max_body, key, Some(forwarded))
}

fn read(
    head: &Parts,
    client: IpAddr,
    max_body: u64,
    key: Option<PresentedKey>,
    forwarded: Option<Forwarded>,
) -> Result<IncomingRequest, Fault> {
    let (service, path) = split(head)?;
    let headers = &head.headers;
    let length = length(headers)?;
    if length.is_some_and(|length| length > max_body) {
        return Err(Fault {
            reason: RefusalReason::TooLarge,
            detail: "the body exceeds the limit",
        });
    }
    Ok(IncomingRequest {
        service,
        method: SmolStr::new(head.method.as_str()),
        path,
        api_key: key,
        idempotency_key: idempotency(headers)?,
        requested_timeout: timeout(headers)?,
        body_length: length,
        client_ip: client,
        body_prefix_hash: 0,
        forwarded,
    })
}

fn split(head: &Parts) -> Result<(ServiceId, SmolStr), Fault> {
    let unknown = Fault {
        reason: RefusalReason::ServiceUnknown,
        detail: "expected /v1/svc/SERVICE/PATH",
    };
    let whole = head.uri.path_and_query().map_or("/", |p| p.as_str());
    let Some(rest) = whole.strip_prefix(PREFIX) else {
        return Err(unknown);
    };
    let end = rest.find(['/', '?']).unwrap_or(rest.len());
    let (service, path) = rest.split_at(end);
    if service.is_empty() {
        return Err(unknown);
    }
    let path = match path {
        "" => SmolStr::new_static("/"),
        query if query.starts_with('?') => SmolStr::new(format!("/{query}")),
        path => SmolStr::new(path),
    };
    Ok((ServiceId::from(service), path))
}

/// The caller's key. A malformed one is passed on as a key that no record holds, so that its answer
/// does not differ from that of an unknown key.
fn presented(headers: &HeaderMap) -> Result<Option<PresentedKey>, Fault> {
    let mut values = headers.get_all(AUTHORIZATION).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(bad("more than one Authorization header"));
    }
    let text = value.to_str().unwrap_or("");
    let (scheme, key) = text.split_once(' ').unwrap_or(("", ""));
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

fn idempotency(headers: &HeaderMap) -> Result<Option<SmolStr>, Fault> {
    let text = single(headers, &IDEMPOTENCY_KEY, "Idempotency-Key is malformed")?;
    match text {
        Some(text) if text.is_empty() || text.len() > MAX_IDEMPOTENCY_BYTES => {
            Err(bad("Idempotency-Key must have 1 to 256 characters"))
        }
        text => Ok(text.map(SmolStr::new)),
    }
}

fn timeout(headers: &HeaderMap) -> Result<Option<Millis>, Fault> {
    let detail = "Request-Timeout-Ms must be a whole number of at least 1";
    let Some(text) = single(headers, &REQUEST_TIMEOUT, detail)? else {
        return Ok(None);
    };
    match text.parse() {
        Ok(ms) if ms > 0 => Ok(Some(Millis(ms))),
        Ok(_) | Err(_) => Err(bad(detail)),
    }
}

fn length(headers: &HeaderMap) -> Result<Option<u64>, Fault> {
    let text = single(headers, &CONTENT_LENGTH, "Content-Length is malformed")?;
    let length = text.map(str::parse).transpose();
    length.map_err(|_| bad("Content-Length is malformed"))
}

/// The value of a header that may occur once.
fn single<'a>(
    headers: &'a HeaderMap,
    name: &HeaderName,
    detail: &'static str,
) -> Result<Option<&'a str>, Fault> {
    let mut values = headers.get_all(name).iter();
    let first = values.next();
    if values.next().is_some() {
        return Err(bad(detail));
    }
    first
        .map(|v| v.to_str().map_err(|_| bad(detail)))
        .transpose()
}
