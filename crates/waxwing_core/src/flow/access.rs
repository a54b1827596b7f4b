//! Authorization: which workspace sends the request, and which route handles it.

use waxwing_records::Route;
use waxwing_types::{Millis, RefusalReason, WorkspaceId};

use super::{Forwarded, IncomingRequest};
use crate::Config;

/// Result of a successful authorization.
pub(super) struct Access {
    pub(super) route: Route,
    /// Workspace of the API key. `None` on a public route without a valid key.
    pub(super) workspace: Option<WorkspaceId>,
    /// Weight of the workspace in the fair queue: its share of the slots relative to other
    /// workspaces. 1 without a workspace.
    pub(super) weight: u32,
}

/// Checks the API key, the service and the route.
///
/// The key is checked before the service. An unknown service gets the same refusal as a service
/// that the workspace may not call. Callers therefore cannot find out which other services exist.
pub(super) fn authorize(
    now: Millis,
    config: &Config,
    request: &IncomingRequest,
) -> Result<Access, RefusalReason> {
    let workspace = match &request.forwarded {
        Some(forwarded) => forwarded_workspace(now, config, request, forwarded)?,
        None => workspace_of_key(now, config, request)?,
    };
    let service = config
        .service(&request.service)
        .ok_or(RefusalReason::ServiceUnknown)?;
    let route = service.route(&request.method, &request.path);
    let public = route.is_some_and(|r| r.public);
    let allowed_workspace = workspace.filter(|w| service.allows(w));
    if allowed_workspace.is_none() && !public {
        return Err(RefusalReason::ServiceUnknown);
    }
    let workspace_record = allowed_workspace.as_ref().and_then(|w| config.workspace(w));
    Ok(Access {
        route: route.cloned().ok_or(RefusalReason::RouteUnknown)?,
        weight: workspace_record.map_or(1, |w| w.weight),
        workspace: allowed_workspace,
    })
}

/// Returns the workspace of the API key. On a public route a missing or invalid key is accepted.
fn workspace_of_key(
    now: Millis,
    config: &Config,
    request: &IncomingRequest,
) -> Result<Option<WorkspaceId>, RefusalReason> {
    let public = is_public(config, request);
    let Some(key) = &request.api_key else {
        return if public {
            Ok(None)
        } else {
            Err(RefusalReason::KeyMissing)
        };
    };
    match config.check_key(now, &key.id, &key.hash) {
        Ok(workspace) => Ok(Some(workspace.clone())),
        Err(_) if public => Ok(None),
        Err(reason) => Err(reason),
    }
}

/// Returns the workspace that the forwarding region sent. If the request also carries the API key,
/// the key must still be valid in this region and belong to the same workspace.
fn forwarded_workspace(
    now: Millis,
    config: &Config,
    request: &IncomingRequest,
    forwarded: &Forwarded,
) -> Result<Option<WorkspaceId>, RefusalReason> {
    if let (Some(key), Some(claimed_workspace)) = (&request.api_key, &forwarded.workspace) {
        let workspace = config.check_key(now, &key.id, &key.hash)?;
        if workspace != claimed_workspace {
            return Err(RefusalReason::KeyInvalid);
        }
    }
    Ok(forwarded.workspace.clone())
}

/// Whether the request matches a public route, which needs no API key.
fn is_public(config: &Config, request: &IncomingRequest) -> bool {
    config
        .service(&request.service)
        .and_then(|s| s.route(&request.method, &request.path))
        .is_some_and(|r| r.public)
}

/// Whether every target resolves the path to the route that was authorized. Such a path has no `.`
/// or `..` segments (percent-encoded or not), no backslash, and no percent-encoded slash, backslash
/// or NUL.
pub(super) fn is_canonical_path(path: &str) -> bool {
    let path = path.split(['?', '#']).next().unwrap_or_default();
    let path = path.to_ascii_lowercase().replace("%2e", ".");
    let forbidden_escapes = ["%2f", "%5c", "%00"];
    path.starts_with('/')
        && !path.contains('\\')
        && !forbidden_escapes.iter().any(|e| path.contains(e))
        && !path.split('/').any(|s| s == "." || s == "..")
}
