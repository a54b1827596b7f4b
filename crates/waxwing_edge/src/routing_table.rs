//! Matches requests to the routes and workspaces of a deployment.

use std::collections::HashMap;

use smol_str::SmolStr;
use waxwing_records::{Deployment, HostRoute, ServiceSpec, WorkspaceSpec};
use waxwing_types::{RefusalReason, RegionId, ServiceId};

use crate::Priority;

/// The route that matches a request, and the workspace that the request's key belongs to.
#[derive(Clone, Copy, Debug)]
pub struct RouteMatch<'a> {
    /// The route of the request's host with the longest prefix that matches the path.
    pub route: &'a HostRoute,
    /// The workspace of the request's key; `None` on a public route and in a deployment without keys.
    pub workspace: Option<&'a WorkspaceSpec>,
}

impl RouteMatch<'_> {
    /// Whether the request may be served in a region. The region must be among the home regions of the route
    /// and of the workspace; an empty list of home regions stands for all regions.
    pub fn allows_region(&self, region: &RegionId) -> bool {
        let allowed_by = |homes: &[RegionId]| homes.is_empty() || homes.contains(region);
        allowed_by(&self.route.homes) && self.workspace.is_none_or(|w| allowed_by(&w.homes))
    }

    /// Priority under load: the rank of the workspace, then the rank of the route. Requests with lower ranks
    /// are served first.
    pub fn priority(&self) -> Priority {
        (self.workspace.map_or(0, |w| w.rank), self.route.rank)
    }
}

/// A deployment with indexes for the lookup of routes, keys and services.
#[derive(Debug)]
pub struct RoutingTable {
    deployment: Deployment,
    /// Indexes of the routes of each host, the longest prefix first.
    routes_by_host: HashMap<SmolStr, Vec<usize>>,
    /// Index of the workspace of each key.
    workspaces_by_key: HashMap<SmolStr, usize>,
    services_by_id: HashMap<ServiceId, usize>,
}

impl RoutingTable {
    /// Builds the indexes of a deployment.
    pub fn new(deployment: Deployment) -> Self {
        let mut routes_by_host: HashMap<SmolStr, Vec<usize>> = HashMap::new();
        for (i, route) in deployment.routes.iter().enumerate() {
            routes_by_host
                .entry(route.host.clone())
                .or_default()
                .push(i);
        }
        for route_indexes in routes_by_host.values_mut() {
            route_indexes.sort_by_key(|i| std::cmp::Reverse(deployment.routes[*i].prefix.len()));
        }
        let mut workspaces_by_key = HashMap::new();
        for (i, workspace) in deployment.workspaces.iter().flatten().enumerate() {
            workspaces_by_key.extend(workspace.keys.iter().map(|key| (key.clone(), i)));
        }
        let services = deployment.services.iter().enumerate();
        let services_by_id = services.map(|(i, s)| (s.id.clone(), i)).collect();
        Self {
            deployment,
            routes_by_host,
            workspaces_by_key,
            services_by_id,
        }
    }

    /// The deployment that the table was built from.
    pub fn deployment(&self) -> &Deployment {
        &self.deployment
    }

    /// Version of the deployment.
    pub fn version(&self) -> u64 {
        self.deployment.version
    }

    /// Returns the settings of a service, `None` if the deployment doesn't contain the service.
    pub fn service(&self, id: &ServiceId) -> Option<&ServiceSpec> {
        self.services_by_id
            .get(id)
            .map(|i| &self.deployment.services[*i])
    }

    /// All workspaces of the deployment; none if the deployment uses no keys.
    pub fn workspaces(&self) -> impl Iterator<Item = &WorkspaceSpec> {
        self.deployment.workspaces.iter().flatten()
    }

    /// Finds the route of a request, and the workspace of the request's key if the route requires a key.
    ///
    /// # Errors
    /// No route matches, the key is missing, or the key belongs to no workspace.
    pub fn match_route(
        &self,
        host: &str,
        path: &str,
        key: Option<&str>,
    ) -> Result<RouteMatch<'_>, RefusalReason> {
        let route = self.route(host, path).ok_or(RefusalReason::RouteUnknown)?;
        let Some(workspaces) = &self.deployment.workspaces else {
            return Ok(RouteMatch {
                route,
                workspace: None,
            });
        };
        if route.public {
            return Ok(RouteMatch {
                route,
                workspace: None,
            });
        }
        let key = key.ok_or(RefusalReason::KeyMissing)?;
        let workspace_index = self
            .workspaces_by_key
            .get(key)
            .ok_or(RefusalReason::KeyInvalid)?;
        Ok(RouteMatch {
            route,
            workspace: Some(&workspaces[*workspace_index]),
        })
    }

    /// The route with the longest prefix that matches. A port in the host is ignored.
    fn route(&self, host: &str, path: &str) -> Option<&HostRoute> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let route_indexes = self.routes_by_host.get(host)?;
        let mut routes = route_indexes.iter().map(|i| &self.deployment.routes[*i]);
        routes.find(|route| path.starts_with(route.prefix.as_str()))
    }
}

/// Selects one of the services that a route distributes its requests to. The probability of a service is in
/// proportion to its weight. `draw` is a random number in [0, 1). Returns `None` if all weights are 0.
pub(crate) fn select_service_by_weight(route: &HostRoute, draw: f64) -> Option<&ServiceId> {
    let total_weight: u64 = route.backends.iter().map(|b| u64::from(b.weight)).sum();
    #[allow(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "weights are small"
    )]
    let mut remaining = (draw * total_weight as f64) as u64;
    for backend in &route.backends {
        let weight = u64::from(backend.weight);
        if remaining < weight {
            return Some(&backend.service);
        }
        remaining -= weight;
    }
    None
}

impl RouteMatch<'_> {
    /// Selects the service for the request, by the weights of the route's services. `draw` is a random number
    /// in [0, 1). Returns `None` if all weights are 0.
    pub fn select_service(&self, draw: f64) -> Option<&ServiceId> {
        select_service_by_weight(self.route, draw)
    }
}
