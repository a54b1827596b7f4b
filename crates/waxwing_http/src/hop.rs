//! Headers that concern one connection and must not be relayed (RFC 9110, section 7.6.1).

use hyper::HeaderMap;
use hyper::header::{CONNECTION, HeaderName, TE, TRAILER, TRANSFER_ENCODING, UPGRADE};

/// Removes the hop-by-hop headers and those that `Connection` names.
pub fn remove_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in [CONNECTION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE] {
        headers.remove(name);
    }
    headers.remove("keep-alive");
}

/// Removes every `Proxy-*` header.
pub fn remove_proxy_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .keys()
        .filter(|name| name.as_str().starts_with("proxy-"))
        .cloned()
        .collect();
    for name in named {
        headers.remove(name);
    }
}
