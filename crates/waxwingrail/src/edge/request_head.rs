//! What the head of a request of a caller states, and what of it is not passed on to a target.

use hyper::HeaderMap;
use hyper::header::{AUTHORIZATION, COOKIE, EXPECT};
use smol_str::SmolStr;
use waxwing_http::{HeaderNames, remove_hop_headers, remove_proxy_headers};
use waxwing_types::Millis;

/// The time that the caller waits for a response, from its head.
pub(super) fn requested_time(headers: &HeaderMap, names: &HeaderNames) -> Option<Millis> {
    let value = headers.get(&names.deadline);
    value
        .and_then(|v| v.to_str().ok()?.parse().ok())
        .map(Millis)
}

/// The value of the affinity cookie. Requests with the same value prefer the same target.
pub(super) fn affinity_key(headers: &HeaderMap, names: &HeaderNames) -> Option<SmolStr> {
    let cookies = headers.get_all(COOKIE).iter();
    let cookies = cookies.filter_map(|v| v.to_str().ok());
    let mut pairs = cookies
        .flat_map(|v| v.split(';'))
        .filter_map(|pair| pair.trim().split_once('='));
    let (_, value) = pairs.find(|(key, _)| *key == names.object)?;
    Some(value.into())
}

pub(super) fn request_id(headers: &HeaderMap, names: &HeaderNames) -> SmolStr {
    let id = headers.get(&names.request_id).and_then(|v| v.to_str().ok());
    id.unwrap_or_default().into()
}

/// Removes the headers that concern only the connection of the caller, its key, and those that this VM sets itself.
pub(super) fn strip_headers(headers: &mut HeaderMap, names: &HeaderNames) {
    remove_hop_headers(headers);
    remove_proxy_headers(headers);
    headers.remove(AUTHORIZATION);
    headers.remove(EXPECT);
    headers.remove(&names.workspace);
    headers.remove(&names.instance);
}
