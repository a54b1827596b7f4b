//! Who may send the request, and by which route.

use waxwing_records::Route;
use waxwing_types::{Millis, RefusalReason, WorkspaceId};

use super::{Forwarded, IncomingRequest};
use crate::Config;

/// A request that may run.
pub(super) struct Access {
    pub(super) route: Route,
    /// `None` on a public route without a valid key.
    pub(super) workspace: Option<WorkspaceId>,
    /// Weight of the workspace in the fair queue.
    pub(super) weight: u32,
}

/// Checks key, service and route.
///
/// The key comes before the service, and an unknown service is refused like one of another
/// workspace, so that a caller learns nothing about services that it may not call.
pub(super) fn check(
    now: Millis,
    config: &Config,
    arrival: &IncomingRequest,
) -> Result<Access, RefusalReason> {
    let workspace = match &arrival.forwarded {
        Some(forwarded) => forwarded_workspace(now, config, arrival, forwarded)?,
        None => own_workspace(now, config, arrival)?,
    };
    let service = config
        .service(&arrival.service)
        .ok_or(RefusalReason::ServiceUnknown)?;
    let route = service.route(&arrival.method, &arrival.path);
    let public = route.is_some_and(|r| r.public);
    let allowed = workspace.filter(|w| service.allows(w));
    if allowed.is_none() && !public {
        return Err(RefusalReason::ServiceUnknown);
    }
    let weight = allowed.as_ref().and_then(|w| config.workspace(w));
    Ok(Access {
        route: route.cloned().ok_or(RefusalReason::RouteUnknown)?,
        weight: weight.map_or(1, |w| w.weight),
        workspace: allowed,
    })
}

/// The workspace of the key. A public route needs none.
fn own_workspace(
    now: Millis,
    config: &Config,
    arrival: &IncomingRequest,
) -> Result<Option<WorkspaceId>, RefusalReason> {
    let public = is_public(config, arrival);
    let Some(key) = &arrival.api_key else {
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

/// The workspace that the other region named. If the key came along it must still be valid here.
fn forwarded_workspace(
    now: Millis,
    config: &Config,
    arrival: &IncomingRequest,
    forwarded: &Forwarded,
) -> Result<Option<WorkspaceId>, RefusalReason> {
    if let (Some(key), Some(named)) = (&arrival.api_key, &forwarded.workspace) {
        let workspace = config.check_key(now, &key.id, &key.hash)?;
        if workspace != named {
            return Err(RefusalReason::KeyInvalid);
        }
    }
    Ok(forwarded.workspace.clone())
}

fn is_public(config: &Config, arrival: &IncomingRequest) -> bool {
    config
        .service(&arrival.service)
        .and_then(|s| s.route(&arrival.method, &arrival.path))
        .is_some_and(|r| r.public)
}

/// Whether the path contains no segment by which a target could reach another route than the one
/// that was checked: no `.` or `..`, also percent-encoded, and no backslash.
pub(super) fn is_plain(path: &str) -> bool {
    let path = path.split(['?', '#']).next().unwrap_or_default();
    let path = path.to_ascii_lowercase().replace("%2e", ".");
    let encoded = ["%2f", "%5c", "%00"];
    path.starts_with('/')
        && !path.contains('\\')
        && !encoded.iter().any(|e| path.contains(e))
        && !path.split('/').any(|s| s == "." || s == "..")
}
