//! Handles look-ups, by which callers find the entry VMs to send their requests to.

use std::net::IpAddr;

use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use serde::Serialize;
use waxwing_http::{Body, Problem, json};
use waxwing_types::{Ran, RefusalReason};

use crate::request::query::query_parameter;
use crate::state::Shared;

/// Path of look-up requests.
pub(crate) const LOOKUP_PATH: &str = "/v1/route";

/// An entry VM in the response.
#[derive(Serialize)]
struct VmEntry<'a> {
    id: &'a str,
    /// Failure domain of the VM.
    domain: &'a str,
    /// IP address and port for the requests of callers.
    address: String,
}

/// The response body of a look-up.
#[derive(Serialize)]
struct LookupResponse<'a> {
    /// The VMs to use, the best first.
    vms: Vec<VmEntry<'a>>,
    /// Time for which the caller may keep the response.
    lifetime_ms: u64,
}

/// Responds to a look-up. Does not check whether the service exists, so that callers cannot probe
/// for service names.
pub(crate) fn handle_lookup(
    shared: &Shared,
    request: &Request<Incoming>,
    peer_ip: IpAddr,
) -> Response<Body> {
    let query = request.uri().query();
    if request.method() != Method::GET {
        return bad_request(shared, "expected GET");
    }
    if query_parameter(query, "service").is_none_or(|s| s.is_empty()) {
        return bad_request(shared, "the parameter service is missing");
    }
    let client_ip = match query_parameter(query, "client").map(|text| text.parse::<IpAddr>()) {
        None => peer_ip,
        Some(Ok(ip)) => ip,
        Some(Err(_)) => return bad_request(shared, "the parameter client is not an IP address"),
    };
    shared.metrics.lookups.increment(1);
    json(StatusCode::OK, find_vms(shared, client_ip))
}

/// Finds the entry VMs for a client and returns them as JSON.
fn find_vms(shared: &Shared, client_ip: IpAddr) -> String {
    let address_blocks = shared.block_table();
    let config = shared.config();
    let fleet = shared.fleet();
    let now = shared.now();
    let answer = shared
        .steering
        .lookup(now, &config, &address_blocks, &fleet.members, client_ip);
    let vms = answer.vms.iter().map(|vm| VmEntry {
        id: vm.id.as_str(),
        domain: vm.domain.as_str(),
        // The field `client` holds the VM's address for requests of callers.
        address: vm.client.to_string(),
    });
    let response = LookupResponse {
        vms: vms.collect(),
        lifetime_ms: answer.lifetime.0,
    };
    serde_json::to_string(&response).unwrap_or_default()
}

/// Counts a malformed look-up and builds its response.
fn bad_request(shared: &Shared, detail: &str) -> Response<Body> {
    shared.metrics.count_refusal(RefusalReason::BadRequest);
    Problem {
        status: StatusCode::BAD_REQUEST,
        reason: RefusalReason::BadRequest.as_str(),
        ran: Ran::No,
        detail,
        retry_after: None,
    }
    .response()
}
