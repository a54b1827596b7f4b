//! Look-ups of entry VMs.

use std::net::IpAddr;

use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use serde::Serialize;
use waxwing_http::{Body, Problem, json};
use waxwing_types::{Ran, RefusalReason};

use crate::request::query::query_parameter;
use crate::state::Shared;

/// Path of the look-up.
pub(crate) const PATH: &str = "/v1/route";

#[derive(Serialize)]
struct Entry<'a> {
    id: &'a str,
    domain: &'a str,
    address: String,
}

#[derive(Serialize)]
struct Found<'a> {
    vms: Vec<Entry<'a>>,
    lifetime_ms: u64,
}

/// Answers a look-up. The service is not checked, so that nobody learns which ones exist.
pub(crate) fn answer(shared: &Shared, request: &Request<Incoming>, peer: IpAddr) -> Response<Body> {
    let query = request.uri().query();
    if request.method() != Method::GET {
        return bad(shared, "expected GET");
    }
    if query_parameter(query, "service").is_none_or(|s| s.is_empty()) {
        return bad(shared, "the parameter service is missing");
    }
    let client = match query_parameter(query, "client").map(|text| text.parse::<IpAddr>()) {
        None => peer,
        Some(Ok(client)) => client,
        Some(Err(_)) => return bad(shared, "the parameter client is not an IP address"),
    };
    shared.metrics.lookups.increment(1);
    json(StatusCode::OK, find(shared, client))
}

fn find(shared: &Shared, client: IpAddr) -> String {
    let blocks = shared.block_table();
    let config = shared.config();
    let fleet = shared.fleet();
    let now = shared.now();
    let answer = shared
        .steering
        .lookup(now, &config, &blocks, &fleet.members, client);
    let vms = answer.vms.iter().map(|vm| Entry {
        id: vm.id.as_str(),
        domain: vm.domain.as_str(),
        address: vm.client.to_string(),
    });
    let found = Found {
        vms: vms.collect(),
        lifetime_ms: answer.lifetime.0,
    };
    serde_json::to_string(&found).unwrap_or_default()
}

fn bad(shared: &Shared, detail: &str) -> Response<Body> {
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
