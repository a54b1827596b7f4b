//! Scripted targets of edge daemons, and requests with ids of their own.
#![allow(dead_code, reason = "each test file uses only some of the items")]

use waxwing_http::full;
use waxwing_records::TargetState;
use waxwingrail::edge::EdgeDaemon;

use super::fixture::{API_KEY, Fixture, TestResponse, request};
use super::scripted::{ScriptedTarget, Step};

/// Starts a target that follows a script and registers it.
pub(crate) async fn start_target(
    fixture: &Fixture,
    id: &str,
    script: Vec<Vec<Step>>,
) -> ScriptedTarget {
    let target = ScriptedTarget::start(&fixture.executor, script).await;
    fixture.register_target(id, target.address, TargetState::Ready);
    target
}

/// Sends a request with an id of its own to the route `safe` or `unsafe`.
pub(crate) async fn call_with_id(
    fixture: &Fixture,
    daemon: &EdgeDaemon,
    route: &str,
    id: &str,
) -> TestResponse {
    let mut request = request(route)
        .header("authorization", format!("Bearer {API_KEY}"))
        .body(full("body"))
        .expect("a request");
    let id = id.parse().expect("a header value");
    request.headers_mut().insert("x-request-id", id);
    fixture.send(daemon.caller_address(), request).await
}
