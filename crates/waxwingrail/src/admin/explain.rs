//! `GET /v1/explain`: how this daemon would handle a request, without running it.

use serde::Serialize;
use waxwing_core::{Config, LimitKey};
use waxwing_records::{Route, Service};
use waxwing_types::{Millis, RefusalReason, ServiceId, WorkspaceId};

use crate::request::query::query_parameter;
use crate::state::Shared;

#[derive(Serialize)]
struct RouteView {
    method: String,
    prefix: String,
    idempotent: bool,
    key_required: bool,
    public: bool,
    cost: u32,
    timeout_ms: u64,
}

#[derive(Serialize)]
struct LimitView {
    limit: String,
    /// Tokens that this VM could spend now, in millionths of a token.
    available_micros: u64,
}

#[derive(Serialize)]
struct TargetView {
    name: String,
    domain: String,
    address: String,
    slots: u32,
    leaving: bool,
    ejected: bool,
    in_flight: u32,
}

#[derive(Serialize)]
struct ShiftView {
    name: String,
    to: String,
    percent: u8,
}

#[derive(Serialize)]
struct Explanation {
    workspace: String,
    service: String,
    revision: u64,
    /// Reason for which the request would be refused before it is queued; absent if it would be queued.
    refusal: Option<&'static str>,
    route: Option<RouteView>,
    limits: Vec<LimitView>,
    queued: usize,
    shifts: Vec<ShiftView>,
    targets: Vec<TargetView>,
}

/// Renders the explanation of the request in the query as JSON.
///
/// # Errors
/// The name of a query parameter that is missing.
pub(super) fn render(shared: &Shared, query: Option<&str>) -> Result<String, &'static str> {
    let required = |name| query_parameter(query, name).ok_or(name);
    let workspace = WorkspaceId::from(required("workspace")?.as_str());
    let service = ServiceId::from(required("service")?.as_str());
    let explanation = explain(
        shared,
        &workspace,
        &service,
        &required("method")?,
        &required("path")?,
    );
    Ok(serde_json::to_string(&explanation).unwrap_or_default())
}

fn explain(
    shared: &Shared,
    workspace: &WorkspaceId,
    service: &ServiceId,
    method: &str,
    path: &str,
) -> Explanation {
    let config = shared.config();
    let record = config.service(service);
    let route = record.and_then(|s| s.route(method, path));
    let limits = workspace_limits(shared, &config, workspace);
    let refusal = early_refusal(
        &config,
        workspace,
        record.map(AsRef::as_ref),
        route,
        &limits,
    );
    Explanation {
        workspace: workspace.to_string(),
        service: service.to_string(),
        revision: config.revision().0,
        refusal: refusal.map(RefusalReason::as_str),
        route: route.map(route_view),
        limits,
        queued: shared.queue().waiting_count(service),
        shifts: active_shifts(shared, &config, service),
        targets: record.map_or(Vec::new(), |r| target_views(shared, service, r)),
    }
}

/// Why the request would be refused before it is queued, if it would be.
fn early_refusal(
    config: &Config,
    workspace: &WorkspaceId,
    service: Option<&Service>,
    route: Option<&Route>,
    limits: &[LimitView],
) -> Option<RefusalReason> {
    let public = route.is_some_and(|r| r.public);
    if config.workspace(workspace).is_none() && !public {
        return Some(RefusalReason::KeyInvalid);
    }
    if !service.is_some_and(|s| s.allows(workspace) || public) {
        return Some(RefusalReason::ServiceUnknown);
    }
    let Some(route) = route else {
        return Some(RefusalReason::RouteUnknown);
    };
    let cost = u64::from(route.cost) * waxwing_types::Micros::PER_UNIT;
    let limited = limits.iter().any(|l| l.available_micros < cost);
    limited.then_some(RefusalReason::RateLimited)
}

fn workspace_limits(shared: &Shared, config: &Config, workspace: &WorkspaceId) -> Vec<LimitView> {
    if config.workspace(workspace).is_none() {
        return Vec::new();
    }
    let key = LimitKey::Workspace(workspace.clone());
    let available = shared.rate_limiter().available_tokens(shared.now(), &key);
    vec![LimitView {
        limit: key.to_string(),
        available_micros: available.0,
    }]
}

/// Active shifts of the service from the region of this VM.
fn active_shifts(shared: &Shared, config: &Config, service: &ServiceId) -> Vec<ShiftView> {
    let Some(own_region) = shared.steering.own_region(config) else {
        return Vec::new();
    };
    let shifts = config.shifts_from(service, own_region);
    shifts
        .map(|active| ShiftView {
            name: active.name.to_string(),
            to: active.shift.to.to_string(),
            percent: active.shift.percent,
        })
        .collect()
}

fn target_views(shared: &Shared, service: &ServiceId, record: &Service) -> Vec<TargetView> {
    let table = shared.targets();
    let now: Millis = shared.now();
    let ejected: Vec<_> = table.ejected(now).filter(|(s, _)| *s == service).collect();
    let view = |target: &waxwing_records::Target| TargetView {
        name: target.name.to_string(),
        domain: target.domain.to_string(),
        address: target.address.to_string(),
        slots: target.slots,
        leaving: target.leaving,
        ejected: ejected.iter().any(|(_, name)| **name == target.name),
        in_flight: table.in_flight(service, &target.name),
    };
    record.targets.iter().map(view).collect()
}

fn route_view(route: &Route) -> RouteView {
    RouteView {
        method: route.method.to_string(),
        prefix: route.prefix.to_string(),
        idempotent: route.idempotent,
        key_required: route.key_required,
        public: route.public,
        cost: route.cost,
        timeout_ms: route.timeout.0,
    }
}
